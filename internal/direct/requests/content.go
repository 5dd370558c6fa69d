package requests

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/steer"
)

// LongRequestBytes is the number of bytes above which a request counts as long: eight full
// datagrams. Requests without a body are far below it; an upload exceeds it within its first
// window.
const LongRequestBytes = 8 * 1200

// content tracks the data of one request by sequence numbers.
type content struct {
	// first is the sequence number of the first byte, end the one after the last byte.
	first, end uint32
	// latestSequence is the highest sequence number of a packet's first byte.
	latestSequence uint32
	// largestSegment is the size of the largest packet. complete is true when a smaller packet
	// followed it: senders fill all packets but the last.
	largestSegment uint32
	complete       bool
}

func newContent(segment steer.Segment) content {
	return content{
		first: segment.Sequence, end: segment.Sequence + segment.Length,
		latestSequence: segment.Sequence, largestSegment: segment.Length,
	}
}

// add records a packet. It reports whether the packet is newer than all previous ones; older
// packets and retransmissions change nothing.
func (content *content) add(segment steer.Segment) bool {
	if int32(segment.Sequence-content.latestSequence) <= 0 {
		return false
	}
	content.latestSequence = segment.Sequence
	content.end = segment.Sequence + segment.Length
	content.complete = segment.Length < content.largestSegment
	content.largestSegment = max(content.largestSegment, segment.Length)
	return true
}

// received returns the number of bytes received so far.
func (content *content) received() uint32 { return content.end - content.first }

// receiving reports whether the request is long and more of its data is expected.
func (content *content) receiving() bool {
	return !content.complete && content.received() > LongRequestBytes
}

// Progress is the state of an open request's data.
type Progress struct {
	// Route is the service address that the caller sent the request to.
	Route netip.AddrPort
	// ReceivedBytes is the number of bytes received so far. Complete is true when no more are
	// expected.
	ReceivedBytes int
	Complete      bool
	// LastAt is when the latest packet, the opening packet included, was forwarded.
	LastAt time.Time
}

// EachOpen calls visit for each open request, in no particular order. visit must return at once
// and must not call the watcher.
func (watcher *Watcher) EachOpen(visit func(progress Progress)) {
	for index := range watcher.shards {
		shard := &watcher.shards[index]
		shard.lock.Lock()
		for key, open := range shard.requests {
			visit(Progress{
				Route: key.service, ReceivedBytes: int(open.content.received()), Complete: open.content.complete, LastAt: open.lastAt(),
			})
		}
		shard.lock.Unlock()
	}
}

// SizeObserver is notified of the sizes of requests. Its methods must return at once and must not
// call the watcher.
type SizeObserver interface {
	// RequestGrowing reports the number of bytes that a long request of the route has sent so
	// far while more are expected.
	RequestGrowing(route netip.AddrPort, bytes int)
	// RequestCompleted reports the total number of bytes of an answered request of the route.
	RequestCompleted(route netip.AddrPort, bytes int)
}

// noSizes is the observer of a watcher for which none was set.
type noSizes struct{}

// RequestGrowing implements SizeObserver.
func (noSizes) RequestGrowing(netip.AddrPort, int) {}

// RequestCompleted implements SizeObserver.
func (noSizes) RequestCompleted(netip.AddrPort, int) {}

// ObserveSizes sets the observer of request sizes. It must be called before the first packet.
func (watcher *Watcher) ObserveSizes(observer SizeObserver) { watcher.sizes = observer }

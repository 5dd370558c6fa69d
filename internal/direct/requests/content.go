package requests

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/steer"
)

// LongFrom is the number of bytes from which a request counts as long: eight full
// datagrams. Requests without a body of their own are far below; an upload passes
// it within its first window.
const LongRequestBytes = 8 * 1200

// content is what came of one request's data, by the numbers of its bytes.
type content struct {
	// first is the number of the first byte, and end that after the last one.
	first, end uint32
	// latest is the highest number of a packet's first byte.
	latestSequence uint32
	// largest is the size of the largest packet, and complete tells that a
	// smaller one came after it: senders fill all packets but the last.
	largestSegment uint32
	complete       bool
}

func newContent(segment steer.Segment) content {
	return content{
		first: segment.Sequence, end: segment.Sequence + segment.Length,
		latestSequence: segment.Sequence, largestSegment: segment.Length,
	}
}

// add takes a packet in. It returns false for one that is not newer than all
// before.
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

// brought returns the number of bytes that came.
func (content *content) received() uint32 { return content.end - content.first }

// receiving tells that the request is long and that more of it comes.
func (content *content) receiving() bool {
	return !content.complete && content.received() > LongRequestBytes
}

// Progress is how far the data of an open request has come.
type Progress struct {
	// Route is the address that the caller asked.
	Route netip.AddrPort
	// Brought is the number of bytes that came. Complete tells that no more come.
	ReceivedBytes int
	Complete      bool
	// LastAt is when its latest packet, the opening one included, was sent on.
	LastAt time.Time
}

// EachOpen calls visit with each open request, in no order. Visit must return at
// once and must not call the watcher.
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

// SizeObserver is told how many bytes requests bring. Its methods must return at
// once and must not call the watcher.
type SizeObserver interface {
	// Growing is told that a long request of the route has brought that many bytes
	// so far, and that more come.
	RequestGrowing(route netip.AddrPort, bytes int)
	// Whole is told that an answered request of the route had that many bytes.
	RequestCompleted(route netip.AddrPort, bytes int)
}

// noSizes is the observer of a watcher without one.
type noSizes struct{}

// Growing implements SizeObserver.
func (noSizes) RequestGrowing(netip.AddrPort, int) {}

// Whole implements SizeObserver.
func (noSizes) RequestCompleted(netip.AddrPort, int) {}

// ObserveSizes makes observer be told of sizes. It is set before the first packet.
func (watcher *Watcher) ObserveSizes(observer SizeObserver) { watcher.sizes = observer }

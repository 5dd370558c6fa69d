package forwarder

import (
	"time"

	"merlinpaddle/internal/direct/egress"
	"merlinpaddle/internal/direct/steer"
)

// NeedsTracking reports whether a target needs the packet to continue with a request, so that the
// request watcher has to be notified when the packet is queued and when it is sent.
func NeedsTracking(segment steer.Segment) bool { return segment.Opening || segment.HasData }

// NewQueueObserver returns an observer that notifies the request watcher of packets that wait in
// the queue for the link.
func NewQueueObserver(requests RequestWatcher) egress.QueueObserver { return queueObserver{requests} }

// queueObserver relays notifications about queued datagrams to the request watcher.
type queueObserver struct {
	requests RequestWatcher
}

// Queued implements egress.QueueObserver.
func (observer queueObserver) Queued(datagram *egress.Datagram, now time.Time) {
	observer.requests.Queued(segmentOf(datagram), now)
}

// Dequeued implements egress.QueueObserver.
func (observer queueObserver) Dequeued(datagram *egress.Datagram, now time.Time) {
	observer.requests.Dequeued(segmentOf(datagram), now)
}

// segmentOf reconstructs the segment of a forwarded datagram, as far as the datagram records it.
func segmentOf(datagram *egress.Datagram) steer.Segment {
	return steer.Segment{
		Caller: datagram.Flow.Caller, Service: datagram.Flow.Service,
		Opening: datagram.Opening, HasData: datagram.HasData, Sequence: datagram.Sequence,
	}
}

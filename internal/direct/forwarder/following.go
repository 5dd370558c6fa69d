package forwarder

import (
	"time"

	"merlinpaddle/internal/direct/egress"
	"merlinpaddle/internal/direct/steer"
)

// Followed tells whether a target goes on with a request once it has the packet, so that the
// requests have to know when it leaves.
func NeedsTracking(segment steer.Segment) bool { return segment.Opening || segment.HasData }

// Follow returns what tells the requests of packets that wait in front of the link.
func NewQueueObserver(requests RequestWatcher) egress.QueueObserver { return queueObserver{requests} }

// following passes on what becomes of datagrams to the requests that they belong to.
type queueObserver struct {
	requests RequestWatcher
}

// Waits implements egress.Follower.
func (following queueObserver) Queued(datagram *egress.Datagram, now time.Time) {
	following.requests.Queued(segmentOf(datagram), now)
}

// Left implements egress.Follower.
func (following queueObserver) Dequeued(datagram *egress.Datagram, now time.Time) {
	following.requests.Dequeued(segmentOf(datagram), now)
}

// segmentOf returns what is known of the packet in a datagram that was forwarded.
func segmentOf(datagram *egress.Datagram) steer.Segment {
	return steer.Segment{
		Caller: datagram.Flow.Caller, Service: datagram.Flow.Service,
		Opening: datagram.Opening, HasData: datagram.HasData, Sequence: datagram.Sequence,
	}
}

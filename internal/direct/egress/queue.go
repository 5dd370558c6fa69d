package egress

import (
	"container/list"
	"net/netip"
	"time"
)

// Flow identifies a flow by its two ends.
type Flow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Datagram is one datagram for the link.
type Datagram struct {
	Flow Flow
	// To is the destination address.
	To netip.AddrPort
	// Sequence is the sequence number of the first byte of data. HasData is true if there is any.
	// A later datagram of the same flow, destination and sequence number is a retransmission.
	Sequence uint32
	HasData  bool
	// Opening is true for an opening packet. A later one of the same flow is a retransmission,
	// whatever its destination.
	Opening bool
	// PureAcknowledgement is true if the datagram only acknowledges the data before the sequence
	// number Acknowledgement. A later one of the same flow and destination includes it.
	PureAcknowledgement bool
	Acknowledgement     uint32
	Content             []byte
	// Tracked makes the egress notify its queue observer when the datagram is queued, and when it,
	// or a later datagram that superseded it, is written after that.
	Tracked bool
	// queuedAt is when the datagram, or an earlier one that it superseded, was queued.
	queuedAt time.Time
}

// supersededBy reports whether other, of the same flow, makes the datagram redundant: whether it
// carries the same data to the same destination, opens the flow again, or acknowledges at least as
// much.
func (datagram *Datagram) supersededBy(other *Datagram) bool {
	switch {
	case datagram.Opening || other.Opening:
		return datagram.Opening && other.Opening
	case datagram.To != other.To:
		return false
	case datagram.PureAcknowledgement || other.PureAcknowledgement:
		return datagram.PureAcknowledgement && other.PureAcknowledgement && int32(other.Acknowledgement-datagram.Acknowledgement) >= 0
	}
	return datagram.HasData && other.HasData && datagram.Sequence == other.Sequence
}

const (
	// quantum is the number of bytes that a flow may send in one round: one datagram of the largest
	// usual size.
	quantum = 1300
	// longFlowBytes is the number of bytes after which a flow counts as long, summed over all that
	// it has put into the queue: eight full datagrams. Requests without a body are far below it; an
	// upload exceeds it within its first window.
	longFlowBytes = 8 * quantum
	// activeLongFlows is the number of long flows, the oldest first, that take turns on the
	// capacity that short flows leave. One alone saturates the link; beside two or more others its
	// data would wait longer than the senders' retransmission timeout (docs/LARGE-FLEETS.md,
	// round 4).
	activeLongFlows = 1
	// longFlowIdleTimeout is how long a long flow may have nothing queued before it loses its
	// position: senders retransmit unacknowledged data after 1.6 s at the most.
	longFlowIdleTimeout = 2 * time.Second
)

// flowQueue holds the queued datagrams of one flow in the order of their arrival.
type flowQueue struct {
	flow      Flow
	datagrams []*Datagram
	// credit is the number of bytes that the flow may still send in this round; it becomes negative
	// when the last datagram exceeds it.
	credit int
	// enqueuedBytes is the number of bytes that the flow has put into the queue so far, including
	// those that were dequeued since.
	enqueuedBytes int
	// isLong is true once the flow is in the list of long flows. emptiedAt is since when it has had
	// nothing queued there.
	isLong    bool
	emptiedAt time.Time
}

// queuedBytes returns the size of the queued contents.
func (backlog *flowQueue) queuedBytes() int {
	sum := 0
	for _, datagram := range backlog.datagrams {
		sum += len(datagram.Content)
	}
	return sum
}

// fairQueue is a queue with two priority levels. The upper level serves short flows by deficit round
// robin, new flows before old ones (RFC 8290, section 4, without its active queue management). A flow
// that has put longFlowBytes into the queue moves to the lower level, which serves the oldest long
// flow that has anything queued. Long flows do not share the link by round robin, because senders
// whose data waits between rounds would keep retransmitting it.
//
// Invariants: a flow is in flows if and only if it is in exactly one of the three lists; bytes is the
// size of the contents of all queued datagrams, and longBytes of those of long flows.
type fairQueue struct {
	limit     int
	bytes     int
	longBytes int
	flows     map[Flow]*flowQueue
	newFlows  *list.List
	oldFlows  *list.List
	longFlows *list.List
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{limit: limit, flows: make(map[Flow]*flowQueue), newFlows: list.New(), oldFlows: list.New(), longFlows: list.New()}
}

// enqueueResult is the result of adding a datagram to the queue.
type enqueueResult uint8

const (
	// admitted: the datagram was added.
	admitted enqueueResult = iota
	// repeated: the datagram took the place of one that it supersedes.
	repeated
	// refused: the queue is full and the datagram was not added.
	refused
)

// enqueue adds a datagram, or lets it replace one that it supersedes.
func (queue *fairQueue) enqueue(added *Datagram) enqueueResult {
	backlog, exists := queue.flows[added.Flow]
	if exists && queue.replace(backlog, added) {
		return repeated
	}
	if queue.bytes+len(added.Content) > queue.limit {
		return refused
	}
	if !exists {
		backlog = &flowQueue{flow: added.Flow, credit: quantum}
		queue.flows[added.Flow] = backlog
		queue.newFlows.PushBack(backlog)
	}
	backlog.datagrams = append(backlog.datagrams, added)
	backlog.enqueuedBytes += len(added.Content)
	queue.addBytes(backlog, len(added.Content))
	return admitted
}

// addBytes changes the size of the queued contents by a number of bytes of a flow, which is negative
// for removed ones.
func (queue *fairQueue) addBytes(backlog *flowQueue, bytes int) {
	queue.bytes += bytes
	if backlog.isLong {
		queue.longBytes += bytes
	}
}

// replace puts added into the place of the first datagram that it supersedes. It reports whether there
// was one.
func (queue *fairQueue) replace(backlog *flowQueue, added *Datagram) bool {
	for index, known := range backlog.datagrams {
		if known.supersededBy(added) {
			queue.addBytes(backlog, len(added.Content)-len(known.Content))
			added.queuedAt = known.queuedAt
			added.Tracked = added.Tracked || known.Tracked
			backlog.datagrams[index] = added
			return true
		}
	}
	return false
}

// shortBytes returns the size of the queued contents of short flows.
func (queue *fairQueue) shortBytes() int { return queue.bytes - queue.longBytes }

// empty reports whether no content is queued.
func (queue *fairQueue) empty() bool { return queue.bytes == 0 }

// dequeue removes and returns the next datagram, or nil if there is none.
func (queue *fairQueue) dequeue(now time.Time) *Datagram {
	for {
		from, element := queue.nextShort()
		if element == nil {
			return queue.dequeueLong(now)
		}
		backlog := element.Value.(*flowQueue)
		switch {
		case backlog.enqueuedBytes >= longFlowBytes:
			from.Remove(element)
			backlog.isLong = true
			queue.longBytes += backlog.queuedBytes()
			backlog.emptiedAt = now
			queue.longFlows.PushBack(backlog)
		case backlog.credit <= 0:
			backlog.credit += quantum
			from.Remove(element)
			queue.oldFlows.PushBack(backlog)
		case len(backlog.datagrams) == 0:
			queue.retire(from, element)
		default:
			return queue.pop(backlog)
		}
	}
}

// nextShort returns the list of the next short flow to serve and its element there, which is nil if
// there are no short flows.
func (queue *fairQueue) nextShort() (*list.List, *list.Element) {
	if front := queue.newFlows.Front(); front != nil {
		return queue.newFlows, front
	}
	return queue.oldFlows, queue.oldFlows.Front()
}

// dequeueLong removes and returns the next datagram of the oldest long flows with queued datagrams, or
// nil if there is none. It removes long flows that have been idle for longFlowIdleTimeout.
func (queue *fairQueue) dequeueLong(now time.Time) *Datagram {
	var active [activeLongFlows]*flowQueue
	count := 0
	for element := queue.longFlows.Front(); element != nil && count < activeLongFlows; {
		backlog := element.Value.(*flowQueue)
		next := element.Next()
		switch {
		case len(backlog.datagrams) > 0:
			active[count] = backlog
			count++
		case now.Sub(backlog.emptiedAt) >= longFlowIdleTimeout:
			queue.longFlows.Remove(element)
			delete(queue.flows, backlog.flow)
		}
		element = next
	}
	if count == 0 {
		return nil
	}
	for {
		for _, backlog := range active[:count] {
			if backlog.credit > 0 {
				return queue.popLong(backlog, now)
			}
		}
		for _, backlog := range active[:count] {
			backlog.credit += quantum
		}
	}
}

// popLong removes and returns the first datagram of a long flow.
func (queue *fairQueue) popLong(backlog *flowQueue, now time.Time) *Datagram {
	taken := queue.pop(backlog)
	if len(backlog.datagrams) == 0 {
		backlog.emptiedAt = now
	}
	return taken
}

// retire removes a short flow without queued datagrams from its list. A new flow first moves to the
// list of old flows unless that is empty, so that it cannot keep its priority by sending one datagram
// at a time.
func (queue *fairQueue) retire(from *list.List, element *list.Element) {
	backlog := element.Value.(*flowQueue)
	from.Remove(element)
	if from == queue.newFlows && queue.oldFlows.Len() > 0 {
		queue.oldFlows.PushBack(backlog)
		return
	}
	delete(queue.flows, backlog.flow)
}

// pop removes and returns the first datagram of a flow.
func (queue *fairQueue) pop(backlog *flowQueue) *Datagram {
	taken := backlog.datagrams[0]
	backlog.datagrams[0] = nil
	backlog.datagrams = backlog.datagrams[1:]
	backlog.credit -= len(taken.Content)
	queue.addBytes(backlog, -len(taken.Content))
	if queue.empty() {
		queue.removeShortFlows()
	}
	return taken
}

// removeShortFlows removes all short flows once the queue is empty, so that the occasional datagrams of
// a flow do not accumulate until it counts as long.
func (queue *fairQueue) removeShortFlows() {
	for _, flows := range []*list.List{queue.newFlows, queue.oldFlows} {
		for element := flows.Front(); element != nil; element = element.Next() {
			delete(queue.flows, element.Value.(*flowQueue).flow)
		}
		flows.Init()
	}
}

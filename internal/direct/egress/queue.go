package egress

import (
	"container/list"
	"net/netip"
	"time"
)

// Flow names a flow by its two ends.
type Flow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Datagram is one datagram that waits for the link.
type Datagram struct {
	Flow Flow
	// To is where the datagram goes.
	To netip.AddrPort
	// Sequence is the number of the first byte of data, and HasData tells
	// whether there is any. A later datagram of the same flow, destination and
	// sequence is a repetition.
	Sequence uint32
	HasData  bool
	// Opening tells that the datagram is an opening packet. A later one of the same flow
	// is a repetition, wherever it goes.
	Opening bool
	// Acknowledges tells that the datagram does nothing but acknowledge what comes before
	// Acknowledgement. A later one of the same flow says the same and more.
	PureAcknowledgement bool
	Acknowledgement     uint32
	Content             []byte
	// Followed makes the egress tell its follower when the datagram begins to wait, and when
	// it, or a repetition that took its place, is written after that.
	Tracked bool
	// since is when the datagram began to wait.
	queuedAt time.Time
}

// repeats tells whether other makes the datagram, of the same flow, needless: it carries the
// same data to the same place, opens the flow again, or acknowledges as much or more.
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
	// quantum is the number of bytes that a flow may send before the next flow's
	// turn: one datagram of the largest usual size.
	quantum = 1300
	// longFrom is the number of bytes from which a flow that waits counts as long:
	// eight full datagrams. Requests without a body of their own are far below; an
	// upload passes it within its first window.
	longFlowBytes = 8 * quantum
	// longTurns is the number of long flows, the oldest first, that share by turns
	// what short flows leave of the link. One alone fills it; beside two or more
	// others its data would wait longer than senders do before they repeat it
	// (docs/LARGE-FLEETS.md, round 4).
	activeLongFlows = 1
	// longRests is how long a long flow may have nothing to send before it loses
	// its place: senders repeat what was not acknowledged after 1.6 s at the most.
	longFlowIdleTimeout = 2 * time.Second
)

// flowQueue is one flow's datagrams in the order of their arrival.
type flowQueue struct {
	flow      Flow
	datagrams []*Datagram
	// credit is the number of bytes that the flow may still send in its turn.
	credit int
	// attained is the number of bytes that the flow has put into the queue.
	enqueuedBytes int
	// long tells that the flow is in the list of long ones, and emptiedAt since
	// when it has nothing to send there.
	isLong    bool
	emptiedAt time.Time
}

// bytes returns the sum of the contents that wait.
func (waiting *flowQueue) queuedBytes() int {
	sum := 0
	for _, datagram := range waiting.datagrams {
		sum += len(datagram.Content)
	}
	return sum
}

// fairQueue has two levels. Short flows go first, each in its turn by deficit
// round robin, those that just began to wait before those that have waited
// through a turn (RFC 8290, section 4, without its dropping of packets by their
// time in the queue). A flow that has put longFrom bytes into the queue moves to
// the lower level: of long flows the oldest with something to send has what is
// left, because the data of a flow that waits between its turns is repeated by its
// sender, over and over.
//
// Invariants: a flow is in flows if and only if it is in exactly one of the
// three lists; bytes is the sum of the contents of all datagrams, and longBytes of
// those of long flows.
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

// admission is what became of a datagram that was put into the queue.
type enqueueResult uint8

const (
	// admitted: the datagram waits for its turn.
	admitted enqueueResult = iota
	// repeated: its data waited already, and the newer copy took that place.
	repeated
	// refused: the queue is full.
	refused
)

// put adds a datagram.
func (queue *fairQueue) enqueue(added *Datagram) enqueueResult {
	waiting, exists := queue.flows[added.Flow]
	if exists && queue.replace(waiting, added) {
		return repeated
	}
	if queue.bytes+len(added.Content) > queue.limit {
		return refused
	}
	if !exists {
		waiting = &flowQueue{flow: added.Flow, credit: quantum}
		queue.flows[added.Flow] = waiting
		queue.newFlows.PushBack(waiting)
	}
	waiting.datagrams = append(waiting.datagrams, added)
	waiting.enqueuedBytes += len(added.Content)
	queue.addBytes(waiting, len(added.Content))
	return admitted
}

// count adds bytes of a flow to what waits, or takes them off.
func (queue *fairQueue) addBytes(waiting *flowQueue, bytes int) {
	queue.bytes += bytes
	if waiting.isLong {
		queue.longBytes += bytes
	}
}

// replace puts added into the place of the datagram that it repeats.
func (queue *fairQueue) replace(waiting *flowQueue, added *Datagram) bool {
	for index, known := range waiting.datagrams {
		if known.supersededBy(added) {
			queue.addBytes(waiting, len(added.Content)-len(known.Content))
			added.queuedAt = known.queuedAt
			added.Tracked = added.Tracked || known.Tracked
			waiting.datagrams[index] = added
			return true
		}
	}
	return false
}

// short returns the number of bytes of short flows that wait.
func (queue *fairQueue) shortBytes() int { return queue.bytes - queue.longBytes }

// empty tells whether nothing waits.
func (queue *fairQueue) empty() bool { return queue.bytes == 0 }

// take removes and returns the next datagram, or nil when nothing waits.
func (queue *fairQueue) dequeue(now time.Time) *Datagram {
	for {
		from, element := queue.nextShort()
		if element == nil {
			return queue.dequeueLong(now)
		}
		waiting := element.Value.(*flowQueue)
		switch {
		case waiting.enqueuedBytes >= longFlowBytes:
			from.Remove(element)
			waiting.isLong = true
			queue.longBytes += waiting.queuedBytes()
			waiting.emptiedAt = now
			queue.longFlows.PushBack(waiting)
		case waiting.credit <= 0:
			waiting.credit += quantum
			from.Remove(element)
			queue.oldFlows.PushBack(waiting)
		case len(waiting.datagrams) == 0:
			queue.retire(from, element)
		default:
			return queue.pop(waiting)
		}
	}
}

// nextShort returns the list and the place of the short flow whose turn it is;
// the place is nil without one.
func (queue *fairQueue) nextShort() (*list.List, *list.Element) {
	if front := queue.newFlows.Front(); front != nil {
		return queue.newFlows, front
	}
	return queue.oldFlows, queue.oldFlows.Front()
}

// takeLong removes and returns the next datagram of the oldest long flows. It
// forgets long flows that have rested.
func (queue *fairQueue) dequeueLong(now time.Time) *Datagram {
	var turns [activeLongFlows]*flowQueue
	count := 0
	for element := queue.longFlows.Front(); element != nil && count < activeLongFlows; {
		waiting := element.Value.(*flowQueue)
		following := element.Next()
		switch {
		case len(waiting.datagrams) > 0:
			turns[count] = waiting
			count++
		case now.Sub(waiting.emptiedAt) >= longFlowIdleTimeout:
			queue.longFlows.Remove(element)
			delete(queue.flows, waiting.flow)
		}
		element = following
	}
	if count == 0 {
		return nil
	}
	for {
		for _, waiting := range turns[:count] {
			if waiting.credit > 0 {
				return queue.popLong(waiting, now)
			}
		}
		for _, waiting := range turns[:count] {
			waiting.credit += quantum
		}
	}
}

func (queue *fairQueue) popLong(waiting *flowQueue, now time.Time) *Datagram {
	taken := queue.pop(waiting)
	if len(waiting.datagrams) == 0 {
		waiting.emptiedAt = now
	}
	return taken
}

// retire takes a short flow without datagrams out of its list. A fresh flow
// passes through the old ones first, so that it cannot stay ahead by sending one
// datagram at a time.
func (queue *fairQueue) retire(from *list.List, element *list.Element) {
	waiting := element.Value.(*flowQueue)
	from.Remove(element)
	if from == queue.newFlows && queue.oldFlows.Len() > 0 {
		queue.oldFlows.PushBack(waiting)
		return
	}
	delete(queue.flows, waiting.flow)
}

func (queue *fairQueue) pop(waiting *flowQueue) *Datagram {
	taken := waiting.datagrams[0]
	waiting.datagrams[0] = nil
	waiting.datagrams = waiting.datagrams[1:]
	waiting.credit -= len(taken.Content)
	queue.addBytes(waiting, -len(taken.Content))
	if queue.empty() {
		queue.removeShortFlows()
	}
	return taken
}

// forgetShort forgets short flows when nothing waits, so that what a flow sends
// now and then does not add up to a long one.
func (queue *fairQueue) removeShortFlows() {
	for _, short := range []*list.List{queue.newFlows, queue.oldFlows} {
		for element := short.Front(); element != nil; element = element.Next() {
			delete(queue.flows, element.Value.(*flowQueue).flow)
		}
		short.Init()
	}
}

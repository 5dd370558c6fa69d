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
	Content  []byte
	// since is when the datagram began to wait.
	since time.Time
}

// repeats tells whether other carries the same data to the same place.
func (datagram *Datagram) repeats(other *Datagram) bool {
	return datagram.HasData && other.HasData &&
		datagram.Sequence == other.Sequence &&
		datagram.To == other.To
}

// quantum is the number of bytes that a flow may send before the next flow's
// turn: one datagram of the largest usual size.
const quantum = 1300

// flowQueue is one flow's datagrams in the order of their arrival.
type flowQueue struct {
	flow      Flow
	datagrams []*Datagram
	// credit is the number of bytes that the flow may still send in its turn.
	credit int
}

// fairQueue serves flows in turn by deficit round robin, and flows that just
// began to wait before those that have waited through a turn, so that short
// flows do not wait for long ones. Source: RFC 8290, section 4, without its
// dropping of packets by their time in the queue.
//
// Invariants: a flow is in flows if and only if it is in exactly one of the
// two lists; bytes is the sum of the contents of all datagrams.
type fairQueue struct {
	limit int
	bytes int
	flows map[Flow]*flowQueue
	fresh *list.List
	old   *list.List
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{limit: limit, flows: make(map[Flow]*flowQueue), fresh: list.New(), old: list.New()}
}

// admission is what became of a datagram that was put into the queue.
type admission uint8

const (
	// admitted: the datagram waits for its turn.
	admitted admission = iota
	// repeated: its data waited already, and the newer copy took that place.
	repeated
	// refused: the queue is full.
	refused
)

// put adds a datagram.
func (queue *fairQueue) put(added *Datagram) admission {
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
		queue.fresh.PushBack(waiting)
	}
	waiting.datagrams = append(waiting.datagrams, added)
	queue.bytes += len(added.Content)
	return admitted
}

// replace puts added into the place of the datagram that it repeats.
func (queue *fairQueue) replace(waiting *flowQueue, added *Datagram) bool {
	for index, known := range waiting.datagrams {
		if known.repeats(added) {
			queue.bytes += len(added.Content) - len(known.Content)
			added.since = known.since
			waiting.datagrams[index] = added
			return true
		}
	}
	return false
}

// empty tells whether nothing waits.
func (queue *fairQueue) empty() bool { return queue.bytes == 0 }

// take removes and returns the next datagram, or nil when nothing waits.
func (queue *fairQueue) take() *Datagram {
	for !queue.empty() {
		from, element := queue.next()
		waiting := element.Value.(*flowQueue)
		switch {
		case waiting.credit <= 0:
			waiting.credit += quantum
			from.Remove(element)
			queue.old.PushBack(waiting)
		case len(waiting.datagrams) == 0:
			queue.retire(from, element)
		default:
			return queue.pop(waiting)
		}
	}
	return nil
}

func (queue *fairQueue) next() (*list.List, *list.Element) {
	if front := queue.fresh.Front(); front != nil {
		return queue.fresh, front
	}
	return queue.old, queue.old.Front()
}

// retire takes a flow without datagrams out of its list. A fresh flow passes
// through the old ones first, so that it cannot stay ahead by sending one
// datagram at a time.
func (queue *fairQueue) retire(from *list.List, element *list.Element) {
	waiting := element.Value.(*flowQueue)
	from.Remove(element)
	if from == queue.fresh && queue.old.Len() > 0 {
		queue.old.PushBack(waiting)
		return
	}
	delete(queue.flows, waiting.flow)
}

func (queue *fairQueue) pop(waiting *flowQueue) *Datagram {
	taken := waiting.datagrams[0]
	waiting.datagrams[0] = nil
	waiting.datagrams = waiting.datagrams[1:]
	waiting.credit -= len(taken.Content)
	queue.bytes -= len(taken.Content)
	if queue.empty() {
		queue.clear()
	}
	return taken
}

// clear forgets flows that wait for nothing.
func (queue *fairQueue) clear() {
	clear(queue.flows)
	queue.fresh.Init()
	queue.old.Init()
}

package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// FlowID numbers the flows of a run.
type FlowID uint64

// Place is one life of one target: a restarted target has lost its flows.
type TargetIncarnation struct {
	Target      uint32
	Incarnation uint64
}

// String names the place.
func (place TargetIncarnation) String() string {
	return fmt.Sprintf("target %d/%d", place.Target, place.Incarnation)
}

// Delivery is one packet that a target took.
type Delivery struct {
	Flow FlowID
	// Intended is the service that the caller addressed when it sent.
	Intended uint32
	// Delivered is the service that took the packet.
	Delivered uint32
	// Opening tells that the packet may open a flow.
	Opening bool
	Target  TargetIncarnation
	At      time.Duration
}

// maximumUnanswered is the number of packets in a row that a live flow may
// lose on a network without cuts before it counts as broken.
const maxUnanswered = 4

// wayAndBack is how long a packet and its answer may take on a network without cuts. What was
// sent later than that is under way, and not lost.
const maxRoundTrip = 100 * time.Millisecond

type flowRecord struct {
	id      FlowID
	service uint32
	owner   TargetIncarnation
	owned   bool
	// unanswered has the times at which the packets since the last answer were sent.
	unanswered []time.Duration
	closed     bool
	broken     bool
}

// Flows checks that flows stay with their target and are not broken.
type Flows struct {
	report *Report
	flows  map[FlowID]*flowRecord
	dead   map[TargetIncarnation]bool
	// steady tells that a flow may not be silent at any time.
	expectAnswers bool
	// excused counts the flows broken by the death of their own target.
	excused int
	opened  int
}

// NewFlows returns a checker that writes into report.
func NewFlows(report *Report) *Flows {
	return &Flows{report: report, flows: make(map[FlowID]*flowRecord), dead: make(map[TargetIncarnation]bool)}
}

func (flows *Flows) record(id FlowID) *flowRecord {
	record, known := flows.flows[id]
	if !known {
		record = &flowRecord{id: id}
		flows.flows[id] = record
	}
	return record
}

// ExpectSteady makes every silence of a live flow a violation, also one that
// ends later: the scenario has planned changes only, and a feed that freezes
// for a while is broken for its caller.
func (flows *Flows) ExpectAnswers() { flows.expectAnswers = true }

// Sent records that the caller sent a packet on a flow.
func (flows *Flows) Sent(id FlowID, service uint32, at time.Duration) {
	record := flows.record(id)
	record.service = service
	if flows.expectAnswers && record.live() && record.lost(at) > maxUnanswered {
		flows.breakSilent(record, at)
	}
	record.unanswered = append(record.unanswered, at)
}

// Delivered records that a target took a packet.
func (flows *Flows) Delivered(delivery Delivery) {
	if delivery.Delivered != delivery.Intended {
		flows.report.Add(InvariantServiceIsolation, delivery.At, "flow %d of service %d delivered to service %d at %s",
			delivery.Flow, delivery.Intended, delivery.Delivered, delivery.Target)
	}
	record := flows.record(delivery.Flow)
	if !record.owned {
		record.owned = true
		flows.opened++
		flows.setOwner(record, delivery)
		return
	}
	// A late copy of an opening packet may open a flow again after its caller
	// ended it; the life of the flow that is checked here is over.
	if record.owner == delivery.Target || record.closed || flows.dead[delivery.Target] {
		return
	}
	if flows.dead[record.owner] {
		// The flow opened anew at a target that lives, and stays there.
		flows.setOwner(record, delivery)
		return
	}
	flows.report.Add(InvariantOneOwner, delivery.At, "flow %d of %s delivered to %s",
		delivery.Flow, record.owner, delivery.Target)
}

// take records where a flow lives. A target knows only flows that were opened
// at it: it must not take another packet for one of them.
func (flows *Flows) setOwner(record *flowRecord, delivery Delivery) {
	record.owner = delivery.Target
	if !delivery.Opening {
		flows.report.Add(InvariantOneOwner, delivery.At, "flow %d delivered to %s, where it was not opened", delivery.Flow, delivery.Target)
	}
}

// Answered records that an answer came back to the caller.
func (flows *Flows) Answered(id FlowID) { flows.record(id).unanswered = nil }

// Reset records that the caller was told that its flow is gone.
func (flows *Flows) Reset(id FlowID, at time.Duration) {
	flows.breakFlow(flows.record(id), at, "reset")
}

// Closed records that the caller ended the flow itself.
func (flows *Flows) Closed(id FlowID) { flows.record(id).closed = true }

// TargetDied records the unplanned end of one life of a target. Its flows may
// break.
func (flows *Flows) TargetDied(place TargetIncarnation) { flows.dead[place] = true }

// TargetStopped records the planned end of one life of a target; it must own
// no open flow.
func (flows *Flows) TargetStopped(place TargetIncarnation, at time.Duration) {
	for _, record := range flows.sorted() {
		if record.owned && record.owner == place && !record.closed && !record.broken {
			flows.breakFlow(record, at, "planned stop of its target")
		}
	}
}

// NetworkHealed forgives unanswered packets of a time in which the scenario
// itself cut the caller's path.
func (flows *Flows) ClearUnanswered() {
	for _, record := range flows.flows {
		record.unanswered = nil
	}
}

// CheckSilent reports flows whose packets vanish: live ones, and those that
// were lost with their target while nobody told their caller. Call it only
// while the scenario does not cut the callers' path.
func (flows *Flows) CheckSilent(at time.Duration) {
	for _, record := range flows.sorted() {
		if record.silent() && flows.dead[record.owner] {
			record.broken = true
			flows.report.Add(InvariantFlowKept, at, "flow %d was lost with %s and its caller was not told", record.id, record.owner)
		}
		flows.checkSilent(record, at)
	}
}

func (flows *Flows) checkSilent(record *flowRecord, at time.Duration) {
	if record.silent() {
		flows.breakSilent(record, at)
	}
}

func (flows *Flows) breakSilent(record *flowRecord, at time.Duration) {
	flows.breakFlow(record, at, fmt.Sprintf("%d packets without answer", len(record.unanswered)))
}

// lost returns how many packets in a row can get no answer any more.
func (record *flowRecord) lost(at time.Duration) int {
	lost := 0
	for _, sentAt := range record.unanswered {
		if at-sentAt >= maxRoundTrip {
			lost++
		}
	}
	return lost
}

// silent tells whether the packets of a flow that is still open vanish.
func (record *flowRecord) silent() bool {
	return record.live() && len(record.unanswered) > maxUnanswered
}

// live tells whether a target has the flow, and nothing ended it.
func (record *flowRecord) live() bool { return record.owned && !record.closed && !record.broken }

func (flows *Flows) breakFlow(record *flowRecord, at time.Duration, cause string) {
	if record.broken || record.closed {
		return
	}
	record.broken = true
	if !record.owned {
		return
	}
	if flows.dead[record.owner] {
		flows.excused++
		return
	}
	flows.report.Add(InvariantFlowKept, at, "flow %d of service %d at %s: %s", record.id, record.service, record.owner, cause)
}

func (flows *Flows) sorted() []*flowRecord {
	records := make([]*flowRecord, 0, len(flows.flows))
	for _, record := range flows.flows {
		records = append(records, record)
	}
	slices.SortFunc(records, func(left, right *flowRecord) int { return cmp.Compare(left.id, right.id) })
	return records
}

// Opened returns the number of flows that a target took.
func (flows *Flows) Opened() int { return flows.opened }

// Excused returns the number of flows that ended with their own target.
func (flows *Flows) Excused() int { return flows.excused }

// Owner returns where a flow lives.
func (flows *Flows) Owner(id FlowID) (TargetIncarnation, bool) {
	record, known := flows.flows[id]
	if !known || !record.owned {
		return TargetIncarnation{}, false
	}
	return record.owner, true
}

package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// FlowID identifies a flow within a run.
type FlowID uint64

// TargetIncarnation is one incarnation of a target. A restart begins a new incarnation, which does
// not know the flows of the previous one.
type TargetIncarnation struct {
	Target      uint32
	Incarnation uint64
}

// String returns the target and its incarnation.
func (target TargetIncarnation) String() string {
	return fmt.Sprintf("target %d/%d", target.Target, target.Incarnation)
}

// Delivery is one packet that was delivered to a target.
type Delivery struct {
	Flow FlowID
	// Intended is the service that the caller addressed when it sent.
	Intended uint32
	// Delivered is the service of the target that got the packet.
	Delivered uint32
	// Opening reports whether the packet may open a flow.
	Opening bool
	Target  TargetIncarnation
	At      time.Duration
}

// maxUnanswered is the number of consecutive packets of an open flow that may stay unanswered on a
// network without cuts before the flow counts as broken.
const maxUnanswered = 4

// maxRoundTrip is how long a packet and its answer may take on a network without cuts. An
// unanswered packet that was sent more recently counts as in flight, not as lost.
const maxRoundTrip = 100 * time.Millisecond

type flowRecord struct {
	id      FlowID
	service uint32
	owner   TargetIncarnation
	owned   bool
	// unanswered has the send times of the packets since the last answer.
	unanswered []time.Duration
	closed     bool
	broken     bool
}

// Flows checks that flows stay with their target and are not broken.
type Flows struct {
	report        *Report
	flows         map[FlowID]*flowRecord
	failedTargets map[TargetIncarnation]bool
	// expectAnswers makes every interruption of an open flow a violation; see ExpectAnswers.
	expectAnswers bool
	// excused counts the flows that broke because their own target failed.
	excused int
	opened  int
}

// NewFlows returns a checker that adds its violations to report.
func NewFlows(report *Report) *Flows {
	return &Flows{report: report, flows: make(map[FlowID]*flowRecord), failedTargets: make(map[TargetIncarnation]bool)}
}

func (flows *Flows) record(id FlowID) *flowRecord {
	record, known := flows.flows[id]
	if !known {
		record = &flowRecord{id: id}
		flows.flows[id] = record
	}
	return record
}

// ExpectAnswers makes every interruption of an open flow a violation, even one that ends later.
// It is for scenarios with planned changes only: a long-lived flow that gets no answers for a while
// is broken from the caller's point of view.
func (flows *Flows) ExpectAnswers() { flows.expectAnswers = true }

// Sent records that the caller sent a packet on a flow.
func (flows *Flows) Sent(id FlowID, service uint32, at time.Duration) {
	record := flows.record(id)
	record.service = service
	if flows.expectAnswers && record.open() && record.lost(at) > maxUnanswered {
		flows.breakInterrupted(record, at)
	}
	record.unanswered = append(record.unanswered, at)
}

// Delivered records that a packet was delivered to a target.
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
	// A delayed copy of an opening packet may open a flow again after its caller closed it. That
	// flow is not checked any more.
	if record.owner == delivery.Target || record.closed || flows.failedTargets[delivery.Target] {
		return
	}
	if flows.failedTargets[record.owner] {
		// The owner failed and the flow was opened again at another target, which now owns it.
		flows.setOwner(record, delivery)
		return
	}
	flows.report.Add(InvariantOneOwner, delivery.At, "flow %d of %s delivered to %s",
		delivery.Flow, record.owner, delivery.Target)
}

// setOwner records the target that owns a flow. A target knows only flows that were opened at it,
// so the packet that makes it the owner must be an opening packet.
func (flows *Flows) setOwner(record *flowRecord, delivery Delivery) {
	record.owner = delivery.Target
	if !delivery.Opening {
		flows.report.Add(InvariantOneOwner, delivery.At, "flow %d delivered to %s, where it was not opened", delivery.Flow, delivery.Target)
	}
}

// Answered records that the caller received an answer on the flow.
func (flows *Flows) Answered(id FlowID) { flows.record(id).unanswered = nil }

// Reset records that the caller received a reset of its flow.
func (flows *Flows) Reset(id FlowID, at time.Duration) {
	flows.breakFlow(flows.record(id), at, "reset")
}

// Closed records that the caller closed the flow.
func (flows *Flows) Closed(id FlowID) { flows.record(id).closed = true }

// TargetFailed records the unplanned end of an incarnation of a target. Its flows may break.
func (flows *Flows) TargetFailed(target TargetIncarnation) { flows.failedTargets[target] = true }

// TargetStopped records the planned end of an incarnation of a target, which must own no open flow.
func (flows *Flows) TargetStopped(target TargetIncarnation, at time.Duration) {
	for _, record := range flows.sorted() {
		if record.owned && record.owner == target && !record.closed && !record.broken {
			flows.breakFlow(record, at, "planned stop of its target")
		}
	}
}

// ClearUnanswered discards the unanswered packets of all flows. It is called after the scenario
// itself cut the callers' paths.
func (flows *Flows) ClearUnanswered() {
	for _, record := range flows.flows {
		record.unanswered = nil
	}
}

// CheckInterrupted reports a violation for each open flow with more than maxUnanswered consecutive
// unanswered packets, including flows whose target failed without their caller receiving a reset.
// Call it only while the scenario does not cut the callers' paths.
func (flows *Flows) CheckInterrupted(at time.Duration) {
	for _, record := range flows.sorted() {
		if record.interrupted() && flows.failedTargets[record.owner] {
			record.broken = true
			flows.report.Add(InvariantFlowKept, at, "flow %d was lost with %s and its caller was not told", record.id, record.owner)
		}
		flows.checkInterrupted(record, at)
	}
}

func (flows *Flows) checkInterrupted(record *flowRecord, at time.Duration) {
	if record.interrupted() {
		flows.breakInterrupted(record, at)
	}
}

func (flows *Flows) breakInterrupted(record *flowRecord, at time.Duration) {
	flows.breakFlow(record, at, fmt.Sprintf("%d packets without answer", len(record.unanswered)))
}

// lost returns how many of the unanswered packets were sent at least maxRoundTrip before at.
func (record *flowRecord) lost(at time.Duration) int {
	lost := 0
	for _, sentAt := range record.unanswered {
		if at-sentAt >= maxRoundTrip {
			lost++
		}
	}
	return lost
}

// interrupted reports whether an open flow has more than maxUnanswered consecutive unanswered
// packets.
func (record *flowRecord) interrupted() bool {
	return record.open() && len(record.unanswered) > maxUnanswered
}

// open reports whether a target owns the flow and it is neither closed nor broken.
func (record *flowRecord) open() bool { return record.owned && !record.closed && !record.broken }

// breakFlow marks a flow that is not closed as broken, once. It reports a violation unless no target
// owns the flow or its owner failed.
func (flows *Flows) breakFlow(record *flowRecord, at time.Duration, cause string) {
	if record.broken || record.closed {
		return
	}
	record.broken = true
	if !record.owned {
		return
	}
	if flows.failedTargets[record.owner] {
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

// Opened returns the number of flows that were delivered to a target.
func (flows *Flows) Opened() int { return flows.opened }

// Excused returns the number of flows that broke because their own target failed.
func (flows *Flows) Excused() int { return flows.excused }

// Owner returns the target that owns a flow, and false if no target does.
func (flows *Flows) Owner(id FlowID) (TargetIncarnation, bool) {
	record, known := flows.flows[id]
	if !known || !record.owned {
		return TargetIncarnation{}, false
	}
	return record.owner, true
}

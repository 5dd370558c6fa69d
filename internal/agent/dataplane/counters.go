package dataplane

import (
	"sync/atomic"

	"merlinpaddle/internal/steering"
)

// DropReason is why a packet was dropped.
type DropReason uint8

// The reasons.
const (
	// DropUnexpectedKind is a packet of a kind that agents do not handle, such as a hint.
	DropUnexpectedKind DropReason = iota
	// DropNoReceiver is a packet that arrived before SetReceiver was called.
	DropNoReceiver
	// DropForeign is a packet of another service, address or protocol than the target's, or one
	// whose chain leads to a target of another service.
	DropForeign
	// DropNoTarget is an opening packet of a flow that no target may open: all targets drain, are
	// full, or are at their limit of new flows.
	DropNoTarget
	// DropTooManyPasses is a packet that was forwarded steering.MaximumPasses times.
	DropTooManyPasses
	// DropUnknownTarget is a packet whose next target is not in this agent's configuration yet.
	DropUnknownTarget
	// DropSendFailed is a packet that could not be sent to the next target.
	DropSendFailed
	// DropOther is a packet that was dropped for any other reason, such as steering.ReasonPaused.
	DropOther
	// dropReasonCount is the number of reasons.
	dropReasonCount
)

// dropReasonNames are the names of the reasons in metrics.
var dropReasonNames = [dropReasonCount]string{
	"unexpected_kind", "no_receiver", "foreign", "no_target", "passes", "unknown_target", "send_failed", "other",
}

// String returns the name of the reason in metrics.
func (reason DropReason) String() string { return dropReasonNames[reason] }

// dropReasonOf returns the drop reason for the reason of a steering decision.
func dropReasonOf(reason steering.Reason) DropReason {
	switch reason {
	case steering.ReasonForeign:
		return DropForeign
	case steering.ReasonNoTarget:
		return DropNoTarget
	case steering.ReasonTooManyPasses:
		return DropTooManyPasses
	default:
		return DropOther
	}
}

// Counters count packets by outcome. Dropped is the sum over all reasons. Rejected counts received
// datagrams that could not be decoded, and Hinted the hints that were sent to balancers. Opened
// counts packets that opened a flow; these are counted under Delivered too.
type Counters struct {
	Delivered, Forwarded, Reset, Dropped, Hinted, Rejected, Opened atomic.Uint64

	dropsByReason [dropReasonCount]atomic.Uint64
}

// countDrop counts a dropped packet.
func (counters *Counters) countDrop(reason DropReason) {
	counters.Dropped.Add(1)
	counters.dropsByReason[reason].Add(1)
}

// DroppedFor returns how many packets were dropped for one reason.
func (counters *Counters) DroppedFor(reason DropReason) uint64 {
	return counters.dropsByReason[reason].Load()
}

// EachDrop calls visit for each reason with the number of packets that were dropped for it.
func (counters *Counters) EachDrop(visit func(reason DropReason, count uint64)) {
	for reason := range dropReasonCount {
		visit(reason, counters.DroppedFor(reason))
	}
}

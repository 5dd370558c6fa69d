package dataplane

import (
	"sync/atomic"

	"merlinpaddle/internal/steering"
)

// DropReason tells why a packet was dropped.
type DropReason uint8

// The reasons.
const (
	// DropUnexpectedKind is a packet that no agent takes, such as a hint.
	DropUnexpectedKind DropReason = iota
	// DropNoReceiver is a packet that came before the target served.
	DropNoReceiver
	// DropForeign is a packet of another service, address or protocol than the
	// target's, or whose chain leads to a target of another service.
	DropForeign
	// DropNoTarget is an opening packet that no target may take: all drain, are
	// full, or are at their limit of new flows.
	DropNoTarget
	// DropTooManyPasses is a packet that was passed on steering.MaximumPasses times.
	DropTooManyPasses
	// DropUnknownTarget is a packet whose next target this agent does not know
	// yet.
	DropUnknownTarget
	// DropSendFailed is a packet that the socket refused to pass on.
	DropSendFailed
	// DropOther is a packet that was dropped for no stated reason.
	DropOther
	dropReasonCount
)

var dropReasonNames = [dropReasonCount]string{
	"unexpected_kind", "no_receiver", "foreign", "no_target", "passes", "unknown_target", "send_failed", "other",
}

// String returns the name of the reason in metrics.
func (reason DropReason) String() string { return dropReasonNames[reason] }

// dropReasonOf returns the reason of a decision to drop.
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

// Counters count what became of packets. Dropped is the sum over all reasons.
type Counters struct {
	Delivered, Forwarded, Reset, Dropped, Hinted, Rejected, Opened atomic.Uint64

	dropsByReason [dropReasonCount]atomic.Uint64
}

func (counters *Counters) drop(reason DropReason) {
	counters.Dropped.Add(1)
	counters.dropsByReason[reason].Add(1)
}

// DroppedFor returns how many packets were dropped for one reason.
func (counters *Counters) DroppedFor(reason DropReason) uint64 {
	return counters.dropsByReason[reason].Load()
}

// EachDrop calls visit for every reason with its count.
func (counters *Counters) EachDrop(visit func(reason DropReason, count uint64)) {
	for reason := range dropReasonCount {
		visit(reason, counters.DroppedFor(reason))
	}
}

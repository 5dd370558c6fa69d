package steering

import "merlinpaddle/internal/model"

// Action is what an agent does with a packet.
type Action uint8

// The actions.
const (
	// ActionDeliver delivers the packet to this target, which owns the flow.
	ActionDeliver Action = iota + 1
	// ActionForward sends the packet to the target Next.
	ActionForward
	// ActionReset answers a packet of a flow that no target owns with a reset, so that the caller
	// need not wait for a timeout.
	ActionReset
	// ActionDrop discards the packet.
	ActionDrop
)

// Reason is why a packet was reset or dropped, for counters.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonForeign is a packet of another service, address or protocol.
	ReasonForeign
	// ReasonNoOwner is a packet of a flow that no target of the chain owns.
	ReasonNoOwner
	// ReasonNoTarget is an opening packet of a flow that no target may open.
	ReasonNoTarget
	// ReasonTooManyPasses is a packet that was forwarded MaximumPasses times.
	ReasonTooManyPasses
	// ReasonPaused is an opening packet at an agent whose process was paused and which has not
	// caught up yet with the changes made meanwhile.
	ReasonPaused
)

// Input has the fields of a packet that a decision depends on.
type Input struct {
	Flow     model.FiveTuple
	Service  model.ServiceID
	Revision model.Revision
	// Opening reports whether the packet may open a flow.
	Opening bool
	// Chain is the complete chain of the flow's bucket at Revision. A balancer that knows the owner
	// sends the complete chain too, and sets Position to the owner's index.
	Chain    []model.TargetID
	Position int
	// PasserLoad is the load score that a target wrote into an opening packet when it forwarded it:
	// in StageSearch that of the first target searched, in StageAssign and StageReturn that of the
	// sender. Zero means none.
	PasserLoad uint16
	// Stage is how far the decision about the packet has come; balancers send StageLookup.
	Stage model.Stage
	// Passes is the number of times that agents forwarded the packet.
	Passes uint8
}

// Decision is the outcome for one packet.
type Decision struct {
	Action Action
	// Reason is why the action is ActionReset or ActionDrop.
	Reason Reason
	// Next is the target to which ActionForward sends the packet, at Position in Chain. Chain replaces
	// the packet's chain and must not be modified.
	Next     model.TargetID
	Chain    []model.TargetID
	Position int
	// Revision, Stage, Passes and PasserLoad are written into the forwarded packet, like Chain and
	// Position.
	Revision   model.Revision
	Stage      model.Stage
	Passes     uint8
	PasserLoad uint16
	// Opened reports whether the packet opened a flow at this target.
	Opened bool
	// Hint reports whether to send the balancer a hint that this target owns the flow.
	Hint bool
}

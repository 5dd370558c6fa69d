package steering

import "merlinpaddle/internal/model"

// Action is what an agent does with a packet.
type Action uint8

// The actions.
const (
	// ActionDeliver gives the packet to this target; the flow is its own.
	ActionDeliver Action = iota + 1
	// ActionForward sends the packet to the target Next.
	ActionForward
	// ActionReset ends a flow that no target owns, with a prompt reset.
	ActionReset
	// ActionDrop discards the packet.
	ActionDrop
)

// Reason tells why a packet was reset or dropped, for counters.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonForeign is a packet of another service, address or protocol.
	ReasonForeign
	// ReasonNoOwner is a packet of a flow that no target of the chain owns.
	ReasonNoOwner
	// ReasonNoTarget is an opening packet that no target may take.
	ReasonNoTarget
	// ReasonTooManyPasses is a packet that was passed on too often.
	ReasonTooManyPasses
	// ReasonPaused is an opening packet that came to an agent which stood still
	// and does not know yet what changed meanwhile.
	ReasonPaused
)

// Input is what a decision needs of one packet.
type Input struct {
	Flow     model.FiveTuple
	Service  model.ServiceID
	Revision model.Revision
	Opening  bool
	// Chain is the whole chain of the flow's bucket at Revision; a balancer
	// that knows the owner sends the whole chain too, and sets Position to the
	// owner's place.
	Chain    []model.TargetID
	Position int
	// PasserLoad is the load score of the target that passed an opening packet
	// on; zero when nobody did.
	PasserLoad uint16
	// Stage tells how far the decision has come; balancers send StageLookup.
	Stage model.Stage
	// Passes counts how often an agent passed the packet on.
	Passes uint8
}

// Decision is the outcome for one packet.
type Decision struct {
	Action Action
	// Reason tells why the action is ActionReset or ActionDrop.
	Reason Reason
	// Next is the target to pass to, at Position in Chain. Chain replaces the
	// packet's chain; it must not be written.
	Next     model.TargetID
	Chain    []model.TargetID
	Position int
	// Revision, Stage, Passes and PasserLoad go into the packet that is passed
	// on, with Chain and Position.
	Revision   model.Revision
	Stage      model.Stage
	Passes     uint8
	PasserLoad uint16
	// Opened tells that the packet opened a flow at this target.
	Opened bool
	// Hint tells to send the balancer a hint that this target owns the flow.
	Hint bool
}

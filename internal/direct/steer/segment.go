// Package steer decides where each packet of a direct service goes: to the
// target that its flow token names, to a chosen target for an opening packet,
// back to the caller as a reset, or nowhere.
//
// Decisions need no state of flows. Every balancer with the same table makes
// the same choice for the same opening packet, and finds the owner of every
// open flow from the token that both ends copy into their packets.
package steer

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// Segment is what a decision needs of one packet of a caller.
type Segment struct {
	// Caller is the caller's end of the flow.
	Caller netip.AddrPort
	// Service is the address and port that the caller addressed.
	Service netip.AddrPort
	// Token is the flow token that the packet carries.
	Token directory.Token
	// Opening tells that the packet asks for a new flow.
	Opening bool
	// Attempt counts the copies of an opening packet, from zero.
	Attempt int
	// Tried has the tokens of the targets that the former copies of an opening
	// packet were sent on to, the latest first, as far as this balancer knows;
	// else zero.
	Tried [TrackedAttempts]directory.Token
	// Seen tells that this balancer sent a former copy of an opening packet on, so
	// that the flow may have opened meanwhile.
	AlreadyForwarded bool
	// Abort tells that the packet itself ends its flow at once; it is never
	// answered.
	Abort bool
	// Closing tells that the caller ends the flow after this packet.
	Closing bool
	// Acknowledgement is the number of the next byte that the caller awaits.
	Acknowledgement uint32
	// Sequence is the number of the first byte of data, HasData tells whether
	// there is any, and Length how many bytes. A sender repeats data under the
	// same number.
	Sequence uint32
	HasData  bool
	Length   uint32
}

// Acknowledges tells whether the packet does nothing but acknowledge.
func (segment Segment) IsPureAck() bool {
	return !segment.Opening && !segment.Abort && !segment.Closing && !segment.HasData
}

// TriesKnown is the number of former copies of an opening packet whose targets
// matter: callers send three copies at the most.
const TrackedAttempts = 2

// Action is what a balancer does with a packet.
type Action uint8

// The actions.
const (
	// Drop does nothing; the caller sends the packet again.
	Drop Action = iota
	// Forward sends the packet to Decision.Target with Decision.Token.
	Forward
	// Reset tells the caller that the flow is over.
	Reset
)

// Reason tells why a decision was made. The values are stable; they name
// metrics and log lines.
type Reason uint8

// The reasons.
const (
	// ReasonChosen: an opening packet got its target.
	ReasonChosen Reason = iota
	// ReasonOwner: the token names the flow's target.
	ReasonOwner
	// ReasonNoTable: this balancer has no table yet.
	ReasonNoTable
	// ReasonNoRoute: no route has the address, and the table is current.
	ReasonNoRoute
	// ReasonNoRouteStale: no route has the address, in a table that may be old.
	ReasonNoRouteStale
	// ReasonNoTarget: no target of the pool takes new flows.
	ReasonNoTarget
	// ReasonUnknownToken: the table does not have the token.
	ReasonUnknownToken
	// ReasonTargetFailed: the flow's target was found dead.
	ReasonTargetFailed
	// ReasonMissingToken: a packet of an open flow carries no token.
	ReasonMissingToken
	// ReasonOverloaded: the targets have more to do than the route's objective
	// allows.
	ReasonOverloaded
	// ReasonLinkFull: the balancer's own link would carry the flow's request later
	// than the route's objective allows.
	ReasonLinkFull
	// ReasonEvacuated: all targets of the pool's part are in zones that operators
	// emptied.
	ReasonEvacuated
	// ReasonCold: all targets of the pool's part are cold and bear no more new flows
	// of this balancer.
	ReasonCold
	// ReasonNoHome: the pool's part has targets, but none in a region that may serve
	// the route.
	ReasonNoHome
	// ReasonRestarted: the flow's target started again at its address, and tells by itself
	// which flows it has.
	ReasonRestarted
	reasonCount
)

var reasonNames = [reasonCount]string{
	"chosen", "owner", "no_table", "no_route", "no_route_stale", "no_target",
	"unknown_token", "target_failed", "missing_token", "overloaded", "link_full",
	"evacuated", "cold", "no_home", "restarted",
}

// String returns the reason's stable name.
func (reason Reason) String() string {
	if reason >= reasonCount {
		return "unknown"
	}
	return reasonNames[reason]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	reasons := make([]Reason, 0, reasonCount)
	for reason := range reasonCount {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Place tells where a new flow's target lies. The values are stable; they name metrics.
type Locality uint8

// The places.
const (
	// PlaceElsewhere: in another zone than the balancer, by hash.
	LocalityRemoteZone Locality = iota
	// PlaceNear: in the balancer's zone.
	LocalityLocalZone
	// PlaceSpilled: in another zone, because near targets had no room.
	LocalitySpillover
	localityCount
)

var localityNames = [localityCount]string{"elsewhere", "near", "spilled"}

// String returns the place's stable name.
func (place Locality) String() string {
	if place >= localityCount {
		return "unknown"
	}
	return localityNames[place]
}

// Places returns all places.
func Localities() []Locality {
	return []Locality{LocalityRemoteZone, LocalityLocalZone, LocalitySpillover}
}

func localityOf(target *targetRecord) Locality {
	if target.inLocalZone {
		return LocalityLocalZone
	}
	return LocalityRemoteZone
}

// Decision is the outcome for one packet.
type Decision struct {
	Action Action
	Reason Reason
	// The fields below are set with Forward.
	Token  directory.Token
	ID     directory.TargetID
	Target netip.AddrPort
	// Service is the target's service.
	Service string
	// Capacity is the number of requests that the target works on at once.
	Capacity int
	// Suspect is the token of the target that did not answer the former copy
	// of this opening packet, or zero.
	Suspect directory.Token
	// Open is the number of requests that were open at the chosen target, as far
	// as was known, and Expected how long a further one would take there; set
	// with ReasonChosen and ReasonOverloaded. ID is set with both.
	Open     int
	Expected time.Duration
	// Evidence is what Open rests on; set with ReasonOverloaded.
	Evidence Evidence
	// Objective is the objective of the flow's route, zero for none; set with
	// ReasonChosen.
	Objective time.Duration
	// Place tells where the target lies; set with ReasonChosen.
	Locality Locality
	// EvacuatedSince is the revision of the latest order that emptied a zone of the
	// service; set with ReasonEvacuated.
	EvacuatedSince model.Revision
	// Revision, Version and ConfirmedAgo tell the table that decided: its
	// revision, its declared version, and how long ago a member confirmed it.
	// They are not set for packets that reach their owner.
	Revision     model.Revision
	Version      uint64
	ConfirmedAgo time.Duration
}

// RefuseForLink returns the decision with which a flow that was given a target is
// refused because the balancer's link has no room for it. expected is how long its
// request would take to be carried.
func (decision Decision) RefuseForLink(expected time.Duration) Decision {
	return Decision{
		Action: Reset, Reason: ReasonLinkFull, Expected: expected,
		Revision: decision.Revision, Version: decision.Version, ConfirmedAgo: decision.ConfirmedAgo,
	}
}

// NeverConfirmed is the age of a table that no quorum confirmed yet.
const NeverConfirmed time.Duration = -1

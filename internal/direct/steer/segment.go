// Package steer decides what a balancer does with each packet of a direct service: forward it to
// the target that its flow token identifies, forward an opening packet to a newly chosen target,
// answer the caller with a reset, or drop it.
//
// Decisions need no per-flow state. Balancers of one zone with the same table and the same load
// estimates make the same choice for the same opening packet, and every balancer finds the target
// of an open flow from the token that both endpoints copy into their packets.
package steer

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// Segment is what a decision needs to know of one packet of a caller.
type Segment struct {
	// Caller is the caller's endpoint of the flow.
	Caller netip.AddrPort
	// Service is the address and port that the caller sent the packet to. It identifies the
	// route.
	Service netip.AddrPort
	// Token is the flow token that the packet carries; zero for none.
	Token directory.Token
	// Opening reports whether the packet asks for a new flow.
	Opening bool
	// Attempt is zero for an original opening packet and counts its retransmissions from 1.
	Attempt int
	// Tried has the tokens of the targets that earlier attempts of an opening packet were
	// forwarded to, the latest first, as far as this balancer knows; else zero.
	Tried [TrackedAttempts]directory.Token
	// AlreadyForwarded reports whether this balancer forwarded an earlier attempt of an
	// opening packet, so that the flow may have opened meanwhile.
	AlreadyForwarded bool
	// WaitingSince is when a packet arrived that waits at this balancer and is now decided about
	// again; zero for a packet that has just arrived.
	WaitingSince time.Time
	// Abort reports whether the packet itself ends its flow at once. Such a packet is never
	// answered.
	Abort bool
	// Closing reports whether the caller ends the flow after this packet.
	Closing bool
	// Acknowledgement is the sequence number of the next byte that the caller expects.
	Acknowledgement uint32
	// Sequence is the sequence number of the first byte of data, HasData reports whether
	// there is data, and Length is its number of bytes. Retransmitted data has the same
	// sequence number.
	Sequence uint32
	HasData  bool
	Length   uint32
}

// IsPureAck reports whether the packet does nothing but acknowledge data.
func (segment Segment) IsPureAck() bool {
	return !segment.Opening && !segment.Abort && !segment.Closing && !segment.HasData
}

// TrackedAttempts is the number of earlier attempts of an opening packet whose targets are
// tracked. Callers send an opening packet at most three times.
const TrackedAttempts = 2

// Action is what a balancer does with a packet.
type Action uint8

// The actions.
const (
	// Drop discards the packet; the caller retransmits it.
	Drop Action = iota
	// Forward sends the packet to Decision.Target with Decision.Token.
	Forward
	// Reset answers the caller with a reset, which ends the flow.
	Reset
)

// Reason is why a decision was made. The names are stable; they appear in metrics and logs.
type Reason uint8

// The reasons.
const (
	// ReasonChosen: a target was chosen for an opening packet.
	ReasonChosen Reason = iota
	// ReasonOwner: the token identifies the target of an open flow.
	ReasonOwner
	// ReasonNoTable: this balancer has no table yet.
	ReasonNoTable
	// ReasonNoRoute: no route has the address, and the table is current.
	ReasonNoRoute
	// ReasonNoRouteStale: no route has the address, but the table may be stale.
	ReasonNoRouteStale
	// ReasonNoTarget: no target of the pool takes new flows.
	ReasonNoTarget
	// ReasonUnknownToken: the table does not have the token.
	ReasonUnknownToken
	// ReasonTargetFailed: the flow's target has failed.
	ReasonTargetFailed
	// ReasonMissingToken: a packet of an open flow carries no token.
	ReasonMissingToken
	// ReasonOverloaded: the targets are too busy to meet the route's objective.
	ReasonOverloaded
	// ReasonLinkFull: the balancer's own link is too busy to carry the flow's request in time
	// for the route's objective.
	ReasonLinkFull
	// ReasonEvacuated: all targets of the chosen part of the pool are in evacuated zones.
	ReasonEvacuated
	// ReasonCold: all targets of the chosen part of the pool are cold and can handle no more
	// new flows from this balancer.
	ReasonCold
	// ReasonNoHome: the chosen part of the pool has targets, but none in a region that may
	// serve the route.
	ReasonNoHome
	// ReasonRestarted: the flow's target restarted at the same address. The target itself
	// resets flows that it no longer has.
	ReasonRestarted
	// ReasonRouteRemoved: the route of an open flow was removed, but the table was not confirmed
	// as current since the packet arrived, so that the route may have been declared again.
	ReasonRouteRemoved
	reasonCount
)

var reasonNames = [reasonCount]string{
	"chosen", "owner", "no_table", "no_route", "no_route_stale", "no_target",
	"unknown_token", "target_failed", "missing_token", "overloaded", "link_full",
	"evacuated", "cold", "no_home", "restarted", "route_removed",
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

// Locality is where the target of a new flow is, relative to the balancer's zone. The names are
// stable; they appear in metrics and logs.
type Locality uint8

// The localities.
const (
	// LocalityRemoteZone: in another zone than the balancer, chosen by hash.
	LocalityRemoteZone Locality = iota
	// LocalityLocalZone: in the balancer's zone.
	LocalityLocalZone
	// LocalitySpillover: in another zone, because targets of the local zone had no room.
	LocalitySpillover
	localityCount
)

var localityNames = [localityCount]string{"elsewhere", "near", "spilled"}

// String returns the locality's stable name.
func (locality Locality) String() string {
	if locality >= localityCount {
		return "unknown"
	}
	return localityNames[locality]
}

// Localities returns all localities.
func Localities() []Locality {
	return []Locality{LocalityRemoteZone, LocalityLocalZone, LocalitySpillover}
}

func localityOf(target *targetRecord) Locality {
	if target.inLocalZone {
		return LocalityLocalZone
	}
	return LocalityRemoteZone
}

// Decision is what a balancer does with one packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	// Token, ID, Target, Service and Capacity describe the target that the packet is
	// forwarded to; set with Forward.
	Token directory.Token
	// ID is also set with ReasonOverloaded, to the target that the flow was not admitted to.
	ID     directory.TargetID
	Target netip.AddrPort
	// Service is the name of the target's service.
	Service string
	// Capacity is the number of requests that the target works on at once.
	Capacity int
	// Suspect is the token of the target that did not answer the previous attempt of this
	// opening packet, or zero; set with ReasonChosen.
	Suspect directory.Token
	// Open is the known number of open requests at the target with ID, and Expected is how
	// long a further one would take there; set with ReasonChosen and ReasonOverloaded.
	// With ReasonLinkFull, Expected is how long the link would take to carry the request.
	Open     int
	Expected time.Duration
	// Evidence is what Open is based on; set with ReasonOverloaded.
	Evidence Evidence
	// Objective is the latency objective of the flow's route, zero for none; set with
	// ReasonChosen.
	Objective time.Duration
	// Locality is where the target is; set with ReasonChosen.
	Locality Locality
	// EvacuatedSince is the revision of the latest evacuation of a zone in which the service
	// has targets; set with ReasonEvacuated.
	EvacuatedSince model.Revision
	// Revision, Version and ConfirmedAgo describe the table that the decision is based on:
	// its revision, the version of its declared configuration, and how long ago a member
	// confirmed it, NeverConfirmed if none did. They are not set with ReasonOwner.
	Revision     model.Revision
	Version      uint64
	ConfirmedAgo time.Duration
}

// RefuseForLink returns the decision that refuses a flow for which decision chose a target,
// because the balancer's link has no room for it. expected is how long the link would take to
// carry the flow's request.
func (decision Decision) RefuseForLink(expected time.Duration) Decision {
	return Decision{
		Action: Reset, Reason: ReasonLinkFull, Expected: expected,
		Revision: decision.Revision, Version: decision.Version, ConfirmedAgo: decision.ConfirmedAgo,
	}
}

// NeverConfirmed is the value of Decision.ConfirmedAgo when no quorum has confirmed the table
// yet.
const NeverConfirmed time.Duration = -1

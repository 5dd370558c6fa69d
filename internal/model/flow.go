package model

import "net/netip"

// FiveTuple identifies a flow by the protocol and the addresses of the packets that the caller sends.
type FiveTuple struct {
	Protocol    Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// Stage is the step that the decision about a packet has reached on its way along a chain of targets.
type Stage uint8

// The stages of a packet.
const (
	// StageLookup looks for the target that owns the flow. The chain is in the order head, alternate,
	// earlier targets. Balancers send this stage.
	StageLookup Stage = iota
	// StageSearch sends an opening packet through every other target that may own its flow. The last
	// target of the chain is the head, which then decides.
	StageSearch
	// StageAssign sends an opening packet to the target that the head chose.
	StageAssign
	// StageReturn sends an opening packet back to the head because the chosen target refused it.
	StageReturn
)

// TargetLoad is the load of a target as its own agent reports it.
type TargetLoad struct {
	Target TargetID
	// Incarnation is the incarnation of the reporting agent process.
	Incarnation Incarnation
	// Flows is the number of open flows.
	Flows uint32
	// Running is the number of requests that hold a slot.
	Running uint32
	// Waiting is the number of queued requests.
	Waiting uint32
	// Feeds is the number of open feeds.
	Feeds uint32
	// Slots is the number of slots that are usable now.
	Slots uint32
	// Cold reports whether the target is in slow start.
	Cold bool
	// Healthy reports whether new work should be sent to the back end. The agent decides it by the
	// results of its own requests first, and by the back end's health reports.
	Healthy bool
}

// BucketEmpty is an agent's report that its target has neither flows nor assignments of a bucket.
type BucketEmpty struct {
	Service ServiceID
	Target  TargetID
	Bucket  BucketIndex
	// At is the configuration revision that the agent had applied when it made the report.
	At Revision
}

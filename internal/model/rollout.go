package model

import "time"

// NodeStatus is the status of one balancer or agent as control knows it.
type NodeStatus struct {
	Name        NodeName
	Role        Role
	Zone        ZoneName
	Incarnation Incarnation
	// Applied is the revision that the node runs.
	Applied Revision
	// Digest is the digest of the configuration that the node runs.
	Digest uint64
	// Leased reports whether the node may hold a lease, which a node gets from a relay that a quorum
	// recently confirmed. Control counts a lease as held until it has certainly expired.
	Leased bool
	// LastSeen is when its latest heartbeat arrived, by control's clock.
	LastSeen time.Time
	// Load is the latest load of the node's target, or nil. Only agents report it.
	Load *TargetLoad
}

// RolloutStatus is the progress of the rollout of the configuration.
type RolloutStatus struct {
	// Committed is the latest revision of the configuration.
	Committed Revision
	// InForce is the highest revision such that every leased balancer runs it or a later one, or zero
	// while that is not known.
	InForce Revision
	// Nodes has all known nodes, in order of name.
	Nodes []NodeStatus
}

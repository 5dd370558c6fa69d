package protocol

import (
	"time"

	"merlinpaddle/internal/model"
)

// Subscribe asks the receiver, control or a relay, for the configuration changes that follow the
// sender's revision. Senders repeat it until updates arrive.
type Subscribe struct {
	Role        model.Role
	Zone        model.ZoneName
	Incarnation model.Incarnation
	// Have is the revision that the sender has applied.
	Have model.Revision
	// Digest is the digest of that configuration. If it differs from the receiver's digest of the
	// same revision, the receiver answers with a snapshot.
	Digest uint64
	// Types is the checksum of the type descriptions (PackedUpdate) that the sender has, or zero.
	Types uint64
}

// Update carries a configuration snapshot or deltas, and the time as of which they are confirmed to
// be current.
type Update struct {
	// Snapshot, when set, replaces the configuration.
	Snapshot *model.Configuration
	// Deltas are the changes that follow the snapshot or the receiver's configuration, in order.
	Deltas []model.Delta
	// Committed is the latest committed revision that the sender knows.
	Committed model.Revision
	// ConfirmedAt is the time, by the control group's clock, at which a quorum last confirmed
	// Committed. A relay forwards it unchanged, so a relay that is cut off from control does not
	// appear to be current.
	ConfirmedAt time.Time
}

// Heartbeat is sent periodically by a node to its relay.
type Heartbeat struct {
	Role        model.Role
	Zone        model.ZoneName
	Incarnation model.Incarnation
	Applied     model.Revision
	Digest      uint64
	// Received is the revision that the node has received. It is higher than Applied only in a
	// started process that waits for confirmation that its relay is current.
	Received model.Revision
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	// Load is set by agents.
	Load *model.TargetLoad
	// Empty lists buckets that the agent reports as empty.
	Empty []model.BucketEmpty
	// Leaving means that the process performs a planned stop.
	Leaving bool
}

// HeartbeatAck acknowledges a heartbeat and extends the node's lease.
type HeartbeatAck struct {
	Sequence uint64
	// LeaseFor is the length of the lease. The node counts it from when it sent the heartbeat. Zero
	// does not extend the lease.
	LeaseFor time.Duration
	// CurrentFor is the time for which the control leader still confirms the relay as current,
	// counted like LeaseFor. A relay that is cut off from control sends zero, and a restarted node
	// installs no configuration from it.
	CurrentFor time.Duration
	// Committed is the revision that was committed when the control leader confirmed the relay. A
	// node without a configuration starts with this revision or a higher one.
	Committed model.Revision
}

// NodeReport is the part of a relay's report about one node. The receiver assumes its statements to
// hold until a later report names the node again.
type NodeReport struct {
	Node model.NodeName
	// Heartbeat is the latest heartbeat of the node.
	Heartbeat Heartbeat
	// Age is the time since the relay received the heartbeat. If it is longer than the report's
	// FreshWithin, the node is stale.
	Age time.Duration
	// LeaseExpired means that the node has no valid lease from the relay, and that the relay grants
	// it none until a later report says otherwise.
	LeaseExpired bool
	// Behind means that the node runs a lower revision than the floor of its role, or that its
	// configuration has another digest than the relay's.
	Behind bool
	// Gone means that the node left or moved to another relay, and that the relay removes it.
	Gone bool
}

// Report summarizes the heartbeats of a relay's nodes for control. It names the nodes that changed
// since the last acknowledged report. Applied revisions, loads and heartbeat times that change do
// not by themselves put a node into Nodes: for the nodes that are not named, they are reported by
// Floors, Loads and FreshWithin.
type Report struct {
	Zone     model.ZoneName
	Sequence uint64
	// Full means that the report names every node of the relay.
	Full  bool
	Nodes []NodeReport
	// Incarnation is the incarnation of the relay process.
	Incarnation model.Incarnation
	// Applied is the relay's configuration revision.
	Applied model.Revision
	// Digest is the digest of that configuration, or zero if the relay did not compute it.
	Digest uint64
	// FreshWithin bounds the age of the latest heartbeats of the relay's nodes, except of those that
	// were last reported as stale.
	FreshWithin time.Duration
	// Floors has one floor for each role of the relay's nodes.
	Floors []Floor
	// Loads has the changed loads of nodes that are not in Nodes.
	Loads []model.TargetLoad
}

// Floor is a revision that all nodes of one role at a relay have reached, except those that were
// last reported as behind or stale. It is never lowered within one incarnation of the relay. Each
// role has its own floor because only the balancers determine which revision is in force.
type Floor struct {
	Role     model.Role
	Revision model.Revision
	// Digest is the digest of that revision, or zero if the relay no longer has that revision.
	Digest uint64
}

// Unsubscribe notifies a relay that the node now uses another relay. The node may still hold a lease
// that the notified relay granted.
type Unsubscribe struct {
	Incarnation model.Incarnation
}

// ReportAck acknowledges a report.
type ReportAck struct {
	Sequence uint64
	// Leader is the current control leader.
	Leader model.NodeName
	// LeaseFor is how long the relay may grant leases. The relay counts it from when it sent the
	// report. Only the leader grants; zero grants nothing.
	LeaseFor time.Duration
	// Committed is the configuration revision that was committed when the leader granted.
	Committed model.Revision
	// WantFull asks for a full report, because the receiver did not receive the earlier ones.
	WantFull bool
}

// LoadDigest carries the loads of a service's targets. Control sends each relay the loads that other
// relays reported; a relay merges them with those of its own agents and sends them to its agents.
type LoadDigest struct {
	Service model.ServiceID
	Loads   []model.TargetLoad
}

func init() {
	RegisterAs("s", Subscribe{})
	RegisterAs("un", Unsubscribe{})
	RegisterAs("u", Update{})
	RegisterAs("h", Heartbeat{})
	RegisterAs("ha", HeartbeatAck{})
	RegisterAs("r", Report{})
	RegisterAs("ra", ReportAck{})
	RegisterAs("l", LoadDigest{})
}

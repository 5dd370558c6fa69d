// Package replica runs one member of the control group: it joins the pure
// consensus core, durable storage and the replicated state machine.
package replica

import (
	"context"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/wal"
)

// StateMachine is the replicated state. Apply is a pure function of the state
// and its arguments, so that all members that applied the same log agree.
type StateMachine interface {
	// Apply runs one committed command. index is its place in the log and at
	// is the log's own time, which never goes back. The result goes to the
	// proposer; the state keeps whatever a resent command needs.
	Apply(index model.Revision, at time.Time, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
	// Digest returns a checksum of the whole state.
	Digest() uint64
}

// MemberID names one life of one member's disk. A member that lost its disk
// returns under a new MemberID and never votes by its old one.
type MemberID = raft.MemberID

// Member is one member of the control group.
type Member = raft.Member

// Status is what a member knows of the group.
type Status struct {
	Self   MemberID
	Term   uint64
	Leader model.NodeName
	// Leading tells that this member is the leader and holds its lease.
	Leading   bool
	Committed model.Revision
	Applied   model.Revision
	// ConfirmedAt is when a quorum last confirmed this leader; on followers
	// it is the leader's latest such time that they were told.
	ConfirmedAt time.Time
	// Members is the committed membership.
	Members []Member
	// Log counts what this member wrote to its log since it started.
	Log wal.WriteStats
	// CurrentAt is the latest time at which the leader told this follower its
	// commit index and the follower reached that index afterwards; zero on the
	// leader and without one.
	CurrentAt time.Time
	// LeaderSince is when this member became leader; zero on others.
	LeaderSince time.Time
	// Peers is what a leader knows of every member; nil on others.
	Peers []raft.Peer
	// Candidates are empty disks that asked for a place lately.
	Candidates []Candidate
	// Refused tells that the group exists and has no place for this member's
	// empty disk: it waits until a learner with its name is added.
	Refused bool
}

// Candidate is a process with an empty disk that asks for a place.
type Candidate struct {
	Name model.NodeName
	// Zone is the candidate's failure zone; it may be empty.
	Zone model.ZoneName
	// Disk is the random number of the candidate's disk.
	Disk uint64
	// At is when it last asked.
	At time.Time
}

// Group is the control group as the administration API, the claim broker and
// the rollout publisher use it.
type Group interface {
	// Propose commits command and returns the state machine's result. An
	// error with code 3001 says that this member is not the leader and that
	// nothing was proposed; 3002 says that the outcome is unknown.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once this member's state has every change that was
	// committed before the call; it fails when leadership is not confirmed.
	ReadBarrier(ctx context.Context) error
	// Status returns the present status.
	Status() Status
	// AddLearner, Promote and RemoveMember change membership one at a time.
	AddLearner(ctx context.Context, name model.NodeName) (MemberID, error)
	// Promote makes a learner that has caught up a voter.
	Promote(ctx context.Context, id MemberID) error
	// RemoveMember takes a member out of the group.
	RemoveMember(ctx context.Context, id MemberID) error
	// TransferLeadership hands leadership over before a planned stop.
	TransferLeadership(ctx context.Context) error
}

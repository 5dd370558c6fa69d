// Package replica runs one member of the control group: it combines the
// consensus core (package raft), durable storage and the replicated state
// machine.
//
// A member's place in the group is the member ID that the group's configuration
// assigns to the member's disk. A member without a place takes no part in
// consensus.
package replica

import (
	"context"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/wal"
)

// StateMachine is the replicated state. Apply must be a deterministic function
// of the state and its arguments, so that all members that applied the same log
// have the same state.
type StateMachine interface {
	// Apply executes one committed command. index is its log index and at is the
	// log time, which never goes back. The result is returned to the proposer.
	// The state must keep what it needs to recognize a command that is sent
	// again.
	Apply(index model.Revision, at time.Time, command []byte) (result []byte)
	// Snapshot returns the encoded complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with a snapshot.
	Restore(snapshot []byte) error
	// Digest returns a checksum of the complete state.
	Digest() uint64
}

// MemberID identifies a member for as long as it keeps its disk. A member that
// lost its disk returns under a new MemberID and never votes under its old one.
type MemberID = raft.MemberID

// Member is one member of the control group.
type Member = raft.Member

// Status is a member's view of the group.
type Status struct {
	Self   MemberID
	Term   uint64
	Leader model.NodeName
	// Leading reports whether this member is the leader and a quorum confirmed it
	// less than an election timeout ago.
	Leading   bool
	Committed model.Revision
	Applied   model.Revision
	// ConfirmedAt is when a quorum last confirmed this leader; on followers it is
	// the latest such time received from a leader.
	ConfirmedAt time.Time
	// Members is the committed membership.
	Members []Member
	// Log counts this member's log writes since its log was opened.
	Log wal.WriteStats
	// CurrentAt is the receive time of the latest leader commit index that this
	// follower has reached, which bounds the staleness of its state; zero on the
	// leader and without a leader.
	CurrentAt time.Time
	// LeaderSince is when this member became leader; zero if it is not.
	LeaderSince time.Time
	// Peers is the leader's view of every member, itself included; nil if this
	// member is not the leader.
	Peers []raft.Peer
	// Candidates are the members with an empty disk that recently requested a place.
	Candidates []Candidate
	// Leaving are the members that recently told this leader that they are about to stop
	// as planned.
	Leaving []MemberID
	// Refused reports whether the group exists and has no place for this member's
	// empty disk. The member waits until a learner with its name is added.
	Refused bool
}

// Candidate is a process with an empty disk that requests a place in the group.
type Candidate struct {
	Name model.NodeName
	// Zone is the candidate's failure zone; it may be empty.
	Zone model.ZoneName
	// Disk is the random number of the candidate's disk.
	Disk uint64
	// At is when its latest request was received.
	At time.Time
}

// Group is the control group as the administration API, the claim broker and
// the rollout publisher use it.
type Group interface {
	// Propose commits command and returns the state machine's result. An error
	// with code faults.NotLeader (3001) means that this member is not the leader
	// and nothing was proposed; faults.ProposalOutcomeUnknown (3002) means that the
	// outcome is unknown.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once this member's state includes every change that was
	// committed before the call. It fails when this member is not the leader or
	// no quorum confirms its leadership.
	ReadBarrier(ctx context.Context) error
	// Status returns the current status.
	Status() Status
	// AddLearner adds a member without a vote and returns its ID. AddLearner,
	// Promote and RemoveMember change membership; only one change can be in
	// progress at a time.
	AddLearner(ctx context.Context, name model.NodeName) (MemberID, error)
	// Promote makes a learner that has caught up a voter.
	Promote(ctx context.Context, id MemberID) error
	// RemoveMember removes a member from the group.
	RemoveMember(ctx context.Context, id MemberID) error
	// TransferLeadership transfers leadership to another voter, as before a
	// planned stop.
	TransferLeadership(ctx context.Context) error
}

package raft

import (
	"slices"
	"time"
)

// Ready is the work that the core wants done, in this order: make Snapshot,
// HardState and Entries durable in one sync; send Messages; apply Committed;
// answer ReadStates; call Advance. No other method is called in between.
type Ready struct {
	// Snapshot, when set, replaces the log and the state machine's state.
	Snapshot *Snapshot
	// HardState is set when it changed.
	HardState *HardState
	// Entries replace everything from the first one's index on.
	Entries []Entry
	// Messages may leave only after the above is durable.
	Messages []Message
	// Committed entries are to be applied, in order.
	Committed []Entry
	// ReadStates may be answered once their index is applied.
	ReadStates []ReadState
}

// Empty tells whether there is nothing to do.
func (ready *Ready) Empty() bool {
	return ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 &&
		len(ready.Messages) == 0 && len(ready.Committed) == 0 && len(ready.ReadStates) == 0
}

// MustSync tells whether anything has to be made durable.
func (ready *Ready) MustSync() bool {
	return ready.Snapshot != nil || ready.HardState != nil || len(ready.Entries) > 0
}

// Ready returns the work that has piled up.
func (raft *Raft) Ready() Ready {
	raft.flush()
	ready := Ready{
		Snapshot:   raft.installed,
		Entries:    raft.unstableEntries(),
		Messages:   raft.messages,
		Committed:  raft.committedEntries(),
		ReadStates: raft.readStates,
	}
	state := raft.hardState()
	if state.Term != raft.savedState.Term || state.Vote != raft.savedState.Vote {
		ready.HardState = &state
	} else if len(ready.Entries) > 0 {
		ready.HardState = &state
	}
	raft.readyAppended = raft.log.lastIndex()
	raft.readyApplied = raft.log.committed
	raft.messages = nil
	raft.readStates = nil
	raft.installed = nil
	return ready
}

func (raft *Raft) unstableEntries() []Entry {
	return slices.Clone(raft.log.slice(raft.log.stable+1, raft.log.lastIndex()))
}

func (raft *Raft) committedEntries() []Entry {
	return slices.Clone(raft.log.slice(raft.log.applied+1, raft.log.committed))
}

// Advance tells the core that the work of ready is done.
func (raft *Raft) Advance(ready Ready) {
	if ready.HardState != nil {
		raft.savedState = *ready.HardState
	}
	raft.log.stable = raft.readyAppended
	raft.log.applied = max(raft.log.applied, raft.readyApplied)
	if raft.role != Leader {
		return
	}
	if self := raft.progress[raft.options.ID]; self != nil {
		self.acknowledge(raft.log.stable)
	}
	raft.advanceCommit()
}

// Status is what the core knows.
type Status struct {
	ID        MemberID
	Term      uint64
	Role      Role
	Leader    MemberID
	Committed uint64
	Applied   uint64
	LastIndex uint64
	// FirstIndex is the first entry that is still in memory.
	FirstIndex uint64
	// Confirmed tells that a quorum confirmed this leader less than an
	// election timeout before the time given to Status.
	Confirmed bool
	// ConfirmedAt is when the latest round that a quorum acknowledged began;
	// on followers it is what the leader told.
	ConfirmedAt time.Time
	// Configuration is the committed one. It must not be modified.
	Configuration Configuration
	// SnapshotIndex is the index of the latest snapshot.
	SnapshotIndex uint64
	// CurrentAt is the latest time at which the leader told this follower its
	// commit index and the follower reached that index afterwards; zero on the
	// leader itself and without one. It tells how old the follower's state can
	// be.
	CurrentAt time.Time
	// LeaderSince is when this member became leader; zero on others.
	LeaderSince time.Time
	// Peers is what the leader knows of every member; nil on others.
	Peers []Peer
}

// Peer is what the leader knows of one member of the configuration in force.
type Peer struct {
	Member
	// TrackedSince is when this leader began to send to the member.
	TrackedSince time.Time
	// LastReplyAt is when this leader last received a reply from the member; zero means never.
	LastReplyAt time.Time
	// CaughtUp tells that the member holds every committed entry.
	CaughtUp bool
}

// Status returns the state as of now.
func (raft *Raft) Status(now time.Time) Status {
	status := Status{
		ID:            raft.options.ID,
		Term:          raft.term,
		Role:          raft.role,
		Leader:        raft.leader,
		Committed:     raft.log.committed,
		Applied:       raft.log.applied,
		LastIndex:     raft.log.lastIndex(),
		FirstIndex:    raft.log.base + 1,
		ConfirmedAt:   raft.toldConfirmedAt,
		Configuration: raft.committedConfiguration(),
		SnapshotIndex: raft.snapshot.Index,
	}
	if raft.role != Leader && raft.leader != 0 {
		status.CurrentAt = raft.currentAt
	}
	if raft.role == Leader {
		status.LeaderSince = raft.leaderSince
		status.Peers = raft.peers()
		status.Confirmed = !raft.confirmedAt.IsZero() && now.Sub(raft.confirmedAt) < raft.options.ElectionTimeout
		if !raft.confirmedAt.IsZero() {
			status.ConfirmedAt = raft.confirmedAt
		}
	}
	return status
}

func (raft *Raft) peers() []Peer {
	members := raft.configuration().Members
	peers := make([]Peer, 0, len(members))
	for _, member := range members {
		peer := Peer{Member: member, CaughtUp: raft.caughtUp(member.ID)}
		if progress := raft.progress[member.ID]; progress != nil {
			peer.TrackedSince = progress.addedAt
			peer.LastReplyAt = progress.heardAt
		}
		if member.ID == raft.options.ID {
			peer.LastReplyAt = raft.now
		}
		peers = append(peers, peer)
	}
	return peers
}

// Term returns the present term.
func (raft *Raft) Term() uint64 { return raft.term }

// Role returns the present role.
func (raft *Raft) Role() Role { return raft.role }

// TermAt returns the term of the entry at index, if it is in memory.
func (raft *Raft) TermAt(index uint64) (uint64, bool) { return raft.log.term(index) }

// AppliedSinceSnapshot returns how many entries were applied after the latest
// snapshot.
func (raft *Raft) AppliedSinceSnapshot() uint64 { return raft.log.applied - raft.snapshot.Index }

// Leader returns the member that this one follows, or zero.
func (raft *Raft) Leader() MemberID { return raft.leader }

// Configuration returns the configuration in force.
func (raft *Raft) Configuration() Configuration { return raft.configuration() }

// CommittedConfiguration returns the latest committed configuration.
func (raft *Raft) CommittedConfiguration() Configuration { return raft.committedConfiguration() }

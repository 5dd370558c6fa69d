package raft

import (
	"slices"
	"time"
)

// Ready is the work that the caller must do, in this order: make Snapshot,
// HardState and Entries durable in one sync; send Messages; apply Committed;
// answer ReadStates; call Advance. It must not call other methods that change
// the core in between.
type Ready struct {
	// Snapshot, when set, replaces the log and the state machine's state.
	Snapshot *Snapshot
	// HardState is set when it changed.
	HardState *HardState
	// Entries replace the log from the first one's index on.
	Entries []Entry
	// Messages may be sent only after the above is durable.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
	// ReadStates may be answered once their index is applied.
	ReadStates []ReadState
}

// Empty reports whether there is no work.
func (ready *Ready) Empty() bool {
	return ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 &&
		len(ready.Messages) == 0 && len(ready.Committed) == 0 && len(ready.ReadStates) == 0
}

// MustSync reports whether there is anything to make durable.
func (ready *Ready) MustSync() bool {
	return ready.Snapshot != nil || ready.HardState != nil || len(ready.Entries) > 0
}

// Ready returns the accumulated work.
func (raft *Raft) Ready() Ready {
	raft.flush()
	ready := Ready{
		Snapshot:   raft.installedSnapshot,
		Entries:    raft.unstableEntries(),
		Messages:   raft.messages,
		Committed:  raft.committedEntries(),
		ReadStates: raft.readStates,
	}
	state := raft.hardState()
	if state.Term != raft.savedHardState.Term || state.Vote != raft.savedHardState.Vote {
		ready.HardState = &state
	} else if len(ready.Entries) > 0 {
		ready.HardState = &state
	}
	raft.readyLastIndex = raft.log.lastIndex()
	raft.readyCommitted = raft.log.committed
	raft.messages = nil
	raft.readStates = nil
	raft.installedSnapshot = nil
	return ready
}

func (raft *Raft) unstableEntries() []Entry {
	return slices.Clone(raft.log.slice(raft.log.stable+1, raft.log.lastIndex()))
}

func (raft *Raft) committedEntries() []Entry {
	return slices.Clone(raft.log.slice(raft.log.applied+1, raft.log.committed))
}

// Advance records that the work of ready is done.
func (raft *Raft) Advance(ready Ready) {
	if ready.HardState != nil {
		raft.savedHardState = *ready.HardState
	}
	raft.log.stable = raft.readyLastIndex
	raft.log.applied = max(raft.log.applied, raft.readyCommitted)
	if raft.role != Leader {
		return
	}
	if self := raft.progress[raft.options.ID]; self != nil {
		self.acknowledge(raft.log.stable)
	}
	raft.advanceCommit()
}

// Status describes the state of the core.
type Status struct {
	ID        MemberID
	Term      uint64
	Role      Role
	Leader    MemberID
	Committed uint64
	Applied   uint64
	LastIndex uint64
	// FirstIndex is the index of the first log entry in memory.
	FirstIndex uint64
	// Confirmed reports whether a quorum confirmed this leader less than an
	// election timeout before the time passed to Status.
	Confirmed bool
	// ConfirmedAt is when the leader sent the latest heartbeat round that a
	// quorum acknowledged; on followers it is the time received from the leader.
	ConfirmedAt time.Time
	// Configuration is the committed configuration. It must not be modified.
	Configuration Configuration
	// SnapshotIndex is the index of the latest snapshot.
	SnapshotIndex uint64
	// CurrentAt is the receive time of the latest leader commit index that this
	// follower has reached; zero on the leader and without a leader. It bounds
	// the staleness of the follower's state.
	CurrentAt time.Time
	// LeaderSince is when this member became leader; zero if it is not.
	LeaderSince time.Time
	// Peers is the leader's view of every member, itself included; nil if this
	// member is not the leader.
	Peers []Peer
}

// Peer is the leader's view of one member of the configuration in effect.
type Peer struct {
	Member
	// TrackedSince is when this leader began to send to the member.
	TrackedSince time.Time
	// LastReplyAt is when this leader last received a reply from the member; zero means never.
	LastReplyAt time.Time
	// CaughtUp reports whether the member holds every committed entry and
	// answered a recent heartbeat round.
	CaughtUp bool
	// Ended reports whether the member's process is known to have ended (PeerEnded).
	Ended bool
}

// SilentFor returns how long ago the member last answered this leader, but at most
// how long ago this leader began to send to it.
func (peer Peer) SilentFor(now time.Time) time.Duration {
	latest := peer.LastReplyAt
	if peer.TrackedSince.After(latest) {
		latest = peer.TrackedSince
	}
	return now.Sub(latest)
}

// Status returns the core's status as of now.
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
		ConfirmedAt:   raft.leaderConfirmedAt,
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
		peer := Peer{Member: member, CaughtUp: raft.caughtUp(member.ID), Ended: raft.ended[member.ID]}
		if progress := raft.progress[member.ID]; progress != nil {
			peer.TrackedSince = progress.trackedSince
			peer.LastReplyAt = progress.lastReplyAt
		}
		if member.ID == raft.options.ID {
			peer.LastReplyAt = raft.now
		}
		peers = append(peers, peer)
	}
	return peers
}

// Term returns the current term.
func (raft *Raft) Term() uint64 { return raft.term }

// Role returns the current role.
func (raft *Raft) Role() Role { return raft.role }

// TermAt returns the term of the entry at index and whether the log in memory
// covers that index.
func (raft *Raft) TermAt(index uint64) (uint64, bool) { return raft.log.term(index) }

// AppliedSinceSnapshot returns the number of entries applied since the latest
// snapshot.
func (raft *Raft) AppliedSinceSnapshot() uint64 { return raft.log.applied - raft.snapshot.Index }

// Leader returns the current leader as this member knows it, or zero.
func (raft *Raft) Leader() MemberID { return raft.leader }

// Configuration returns the configuration in effect.
func (raft *Raft) Configuration() Configuration { return raft.configuration() }

// CommittedConfiguration returns the latest committed configuration.
func (raft *Raft) CommittedConfiguration() Configuration { return raft.committedConfiguration() }

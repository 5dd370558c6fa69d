// Package raft implements the control group's consensus algorithm as a
// deterministic state machine, in the style of Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014, and Ongaro's
// dissertation).
//
// The state machine, called the core, performs no input or output, reads no
// clock and uses no global random source. Its caller passes in the time,
// messages and proposals, and processes the work that Ready returns: first
// persist, then send, then apply, then call Advance.
//
// Invariants:
//   - there is at most one leader per term (a vote is durable before it is sent);
//   - a leader never changes its own entries;
//   - an entry is acknowledged only once it is durable;
//   - only entries of the leader's own term are committed by counting replicas;
//   - a membership change starts only when the previous one is committed;
//   - a read is answered only after a heartbeat round that began after the
//     read arrived has been acknowledged by a quorum.
package raft

import (
	"bytes"
	"encoding/gob"
	"slices"

	"merlinpaddle/internal/model"
)

// MemberID identifies a member for as long as it keeps its disk: a member whose
// disk was lost or replaced gets a new ID. Zero means "no member".
type MemberID uint64

// Member is one member of the group.
type Member struct {
	ID      MemberID
	Name    model.NodeName
	Learner bool
	// Zone is the member's failure zone; empty when it is not known.
	Zone model.ZoneName
	// Disk is the random number that the member wrote to its empty disk
	// before it joined. It binds the ID to that disk. Zero means that the ID
	// is not bound to a disk yet.
	Disk uint64
}

// Configuration is the membership of the group. IDs are assigned in ascending
// order and never reused, so an ID below NextID that is not in Members has been
// removed.
type Configuration struct {
	Members []Member
	NextID  MemberID
}

// Find returns the member with the given ID and whether it exists.
func (configuration Configuration) Find(id MemberID) (Member, bool) {
	for _, member := range configuration.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Removed reports whether id was assigned to a member that has been removed.
func (configuration Configuration) Removed(id MemberID) bool {
	_, present := configuration.Find(id)
	return !present && id < configuration.NextID
}

// IsVoter reports whether id may vote and be elected.
func (configuration Configuration) IsVoter(id MemberID) bool {
	member, present := configuration.Find(id)
	return present && !member.Learner
}

// VoterCount returns the number of voters.
func (configuration Configuration) VoterCount() int {
	count := 0
	for _, member := range configuration.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// Quorum returns the number of voters that make a majority.
func (configuration Configuration) Quorum() int { return configuration.VoterCount()/2 + 1 }

// Clone returns a copy that shares no memory with the original.
func (configuration Configuration) Clone() Configuration {
	configuration.Members = slices.Clone(configuration.Members)
	return configuration
}

// EncodeConfiguration encodes configuration as the data of an EntryMembership.
func EncodeConfiguration(configuration Configuration) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(configuration)
	return buffer.Bytes(), err
}

// DecodeConfiguration is the inverse of EncodeConfiguration.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var configuration Configuration
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&configuration)
	return configuration, err
}

// EntryKind is the type of an entry's data.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the empty entry that each leader appends at the start of its term.
	EntryNoop
	// EntryMembership carries a complete Configuration.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	// At is the log time in nanoseconds since 1970. The leader sets it from its
	// clock. It never decreases along the log.
	At   int64
	Kind EntryKind
	Data []byte
}

// HardState is the state that a member must persist besides its log. Only Term
// and Vote are needed for safety; Commit saves work after a restart.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	// Index and Term identify the last entry that the snapshot contains.
	Index uint64
	Term  uint64
	// At is the log time of that entry.
	At            int64
	Configuration Configuration
}

// Snapshot is the complete state machine state at one log index.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

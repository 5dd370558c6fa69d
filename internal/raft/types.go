// Package raft is the pure core of the control group's consensus, in the style
// of Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014, and Ongaro's dissertation).
//
// The core performs no input or output, reads no clock and uses no global
// random source. Its owner feeds it the time, messages and proposals, and
// takes work from Ready: first persist, then send, then apply, then Advance.
//
// Invariants:
//   - at most one leader a term (a vote is durable before it is sent);
//   - a leader never changes its own entries;
//   - an entry is acknowledged only once it is durable;
//   - only entries of the leader's own term are committed by counting;
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

// MemberID names one life of one member's disk. Zero means "no member".
type MemberID uint64

// Member is one member of the group.
type Member struct {
	ID      MemberID
	Name    model.NodeName
	Learner bool
	// Zone is the member's failure zone; empty when it is not known.
	Zone model.ZoneName
	// Disk is the random number that the member wrote to its empty disk
	// before it joined. It ties the ID to that disk. Zero means that no disk
	// has taken the ID yet.
	Disk uint64
}

// Configuration is the membership of the group. Identifiers are given out in
// ascending order and never reused, so an ID below NextID that is not among
// Members has been removed.
type Configuration struct {
	Members []Member
	NextID  MemberID
}

// Find returns the member with the identifier.
func (configuration Configuration) Find(id MemberID) (Member, bool) {
	for _, member := range configuration.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Removed tells whether id was a member once and is none now.
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

// Clone returns a copy that shares nothing with the original.
func (configuration Configuration) Clone() Configuration {
	configuration.Members = slices.Clone(configuration.Members)
	return configuration
}

// EncodeConfiguration returns configuration as the data of an entry.
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

// EntryKind tells what an entry's data means.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the empty entry with which each leader starts its term.
	EntryNoop
	// EntryMembership carries a whole Configuration.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	// At is the log's own time in nanoseconds since 1970, set by the leader.
	// It never goes back along the log.
	At   int64
	Kind EntryKind
	Data []byte
}

// HardState is what a member must not forget, besides its log. Commit is only
// a hint that saves work after a restart.
type HardState struct {
	Term   uint64
	Vote   MemberID
	Commit uint64
}

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	// Index and Term name the last entry that the snapshot contains.
	Index uint64
	Term  uint64
	// At is the log's own time at that entry.
	At            int64
	Configuration Configuration
}

// Snapshot is the whole state at one place of the log.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

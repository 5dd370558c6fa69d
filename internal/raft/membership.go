package raft

import (
	"fmt"
	"slices"
	"time"

	"merlinpaddle/internal/model"
)

// noteConfiguration puts a membership entry's configuration in force as soon
// as the entry is in the log. One change at a time keeps every old and every
// new quorum overlapping.
func (raft *Raft) noteConfiguration(entry Entry) {
	if entry.Kind != EntryMembership {
		return
	}
	if latest := raft.configurations[len(raft.configurations)-1]; entry.Index <= latest.index {
		return
	}
	configuration, err := DecodeConfiguration(entry.Data)
	if err != nil {
		panic(fmt.Sprintf("raft: membership entry %d cannot be read: %v", entry.Index, err))
	}
	raft.configurations = append(raft.configurations, configurationAt{index: entry.Index, configuration: configuration})
	if raft.role == Leader {
		raft.syncProgress()
	}
}

// dropConfigurations forgets the configurations of removed log entries.
func (raft *Raft) dropConfigurations(from uint64) {
	for len(raft.configurations) > 1 && raft.configurations[len(raft.configurations)-1].index >= from {
		raft.configurations = raft.configurations[:len(raft.configurations)-1]
	}
}

// mayChangeMembership demands that the previous change and an entry of this
// leader's term are committed; without the latter two leaders' changes could
// give quorums that do not overlap.
func (raft *Raft) mayChangeMembership() error {
	if err := raft.mayPropose(); err != nil {
		return err
	}
	if len(raft.configurations) > 1 || !raft.committedInTerm() {
		return ErrChangePending
	}
	return nil
}

func (raft *Raft) committedInTerm() bool {
	term, known := raft.log.term(raft.log.committed)
	return known && term == raft.term
}

func (raft *Raft) proposeConfiguration(configuration Configuration) (index, term uint64, err error) {
	data, err := EncodeConfiguration(configuration)
	if err != nil {
		return 0, 0, err
	}
	return raft.appendEntry(EntryMembership, data), raft.term, nil
}

// NewLearner is a member to be added without a vote.
type NewLearner struct {
	Name model.NodeName
	// Zone is the member's failure zone; it may be empty.
	Zone model.ZoneName
	// Disk ties the member to a disk; zero leaves it to the first disk of its name that
	// asks.
	Disk uint64
}

// AddLearners proposes new members without a vote, in one change: learners take no part in
// quorums, so that any number of them may come at once. Their IDs were never used and
// follow each other; the first one is returned.
func (raft *Raft) AddLearners(now time.Time, added []NewLearner) (first MemberID, index, term uint64, err error) {
	raft.observe(now)
	if err := raft.mayChangeMembership(); err != nil {
		return 0, 0, 0, err
	}
	next := raft.configuration().Clone()
	first = next.NextID
	for _, learner := range added {
		next.Members = append(next.Members, Member{ID: next.NextID, Name: learner.Name, Zone: learner.Zone, Disk: learner.Disk, Learner: true})
		next.NextID++
	}
	index, term, err = raft.proposeConfiguration(next)
	return first, index, term, err
}

// BindDisk proposes to tie a learner that no disk has taken to a disk.
func (raft *Raft) BindDisk(now time.Time, id MemberID, disk uint64) (index, term uint64, err error) {
	return raft.changeMember(now, id, func(member *Member) error {
		if !member.Learner || member.Disk != 0 {
			return ErrUnknownMember
		}
		member.Disk = disk
		return nil
	})
}

// Promote proposes to make a learner a voter. The learner must hold every
// entry that is committed now: promoted earlier, it would widen the quorum
// without holding the log, and one more loss could stop the group.
func (raft *Raft) Promote(now time.Time, id MemberID) (index, term uint64, err error) {
	return raft.changeMember(now, id, func(member *Member) error {
		if !raft.caughtUp(id) {
			return ErrNotCaughtUp
		}
		member.Learner = false
		return nil
	})
}

func (raft *Raft) caughtUp(id MemberID) bool {
	progress := raft.progress[id]
	return progress != nil &&
		progress.Match >= raft.log.committed &&
		progress.acknowledgedRound+lossRounds >= raft.confirmedRound
}

func (raft *Raft) changeMember(now time.Time, id MemberID, change func(*Member) error) (index, term uint64, err error) {
	raft.observe(now)
	if err := raft.mayChangeMembership(); err != nil {
		return 0, 0, err
	}
	next := raft.configuration().Clone()
	position := slices.IndexFunc(next.Members, func(member Member) bool { return member.ID == id })
	if position < 0 {
		return 0, 0, ErrUnknownMember
	}
	if err := change(&next.Members[position]); err != nil {
		return 0, 0, err
	}
	return raft.proposeConfiguration(next)
}

// RemoveMember proposes to take a member out for ever.
func (raft *Raft) RemoveMember(now time.Time, id MemberID) (index, term uint64, err error) {
	raft.observe(now)
	if err := raft.mayChangeMembership(); err != nil {
		return 0, 0, err
	}
	next := raft.configuration().Clone()
	member, present := next.Find(id)
	switch {
	case !present:
		return 0, 0, ErrUnknownMember
	case !member.Learner && next.VoterCount() == 1:
		return 0, 0, ErrLastVoter
	}
	next.Members = slices.DeleteFunc(next.Members, func(member Member) bool { return member.ID == id })
	return raft.proposeConfiguration(next)
}

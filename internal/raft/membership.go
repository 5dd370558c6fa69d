package raft

import (
	"fmt"
	"slices"
	"time"

	"merlinpaddle/internal/model"
)

// activateConfiguration puts a membership entry's configuration into effect as
// soon as the entry is in the log. Because only one change is in progress at a
// time, every quorum of the old configuration overlaps every quorum of the new
// one.
func (raft *Raft) activateConfiguration(entry Entry) {
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
	raft.configurations = append(raft.configurations, loggedConfiguration{index: entry.Index, configuration: configuration})
	if raft.role == Leader {
		raft.syncProgress()
	}
}

// truncateConfigurations removes the configurations of log entries that were
// removed from index from on.
func (raft *Raft) truncateConfigurations(from uint64) {
	for len(raft.configurations) > 1 && raft.configurations[len(raft.configurations)-1].index >= from {
		raft.configurations = raft.configurations[:len(raft.configurations)-1]
	}
}

// checkMembershipChange returns the reason why membership cannot be changed
// now, or nil. The previous change and an entry of this leader's term must be
// committed; without the latter, the changes of two leaders could yield quorums
// that do not overlap.
func (raft *Raft) checkMembershipChange() error {
	if err := raft.checkProposal(); err != nil {
		return err
	}
	if len(raft.configurations) > 1 || !raft.hasCommittedInTerm() {
		return ErrChangePending
	}
	return nil
}

// hasCommittedInTerm reports whether the last committed entry is of the current
// term. Only then does a new leader know the group's commit index.
func (raft *Raft) hasCommittedInTerm() bool {
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

// NewLearner describes a member to be added as a learner.
type NewLearner struct {
	Name model.NodeName
	// Zone is the member's failure zone; it may be empty.
	Zone model.ZoneName
	// Disk binds the member to a disk; zero binds it later to the first disk that
	// requests to join under its name.
	Disk uint64
}

// AddLearners proposes to add learners in one membership change. Learners do not
// count in quorums, so any number of them can be added at once. They get new
// consecutive IDs, of which the first is returned.
func (raft *Raft) AddLearners(now time.Time, added []NewLearner) (first MemberID, index, term uint64, err error) {
	raft.advanceClock(now)
	if err := raft.checkMembershipChange(); err != nil {
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

// BindDisk proposes to bind a learner that has no disk yet to a disk.
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
// committed entry: promoted earlier, it would increase the quorum without
// holding the log, and one more failure could stop the group.
func (raft *Raft) Promote(now time.Time, id MemberID) (index, term uint64, err error) {
	return raft.changeMember(now, id, func(member *Member) error {
		if !raft.caughtUp(id) {
			return ErrNotCaughtUp
		}
		member.Learner = false
		return nil
	})
}

// Demote proposes to make a voter a learner. It keeps its ID and its log.
func (raft *Raft) Demote(now time.Time, id MemberID) (index, term uint64, err error) {
	return raft.changeMember(now, id, func(member *Member) error {
		switch {
		case member.Learner:
			return ErrUnknownMember
		case raft.configuration().VoterCount() == 1:
			return ErrLastVoter
		}
		member.Learner = true
		return nil
	})
}

// caughtUp reports whether the member holds every committed entry and answered
// a recent heartbeat round.
func (raft *Raft) caughtUp(id MemberID) bool {
	progress := raft.progress[id]
	return progress != nil &&
		progress.Match >= raft.log.committed &&
		progress.acknowledgedRound+lossTimeoutRounds >= raft.confirmedRound
}

// changeMember proposes the configuration in which one member is changed.
func (raft *Raft) changeMember(now time.Time, id MemberID, change func(*Member) error) (index, term uint64, err error) {
	raft.advanceClock(now)
	if err := raft.checkMembershipChange(); err != nil {
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

// RemoveMember proposes to remove a member. Its ID is never used again.
func (raft *Raft) RemoveMember(now time.Time, id MemberID) (index, term uint64, err error) {
	raft.advanceClock(now)
	if err := raft.checkMembershipChange(); err != nil {
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

// Package apitest provides an in-memory control group of one member and fault injection, for tests of
// the administration API and its clients.
package apitest

import (
	"context"
	"sync"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/state"
)

// Group is a replica.Group that commits every proposal immediately. SetFaults makes it fail.
type Group struct {
	Machine *state.Machine

	lock    sync.Mutex
	index   model.Revision
	now     time.Time
	members []replica.Member
	lastID  replica.MemberID
	faults  Faults
}

// Faults are the failures that a Group simulates.
type Faults struct {
	// Leader is the name of the leader. A name other than Self makes this member a follower, which
	// refuses proposals and read barriers.
	Leader model.NodeName
	// BeforeCommit, if set, is the error that Propose returns without committing the command.
	BeforeCommit error
	// AfterCommit, if set, is the error that Propose returns after it committed the command, as when
	// the response is lost.
	AfterCommit error
	// ReadsBeforeLeadershipLoss is the number of reads that succeed before control-2 becomes the
	// leader; zero means that this member stays the leader.
	ReadsBeforeLeadershipLoss int
	// Barrier, if set, is the error of read barriers.
	Barrier error
	// Membership, if set, is the error of membership changes and leadership transfers.
	Membership error
	// Refused is the value of replica.Status.Refused: the group has no place for this member.
	Refused bool
	// PromotionsBehind is the number of promotions that fail because the learner has not caught up.
	PromotionsBehind int
}

// Self is the name of the group's first member, which serves the API.
const Self model.NodeName = "control-1"

// startTime is the log's time before the first proposal. Every proposal advances it by a millisecond.
var startTime = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// NewGroup returns a group with an empty state, whose only member is the leader Self.
func NewGroup() *Group {
	return &Group{
		Machine: state.NewMachine(),
		now:     startTime,
		members: []replica.Member{{ID: 1, Name: Self}},
		lastID:  1,
		faults:  Faults{Leader: Self},
	}
}

// SetFaults replaces the failures that the group simulates. An empty Leader means Self.
func (group *Group) SetFaults(chosen Faults) {
	if chosen.Leader == "" {
		chosen.Leader = Self
	}
	group.lock.Lock()
	defer group.lock.Unlock()
	group.faults = chosen
}

// Propose commits the command and returns its result, unless the faults chosen with SetFaults make it
// fail.
func (group *Group) Propose(_ context.Context, command []byte) ([]byte, error) {
	group.lock.Lock()
	defer group.lock.Unlock()
	if err := group.checkLeading(); err != nil {
		return nil, err
	}
	if group.faults.BeforeCommit != nil {
		return nil, group.faults.BeforeCommit
	}
	group.index++
	group.now = group.now.Add(time.Millisecond)
	result := group.Machine.Apply(group.index, group.now, command)
	return result, group.faults.AfterCommit
}

// checkLeading returns an error with code faults.NotLeader when this member is not the leader.
func (group *Group) checkLeading() error {
	if group.faults.Leader == Self {
		return nil
	}
	return faults.New(faults.NotLeader, "the leader is %s", string(group.faults.Leader))
}

// ReadBarrier succeeds while this member is the leader and Faults.Barrier is not set.
func (group *Group) ReadBarrier(context.Context) error {
	group.lock.Lock()
	defer group.lock.Unlock()
	if err := group.checkLeading(); err != nil {
		return err
	}
	if group.faults.ReadsBeforeLeadershipLoss > 0 {
		group.faults.ReadsBeforeLeadershipLoss--
		if group.faults.ReadsBeforeLeadershipLoss == 0 {
			group.faults.Leader = "control-2"
		}
	}
	return group.faults.Barrier
}

// Status returns the current status.
func (group *Group) Status() replica.Status {
	group.lock.Lock()
	defer group.lock.Unlock()
	return replica.Status{
		Self:      1,
		Term:      1,
		Leader:    group.faults.Leader,
		Leading:   group.faults.Leader == Self,
		Committed: group.index,
		Applied:   group.index,
		Members:   append([]replica.Member(nil), group.members...),
		Refused:   group.faults.Refused,
	}
}

// AddLearner adds a learner with the next ID.
func (group *Group) AddLearner(_ context.Context, name model.NodeName) (replica.MemberID, error) {
	group.lock.Lock()
	defer group.lock.Unlock()
	if group.faults.Membership != nil {
		return 0, group.faults.Membership
	}
	group.lastID++
	id := group.lastID
	group.members = append(group.members, replica.Member{ID: id, Name: name, Learner: true})
	return id, nil
}

// Promote makes a learner a voter.
func (group *Group) Promote(_ context.Context, id replica.MemberID) error {
	group.lock.Lock()
	defer group.lock.Unlock()
	if group.faults.Membership != nil {
		return group.faults.Membership
	}
	if group.faults.PromotionsBehind > 0 {
		group.faults.PromotionsBehind--
		return faults.New(faults.LearnerBehind, "member %d has not caught up", uint64(id))
	}
	for index := range group.members {
		if group.members[index].ID == id {
			group.members[index].Learner = false
			return nil
		}
	}
	return faults.New(faults.UnknownMember, "there is no member %d", uint64(id))
}

// RemoveMember removes a member.
func (group *Group) RemoveMember(_ context.Context, id replica.MemberID) error {
	group.lock.Lock()
	defer group.lock.Unlock()
	if group.faults.Membership != nil {
		return group.faults.Membership
	}
	for index := range group.members {
		if group.members[index].ID == id {
			group.members = append(group.members[:index], group.members[index+1:]...)
			return nil
		}
	}
	return faults.New(faults.UnknownMember, "there is no member %d", uint64(id))
}

// TransferLeadership returns Faults.Membership and leaves the leader as it is.
func (group *Group) TransferLeadership(context.Context) error {
	group.lock.Lock()
	defer group.lock.Unlock()
	return group.faults.Membership
}

// Rollout is an adminapi.RolloutReader whose status a test sets.
type Rollout struct {
	lock   sync.Mutex
	status model.RolloutStatus
}

// Set replaces the status.
func (rollout *Rollout) Set(status model.RolloutStatus) {
	rollout.lock.Lock()
	defer rollout.lock.Unlock()
	rollout.status = status
}

// Rollout returns the status.
func (rollout *Rollout) Rollout() model.RolloutStatus {
	rollout.lock.Lock()
	defer rollout.lock.Unlock()
	return rollout.status
}

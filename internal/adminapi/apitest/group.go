// Package apitest has an in-memory control group of one member, for tests of
// the administration API and its clients, as net/http/httptest is for HTTP.
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

// Group is a replica.Group that commits every proposal at once. Its fields
// make it fail on purpose; set them before use or through Update.
type Group struct {
	Machine *state.Machine

	lock    sync.Mutex
	index   model.Revision
	now     time.Time
	members []replica.Member
	lastID  replica.MemberID
	faults  Faults
}

// Faults are the failures to show.
type Faults struct {
	// Leader is the name of the leader; another name than Self makes this
	// member a follower that refuses proposals and barriers.
	Leader model.NodeName
	// BeforeCommit fails proposals that are not committed.
	BeforeCommit error
	// AfterCommit fails proposals that are committed: the answer is lost.
	AfterCommit error
	// ReadsBeforeLoss is how many reads succeed before this member is no
	// longer the leader; zero means that it stays.
	ReadsBeforeLeadershipLoss int
	// Barrier fails reads.
	Barrier error
	// Membership fails changes of members.
	Membership error
	// Refused is a member without a place in the group.
	Refused bool
	// Promotions is how many promotions find a learner that is behind.
	PromotionsBehind int
}

// Self is the name of the group's only member.
const Self model.NodeName = "control-1"

// start is the log's time of the first proposal.
var start = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{
		Machine: state.NewMachine(),
		now:     start,
		members: []replica.Member{{ID: 1, Name: Self}},
		lastID:  1,
		faults:  Faults{Leader: Self},
	}
}

// Fail sets the failures to show; the zero Leader means Self.
func (group *Group) SetFaults(chosen Faults) {
	if chosen.Leader == "" {
		chosen.Leader = Self
	}
	group.lock.Lock()
	defer group.lock.Unlock()
	group.faults = chosen
}

// Propose commits the command, or fails as Fail was told.
func (group *Group) Propose(_ context.Context, command []byte) ([]byte, error) {
	group.lock.Lock()
	defer group.lock.Unlock()
	if err := group.notLeading(); err != nil {
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

func (group *Group) notLeading() error {
	if group.faults.Leader == Self {
		return nil
	}
	return faults.New(faults.NotLeader, "the leader is %s", string(group.faults.Leader))
}

// ReadBarrier succeeds while this member leads.
func (group *Group) ReadBarrier(context.Context) error {
	group.lock.Lock()
	defer group.lock.Unlock()
	if err := group.notLeading(); err != nil {
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

// Status returns the present status.
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

// TransferLeadership fails, because there is no other voter.
func (group *Group) TransferLeadership(context.Context) error {
	group.lock.Lock()
	defer group.lock.Unlock()
	return group.faults.Membership
}

// Rollout is a settable adminapi.RolloutReader.
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

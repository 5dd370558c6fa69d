// Package reconfigure keeps the control group at its wanted number of voters
// without an operator: it takes in members with empty disks, replaces members
// whose disks were lost, and drops silent members once another one can take
// their place.
//
// Invariants:
//   - one membership change at a time, and only by a confirmed leader;
//   - a voter is removed only when the others that answer are a majority of
//     the voters before and after the change;
//   - a voter that is merely silent is removed only when a learner that has
//     caught up can take its place at once.
package reconfigure

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

// Group is the control group as the controller changes it; replica.Controller
// implements it.
type Group interface {
	// StatusAt returns the member's status as of now.
	StatusAt(now time.Time) replica.Status
	// Admit proposes to give candidates a place without a vote, in one change.
	Admit(candidates []replica.Candidate, done func(err error))
	// Promote proposes to make a learner a voter.
	Promote(id replica.MemberID, done func(err error))
	// RemoveMember proposes to take a member out.
	RemoveMember(id replica.MemberID, done func(err error))
}

// Options are the bounds of membership.
type Options struct {
	// ToleratedLosses is the number of members that may be lost at once; the
	// group wants twice as many voters and one more, and three at the least.
	ToleratedLosses int
	// ToleratesZoneLoss means that all members of a zone may be lost at once; the
	// group then wants five voters at the least, spread over the zones.
	ToleratesZoneLoss bool
	// SilentAfter is how long a voter may be silent before a learner takes its
	// place.
	ReplaceVoterAfter time.Duration
	// DropLearnerAfter is how long a learner may be silent before it is
	// dropped. It returns by itself as a new learner.
	DropLearnerAfter time.Duration
}

// DefaultOptions returns the bounds of processes for a number of losses.
func DefaultOptions(toleratedLosses int) Options {
	return Options{
		ToleratedLosses:   toleratedLosses,
		ReplaceVoterAfter: 3 * time.Second,
		DropLearnerAfter:  10 * time.Second,
	}
}

const (
	// recentFor is how recently a member must have answered to count as
	// present.
	presentWithin = time.Second
	// settleTime is how long a new leader waits before it changes anything, so
	// that every member had time to answer it.
	leaderSettleTime = 400 * time.Millisecond
	// changeTimeout is how long a proposed change may take before the next one
	// is tried.
	changeTimeout = 2 * time.Second
)

// Controller proposes membership changes while its member leads.
type Controller struct {
	options Options
	group   Group
	logger  *zap.Logger
	// pendingSince is when the change under way was proposed; zero without one.
	pendingSince time.Time
	changeDone   chan struct{}
}

// New returns the controller of one member.
func New(options Options, group Group, logger *zap.Logger) *Controller {
	return &Controller{options: options, group: group, logger: logger, changeDone: make(chan struct{}, 1)}
}

// Name implements board.Controller.
func (controller *Controller) Name() string { return "reconfigure" }

// Reconcile implements board.Controller.
func (controller *Controller) Reconcile(now time.Time) {
	status := controller.group.StatusAt(now)
	if !status.Leading || now.Sub(status.LeaderSince) < leaderSettleTime {
		controller.pendingSince = time.Time{}
		return
	}
	if controller.pending(now) {
		return
	}
	change := Plan(controller.options, status, now)
	if change.Kind != ChangeNone {
		controller.propose(now, change)
	}
}

func (controller *Controller) pending(now time.Time) bool {
	select {
	case <-controller.changeDone:
		controller.pendingSince = time.Time{}
	default:
	}
	return !controller.pendingSince.IsZero() && now.Sub(controller.pendingSince) < changeTimeout
}

func (controller *Controller) propose(now time.Time, change Change) {
	controller.pendingSince = now
	fields := []zap.Field{
		zap.Stringer("change", change.Kind),
		zap.String("member", string(change.Name)),
		zap.Uint64("id", uint64(change.ID)),
		zap.Strings("admitted", change.admittedNames()),
		zap.String("cause", change.Cause),
	}
	controller.logger.Info("membership change proposed", fields...)
	done := func(err error) {
		controller.logger.Info("membership change ended", append(fields, zap.Error(err))...)
		select {
		case controller.changeDone <- struct{}{}:
		default:
		}
	}
	switch change.Kind {
	case ChangeAdd:
		controller.group.Admit(change.Admitted, done)
	case ChangePromote:
		controller.group.Promote(change.ID, done)
	case ChangeRemove:
		controller.group.RemoveMember(change.ID, done)
	}
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeNone ChangeKind = iota
	ChangeAdd
	ChangePromote
	ChangeRemove
)

// String returns the kind's name.
func (kind ChangeKind) String() string {
	return [...]string{"none", "add", "promote", "remove"}[kind]
}

// Change is one membership change and its cause in words.
type Change struct {
	Kind ChangeKind
	// ID and Name are those of the member that is promoted or removed.
	ID   replica.MemberID
	Name model.NodeName
	// Admitted are the candidates that get a place.
	Admitted []replica.Candidate
	Cause    string
}

func (change *Change) admittedNames() []string {
	names := make([]string, 0, len(change.Admitted))
	for _, candidate := range change.Admitted {
		names = append(names, string(candidate.Name))
	}
	return names
}

// Plan returns the next change that a leader with this status makes. It is a
// pure function.
func Plan(options Options, status replica.Status, now time.Time) Change {
	plan := planner{options: options, status: status, now: now}
	for _, step := range []func() Change{plan.removeMemberWithLostDisk, plan.removeUnresponsiveLearner, plan.promoteLearner, plan.removeUnresponsiveVoter, plan.admitCandidates} {
		if change := step(); change.Kind != ChangeNone {
			return change
		}
	}
	return Change{}
}

type planner struct {
	options Options
	status  replica.Status
	now     time.Time
}

// silence is how long the member has not answered, counted at the earliest
// from when this leader began to send to it.
func (plan *planner) timeSinceAnswer(peer raft.Peer) time.Duration {
	latest := peer.HeardAt
	if peer.AddedAt.After(latest) {
		latest = peer.AddedAt
	}
	return plan.now.Sub(latest)
}

func (plan *planner) responsive(peer raft.Peer) bool {
	return !peer.HeardAt.IsZero() && plan.now.Sub(peer.HeardAt) < presentWithin
}

func (plan *planner) countVoters() (all, present int) {
	for _, peer := range plan.status.Peers {
		if peer.Learner {
			continue
		}
		all++
		if plan.responsive(peer) {
			present++
		}
	}
	return all, present
}

const (
	// leastVoters is the least number of voters that a group wants.
	minimumVoters = 3
	// leastVotersForZones is that number where a zone may be lost.
	minimumVotersForZoneLoss = 5
)

func (plan *planner) wantedVoters() int {
	wanted := max(minimumVoters, 2*plan.options.ToleratedLosses+1)
	if plan.options.ToleratesZoneLoss {
		wanted = max(wanted, minimumVotersForZoneLoss)
	}
	return wanted
}

// mayRemoveVoter tells whether the voters that answer are a majority with and
// without one that does not.
func (plan *planner) mayRemoveVoter() bool {
	all, present := plan.countVoters()
	return all > 1 && present > all/2 && present > (all-1)/2
}

// replaceLostDisks removes members whose machine asks for a place with another
// disk: the disk that the member was tied to is gone for good.
func (plan *planner) removeMemberWithLostDisk() Change {
	for _, candidate := range plan.status.Candidates {
		for _, peer := range plan.status.Peers {
			if peer.Name != candidate.Name || peer.Disk == candidate.Disk || peer.Disk == 0 || peer.ID == plan.status.Self {
				continue
			}
			if peer.Learner || plan.mayRemoveVoter() {
				return Change{Kind: ChangeRemove, ID: peer.ID, Name: peer.Name, Cause: "its disk was lost"}
			}
		}
	}
	return Change{}
}

func (plan *planner) removeUnresponsiveLearner() Change {
	for _, peer := range plan.status.Peers {
		if peer.Learner && plan.timeSinceAnswer(peer) > plan.options.DropLearnerAfter {
			return Change{Kind: ChangeRemove, ID: peer.ID, Name: peer.Name, Cause: "the learner is silent"}
		}
	}
	return Change{}
}

// standby returns a learner that can become a voter at once: one in the zone
// that has the fewest voters that answer.
func (plan *planner) replacementLearner() (raft.Peer, bool) {
	voters := make(map[model.ZoneName]int)
	for _, peer := range plan.status.Peers {
		if !peer.Learner && plan.responsive(peer) {
			voters[peer.Zone]++
		}
	}
	var best raft.Peer
	found := false
	for _, peer := range plan.status.Peers {
		if !peer.Learner || !peer.CaughtUp || !plan.responsive(peer) {
			continue
		}
		if !found || voters[peer.Zone] < voters[best.Zone] {
			best, found = peer, true
		}
	}
	return best, found
}

func (plan *planner) promoteLearner() Change {
	all, _ := plan.countVoters()
	learner, found := plan.replacementLearner()
	if !found || all >= plan.wantedVoters() {
		return Change{}
	}
	return Change{Kind: ChangePromote, ID: learner.ID, Name: learner.Name, Cause: "the group wants more voters"}
}

func (plan *planner) removeUnresponsiveVoter() Change {
	if _, found := plan.replacementLearner(); !found || !plan.mayRemoveVoter() {
		return Change{}
	}
	for _, peer := range plan.status.Peers {
		if !peer.Learner && peer.ID != plan.status.Self && plan.timeSinceAnswer(peer) > plan.options.ReplaceVoterAfter {
			return Change{Kind: ChangeRemove, ID: peer.ID, Name: peer.Name, Cause: "the voter is silent and a learner is ready"}
		}
	}
	return Change{}
}

// admit adds learners for all candidates whose names no member has. One change for all
// keeps the first start of a group from growing with its members: each change is a round
// of the whole group, and a member without a place can take no calls.
func (plan *planner) admitCandidates() Change {
	var admitted []replica.Candidate
	for _, candidate := range plan.status.Candidates {
		if !plan.hasMember(candidate.Name) {
			admitted = append(admitted, candidate)
		}
	}
	if len(admitted) == 0 {
		return Change{}
	}
	return Change{Kind: ChangeAdd, Admitted: admitted, Cause: "empty disks ask for a place"}
}

func (plan *planner) hasMember(name model.NodeName) bool {
	for _, peer := range plan.status.Peers {
		if peer.Name == name {
			return true
		}
	}
	return false
}

// Package reconfigure keeps the control group at its wanted number of voters without an operator. It
// admits processes with empty disks as learners, promotes learners to voters, removes members whose
// disks were lost, removes unresponsive learners, and removes unresponsive voters once a learner can
// replace them.
//
// Invariants:
//   - one membership change at a time, and only by a confirmed leader;
//   - a voter is removed only if the voters that respond are a majority of the voters both before
//     and after the change;
//   - a voter that is unresponsive, but whose disk is not known to be lost, is removed only if a
//     learner that has caught up can replace it at once.
package reconfigure

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

// Group is the interface by which the controller changes the control group. replica.Controller
// implements it.
type Group interface {
	// StatusAt returns the member's status as of now.
	StatusAt(now time.Time) replica.Status
	// Admit proposes to add the candidates as learners, in one change.
	Admit(candidates []replica.Candidate, done func(err error))
	// Promote proposes to make a learner a voter.
	Promote(id replica.MemberID, done func(err error))
	// RemoveMember proposes to remove a member.
	RemoveMember(id replica.MemberID, done func(err error))
}

// Options are the settings of a Controller.
type Options struct {
	// ToleratedLosses is the number of members that may be lost at once. The group wants twice as
	// many voters plus one, and at least three.
	ToleratedLosses int
	// ToleratesZoneLoss means that all members of a zone may be lost at once. The group then wants
	// at least five voters, spread over the zones.
	ToleratesZoneLoss bool
	// ReplaceVoterAfter is how long a voter may be unresponsive before a learner replaces it.
	ReplaceVoterAfter time.Duration
	// DropLearnerAfter is how long a learner may be unresponsive before it is removed. If it comes
	// back, it asks to be admitted as a new learner.
	DropLearnerAfter time.Duration
}

// DefaultOptions returns the default options of a group that tolerates the given losses.
func DefaultOptions(toleratedLosses int) Options {
	return Options{
		ToleratedLosses:   toleratedLosses,
		ReplaceVoterAfter: 3 * time.Second,
		DropLearnerAfter:  10 * time.Second,
	}
}

const (
	// responsiveWithin is how recently a member must have answered the leader to count as responsive.
	responsiveWithin = time.Second
	// leaderSettleTime is how long a new leader waits before it proposes a change, so that every
	// member has had time to answer it.
	leaderSettleTime = 400 * time.Millisecond
	// changeTimeout is how long a proposed change may take before the next one is proposed.
	changeTimeout = 2 * time.Second
)

// Controller proposes membership changes while its member is the leader.
type Controller struct {
	options Options
	group   Group
	logger  *zap.Logger
	// pendingSince is when the pending change was proposed; zero if none is pending.
	pendingSince time.Time
	// changeDone has a value once the result of a proposed change has arrived.
	changeDone chan struct{}
	// loggedStandby is the latest logged reason why learners have no vote.
	loggedStandby string
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
	controller.logStandby(status, now)
	change := Plan(controller.options, status, now)
	if change.Kind != ChangeNone {
		controller.propose(now, change)
	}
}

// logStandby logs why the group's learners have no vote, whenever the reason changes.
func (controller *Controller) logStandby(status replica.Status, now time.Time) {
	plan := planner{options: controller.options, status: status, now: now}
	reason := plan.standbyReason()
	if reason == controller.loggedStandby {
		return
	}
	controller.loggedStandby = reason
	if reason == "" {
		return
	}
	counts := CountMembers(status, now)
	controller.logger.Info("no membership change for learners",
		zap.String("cause", reason),
		zap.Int("voters", counts.Voters), zap.Int("responsive", counts.ResponsiveVoters),
		zap.Int("learners", counts.Learners), zap.Int("ready", counts.ReadyLearners))
}

// pending reports whether a proposed change is neither done nor older than changeTimeout.
func (controller *Controller) pending(now time.Time) bool {
	select {
	case <-controller.changeDone:
		controller.pendingSince = time.Time{}
	default:
	}
	return !controller.pendingSince.IsZero() && now.Sub(controller.pendingSince) < changeTimeout
}

// propose proposes the change to the group, and logs it and its result.
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

// Change is one membership change.
type Change struct {
	Kind ChangeKind
	// ID and Name are those of the member that is promoted or removed.
	ID   replica.MemberID
	Name model.NodeName
	// Admitted are the candidates that become learners.
	Admitted []replica.Candidate
	// Cause is the reason for the change, for the log.
	Cause string
}

func (change *Change) admittedNames() []string {
	names := make([]string, 0, len(change.Admitted))
	for _, candidate := range change.Admitted {
		names = append(names, string(candidate.Name))
	}
	return names
}

// Plan returns the next change that a leader with this status proposes, or one of kind ChangeNone. It
// is a pure function.
func Plan(options Options, status replica.Status, now time.Time) Change {
	plan := planner{options: options, status: status, now: now}
	for _, step := range []func() Change{plan.removeMemberWithLostDisk, plan.removeUnresponsiveLearner, plan.promoteLearner, plan.removeUnresponsiveVoter, plan.admitCandidates} {
		if change := step(); change.Kind != ChangeNone {
			return change
		}
	}
	return Change{}
}

// planner has the input of Plan. Each of its steps returns a change, or none if it does not apply.
type planner struct {
	options Options
	status  replica.Status
	now     time.Time
}

// timeSinceAnswer returns how long ago the member last answered this leader, but at most how long
// ago this leader began to send to it.
func (plan *planner) timeSinceAnswer(peer raft.Peer) time.Duration {
	latest := peer.LastReplyAt
	if peer.TrackedSince.After(latest) {
		latest = peer.TrackedSince
	}
	return plan.now.Sub(latest)
}

// responsive reports whether the member answered within responsiveWithin.
func (plan *planner) responsive(peer raft.Peer) bool { return responsiveAt(peer, plan.now) }

func responsiveAt(peer raft.Peer, now time.Time) bool {
	return !peer.LastReplyAt.IsZero() && now.Sub(peer.LastReplyAt) < responsiveWithin
}

// MemberCounts are the numbers of members as the leader sees them.
type MemberCounts struct {
	// Voters is the number of voters, and ResponsiveVoters of those that answered recently.
	Voters, ResponsiveVoters int
	// Learners is the number of learners, and ReadyLearners of those that answered recently and have
	// caught up.
	Learners, ReadyLearners int
}

// CountMembers counts the members in the status of a leader. At a member that does not lead, all
// counts are zero.
func CountMembers(status replica.Status, now time.Time) MemberCounts {
	var counts MemberCounts
	for _, peer := range status.Peers {
		responsive := responsiveAt(peer, now)
		switch {
		case peer.Learner:
			counts.Learners++
			if responsive && peer.CaughtUp {
				counts.ReadyLearners++
			}
		default:
			counts.Voters++
			if responsive {
				counts.ResponsiveVoters++
			}
		}
	}
	return counts
}

// countVoters returns the number of voters, and the number of those that are responsive.
func (plan *planner) countVoters() (all, responsive int) {
	counts := CountMembers(plan.status, plan.now)
	return counts.Voters, counts.ResponsiveVoters
}

// standbyReason returns why the group's learners have no vote, or an empty string if there are none.
func (plan *planner) standbyReason() string {
	counts := CountMembers(plan.status, plan.now)
	switch {
	case counts.Learners == 0:
		return ""
	case counts.ReadyLearners == 0:
		return "no learner responds and has caught up"
	case counts.Voters < plan.wantedVoters():
		return "a learner is about to get a vote"
	case counts.ResponsiveVoters <= counts.Voters/2:
		return "too few voters respond to change the membership"
	case counts.ResponsiveVoters < counts.Voters:
		return "a silent voter keeps its vote until it is replaced"
	default:
		return "the group has all the voters that it wants"
	}
}

const (
	// minimumVoters is the least number of voters that a group wants.
	minimumVoters = 3
	// minimumVotersForZoneLoss is that number if all members of a zone may be lost at once.
	minimumVotersForZoneLoss = 5
)

// wantedVoters returns the number of voters up to which learners are promoted.
func (plan *planner) wantedVoters() int {
	wanted := max(minimumVoters, 2*plan.options.ToleratedLosses+1)
	if plan.options.ToleratesZoneLoss {
		wanted = max(wanted, minimumVotersForZoneLoss)
	}
	return wanted
}

// mayRemoveVoter reports whether the responsive voters are a majority of the voters, both with and
// without an unresponsive one.
func (plan *planner) mayRemoveVoter() bool {
	all, responsive := plan.countVoters()
	return all > 1 && responsive > all/2 && responsive > (all-1)/2
}

// removeMemberWithLostDisk removes a member if a candidate has its name but another disk. The disk to
// which the member's ID is tied is then permanently lost.
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

// removeUnresponsiveLearner removes a learner that has not answered for DropLearnerAfter.
func (plan *planner) removeUnresponsiveLearner() Change {
	for _, peer := range plan.status.Peers {
		if peer.Learner && plan.timeSinceAnswer(peer) > plan.options.DropLearnerAfter {
			return Change{Kind: ChangeRemove, ID: peer.ID, Name: peer.Name, Cause: "the learner is silent"}
		}
	}
	return Change{}
}

// replacementLearner returns a responsive learner that has caught up and can become a voter at once.
// Of several it returns one in the zone with the fewest responsive voters.
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

// promoteLearner promotes a learner if the group has fewer voters than it wants.
func (plan *planner) promoteLearner() Change {
	all, _ := plan.countVoters()
	learner, found := plan.replacementLearner()
	if !found || all >= plan.wantedVoters() {
		return Change{}
	}
	return Change{Kind: ChangePromote, ID: learner.ID, Name: learner.Name, Cause: "the group wants more voters"}
}

// removeUnresponsiveVoter removes a voter that has not answered for ReplaceVoterAfter, if a learner is
// ready to replace it. If the group then has fewer voters than it wants, the next change promotes the
// learner.
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

// admitCandidates adds, in one change, all candidates whose names no member has as learners. Each
// change takes a round of consensus, and a process that is not a member can serve no calls, so with
// one change per candidate the first start of a group would take longer the more members it has.
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
	return Change{Kind: ChangeAdd, Admitted: admitted, Cause: "processes with empty disks ask to join"}
}

// hasMember reports whether a member has the name.
func (plan *planner) hasMember(name model.NodeName) bool {
	for _, peer := range plan.status.Peers {
		if peer.Name == name {
			return true
		}
	}
	return false
}

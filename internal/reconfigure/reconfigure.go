// Package reconfigure keeps the control group at its wanted number of voters without an operator. It
// admits processes with empty disks as learners, promotes learners to voters, moves the votes of
// members that stop as planned, are about to be replaced or are silent to learners, and removes members
// whose disks were lost and unresponsive learners.
//
// Invariants:
//   - one membership change at a time, and only by a confirmed leader;
//   - a voter loses its vote only if the other voters that respond are a majority of the voters
//     after the change;
//   - a voter that responds loses its vote only while the group has more voters than it wants, so that
//     the group tolerates as many losses as before all the time;
//   - planned stops leave a majority of the voters running if as many members as are a majority of
//     the wanted voters stay and are ready;
//   - a voter that is silent, but whose disk is not known to be lost, keeps its place and its log: it
//     is demoted once a learner that has caught up was promoted in its place, or if the group has more
//     voters than it wants.
package reconfigure

import (
	"time"

	"go.uber.org/zap"

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
	// Demote proposes to make a voter a learner.
	Demote(id replica.MemberID, done func(err error))
	// TransferLeadership transfers leadership to another voter.
	TransferLeadership(done func(err error))
	// Release tells a leaving member that it may stop.
	Release(id replica.MemberID)
}

// Options are the settings of a Controller.
type Options struct {
	// ToleratedLosses is the number of members that may be lost at once. The group wants twice as
	// many voters plus one, and at least three.
	ToleratedLosses int
	// ToleratesZoneLoss means that all members of a zone may be lost at once. The group then wants
	// at least five voters, spread over the zones.
	ToleratesZoneLoss bool
	// SilentAfter is how long a member may leave the leader without an answer before it counts as
	// silent. A learner that is ready then takes over the vote of a silent voter.
	SilentAfter time.Duration
	// SettleAfter is how long a new leader waits before it proposes a change, so that every member
	// has had time to answer it and to tell it that it is leaving.
	SettleAfter time.Duration
	// DropLearnerAfter is how long a learner may be unresponsive before it is removed. If it comes
	// back, it asks to be admitted as a new learner.
	DropLearnerAfter time.Duration
}

// DefaultOptions returns the default options of a group that tolerates the given losses and has the
// given election timeout. The silence after which a follower replaces its leader is also that after
// which the leader replaces a voter.
func DefaultOptions(toleratedLosses int, electionTimeout time.Duration) Options {
	return Options{
		ToleratedLosses:  toleratedLosses,
		SilentAfter:      electionTimeout,
		SettleAfter:      electionTimeout / 2,
		DropLearnerAfter: 10 * time.Second,
	}
}

const (
	// minimumVoters is the least number of voters that a group wants.
	minimumVoters = 3
	// minimumVotersForZoneLoss is that number if all members of a zone may be lost at once.
	minimumVotersForZoneLoss = 5
)

// WantedVoters returns the number of voters that the group wants.
func (options Options) WantedVoters() int {
	wanted := max(minimumVoters, 2*options.ToleratedLosses+1)
	if options.ToleratesZoneLoss {
		wanted = max(wanted, minimumVotersForZoneLoss)
	}
	return wanted
}

// changeTimeout is how long a proposed change may take before the next one is proposed.
const changeTimeout = 2 * time.Second

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
	if status.Leading {
		controller.releaseLeaving(status, now)
	}
	if !status.Leading || now.Sub(status.LeaderSince) < controller.options.SettleAfter {
		controller.pendingSince = time.Time{}
		return
	}
	if controller.pending(now) {
		return
	}
	change := Plan(controller.options, status, now)
	if change.Kind == ChangeNone {
		controller.logStandby(status, now)
		return
	}
	controller.propose(now, change)
}

// releaseLeaving releases the leaving members whose votes nobody will take over. The leader itself is
// released by the member to which it hands leadership over.
func (controller *Controller) releaseLeaving(status replica.Status, now time.Time) {
	for _, id := range status.Leaving {
		plan := planner{options: controller.options, status: status, now: now}
		if id == status.Self || plan.awaitsReplacement(id) {
			continue
		}
		controller.logger.Info("leaving member released",
			zap.Uint64("id", uint64(id)), zap.Bool("voter", plan.votes(id)), zap.Int("staying", plan.stayingVoters()))
		controller.group.Release(id)
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
	counts := controller.options.CountMembers(status, now)
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
	case ChangeDemote:
		controller.group.Demote(change.ID, done)
	case ChangeTransferLeadership:
		controller.group.TransferLeadership(done)
	}
}

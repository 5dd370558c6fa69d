package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// observation is what the leader knows about a target. It is kept in memory only.
type observation struct {
	// seenAt is when the target last renewed or answered a probe of the leader.
	seenAt time.Time
	// renewedAt is when it last renewed, and answeredAt when it last answered a probe.
	renewedAt  time.Time
	answeredAt time.Time
	probedAt   time.Time
	// failedAt is when the leader marked the target as failed or first found it marked; zero if it
	// has not failed.
	failedAt time.Time
	// contestedAt is when another incarnation was first found to occupy the failed target's
	// address; zero if none does.
	contestedAt time.Time
	// proposedAt is when a change to the target was last proposed.
	proposedAt time.Time
	// unansweredProbes counts the leader's consecutive unanswered probes.
	unansweredProbes int
	// reporters are the nodes that got no answer from the target, with the time of the latest
	// finding.
	reporters map[model.NodeName]time.Time
}

// addReporter records that a node got no answer from the target, and returns how many nodes
// found this within reporterTTL.
func (observed *observation) addReporter(now time.Time, name model.NodeName) int {
	if observed.reporters == nil {
		observed.reporters = make(map[model.NodeName]time.Time)
	}
	observed.reporters[name] = now
	for other, at := range observed.reporters {
		if now.Sub(at) > reporterTTL {
			delete(observed.reporters, other)
		}
	}
	return len(observed.reporters)
}

// observationOf returns the observation of a target. A target without one gets an observation
// that counts as renewed now.
func (health *HealthMonitor) observationOf(token directory.Token) *observation {
	observed := health.observations[token]
	if observed == nil {
		observed = &observation{seenAt: health.now, renewedAt: health.now}
		health.observations[token] = observed
	}
	return observed
}

// checkTargets probes the targets that stopped renewing, recovers failed targets that renew
// again, and removes those that failed long ago.
func (health *HealthMonitor) checkTargets(now time.Time) {
	health.targets = health.directory.AppendTargets(health.targets[:0])
	targets := health.targets
	if len(health.observations) > 2*len(targets)+staleObservationSlack {
		health.pruneObservations()
	}
	for _, target := range targets {
		observed := health.observationOf(target.Token)
		switch target.State {
		case directory.TargetFailed:
			health.checkFailed(now, &target, observed)
		case directory.TargetLeft:
			health.probeIfSilent(now, &target, observed, health.options.MinProbeInterval)
		default:
			health.probeIfSilent(now, &target, observed, health.options.SilentAfter)
		}
	}
}

// staleObservationSlack is how many observations beyond twice the number of targets are kept
// before those of removed targets are pruned.
const staleObservationSlack = 64

// pruneObservations deletes the observations of targets that are no longer in the directory.
func (health *HealthMonitor) pruneObservations() {
	for token := range health.observations {
		if _, exists := health.directory.Incarnation(token); !exists {
			delete(health.observations, token)
		}
	}
}

// probeIfSilent probes a target that has neither renewed nor answered a probe for limit.
func (health *HealthMonitor) probeIfSilent(now time.Time, target *directory.Target, observed *observation, limit time.Duration) {
	if now.Sub(observed.seenAt) >= limit {
		health.probe(now, target.Token, target.Address)
	}
}

// checkFailed removes a target that failed long ago, or checks whether one that renews is alive.
func (health *HealthMonitor) checkFailed(now time.Time, target *directory.Target, observed *observation) {
	if observed.failedAt.IsZero() {
		observed.failedAt = now
	}
	switch {
	case now.Sub(observed.failedAt) > health.options.RemoveFailedAfter:
		health.logger.Info("target forgotten", zap.Uint64("target", uint64(target.ID)), zap.Duration("failed_for", now.Sub(observed.failedAt)))
		health.propose(now, target.Token, directory.Command{ForgetTargets: &directory.Forgetting{Tokens: []directory.Token{target.Token}}})
	case health.isContested(now, target, observed):
	case observed.renewedAt.After(observed.failedAt) && now.Sub(observed.renewedAt) <= health.options.MissedAfter:
		health.recoverIfAlive(now, target, observed)
	}
}

// occupantMissedRenewals is how many consecutive renewals the occupant of an address must miss until
// a single call of another target suffices to replace it. The call may have been sent long ago.
const occupantMissedRenewals = 2

// isContested reports whether an earlier incarnation, which has not failed, occupies the address of a
// failed target. The target takes the address over once it has called twice and the occupant has
// missed a renewal, or several. A probe would prove nothing, because either would answer it. An occupant
// that has left renews no more, so that a single call does not suffice against it. Calls of a service
// that is not declared never suffice against one that is: they come from another writer.
func (health *HealthMonitor) isContested(now time.Time, target *directory.Target, observed *observation) bool {
	occupant, contested := health.directory.Occupant(target.Token)
	if !contested {
		observed.contestedAt = time.Time{}
		return false
	}
	if observed.contestedAt.IsZero() {
		observed.contestedAt = now
	}
	silence := observed.renewedAt.Sub(health.observationOf(occupant.Token).renewedAt)
	calledTwice := observed.renewedAt.Sub(observed.contestedAt) >= health.options.MissedAfter/2
	missedSeveral := silence >= occupantMissedRenewals*health.options.MissedAfter && occupant.State != directory.TargetLeft
	configuration := health.directory.Configuration()
	foreign := configuration.HasService(occupant.Service) && !configuration.HasService(target.Service)
	if foreign || silence < health.options.MissedAfter || !calledTwice && !missedSeveral {
		return true
	}
	health.logger.Info("target replaced at its address",
		zap.Uint64("target", uint64(occupant.ID)), zap.Uint32("token", uint32(occupant.Token)),
		zap.Uint64("successor", uint64(target.ID)), zap.Duration("silence", silence))
	observed.failedAt = time.Time{}
	health.propose(now, target.Token, directory.Command{TargetHealth: &directory.HealthChange{
		Failed: []directory.Token{occupant.Token}, Recovered: []directory.Token{target.Token},
	}})
	return true
}

// recoverIfAlive handles a failed target that renews. The renewal may have been sent before
// the target failed, so the target must also answer a probe after it. If another incarnation
// has taken its address, a probe proves nothing, because that incarnation would answer it.
func (health *HealthMonitor) recoverIfAlive(now time.Time, target *directory.Target, observed *observation) {
	if successor, replaced := health.directory.Successor(target.Token); replaced {
		if observed.renewedAt.Sub(health.observationOf(successor.Token).renewedAt) >= health.options.MissedAfter*successorMissedRenewals {
			health.markFailed(now, successor, "an earlier incarnation renews at its address")
		}
		return
	}
	if !observed.answeredAt.After(observed.renewedAt) {
		health.probe(now, target.Token, target.Address)
		return
	}
	health.logger.Info("target recovered", zap.Uint64("target", uint64(target.ID)), zap.Duration("failed_for", now.Sub(observed.failedAt)))
	observed.failedAt = time.Time{}
	health.propose(now, target.Token, directory.Command{TargetHealth: &directory.HealthChange{Recovered: []directory.Token{target.Token}}})
}

// successorMissedRenewals is how many consecutive renewals the later incarnation at an address
// must miss, while the earlier one renews, before it counts as failed. Its registration was
// then a delayed one, sent before the incarnation that renews took the address.
const successorMissedRenewals = 3

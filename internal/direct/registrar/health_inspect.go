package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// observation is what the leader remembers of a target in memory.
type observation struct {
	// seenAt is when the target last renewed or answered a probe.
	seenAt time.Time
	// renewedAt is when it last renewed, and answeredAt when it last answered.
	renewedAt  time.Time
	answeredAt time.Time
	probedAt   time.Time
	failedAt   time.Time
	// proposedAt is when a change of the target was last proposed.
	proposedAt time.Time
	// silentProbes counts the leader's own probes in a row without an answer.
	silentProbes int
	// witnesses are the processes that found the target silent, with the time.
	witnesses map[model.NodeName]time.Time
}

// witness records that name found the target silent, and returns how many
// processes did lately.
func (known *observation) witness(now time.Time, name model.NodeName) int {
	if known.witnesses == nil {
		known.witnesses = make(map[model.NodeName]time.Time)
	}
	known.witnesses[name] = now
	for other, at := range known.witnesses {
		if now.Sub(at) > witnessFor {
			delete(known.witnesses, other)
		}
	}
	return len(known.witnesses)
}

// observation returns what is remembered of the target. One that is new to the
// leader counts as heard from just now.
func (health *HealthMonitor) observation(token directory.Token) *observation {
	known := health.observed[token]
	if known == nil {
		known = &observation{seenAt: health.now, renewedAt: health.now}
		health.observed[token] = known
	}
	return known
}

// inspect looks at every target for silence, return and age.
func (health *HealthMonitor) inspect(now time.Time) {
	health.looked = health.directory.AppendTargets(health.looked[:0])
	targets := health.looked
	if len(health.observed) > 2*len(targets)+observedSlack {
		health.dropForgotten()
	}
	for _, target := range targets {
		known := health.observation(target.Token)
		switch target.State {
		case directory.TargetFailed:
			health.inspectFailed(now, &target, known)
		case directory.TargetLeft:
			health.probeWhenSilent(now, &target, known, health.options.MinProbeInterval)
		default:
			health.probeWhenSilent(now, &target, known, health.options.SilentAfter)
		}
	}
}

// observedSlack is how many observations of forgotten targets are left alone.
const observedSlack = 64

// dropForgotten forgets observations of targets that are not in the directory.
func (health *HealthMonitor) dropForgotten() {
	for token := range health.observed {
		if _, exists := health.directory.Incarnation(token); !exists {
			delete(health.observed, token)
		}
	}
}

func (health *HealthMonitor) probeWhenSilent(now time.Time, target *directory.Target, known *observation, limit time.Duration) {
	if now.Sub(known.seenAt) >= limit {
		health.probe(now, target.Token, target.Address)
	}
}

func (health *HealthMonitor) inspectFailed(now time.Time, target *directory.Target, known *observation) {
	if known.failedAt.IsZero() {
		known.failedAt = now
	}
	switch {
	case now.Sub(known.failedAt) > health.options.RemoveFailedAfter:
		health.logger.Info("target forgotten", zap.Uint64("target", uint64(target.ID)), zap.Duration("failed_for", now.Sub(known.failedAt)))
		health.propose(now, target.Token, directory.Command{ForgetTargets: &directory.Forgetting{Tokens: []directory.Token{target.Token}}})
	case known.renewedAt.After(known.failedAt) && now.Sub(known.renewedAt) <= health.options.MissedAfter:
		health.reconsider(now, target, known)
	}
}

// reconsider looks at a failed target that renews. The renewal may have been
// sent before the target died, so that it must then answer a probe; and another
// incarnation may have its address by now, which answers in its place.
func (health *HealthMonitor) reconsider(now time.Time, target *directory.Target, known *observation) {
	if successor, replaced := health.directory.Successor(target.Token); replaced {
		if known.renewedAt.Sub(health.observation(successor.Token).renewedAt) >= health.options.MissedAfter*missedToYield {
			health.fail(now, successor, "a former incarnation renews at its address")
		}
		return
	}
	if !known.answeredAt.After(known.renewedAt) {
		health.probe(now, target.Token, target.Address)
		return
	}
	health.logger.Info("target recovered", zap.Uint64("target", uint64(target.ID)), zap.Duration("failed_for", now.Sub(known.failedAt)))
	known.failedAt = time.Time{}
	health.propose(now, target.Token, directory.Command{TargetHealth: &directory.HealthChange{Recovered: []directory.Token{target.Token}}})
}

// missedToYield is how many renewals in a row the later incarnation at an
// address must miss, while the former one renews, before it counts as dead: its
// registration came late, from a time before the one that renews.
const missedToYield = 3

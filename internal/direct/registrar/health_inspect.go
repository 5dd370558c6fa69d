package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// observation is what the leader remembers of a target in memory.
type observation struct {
	seenAt   time.Time
	probedAt time.Time
	failedAt time.Time
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

func (health *Health) observation(id directory.TargetID) *observation {
	known := health.observed[id]
	if known == nil {
		known = &observation{seenAt: health.since}
		health.observed[id] = known
	}
	return known
}

// inspect looks at every target for silence, return and age.
func (health *Health) inspect(now time.Time) {
	targets := health.directory.Targets()
	if len(health.observed) > 2*len(targets)+observedSlack {
		health.dropForgotten()
	}
	for _, target := range targets {
		known := health.observation(target.ID)
		switch target.State {
		case directory.TargetFailed:
			health.inspectFailed(now, target.ID, known)
		case directory.TargetLeft:
			health.probeWhenSilent(now, &target, known, health.options.ProbePause)
		default:
			health.probeWhenSilent(now, &target, known, health.options.SilentAfter)
		}
	}
}

// observedSlack is how many observations of forgotten targets are left alone.
const observedSlack = 64

// dropForgotten forgets observations of targets that are not in the directory.
func (health *Health) dropForgotten() {
	for id := range health.observed {
		if _, exists := health.directory.Target(id); !exists {
			delete(health.observed, id)
		}
	}
}

func (health *Health) probeWhenSilent(now time.Time, target *directory.Target, known *observation, limit time.Duration) {
	if now.Sub(known.seenAt) >= limit {
		health.probe(now, target.ID, target.Address)
	}
}

func (health *Health) inspectFailed(now time.Time, id directory.TargetID, known *observation) {
	if known.failedAt.IsZero() {
		known.failedAt = now
	}
	switch {
	case known.seenAt.After(known.failedAt):
		health.logger.Info("target recovered", zap.Uint64("target", uint64(id)), zap.Duration("failed_for", now.Sub(known.failedAt)))
		known.failedAt = time.Time{}
		health.propose(now, id, directory.Command{Health: &directory.HealthChange{Recovered: []directory.TargetID{id}}})
	case now.Sub(known.failedAt) > health.options.ForgetAfter:
		health.logger.Info("target forgotten", zap.Uint64("target", uint64(id)), zap.Duration("failed_for", now.Sub(known.failedAt)))
		health.propose(now, id, directory.Command{Forget: &directory.Forgetting{IDs: []directory.TargetID{id}}})
	}
}

package mutant

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

// drainDelay is how long after its drain a broken agent still accepts requests. It is longer than
// the grace period.
const drainDelay = 6 * time.Second

func drainHonouredLate() Mutant {
	return Mutant{
		Name:     "drain-honoured-late",
		Breaks:   "an agent refuses new requests only some seconds after it was drained",
		Expect:   []checker.Invariant{checker.InvariantDrain},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(run *sim.Run, parts *world.Parts) {
			since := make(map[model.TargetID]time.Duration)
			standard := parts.Draining
			parts.Draining = func(configuration *model.Configuration, target model.TargetID) bool {
				if !standard(configuration, target) {
					delete(since, target)
					return false
				}
				if _, known := since[target]; !known {
					since[target] = run.Elapsed()
				}
				return run.Elapsed()-since[target] >= drainDelay
			}
		},
	}
}

func stopWithoutWaiting() Mutant {
	return Mutant{
		Name:     "stop-without-waiting",
		Breaks:   "a planned stop does not wait for running requests and open flows",
		Expect:   []checker.Invariant{checker.InvariantStopCutsNothing},
		Scenario: namedScenario("rolling-restart"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Idle = func(int, bool) bool { return true }
		},
	}
}

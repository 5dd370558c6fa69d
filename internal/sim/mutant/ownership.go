package mutant

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
	"merlinpaddle/internal/steering"
)

func ownersIgnored() Mutant {
	return Mutant{
		Name:     "owners-ignored",
		Breaks:   "an agent delivers packets of flows that another target owns",
		Expect:   []checker.Invariant{checker.InvariantOneOwner},
		Scenario: namedScenario("balancer-death"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Steering = func(_ steering.Options, standard world.Steerer) world.Steerer {
				return deliversAll{Steerer: standard}
			}
		},
	}
}

// deliversAll delivers packets of open flows that it should forward.
type deliversAll struct{ world.Steerer }

// Decide implements world.Steerer.
func (steerer deliversAll) Decide(now time.Time, input steering.Input) steering.Decision {
	decision := steerer.Steerer.Decide(now, input)
	if decision.Action == steering.ActionForward && !input.Opening {
		return steering.Decision{Action: steering.ActionDeliver}
	}
	return decision
}

// The virtual time in which a broken agent drops packets. Targets serve traffic by then.
const (
	dropsFrom  = 30 * time.Second
	dropsUntil = 35 * time.Second
)

func flowsFrozen() Mutant {
	return Mutant{
		Name:     "flows-frozen",
		Breaks:   "an agent drops the packets of its open flows for some seconds",
		Expect:   []checker.Invariant{checker.InvariantFlowKept},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(run *sim.Run, parts *world.Parts) {
			parts.Steering = func(_ steering.Options, standard world.Steerer) world.Steerer {
				return dropsOpenFlows{Steerer: standard, run: run}
			}
		},
	}
}

// dropsOpenFlows drops the packets of open flows from dropsFrom until dropsUntil.
type dropsOpenFlows struct {
	world.Steerer
	run *sim.Run
}

// Decide implements world.Steerer.
func (steerer dropsOpenFlows) Decide(now time.Time, input steering.Input) steering.Decision {
	decision := steerer.Steerer.Decide(now, input)
	elapsed := steerer.run.Elapsed()
	if !input.Opening && elapsed >= dropsFrom && elapsed < dropsUntil {
		return steering.Decision{Action: steering.ActionDrop}
	}
	return decision
}

func instanceIgnored() Mutant {
	return Mutant{
		Name:     "instance-ignored",
		Breaks:   "a restarted target accepts packets of flows of its previous incarnation",
		Expect:   []checker.Invariant{checker.InvariantOneOwner},
		Scenario: namedScenario("target-restart"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Steering = func(_ steering.Options, standard world.Steerer) world.Steerer {
				return neverResets{Steerer: standard}
			}
		},
	}
}

// neverResets delivers packets that it should answer with a reset, because no target owns their
// flow.
type neverResets struct{ world.Steerer }

// Decide implements world.Steerer.
func (steerer neverResets) Decide(now time.Time, input steering.Input) steering.Decision {
	decision := steerer.Steerer.Decide(now, input)
	if decision.Action == steering.ActionReset {
		return steering.Decision{Action: steering.ActionDeliver}
	}
	return decision
}

func serviceNotChecked() Mutant {
	return Mutant{
		Name:     "service-not-checked",
		Breaks:   "an agent delivers packets that were sent to another service",
		Expect:   []checker.Invariant{checker.InvariantServiceIsolation},
		Scenario: namedScenario("address-reuse"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Steering = func(_ steering.Options, standard world.Steerer) world.Steerer {
				return deliversOtherServices{Steerer: standard}
			}
		},
	}
}

// deliversOtherServices delivers packets that were sent to other services.
type deliversOtherServices struct{ world.Steerer }

// Decide implements world.Steerer.
func (steerer deliversOtherServices) Decide(now time.Time, input steering.Input) steering.Decision {
	decision := steerer.Steerer.Decide(now, input)
	if decision.Reason == steering.ReasonForeign {
		return steering.Decision{Action: steering.ActionDeliver}
	}
	return decision
}

package mutant

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
	"merlinpaddle/internal/steering"
)

func chainCutToHead() Mutant {
	return Mutant{
		Name:     "chain-cut-to-head",
		Breaks:   "packets are sent to the head of a chain only and not forwarded along it",
		Expect:   []checker.Invariant{checker.InvariantFlowKept, checker.InvariantOneOwner},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Chain = func(bucket model.Bucket) []model.TargetID { return routing.Chain(bucket)[:1] }
			parts.Steering = func(options steering.Options, standard world.Steerer) world.Steerer {
				return headOnly{Steerer: standard}
			}
		},
	}
}

// headOnly resets the flows that it does not own instead of forwarding their packets.
type headOnly struct{ world.Steerer }

// Decide implements world.Steerer.
func (steerer headOnly) Decide(now time.Time, input steering.Input) steering.Decision {
	decision := steerer.Steerer.Decide(now, input)
	if decision.Action == steering.ActionForward && decision.Stage == model.StageLookup && !input.Opening {
		return steering.Decision{Action: steering.ActionReset, Reason: steering.ReasonNoOwner}
	}
	return decision
}

func bucketsReportedEmptyEarly() Mutant {
	return Mutant{
		Name:     "empty-reported-early",
		Breaks:   "agents report buckets as empty that still have flows, so that their chain entries are removed",
		Expect:   []checker.Invariant{checker.InvariantFlowKept, checker.InvariantOneOwner},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Steering = func(options steering.Options, standard world.Steerer) world.Steerer {
				return emptyEarly{Steerer: standard, options: options}
			}
		},
	}
}

// emptyEarly reports every bucket that was moved away from its target as empty.
type emptyEarly struct {
	world.Steerer
	options steering.Options
}

// Empty implements world.Steerer.
func (steerer emptyEarly) Empty(at model.Revision) []model.BucketEmpty {
	configuration := steerer.options.Configurations.Current()
	service := configuration.Targets[steerer.options.Target].Service
	table := configuration.Buckets[service]
	if table == nil {
		return nil
	}
	at = min(at, configuration.Revision)
	var empty []model.BucketEmpty
	for _, bucket := range routing.BucketsMovedFrom(table, steerer.options.Target, at) {
		empty = append(empty, model.BucketEmpty{Service: service, Target: steerer.options.Target, Bucket: bucket, At: at})
	}
	return empty
}

func searchSkipped() Mutant {
	return Mutant{
		Name:     "search-skipped",
		Breaks:   "the head of a chain opens a flow without asking the earlier targets",
		Expect:   []checker.Invariant{checker.InvariantOneOwner},
		Scenario: namedScenario("uneven-rollout"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Steering = func(_ steering.Options, standard world.Steerer) world.Steerer {
				return neverSearches{Steerer: standard}
			}
		},
	}
}

// neverSearches treats each search for the owner of a flow as ended without finding one.
type neverSearches struct{ world.Steerer }

// Decide implements world.Steerer.
func (steerer neverSearches) Decide(now time.Time, input steering.Input) steering.Decision {
	decision := steerer.Steerer.Decide(now, input)
	begins := decision.Action == steering.ActionForward && decision.Stage == model.StageSearch && input.Stage != model.StageSearch
	if !begins {
		return decision
	}
	input.Chain = decision.Chain
	input.Revision = decision.Revision
	input.Stage = model.StageSearch
	input.Position = len(decision.Chain) - 1
	return steerer.Steerer.Decide(now, input)
}

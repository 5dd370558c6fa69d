// Package mutant holds deliberately broken variants of the system, each with
// the scenario whose checkers must catch it. Variants are put in through the
// interfaces that the simulation composes; the product's code knows nothing of
// them. A variant that no seed catches means that a checker is blind, or that
// the scenario never brings the failure about.
//
// A catch counts only if the same scenario passes the same invariants with the
// same seed when the variant is left out.
package mutant

import (
	"slices"
	"sync"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

// Change replaces parts of the world of one run.
type Change func(run *sim.Run, parts *world.Parts)

// Mutant is one broken variant.
type Mutant struct {
	Name string
	// Breaks says what the variant does wrong.
	Breaks string
	// Expect lists the invariants of which one must be reported.
	Expect []checker.Invariant
	// Scenario is the scenario that is played.
	Scenario Scenario
	// Fault is what goes wrong around the variant, which the unbroken system
	// survives; nil when the story has all that is needed.
	Fault Change
	// Variant puts the broken part in.
	Variant Change
}

// Broken returns the scenario with the variant in it.
func (mutant Mutant) Broken() sim.Scenario { return mutant.scenario(mutant.Fault, mutant.Variant) }

// Unbroken returns the same scenario without the variant.
func (mutant Mutant) Unbroken() sim.Scenario { return mutant.scenario(mutant.Fault) }

func (mutant Mutant) scenario(changes ...Change) sim.Scenario {
	return sim.Scenario{
		Name:    mutant.Scenario.Name,
		Summary: mutant.Breaks,
		Play: func(run *sim.Run) {
			parts := world.StandardParts()
			for _, change := range changes {
				if change != nil {
					change(run, &parts)
				}
			}
			mutant.Scenario.Play(run, parts)
		},
	}
}

// Finding tells how a mutant was caught, or that it was not.
type Finding struct {
	Mutant Mutant
	Caught bool
	// Seeds is the number of seeds that were run in order until the catch.
	Seeds uint64
	// Seed is the seed that caught it.
	Seed uint64
	// Violation is the first one of an expected invariant.
	Violation checker.Violation
	// OtherInvariants lists the other invariants that the broken runs violated.
	OtherInvariants []checker.Invariant
	// FailedUnbroken counts the seeds that caught the variant and do not
	// count, because the scenario failed without the variant too.
	FailedUnbroken uint64
}

// Hunt runs the mutant's scenario over the seeds in order until an expected
// invariant is violated.
func Hunt(mutant Mutant, seeds sim.SeedRange) Finding {
	finding := Finding{Mutant: mutant}
	for seed := seeds.First; ; seed++ {
		finding.Seeds++
		if finding.runSeed(seed) || seed == seeds.Last {
			return finding
		}
	}
}

// runSeed runs one seed and tells whether it caught the variant.
func (finding *Finding) runSeed(seed uint64) bool {
	result := sim.Execute(finding.Mutant.Broken(), seed)
	violation, violated := finding.firstExpected(result)
	if !violated {
		finding.recordOthers(result)
		return false
	}
	if _, fails := finding.firstExpected(sim.Execute(finding.Mutant.Unbroken(), seed)); fails {
		finding.FailedUnbroken++
		return false
	}
	finding.recordOthers(result)
	finding.Caught = true
	finding.Seed = seed
	finding.Violation = violation
	return true
}

func (finding *Finding) firstExpected(result sim.Result) (checker.Violation, bool) {
	for _, violation := range result.Violations {
		if slices.Contains(finding.Mutant.Expect, violation.Invariant) {
			return violation, true
		}
	}
	return checker.Violation{}, false
}

func (finding *Finding) recordOthers(result sim.Result) {
	for _, violation := range result.Violations {
		expected := slices.Contains(finding.Mutant.Expect, violation.Invariant)
		if !expected && !slices.Contains(finding.OtherInvariants, violation.Invariant) {
			finding.OtherInvariants = append(finding.OtherInvariants, violation.Invariant)
		}
	}
}

// HuntAll hunts several mutants at the same time and reports the findings in
// the order of mutants.
func HuntAll(mutants []Mutant, seeds sim.SeedRange, workers int, report func(Finding)) {
	findings := make([]chan Finding, len(mutants))
	for place := range findings {
		findings[place] = make(chan Finding, 1)
	}
	places := make(chan int)
	var group sync.WaitGroup
	for range max(workers, 1) {
		group.Go(func() {
			for place := range places {
				findings[place] <- Hunt(mutants[place], seeds)
			}
		})
	}
	go func() {
		for place := range mutants {
			places <- place
		}
		close(places)
	}()
	for _, finding := range findings {
		report(<-finding)
	}
	group.Wait()
}

// Package mutant holds deliberately broken variants of the system (mutation tests of the checkers).
// Each has a scenario in which the checkers must catch it. Variants replace parts that the simulation
// composes (world.Parts); the product's code does not know of them. If no seed catches a variant,
// a checker misses the failure, or the scenario never causes it.
//
// A catch counts only if the scenario without the variant keeps the expected invariants with the
// same seed.
package mutant

import (
	"slices"
	"sync"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

// PartsChange replaces parts of a run's world. It is called before the world is built.
type PartsChange func(run *sim.Run, parts *world.Parts)

// Mutant is one broken variant.
type Mutant struct {
	Name string
	// Breaks says what the variant does wrong.
	Breaks string
	// Expect lists invariants, at least one of which must be violated.
	Expect []checker.Invariant
	// Scenario is the scenario that is played.
	Scenario Scenario
	// Fault is an additional fault in the environment, which the unbroken system tolerates; nil if
	// the scenario has all the faults that are needed.
	Fault PartsChange
	// Variant replaces a part by the broken one.
	Variant PartsChange
}

// Broken returns the scenario with the variant.
func (mutant Mutant) Broken() sim.Scenario { return mutant.scenario(mutant.Fault, mutant.Variant) }

// Unbroken returns the same scenario without the variant.
func (mutant Mutant) Unbroken() sim.Scenario { return mutant.scenario(mutant.Fault) }

func (mutant Mutant) scenario(changes ...PartsChange) sim.Scenario {
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

// Finding is the result of a hunt for one mutant.
type Finding struct {
	Mutant Mutant
	Caught bool
	// Seeds is the number of seeds that were run, including the one that caught the mutant.
	Seeds uint64
	// Seed is the seed that caught the mutant.
	Seed uint64
	// Violation is the first violation of an expected invariant with that seed.
	Violation checker.Violation
	// OtherInvariants lists the unexpected invariants that the broken runs violated.
	OtherInvariants []checker.Invariant
	// FailedUnbroken counts the seeds whose catch does not count, because an expected invariant was
	// violated without the variant too.
	FailedUnbroken uint64
}

// Hunt runs the mutant's scenario with the seeds in order until one catches the mutant.
func Hunt(mutant Mutant, seeds sim.SeedRange) Finding {
	finding := Finding{Mutant: mutant}
	for seed := seeds.First; ; seed++ {
		finding.Seeds++
		if finding.runSeed(seed) || seed == seeds.Last {
			return finding
		}
	}
}

// runSeed runs one seed and reports whether it caught the mutant.
func (finding *Finding) runSeed(seed uint64) bool {
	result := sim.Execute(finding.Mutant.Broken(), seed)
	violation, violated := finding.firstExpected(result)
	if !violated {
		finding.recordOtherInvariants(result)
		return false
	}
	if _, fails := finding.firstExpected(sim.Execute(finding.Mutant.Unbroken(), seed)); fails {
		finding.FailedUnbroken++
		return false
	}
	finding.recordOtherInvariants(result)
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

func (finding *Finding) recordOtherInvariants(result sim.Result) {
	for _, violation := range result.Violations {
		expected := slices.Contains(finding.Mutant.Expect, violation.Invariant)
		if !expected && !slices.Contains(finding.OtherInvariants, violation.Invariant) {
			finding.OtherInvariants = append(finding.OtherInvariants, violation.Invariant)
		}
	}
}

// HuntAll hunts several mutants concurrently and calls report for the findings in the order of
// mutants.
func HuntAll(mutants []Mutant, seeds sim.SeedRange, workers int, report func(Finding)) {
	findings := make([]chan Finding, len(mutants))
	for index := range findings {
		findings[index] = make(chan Finding, 1)
	}
	indices := make(chan int)
	var group sync.WaitGroup
	for range max(workers, 1) {
		group.Go(func() {
			for index := range indices {
				findings[index] <- Hunt(mutants[index], seeds)
			}
		})
	}
	go func() {
		for index := range mutants {
			indices <- index
		}
		close(indices)
	}()
	for _, finding := range findings {
		report(<-finding)
	}
	group.Wait()
}

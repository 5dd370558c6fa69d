package sim

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
)

// SeedRange is a closed range of seeds.
type SeedRange struct {
	First uint64
	Last  uint64
}

// ParseSeedRange reads "A-B" or a single "A", any unsigned 64-bit numbers.
func ParseSeedRange(text string) (SeedRange, error) {
	low, high, isRange := strings.Cut(text, "-")
	first, err := parseSeed(low)
	if err != nil {
		return SeedRange{}, err
	}
	if !isRange {
		return SeedRange{First: first, Last: first}, nil
	}
	last, err := parseSeed(high)
	if err != nil {
		return SeedRange{}, err
	}
	if last < first {
		return SeedRange{}, fmt.Errorf("the last seed is below the first in %q", text)
	}
	return SeedRange{First: first, Last: last}, nil
}

func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a seed, a number from 0 to %d", text, uint64(math.MaxUint64))
	}
	return seed, nil
}

// Count returns the number of seeds, or the largest number when there is one
// more than that.
func (seeds SeedRange) Count() uint64 {
	count := seeds.Last - seeds.First
	if count < math.MaxUint64 {
		count++
	}
	return count
}

// Sweep runs each scenario with each seed on the given number of workers and
// calls report for the results in order: scenario by scenario, seed by seed.
// It stops early, without more results, once report returns false.
func Sweep(scenarios []Scenario, seeds SeedRange, workers int, report func(Result) bool) {
	for _, scenario := range scenarios {
		if !sweepScenario(scenario, seeds, workers, report) {
			return
		}
	}
}

// seedRun is the run of one seed and the place for its result.
type seedRun struct {
	seed   uint64
	result chan Result
}

// sweepScenario runs the seeds of one scenario. It returns false when report did.
// No run is left behind when it returns.
func sweepScenario(scenario Scenario, seeds SeedRange, workers int, report func(Result) bool) bool {
	workers = max(workers, 1)
	runs := make(chan seedRun)
	// Its capacity bounds how far runs may be ahead of the reports.
	ordered := make(chan seedRun, 2*workers)
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for run := range runs {
				run.result <- Execute(scenario, run.seed)
			}
		})
	}
	group.Go(func() { dispatchSeeds(seeds, ordered, runs, stopped) })
	finished := reportInOrder(ordered, report)
	close(stopped)
	group.Wait()
	return finished
}

// dispatchSeeds hands out the seeds in order until stopped is closed.
func dispatchSeeds(seeds SeedRange, ordered, runs chan<- seedRun, stopped <-chan struct{}) {
	defer close(ordered)
	defer close(runs)
	for seed := seeds.First; ; seed++ {
		run := seedRun{seed: seed, result: make(chan Result, 1)}
		for _, queue := range []chan<- seedRun{runs, ordered} {
			select {
			case queue <- run:
			case <-stopped:
				return
			}
		}
		if seed == seeds.Last {
			return
		}
	}
}

func reportInOrder(ordered <-chan seedRun, report func(Result) bool) bool {
	for run := range ordered {
		if !report(<-run.result) {
			return false
		}
	}
	return true
}

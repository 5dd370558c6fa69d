package sim

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
)

// SeedRange is a range of seeds that includes First and Last.
type SeedRange struct {
	First uint64
	Last  uint64
}

// ParseSeedRange parses "A-B" or a single "A", where A and B are unsigned 64-bit numbers.
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

// Count returns the number of seeds. For the range of all 2^64 seeds it returns math.MaxUint64.
func (seeds SeedRange) Count() uint64 {
	count := seeds.Last - seeds.First
	if count < math.MaxUint64 {
		count++
	}
	return count
}

// Sweep runs each scenario with each seed on the given number of workers and calls report for the
// results in order: scenario by scenario, seed by seed. It stops when report returns false.
func Sweep(scenarios []Scenario, seeds SeedRange, workers int, report func(Result) bool) {
	for _, scenario := range scenarios {
		if !sweepScenario(scenario, seeds, workers, report) {
			return
		}
	}
}

// seedRun is a seed to run and the channel for its result.
type seedRun struct {
	seed   uint64
	result chan Result
}

// sweepScenario runs the seeds of one scenario. It reports whether every call of report returned
// true. All workers have ended when it returns.
func sweepScenario(scenario Scenario, seeds SeedRange, workers int, report func(Result) bool) bool {
	workers = max(workers, 1)
	runs := make(chan seedRun)
	// The capacity bounds how far the runs may be ahead of the reports.
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

// dispatchSeeds sends the seeds in order to both channels until stopped is closed.
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

// reportInOrder waits for the results in order and reports them. It stops when report returns false,
// and reports whether every call of report returned true.
func reportInOrder(ordered <-chan seedRun, report func(Result) bool) bool {
	for run := range ordered {
		if !report(<-run.result) {
			return false
		}
	}
	return true
}

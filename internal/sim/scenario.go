// Package sim runs scenarios: deterministic simulations of a whole system on a
// virtual clock, judged by the checkers. Package world composes the system out
// of the product's own controllers, package scenario says what happens to it,
// and package kernel supplies clock, network and processes.
package sim

import (
	"fmt"
	"runtime/debug"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

// Scenario is one story with faults. Play is called once for each seed.
type Scenario struct {
	Name string
	// Summary says what fails and what must hold.
	Summary string
	Play    func(run *Run)
}

// Run is one execution of a scenario with one seed.
type Run struct {
	Seed      uint64
	Scheduler *kernel.Scheduler
	Trace     *kernel.Trace
	Report    *checker.Report
	// Watch gets notes on single packets, which are not part of the digest;
	// nil when nobody watches.
	Watch func(flow uint64, note string)
	// beforeViolation are the latest events at the first violation.
	beforeViolation []kernel.Event
}

// NewRun returns an empty run at virtual time zero.
func NewRun(seed uint64) *Run {
	scheduler := kernel.NewScheduler()
	run := &Run{
		Seed:      seed,
		Scheduler: scheduler,
		Trace:     kernel.NewTrace(scheduler),
		Report:    &checker.Report{},
	}
	run.Report.Observe(run.recordViolation)
	return run
}

// recordViolation keeps the events that led to the first violation, and records
// each violation among the events.
func (run *Run) recordViolation(violation checker.Violation) {
	if run.beforeViolation == nil {
		run.beforeViolation = run.Trace.Latest()
	}
	run.Trace.Add("checker", "violated", fmt.Sprintf("%s: %s", violation.Invariant, violation.Detail))
}

// Random returns the named random stream of the run's seed.
func (run *Run) Random(name string) *kernel.Random { return kernel.NewRandom(run.Seed, name) }

// Elapsed returns the virtual time since the start.
func (run *Run) Elapsed() time.Duration { return run.Scheduler.Elapsed() }

// Result is how one run ended.
type Result struct {
	Scenario   string
	Seed       uint64
	Digest     uint64
	Elapsed    time.Duration
	Events     uint64
	Violations []checker.Violation
	// Latest are the events before the first violation.
	Latest []kernel.Event
	// PanicStack is set when a controller panicked.
	PanicStack string
}

// Failed tells whether the run broke an invariant.
func (result Result) Failed() bool { return len(result.Violations) > 0 }

// Execute runs scenario with seed from start to end.
func Execute(scenario Scenario, seed uint64) Result { return ExecuteRun(scenario, NewRun(seed)) }

// ExecuteRun plays scenario on a run that the caller prepared.
func ExecuteRun(scenario Scenario, run *Run) Result {
	stack := play(scenario, run)
	result := Result{
		Scenario:   scenario.Name,
		Seed:       run.Seed,
		Digest:     run.Trace.Digest(),
		Elapsed:    run.Elapsed(),
		Events:     run.Scheduler.Executed(),
		Violations: run.Report.Violations(),
		PanicStack: stack,
	}
	if result.Failed() {
		result.Latest = run.beforeViolation
	}
	return result
}

// play runs the scenario and turns a panic into a violation.
func play(scenario Scenario, run *Run) (stack string) {
	defer func() {
		if cause := recover(); cause != nil {
			run.Report.Add(checker.InvariantNoPanic, run.Elapsed(), "%v", cause)
			stack = string(debug.Stack())
		}
	}()
	scenario.Play(run)
	return ""
}

// Package sim runs scenarios: deterministic simulations of the complete system on a virtual clock,
// verified by package checker. Packages world and directworld compose the system out of the
// product's own controllers, package scenario defines the traffic and the faults, and package
// kernel supplies the clock, the network and the processes.
package sim

import (
	"fmt"
	"runtime/debug"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

// Scenario is a sequence of faults and changes to the simulated system.
type Scenario struct {
	Name string
	// Summary says which faults and changes occur and what must hold meanwhile.
	Summary string
	// Play executes the scenario. It is called once for each seed.
	Play func(run *Run)
}

// Run is one execution of a scenario with one seed.
type Run struct {
	Seed      uint64
	Scheduler *kernel.Scheduler
	Trace     *kernel.Trace
	Report    *checker.Report
	// Watch is called with notes on single packets, which are not part of the digest. It may be
	// nil.
	Watch func(flow uint64, note string)
	// beforeViolation has the last events before the first violation.
	beforeViolation []kernel.Event
}

// NewRun returns a run at virtual time zero, without events.
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

// recordViolation keeps the last events before the first violation, and adds each violation to the
// trace.
func (run *Run) recordViolation(violation checker.Violation) {
	if run.beforeViolation == nil {
		run.beforeViolation = run.Trace.Latest()
	}
	run.Trace.Add("checker", "violated", fmt.Sprintf("%s: %s", violation.Invariant, violation.Detail))
}

// Random returns the random stream of the given name, derived from the run's seed.
func (run *Run) Random(name string) *kernel.Random { return kernel.NewRandom(run.Seed, name) }

// Elapsed returns the virtual time since the start of the run.
func (run *Run) Elapsed() time.Duration { return run.Scheduler.Elapsed() }

// Result is the outcome of one run.
type Result struct {
	Scenario string
	Seed     uint64
	// Digest is the hash of the run's trace.
	Digest uint64
	// Elapsed is the virtual time at the end of the run.
	Elapsed time.Duration
	// Events is the number of events that the scheduler executed.
	Events     uint64
	Violations []checker.Violation
	// Latest has the last events before the first violation.
	Latest []kernel.Event
	// PanicStack is the stack trace if a controller panicked, and empty otherwise.
	PanicStack string
}

// Failed reports whether the run violated an invariant.
func (result Result) Failed() bool { return len(result.Violations) > 0 }

// Execute runs scenario with the given seed from start to end.
func Execute(scenario Scenario, seed uint64) Result { return ExecuteRun(scenario, NewRun(seed)) }

// ExecuteRun plays scenario on a run that the caller has set up.
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

// play plays the scenario. It converts a panic into a violation and returns the panic's stack
// trace.
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

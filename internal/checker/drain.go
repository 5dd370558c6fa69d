package checker

import (
	"maps"
	"slices"
	"time"
)

// Work is what a target took on.
type Work string

// The kinds of work.
const (
	WorkFlow    Work = "flow"
	WorkRequest Work = "request"
)

// Drain checks that a leaving target gets no new work after a grace period.
type Drain struct {
	report  *Report
	grace   time.Duration
	drained map[uint32]time.Duration
	// late counts work taken within the grace period.
	withinGrace int
	// suspended counts the reasons for which drains cannot arrive at present.
	suspended int
}

// NewDrain returns a checker that writes into report.
func NewDrain(report *Report, grace time.Duration) *Drain {
	return &Drain{report: report, grace: grace, drained: make(map[uint32]time.Duration)}
}

// Accepted records that the system accepted the drain of a target.
func (drain *Drain) Accepted(target uint32, at time.Duration) {
	if _, already := drain.drained[target]; !already {
		drain.drained[target] = at
	}
}

// Leaving returns the targets that were drained and not asked back, in order.
func (drain *Drain) Draining() []uint32 { return slices.Sorted(maps.Keys(drain.drained)) }

// CheckKept reports a drain that was accepted and has no effect any more;
// serving tells that the target takes new work again.
func (drain *Drain) CheckKept(target uint32, serving bool, at time.Duration) {
	if _, leaving := drain.drained[target]; leaving && serving {
		drain.report.Add(InvariantCommittedKept, at, "target %d serves again; its drain was accepted and never taken back", target)
	}
}

// Suspend stops the judgement while the scenario itself keeps drains from
// arriving, as when it cuts a target off from control.
func (drain *Drain) Suspend() { drain.suspended++ }

// Resume ends one suspension. Drains that were accepted count from the given
// time, by which they must have arrived.
func (drain *Drain) Resume(arrived time.Duration) {
	drain.suspended--
	for target, since := range drain.drained {
		drain.drained[target] = max(since, arrived)
	}
}

// Undrained records that the target was asked to serve again.
func (drain *Drain) Undrained(target uint32) { delete(drain.drained, target) }

// Took records new work at a target.
func (drain *Drain) WorkStarted(target uint32, work Work, at time.Duration) {
	since, leaving := drain.drained[target]
	if !leaving || drain.suspended > 0 {
		return
	}
	if at-since > drain.grace {
		drain.report.Add(InvariantDrain, at, "target %d took a new %s %s after its drain was accepted", target, work, at-since)
		return
	}
	drain.withinGrace++
}

// WithinGrace returns how much work came within the grace period.
func (drain *Drain) WithinGrace() int { return drain.withinGrace }

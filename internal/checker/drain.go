package checker

import (
	"maps"
	"slices"
	"time"
)

// Work is a kind of work that a target started.
type Work string

// The kinds of work.
const (
	WorkFlow    Work = "flow"
	WorkRequest Work = "request"
)

// Drain checks that a draining target gets no new work after a grace period.
type Drain struct {
	report *Report
	grace  time.Duration
	// drained has, for each draining target, the time from which the grace period counts.
	drained map[uint32]time.Duration
	// withinGrace counts work that draining targets started within the grace period.
	withinGrace int
	// suspended counts the suspensions that are in effect.
	suspended int
}

// NewDrain returns a checker that adds its violations to report. A draining target may still get
// new work for the grace period after its drain was accepted.
func NewDrain(report *Report, grace time.Duration) *Drain {
	return &Drain{report: report, grace: grace, drained: make(map[uint32]time.Duration)}
}

// Accepted records that the system accepted the drain of a target.
func (drain *Drain) Accepted(target uint32, at time.Duration) {
	if _, already := drain.drained[target]; !already {
		drain.drained[target] = at
	}
}

// Draining returns the targets whose drain was accepted and not undone, in ascending order.
func (drain *Drain) Draining() []uint32 { return slices.Sorted(maps.Keys(drain.drained)) }

// CheckKept reports a violation if a target whose drain was accepted serves again; serving says
// whether the target accepts new work.
func (drain *Drain) CheckKept(target uint32, serving bool, at time.Duration) {
	if _, leaving := drain.drained[target]; leaving && serving {
		drain.report.Add(InvariantCommittedKept, at, "target %d serves again; its drain was accepted and never taken back", target)
	}
}

// Suspend stops the check while the scenario itself keeps drains from taking effect, for example
// while it cuts a target off from the control group. Suspensions nest.
func (drain *Drain) Suspend() { drain.suspended++ }

// Resume ends one suspension. The grace period of drains that were accepted earlier counts from
// the given time, by which they must have arrived.
func (drain *Drain) Resume(arrived time.Duration) {
	drain.suspended--
	for target, since := range drain.drained {
		drain.drained[target] = max(since, arrived)
	}
}

// Undrained records that the target was asked to serve again.
func (drain *Drain) Undrained(target uint32) { delete(drain.drained, target) }

// WorkStarted records that a target started a new flow or request.
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

// WithinGrace returns how many flows and requests draining targets started within their grace
// period.
func (drain *Drain) WithinGrace() int { return drain.withinGrace }

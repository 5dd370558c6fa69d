// Package checker holds the invariants that runs are judged by. Checkers see
// only what can be observed from outside (packets, answers, the back ends' own
// ledger, acknowledged changes) and share no code with what they check.
//
// The package is pure. Times are durations since the start of the run.
package checker

import (
	"fmt"
	"time"
)

// Invariant names a property that must always hold.
type Invariant string

// The invariants.
const (
	// InvariantFlowKept: a flow survives every planned change; an unplanned
	// death of a target ends only the flows that lived on it.
	InvariantFlowKept Invariant = "flow-kept"
	// InvariantOneOwner: a flow is delivered to one target for life.
	InvariantOneOwner Invariant = "one-owner"
	// InvariantServiceIsolation: a packet of one service never reaches another.
	InvariantServiceIsolation Invariant = "service-isolation"
	// InvariantAnswerBound: an answer belongs to its own request and is whole.
	InvariantAnswerBound Invariant = "answer-bound"
	// InvariantRefusedNotRun: what was refused as not run did not run.
	InvariantRefusedNotRun Invariant = "refused-not-run"
	// InvariantAtMostOnce: a request that may not be repeated runs once.
	InvariantAtMostOnce Invariant = "at-most-once"
	// InvariantRequestAnswered: a request gets an end.
	InvariantRequestAnswered Invariant = "request-answered"
	// InvariantDrain: a leaving target gets no new work after a few seconds.
	InvariantDrain Invariant = "drain"
	// InvariantEvacuated: a zone that is emptied by order gets no new work after a few
	// seconds, and orders that were acknowledged hold.
	InvariantEvacuated Invariant = "evacuated"
	// InvariantColdRate: a cold target gets no more new flows in any second than it
	// bears.
	InvariantColdRate Invariant = "cold-rate"
	// InvariantStopCutsNothing: a planned stop cuts no request in progress.
	InvariantStopCutsNothing Invariant = "stop-cuts-nothing"
	// InvariantInForce: an accepted configuration runs on every leased
	// balancer within the bound.
	InvariantInForce Invariant = "in-force"
	// InvariantNoRevert: a node never runs a lower revision than before.
	InvariantNoRevert Invariant = "no-revert"
	// InvariantSameConfiguration: equal revisions mean equal configuration.
	InvariantSameConfiguration Invariant = "same-configuration"
	// InvariantCommittedKept: a committed change is never lost.
	InvariantCommittedKept Invariant = "committed-kept"
	// InvariantOneWinner: one of several changes of equal revision wins.
	InvariantOneWinner Invariant = "one-winner"
	// InvariantAppliedOnce: a resent change is applied once.
	InvariantAppliedOnce Invariant = "applied-once"
	// InvariantReplicasAgree: members with equal applied index agree.
	InvariantReplicasAgree Invariant = "replicas-agree"
	// InvariantOneLeader: a term has one leader.
	InvariantOneLeader Invariant = "one-leader"
	// InvariantLinearizable: operators' histories have a sequential order.
	InvariantLinearizable Invariant = "linearizable"
	// InvariantTimely: under load, enough of what is asked is answered within
	// its objective, and callers' tries do not multiply at the targets.
	InvariantTimely Invariant = "timely"
	// InvariantNoPanic: no controller panics.
	InvariantNoPanic Invariant = "no-panic"
	// InvariantProgress: the run did what its scenario is about. It keeps a
	// scenario from passing because nothing happened.
	InvariantProgress Invariant = "progress"
)

// Invariants returns all invariants.
func Invariants() []Invariant {
	return []Invariant{
		InvariantFlowKept, InvariantOneOwner, InvariantServiceIsolation,
		InvariantAnswerBound, InvariantRefusedNotRun, InvariantAtMostOnce, InvariantRequestAnswered,
		InvariantDrain, InvariantEvacuated, InvariantColdRate, InvariantStopCutsNothing,
		InvariantInForce, InvariantNoRevert, InvariantSameConfiguration,
		InvariantCommittedKept, InvariantOneWinner, InvariantAppliedOnce,
		InvariantReplicasAgree, InvariantOneLeader, InvariantLinearizable,
		InvariantTimely, InvariantNoPanic, InvariantProgress,
	}
}

// Violation is one broken invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String returns the violation as one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", violation.Invariant, violation.At, violation.Detail)
}

// Report collects violations. The first one of each invariant is what counts;
// a report keeps a bounded number of each, so that many of one invariant do
// not hide another one.
type Report struct {
	violations []Violation
	counts     map[Invariant]int
	observer   func(Violation)
}

// Observe calls observer for each violation that is kept from now on.
func (report *Report) Observe(observer func(Violation)) { report.observer = observer }

// maximumViolations bounds the violations of one invariant in a report.
const maxViolationsPerInvariant = 10

// Add records a violation.
func (report *Report) Add(invariant Invariant, at time.Duration, format string, arguments ...any) {
	if report.counts == nil {
		report.counts = make(map[Invariant]int)
	}
	report.counts[invariant]++
	if report.counts[invariant] > maxViolationsPerInvariant {
		return
	}
	violation := Violation{Invariant: invariant, At: at, Detail: fmt.Sprintf(format, arguments...)}
	report.violations = append(report.violations, violation)
	if report.observer != nil {
		report.observer(violation)
	}
}

// Violations returns what was kept, in order.
func (report *Report) Violations() []Violation { return report.violations }

// Count returns how often an invariant was violated, also beyond what is kept.
func (report *Report) Count(invariant Invariant) int { return report.counts[invariant] }

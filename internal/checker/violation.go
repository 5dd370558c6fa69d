// Package checker verifies the invariants of the system over a run, which may be a simulation or
// a test of real processes. Checkers use only what can be observed from outside (packets, answers,
// the back ends' log of executed requests, acknowledged changes) and share no code with the code
// that they check.
//
// The package does no I/O and reads no clock. Times are durations since the start of the run.
package checker

import (
	"fmt"
	"time"
)

// Invariant names a property that must always hold.
type Invariant string

// The invariants.
const (
	// InvariantFlowKept: a flow survives every planned change; a target that fails without notice
	// ends only its own flows.
	InvariantFlowKept Invariant = "flow-kept"
	// InvariantOneOwner: all packets of a flow are delivered to the same target.
	InvariantOneOwner Invariant = "one-owner"
	// InvariantServiceIsolation: a packet of one service never reaches another.
	InvariantServiceIsolation Invariant = "service-isolation"
	// InvariantAnswerBound: a caller gets the answer to its own request, and gets it complete.
	InvariantAnswerBound Invariant = "answer-bound"
	// InvariantRefusedNotRun: a request that was refused as not run did not run.
	InvariantRefusedNotRun Invariant = "refused-not-run"
	// InvariantAtMostOnce: a request that may not be repeated runs at most once.
	InvariantAtMostOnce Invariant = "at-most-once"
	// InvariantRequestAnswered: every request gets an answer, a refusal or an unknown outcome.
	InvariantRequestAnswered Invariant = "request-answered"
	// InvariantDrain: a draining target gets no new flows or requests after the grace period of a
	// few seconds.
	InvariantDrain Invariant = "drain"
	// InvariantEvacuated: a zone under evacuation gets no new work after the grace period of a few
	// seconds, and an acknowledged evacuation is not lost.
	InvariantEvacuated Invariant = "evacuated"
	// InvariantColdRate: a cold target gets no more new flows in any second than it can handle.
	InvariantColdRate Invariant = "cold-rate"
	// InvariantStopCutsNothing: a planned stop interrupts no running request.
	InvariantStopCutsNothing Invariant = "stop-cuts-nothing"
	// InvariantInForce: an accepted configuration is in force, within a time bound, on every
	// balancer that holds a lease.
	InvariantInForce Invariant = "in-force"
	// InvariantNoRevert: a node never runs a lower revision than before.
	InvariantNoRevert Invariant = "no-revert"
	// InvariantSameConfiguration: nodes at the same revision have the same configuration.
	InvariantSameConfiguration Invariant = "same-configuration"
	// InvariantCommittedKept: a committed change is never lost.
	InvariantCommittedKept Invariant = "committed-kept"
	// InvariantOneWinner: of several changes with the same base revision, one is accepted.
	InvariantOneWinner Invariant = "one-winner"
	// InvariantAppliedOnce: a change that is sent again is applied once.
	InvariantAppliedOnce Invariant = "applied-once"
	// InvariantReplicasAgree: members with the same applied index have the same state.
	InvariantReplicasAgree Invariant = "replicas-agree"
	// InvariantOneLeader: a term has at most one leader.
	InvariantOneLeader Invariant = "one-leader"
	// InvariantLinearizable: the history of operators' reads and writes is linearizable.
	InvariantLinearizable Invariant = "linearizable"
	// InvariantTimely: under load, a sufficient share of requests is answered within the
	// objective, and callers' retries do not multiply the load of the targets.
	InvariantTimely Invariant = "timely"
	// InvariantNoPanic: no controller panics.
	InvariantNoPanic Invariant = "no-panic"
	// InvariantProgress: the faults and the traffic that the scenario is meant to produce did
	// occur. It keeps a scenario from passing because nothing happened.
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

// Violation is one observed breach of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

// String returns the violation as one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", violation.Invariant, violation.At, violation.Detail)
}

// Report collects violations. It keeps the first maxViolationsPerInvariant of each invariant, so
// that many violations of one invariant do not hide those of another. The zero value is ready.
type Report struct {
	violations []Violation
	counts     map[Invariant]int
	observer   func(Violation)
}

// Observe calls observer for each violation that is kept from now on.
func (report *Report) Observe(observer func(Violation)) { report.observer = observer }

// maxViolationsPerInvariant is how many violations of one invariant a report keeps.
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

// Violations returns the violations that were kept, in the order in which they were added.
func (report *Report) Violations() []Violation { return report.violations }

// Count returns how often an invariant was violated, including violations that were not kept.
func (report *Report) Count(invariant Invariant) int { return report.counts[invariant] }

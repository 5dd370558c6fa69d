package compare

import (
	"time"

	"merlinpaddle/internal/sim/kernel"
)

// ChangeKind is a kind of event during a comparison.
type ChangeKind string

// The kinds of changes. A join adds a new balancer or target. A drain or death affects one that
// exists.
const (
	BalancerDeath ChangeKind = "balancer death"
	BalancerJoin  ChangeKind = "balancer join"
	TargetJoin    ChangeKind = "target join"
	TargetDrain   ChangeKind = "target drain"
	TargetDeath   ChangeKind = "target death"
	// ReportsFreeze freezes the load reports of every second serving target at their current values.
	ReportsFreeze ChangeKind = "reports freeze"
	// ReportsLie makes one target report zero load.
	ReportsLie ChangeKind = "reports lie"
)

// AllChanges returns every kind of change in the order of a comparison.
func AllChanges() []ChangeKind {
	return []ChangeKind{
		BalancerDeath, BalancerJoin, TargetJoin, TargetDrain, TargetDeath, ReportsFreeze, ReportsLie,
	}
}

// isUnplanned reports whether the change is a fault rather than an operation.
func (kind ChangeKind) isUnplanned() bool {
	return kind == BalancerDeath || kind == TargetDeath || kind == ReportsFreeze || kind == ReportsLie
}

// deathDetection is the time from the death of a target to the change of the configuration that
// marks it as dead.
const deathDetection = 3 * time.Second

// scheduleChanges schedules the changes of a run, the first after the warm-up.
func (run *run) scheduleChanges() {
	for index, kind := range run.options.Changes {
		at := run.options.WarmUp + time.Duration(index)*run.options.ChangeInterval
		run.clock.At(kernel.Epoch.Add(at), func() { run.change(kind) })
	}
}

// change records and applies a change now.
func (run *run) change(kind ChangeKind) {
	run.changes = append(run.changes, appliedChange{kind: kind, at: run.clock.Elapsed()})
	switch kind {
	case BalancerDeath:
		run.killBalancer()
	case BalancerJoin:
		run.joinBalancer()
	case TargetJoin:
		run.joinTarget()
	case TargetDrain:
		run.drainTarget()
	case TargetDeath:
		run.killTarget()
	case ReportsFreeze:
		run.loads.freeze()
	case ReportsLie:
		run.loads.reportNoLoad(run.firstServing())
	}
}

// killBalancer stops the first balancer. Its state is lost.
func (run *run) killBalancer() {
	run.balancers[0].alive = false
	run.listAliveBalancers()
}

func (run *run) joinBalancer() {
	run.addBalancer()
	run.algorithm.balancerJoined(run.balancers[len(run.balancers)-1])
}

func (run *run) joinTarget() {
	run.addTarget()
	run.algorithm.targetsChanged()
}

// drainTarget drains the second serving target.
func (run *run) drainTarget() {
	target := run.serving()[1]
	target.phase = phaseDraining
	target.drainedAt = run.clock.Now()
	run.algorithm.targetsChanged()
}

// killTarget kills the first serving target and breaks its flows. Control detects the death after
// deathDetection.
func (run *run) killTarget() {
	target := run.serving()[0]
	target.dead = true
	target.requests = nil
	for _, flow := range run.flowsOf(target) {
		run.breakFlow(flow, true)
	}
	run.algorithm.targetDied(target.id)
	run.clock.After(deathDetection, func() {
		target.phase = phaseDead
		run.algorithm.targetsChanged()
	})
}

package world

import (
	"fmt"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// convergenceTimeout bounds the time within which nodes must agree again once all faults ended.
	convergenceTimeout = 30 * time.Second
	// answerTimeout is how long callers may take to get their last answers.
	answerTimeout = requestTimeout + answerGrace + 2*time.Second
	// interruptionDetectionTime is long enough for an interrupted flow to send more unanswered packets
	// than the checkers allow.
	interruptionDetectionTime = 6 * time.Second
)

// StartRacingOperators starts count operators that change a parameter of random services until the
// returned function is called. They read, pause, and write based on the revision that they read, so
// that several of them write with the same base revision. pause is the mean time between two changes
// of an operator.
func (world *World) StartRacingOperators(count int, pause time.Duration) (stop func()) {
	stopped := false
	for range count {
		// Operators of later calls get other numbers, so that no two operators share a key.
		world.racingOperators++
		number := world.racingOperators
		operator := world.NewOperator(string(numberedName("operator", number)))
		var next func()
		next = func() {
			if stopped {
				return
			}
			service := kernel.Pick(operator.random, world.services)
			operator.ReadParameter(service, func(_ uint64, revision model.Revision, known bool) {
				if !known || stopped {
					world.run.Scheduler.After(pause, next)
					return
				}
				world.run.Scheduler.After(operator.random.Exponential(pause/4), func() {
					value := uint64(number)*1_000_000 + uint64(operator.changes)
					operator.WriteParameter(service, revision, value, func(ChangeOutcome) {
						world.run.Scheduler.After(operator.random.Exponential(pause), next)
					})
				})
			})
		}
		world.run.Scheduler.After(operator.random.Exponential(pause), next)
	}
	return func() { stopped = true }
}

// FinishControl waits until no change is pending and the running members agree, compares their states,
// and checks that the complete history of the operators' changes is linearizable and ends in the final
// state.
func (world *World) FinishControl() {
	ended := world.waitFor(changeTimeout+2*operatorTimeout, func() bool { return world.pendingChanges == 0 })
	world.CheckProgress(ended, "%d changes have no end", world.pendingChanges)
	if !world.waitFor(convergenceTimeout, world.membersAgree) {
		world.run.Report.Add(checker.InvariantProgress, world.run.Elapsed(), "members did not converge: %s", world.memberSummary())
		return
	}
	for _, member := range world.runningMembers() {
		status := member.Status()
		world.checks.replicas.State(string(member.process.Name), uint64(status.Applied), member.machine.Digest(), world.run.Elapsed())
	}
	world.finalReads()
	world.checks.operators.CheckLinearizable()
}

// runningMembers returns the members that run, are not frozen, and belong to the group.
func (world *World) runningMembers() []*member {
	var running []*member
	for _, member := range world.members {
		if member.process.Active() && member.controller != nil && member.Status().Self != 0 {
			running = append(running, member)
		}
	}
	return running
}

// membersAgree reports whether a majority runs, one leads, and all that run have applied what the
// leader committed.
func (world *World) membersAgree() bool {
	running := world.runningMembers()
	leader, leads := world.Leader()
	if !leads || 2*len(running) <= len(world.members) {
		return false
	}
	committed := world.members[leader].Status().Committed
	for _, member := range running {
		if status := member.Status(); status.Applied != committed {
			return false
		}
	}
	return true
}

// memberSummary describes every member's state for the report of a violation.
func (world *World) memberSummary() string {
	summary := ""
	for _, member := range world.members {
		summary += string(member.process.Name)
		switch {
		case !member.process.Running():
			summary += " down; "
		case member.controller == nil:
			summary += " refused; "
		default:
			status := member.Status()
			summary += fmt.Sprintf(" leading %t term %d applied %d; ", status.Leading, status.Term, status.Applied)
		}
	}
	return summary
}

// finalReads reports to the checkers the leader's final state of every service and of every target with
// an accepted drain.
func (world *World) finalReads() {
	leader, leads := world.Leader()
	if !leads {
		return
	}
	view := world.members[leader].machine.View()
	for _, service := range world.services {
		record, known := view.Service(service.key())
		if !known {
			world.run.Report.Add(checker.InvariantCommittedKept, world.run.Elapsed(), "service %s is lost", service.name)
			continue
		}
		world.checks.operators.FinalState(service.name, queueLimitOf(record), uint64(record.Revision), world.run.Elapsed())
	}
	for _, target := range world.checks.drain.Draining() {
		known, exists := view.Configuration.Targets[model.TargetID(target)]
		serving := exists && known.Phase == model.PhaseServing
		world.checks.drain.CheckKept(target, serving, world.run.Elapsed())
	}
}

// FinishNodes waits until all running balancers and agents run the committed configuration, and
// checks that balancers held leases often enough.
func (world *World) FinishNodes() {
	converged := world.waitFor(convergenceTimeout, func() bool { return len(world.laggingNodes()) == 0 })
	if !converged {
		world.run.Report.Add(checker.InvariantInForce, world.run.Elapsed(), "nodes did not converge: %v", world.laggingNodes())
	}
	share := world.checks.rollout.LeasedShare()
	world.CheckProgress(share >= minimumLeasedShare, "balancers held leases in %.2f of all looks", share)
}

// minimumLeasedShare is the share, from 0 to 1, of samples of balancers in which they must hold a
// lease. Without leases a run shows nothing about when changes are in force.
const minimumLeasedShare = 0.5

// laggingNodes returns the running balancers and agents that do not run the leader's configuration.
func (world *World) laggingNodes() []model.NodeName {
	leader, leads := world.Leader()
	if !leads {
		return []model.NodeName{"no leader"}
	}
	committed := world.members[leader].machine.Configuration()
	digest := committed.Digest()
	var lagging []model.NodeName
	for _, balancer := range world.balancers {
		if balancer.process.Active() && balancer.store.Current().Digest() != digest {
			lagging = append(lagging, balancer.process.Name)
		}
	}
	for _, agent := range world.agents {
		if agent.process.Active() && agent.instance.store.Current().Digest() != digest {
			lagging = append(lagging, agent.process.Name)
		}
	}
	return lagging
}

// StartLoad starts the callers' traffic.
func (world *World) StartLoad(load Load) { world.callers.start(load) }

// ExpectAnswers makes it a violation when an attempt gets no answer, when no target opens a flow, or
// when an open flow gets no answers for a time. It is for scenarios with planned changes only.
func (world *World) ExpectAnswers() {
	world.callers.expectAnswers = true
	world.checks.flows.ExpectAnswers()
}

// FinishTraffic stops new work, waits for the last answers, and checks that every open flow gets
// answers and that every request ended.
func (world *World) FinishTraffic() {
	world.callers.stop()
	stoppedAt := world.run.Elapsed()
	world.checks.flows.ClearUnanswered()
	world.run.Scheduler.RunFor(interruptionDetectionTime)
	world.waitFor(answerTimeout-interruptionDetectionTime, world.callers.idle)
	world.checks.flows.CheckInterrupted(world.run.Elapsed())
	world.checks.requests.CheckOutcomes(stoppedAt, world.run.Elapsed())
	if world.callers.expectAnswers {
		world.checkServed()
	}
	world.CheckProgress(world.checks.flows.Opened() > 0, "no flow was opened")
	tally := world.checks.requests.Tally()
	world.CheckProgress(tally.Answered > 0, "no request was answered: %+v", tally)
	world.run.Trace.Addf("callers", "tally", "flows %d, excused %d, abandoned %d, requests %+v",
		world.checks.flows.Opened(), world.checks.flows.Excused(), world.callers.abandoned, tally)
}

// minimumAnsweredShare is the share, from 0 to 1, of attempts that must get the back end's answer
// under planned changes. A system that refuses every request, or answers that each may have run,
// violates no other invariant.
const minimumAnsweredShare = 0.5

// checkServed checks that flows were opened and requests answered. Planned changes alone excuse
// neither failure.
func (world *World) checkServed() {
	elapsed := world.run.Elapsed()
	if world.callers.abandoned > 0 {
		world.run.Report.Add(checker.InvariantRequestAnswered, elapsed, "%d flows were opened by no target", world.callers.abandoned)
	}
	tally := world.checks.requests.Tally()
	if float64(tally.Answered) < minimumAnsweredShare*float64(tally.Offered) {
		world.run.Report.Add(checker.InvariantRequestAnswered, elapsed, "only %d of %d attempts were answered", tally.Answered, tally.Offered)
	}
}

// Checkers holds the checkers of a run that scenarios read.
type Checkers struct {
	Flows     *checker.Flows
	Requests  *checker.Requests
	Rollout   *checker.Rollout
	Replicas  *checker.Replicas
	Operators *checker.Operators
}

// Checkers returns the run's checkers.
func (world *World) Checkers() Checkers {
	return Checkers{
		Flows:     world.checks.flows,
		Requests:  world.checks.requests,
		Rollout:   world.checks.rollout,
		Replicas:  world.checks.replicas,
		Operators: world.checks.operators,
	}
}

package world

import (
	"fmt"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// convergeTime bounds the time in which a healed world must agree again.
	convergeTime = 30 * time.Second
	// answerTime is how long callers are given to get their last answers.
	answerTime = requestTimeout + answerGrace + 2*time.Second
	// silenceTime is the time in which a flow sends more packets than it may
	// lose.
	silenceTime = 6 * time.Second
)

// RaceOperators lets count operators change the parameter of every service
// until the returned function is called. They read, pause, and write based on
// what they read, so that several write with the same revision.
func (world *World) RaceOperators(count int, pause time.Duration) (stop func()) {
	stopped := false
	for range count {
		// Each operator has keys of its own, also over several races.
		world.racers++
		number := world.racers
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
					operator.WriteParameter(service, revision, value, func(Answer) {
						world.run.Scheduler.After(operator.random.Exponential(pause), next)
					})
				})
			})
		}
		world.run.Scheduler.After(operator.random.Exponential(pause), next)
	}
	return func() { stopped = true }
}

// FinishControl waits until the members that run agree, compares their states,
// and checks the operators' whole history against what is left.
func (world *World) FinishControl() {
	ended := world.waitFor(operatorPatience+2*operatorTimeout, func() bool { return world.pendingChanges == 0 })
	world.CheckProgress(ended, "%d changes have no end", world.pendingChanges)
	if !world.waitFor(convergeTime, world.membersAgree) {
		world.run.Report.Add(checker.InvariantProgress, world.run.Elapsed(), "members did not converge: %s", world.memberSummary())
		return
	}
	for _, member := range world.runningMembers() {
		status := member.Status()
		world.check.replicas.State(string(member.process.Name), uint64(status.Applied), member.machine.Digest(), world.run.Elapsed())
	}
	world.finalReads()
	world.check.operators.CheckLinearizable()
}

func (world *World) runningMembers() []*member {
	var running []*member
	for _, member := range world.members {
		if member.process.Active() && member.controller != nil && member.Status().Self != 0 {
			running = append(running, member)
		}
	}
	return running
}

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

// finalReads reads every service from the leader.
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
		world.check.operators.FinalState(service.name, parameterOf(record), uint64(record.Revision), world.run.Elapsed())
	}
	for _, target := range world.check.drain.Draining() {
		known, exists := view.Configuration.Targets[model.TargetID(target)]
		serving := exists && known.Phase == model.PhaseServing
		world.check.drain.CheckKept(target, serving, world.run.Elapsed())
	}
}

// FinishNodes waits until all running balancers and agents run the committed
// configuration.
func (world *World) FinishNodes() {
	converged := world.waitFor(convergeTime, func() bool { return len(world.lagging()) == 0 })
	if !converged {
		world.run.Report.Add(checker.InvariantInForce, world.run.Elapsed(), "nodes did not converge: %v", world.lagging())
	}
	share := world.check.rollout.LeasedShare()
	world.CheckProgress(share >= leastLeasedShare, "balancers held leases in %.2f of all looks", share)
}

// leastLeasedShare is the share of looks at a balancer in which it must hold a
// lease; without leases nothing is shown about changes in force.
const leastLeasedShare = 0.5

func (world *World) lagging() []model.NodeName {
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
	for _, agent := range world.agentList {
		if agent.process.Active() && agent.life.store.Current().Digest() != digest {
			lagging = append(lagging, agent.process.Name)
		}
	}
	return lagging
}

// StartLoad lets callers begin.
func (world *World) StartLoad(load Load) { world.callers.start(load) }

// ExpectAnswers makes an attempt that gets no answer, a flow that no target
// opens and a silence of an open flow violations: the scenario has planned
// changes only.
func (world *World) ExpectAnswers() {
	world.callers.expectAnswers = true
	world.check.flows.ExpectAnswers()
}

// FinishTraffic stops new work, waits for the last answers, and checks that no
// flow is silent and every request ended.
func (world *World) FinishTraffic() {
	world.callers.stop()
	stoppedAt := world.run.Elapsed()
	world.check.flows.ClearUnanswered()
	world.run.Scheduler.RunFor(silenceTime)
	world.waitFor(answerTime-silenceTime, world.callers.idle)
	world.check.flows.CheckInterrupted(world.run.Elapsed())
	world.check.requests.CheckOutcomes(stoppedAt, world.run.Elapsed())
	if world.callers.expectAnswers {
		world.checkServed()
	}
	world.CheckProgress(world.check.flows.Opened() > 0, "no flow was opened")
	tally := world.check.requests.Tally()
	world.CheckProgress(tally.Answered > 0, "no request was answered: %+v", tally)
	world.run.Trace.Addf("callers", "tally", "flows %d, excused %d, abandoned %d, requests %+v",
		world.check.flows.Opened(), world.check.flows.Excused(), world.callers.abandoned, tally)
}

// leastAnsweredShare is the share of attempts that must get the back end's
// answer under planned changes: a system that refuses everything, or says that
// everything may have run, breaks no other rule.
const leastAnsweredShare = 0.5

// checkServed checks what planned changes alone never excuse.
func (world *World) checkServed() {
	elapsed := world.run.Elapsed()
	if world.callers.abandoned > 0 {
		world.run.Report.Add(checker.InvariantRequestAnswered, elapsed, "%d flows were opened by no target", world.callers.abandoned)
	}
	tally := world.check.requests.Tally()
	if float64(tally.Answered) < leastAnsweredShare*float64(tally.Offered) {
		world.run.Report.Add(checker.InvariantRequestAnswered, elapsed, "only %d of %d attempts were answered", tally.Answered, tally.Offered)
	}
}

// Checkers are the checkers of a run that scenarios read.
type Checkers struct {
	Flows     *checker.Flows
	Requests  *checker.Requests
	Rollout   *checker.Rollout
	Replicas  *checker.Replicas
	Operators *checker.Operators
}

// Checkers gives scenarios access to the run's checkers.
func (world *World) Checkers() Checkers {
	return Checkers{
		Flows:     world.check.flows,
		Requests:  world.check.requests,
		Rollout:   world.check.rollout,
		Replicas:  world.check.replicas,
		Operators: world.check.operators,
	}
}

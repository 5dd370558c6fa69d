package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// slotsPerTarget is the number of requests that a target works on at once,
	// and queuePerTarget the number that wait for it; it refuses more.
	slotsPerTarget = 2
	queuePerTarget = 10
	// workLeast and workMost bound the time of one request on a slot.
	minWorkTime = 20 * time.Millisecond
	maxWorkTime = 60 * time.Millisecond
	// objective is the latency that the route of the calls aims at.
	callObjective = 200 * time.Millisecond
	// triesPerCall bounds the flows that a caller opens for one call.
	maxAttempts = 3
)

// job is a request that a target works on, or will.
type job struct {
	flow    *flow
	request int
}

// slots are what a target works on requests with, and the queue in front of them.
type slots struct {
	running int
	queue   []job
	// taken has the flows whose request is running or waits.
	flows map[*flow]bool
	// slowness multiplies the time of a request; zero counts as one.
	slowdown int
}

// work takes a request of a call in. One that is there already changes nothing,
// and one too many is refused.
func (target *target) handleRequest(next job) {
	world := target.world
	if target.slots.flows[next.flow] || next.flow.answered >= next.request {
		return
	}
	world.calls.arrived++
	switch {
	case target.answersErrors:
		target.answer(next, false)
	case target.slots.running < slotsPerTarget:
		target.slots.flows[next.flow] = true
		target.runJob(next)
	case len(target.slots.queue) < queuePerTarget:
		target.slots.flows[next.flow] = true
		target.slots.queue = append(target.slots.queue, next)
	default:
		target.answer(next, false)
	}
}

func (target *target) runJob(next job) {
	target.slots.running++
	duration := target.world.calls.random.Between(minWorkTime, maxWorkTime) * time.Duration(max(target.slots.slowdown, 1))
	target.world.after(duration, func() {
		target.slots.running--
		delete(target.slots.flows, next.flow)
		if !target.alive {
			return
		}
		target.answer(next, true)
		if len(target.slots.queue) > 0 {
			following := target.slots.queue[0]
			target.slots.queue = target.slots.queue[1:]
			target.runJob(following)
		}
	})
}

// answer sends the answer to a call, or its refusal.
func (target *target) answer(done job, served bool) {
	world := target.world
	bytes := uint32(requestBytes)
	if !served {
		bytes = errorBytes
	}
	world.packets.Send(target.endpoint(), done.flow.endpoint(), func() {
		done.flow.handleAnswer(done.request, bytes)
		done.flow.call.flowEnded(done.flow, served)
	})
}

// call is a request with a flow of its own, tried again when it fails.
type call struct {
	world     *World
	startedAt time.Time
	attempts  int
	done      bool
	// counted tells that the call began while calls were counted.
	counted bool
}

// try opens one more flow for the call.
func (call *call) openFlow() {
	call.attempts++
	opened := call.world.callers.newFlow(routeFeed, time.Minute)
	opened.call = call
	opened.sendOpening()
	call.world.after(openTimeout, func() {
		if opened.target == nil {
			call.flowEnded(opened, false)
		}
	})
}

// ended takes in how the flow of the latest try ended.
func (call *call) flowEnded(flow *flow, served bool) {
	if flow.callEnded {
		return
	}
	flow.callEnded = true
	if flow.target != nil && !flow.ended {
		flow.sendClosing()
	}
	flow.end()
	switch {
	case call.done:
	case served:
		call.done = true
		call.world.calls.recordEnd(call, true)
	case call.attempts < maxAttempts:
		call.openFlow()
	default:
		call.done = true
		call.world.calls.recordEnd(call, false)
	}
}

// calls makes calls at a rate and counts how they end.
type calls struct {
	world     *World
	random    *kernel.Random
	perSecond int
	running   bool
	// counting tells that calls count that begin now; asked, timely, served and
	// arrived count them, the answers within the objective, all answers, and the
	// requests that reached targets.
	counting                         bool
	started, timely, served, arrived int
}

func newCalls(world *World) *calls { return &calls{world: world, random: world.run.Random("calls")} }

// Press makes calls at a rate for a while, and counts those after the first
// warmUp.
func (calls *calls) RunAtRate(perSecond int, warmUp, duration time.Duration) {
	calls.perSecond = perSecond
	calls.running = true
	calls.scheduleNext()
	calls.world.RunFor(warmUp)
	calls.started, calls.timely, calls.served, calls.arrived = 0, 0, 0, 0
	calls.counting = true
	calls.world.RunFor(duration)
	calls.counting = false
	calls.running = false
	calls.world.RunFor(2 * time.Second)
}

func (calls *calls) scheduleNext() {
	calls.world.after(calls.random.Exponential(time.Second/time.Duration(calls.perSecond)), func() {
		if !calls.running {
			return
		}
		begun := &call{world: calls.world, startedAt: calls.world.Now(), counted: calls.counting}
		if calls.counting {
			calls.started++
		}
		begun.openFlow()
		calls.scheduleNext()
	})
}

func (calls *calls) recordEnd(ended *call, served bool) {
	if !ended.counted || !served {
		return
	}
	calls.served++
	if calls.world.Now().Sub(ended.startedAt) <= callObjective {
		calls.timely++
	}
}

// tally counts what was asked, answered within an objective, and answered at all.
type tally struct{ started, timely, served int }

// timely demands that enough of what was asked was answered within the objective.
func (checks *checks) checkTimely(what string, counted tally, objective time.Duration, timelyShare float64) {
	if share := float64(counted.timely) / float64(max(counted.started, 1)); share < timelyShare {
		checks.violate(checker.InvariantTimely, "%d of %d %s were answered within %s, %d at all; %.2f are demanded",
			counted.timely, counted.started, what, objective, counted.served, timelyShare)
	}
}

// timelyCalls demands that enough of the counted calls were answered within the
// objective, and that callers' tries did not multiply them at the targets.
func (checks *checks) checkTimelyCalls(timelyShare, arrivalsEach float64) {
	calls := checks.world.calls
	checks.checkTimely("calls", tally{calls.started, calls.timely, calls.served}, callObjective, timelyShare)
	if each := float64(calls.arrived) / float64(max(calls.started, 1)); each > arrivalsEach {
		checks.violate(checker.InvariantTimely, "%d requests reached targets for %d calls", calls.arrived, calls.started)
	}
}

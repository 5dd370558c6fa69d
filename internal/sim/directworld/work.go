package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// slotsPerTarget is the number of calls that a target serves at the same time, and
	// queuePerTarget the length of its queue. Calls beyond that are refused.
	slotsPerTarget = 2
	queuePerTarget = 10
	// minWorkTime and maxWorkTime bound the time that serving one call takes.
	minWorkTime = 20 * time.Millisecond
	maxWorkTime = 60 * time.Millisecond
	// callObjective is the latency objective of the route that calls use.
	callObjective = 200 * time.Millisecond
	// maxAttempts bounds the flows that a caller opens for one call or upload.
	maxAttempts = 3
)

// job is a call that a target is serving or has queued.
type job struct {
	flow    *flow
	request int
}

// slots has the calls that a target is serving, and its queue.
type slots struct {
	running int
	queue   []job
	// flows has the flows whose call is running or queued.
	flows map[*flow]bool
	// slowdown multiplies the time that serving a call takes; zero counts as one.
	slowdown int
}

// handleRequest serves, queues or refuses the request of a call. A copy of a request that is
// running, queued or answered is ignored.
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

// runJob serves a call on a free slot, and then the next one of the queue.
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
			waiting := target.slots.queue[0]
			target.slots.queue = target.slots.queue[1:]
			target.runJob(waiting)
		}
	})
}

// answer sends the answer to a call, or an error answer if it was not served.
func (target *target) answer(finished job, served bool) {
	world := target.world
	bytes := uint32(requestBytes)
	if !served {
		bytes = errorBytes
	}
	world.packets.Send(target.endpoint(), finished.flow.endpoint(), func() {
		finished.flow.handleAnswer(finished.request, bytes)
		finished.flow.call.flowEnded(finished.flow, served)
	})
}

// call is a caller's request with a flow of its own. It is retried with a new flow when it fails.
type call struct {
	world     *World
	startedAt time.Time
	attempts  int
	done      bool
	// counted reports whether the call began while calls were counted.
	counted bool
}

// openFlow starts an attempt with a new flow. The attempt fails if the flow does not open within
// openTimeout.
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

// flowEnded records the end of an attempt. It ends the flow, and retries a failed call while
// attempts remain.
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

// calls starts calls at a constant mean rate and counts their results.
type calls struct {
	world     *World
	random    *kernel.Random
	perSecond int
	running   bool
	// counting reports whether calls that begin now are counted. started counts these calls;
	// timely and served count those of them that were answered within the objective and at all.
	// arrived counts the requests that reached targets, whenever their calls began.
	counting                         bool
	started, timely, served, arrived int
}

func newCalls(world *World) *calls { return &calls{world: world, random: world.run.Random("calls")} }

// RunAtRate runs the world with calls at a mean rate for warmUp and duration, and 2 more seconds
// without new calls. It counts the calls that begin within duration.
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

// scheduleNext starts the next call after an exponentially distributed pause, and so on while calls
// are running.
func (calls *calls) scheduleNext() {
	calls.world.after(calls.random.Exponential(time.Second/time.Duration(calls.perSecond)), func() {
		if !calls.running {
			return
		}
		created := &call{world: calls.world, startedAt: calls.world.Now(), counted: calls.counting}
		if calls.counting {
			calls.started++
		}
		created.openFlow()
		calls.scheduleNext()
	})
}

// recordEnd counts a call that was served if it began while calls were counted.
func (calls *calls) recordEnd(finished *call, served bool) {
	if !finished.counted || !served {
		return
	}
	calls.served++
	if calls.world.Now().Sub(finished.startedAt) <= callObjective {
		calls.timely++
	}
}

// tally counts the calls or uploads that were started, answered within an objective, and answered
// at all.
type tally struct{ started, timely, served int }

// checkTimely checks that at least timelyShare of the started calls or uploads were answered within
// the objective.
func (checks *checks) checkTimely(what string, counted tally, objective time.Duration, timelyShare float64) {
	if share := float64(counted.timely) / float64(max(counted.started, 1)); share < timelyShare {
		checks.violate(checker.InvariantTimely, "%d of %d %s were answered within %s, %d at all; %.2f are demanded",
			counted.timely, counted.started, what, objective, counted.served, timelyShare)
	}
}

// checkTimelyCalls checks that at least timelyShare of the counted calls were answered within the
// objective, and that at most arrivalsEach requests per call reached targets, so that retries do
// not multiply the load.
func (checks *checks) checkTimelyCalls(timelyShare, arrivalsEach float64) {
	calls := checks.world.calls
	checks.checkTimely("calls", tally{calls.started, calls.timely, calls.served}, callObjective, timelyShare)
	if each := float64(calls.arrived) / float64(max(calls.started, 1)); each > arrivalsEach {
		checks.violate(checker.InvariantTimely, "%d requests reached targets for %d calls", calls.arrived, calls.started)
	}
}

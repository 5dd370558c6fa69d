package compare

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// retryInterval is the time after which a caller repeats a packet that was
	// lost.
	retryInterval = time.Second
	// maximumRetries is the number of repetitions after which a caller gives
	// up.
	maximumRetries = 15
	// lateOpening is the time after a drain from which on a new flow at the
	// target counts as late.
	lateOpening = 3 * time.Second
)

// run is one way at work.
type run struct {
	options Options
	clock   *kernel.Scheduler
	plans   []flowPlan
	way     way
	targets []*targetNode
	// balancers are all that ever started; alive are those that get packets.
	balancers []*balancerNode
	alive     []*balancerNode
	open      map[uint64]*flowState
	loads     *loadReports
	changes   []appliedChange
	samples   []sample
	waits     waitStatistics
	state     stateStatistics
	result    Result
}

// appliedChange is a change that happened.
type appliedChange struct {
	kind ChangeKind
	at   time.Duration
}

// balancerNode is one balancer; ways keep their own state of it by its number.
type balancerNode struct {
	number int
	alive  bool
}

// flowState is one flow during a run.
type flowState struct {
	plan    flowPlan
	tuple   model.FiveTuple
	hash    uint64
	owner   model.TargetID
	attempt uint32
	packets uint32
	endsAt  time.Time
	ended   bool
}

func newRun(options Options, plans []flowPlan, name AlgorithmName) *run {
	created := &run{
		options: options,
		clock:   kernel.NewScheduler(),
		plans:   plans,
		open:    make(map[uint64]*flowState),
		result:  Result{Algorithm: name},
	}
	created.loads = &loadReports{
		run:    created,
		seen:   make(map[model.TargetID]model.TargetLoad),
		frozen: make(map[model.TargetID]bool),
	}
	for range options.Balancers {
		created.addBalancer()
	}
	for range options.Targets {
		created.targets = append(created.targets, created.newTarget())
	}
	created.way = newWay(created, name)
	return created
}

func (run *run) newTarget() *targetNode {
	return &targetNode{
		id:       model.TargetID(len(run.targets) + 1),
		phase:    phaseServing,
		requests: &requestQueue{run: run},
	}
}

func (run *run) addTarget() {
	target := run.newTarget()
	run.targets = append(run.targets, target)
	run.way.targetJoined(target.id)
}

func (run *run) addBalancer() {
	run.balancers = append(run.balancers, &balancerNode{number: len(run.balancers), alive: true})
	run.listAliveBalancers()
}

func (run *run) listAliveBalancers() {
	run.alive = nil
	for _, balancer := range run.balancers {
		if balancer.alive {
			run.alive = append(run.alive, balancer)
		}
	}
}

func (run *run) target(id model.TargetID) *targetNode { return run.targets[id-1] }

// isLive tells whether packets to the target arrive.
func (run *run) isLive(id model.TargetID) bool { return id != 0 && !run.target(id).dead }

// serving returns the targets that truly take new flows.
func (run *run) serving() []*targetNode {
	var serving []*targetNode
	for _, target := range run.targets {
		if target.takesFlows() {
			serving = append(serving, target)
		}
	}
	return serving
}

func (run *run) firstServing() model.TargetID { return run.serving()[0].id }

// execute runs the whole comparison of one way.
func (run *run) execute() Result {
	run.scheduleNextArrival(0)
	run.scheduleChanges()
	run.clock.Every(time.Second, func() bool {
		run.loads.record()
		run.takeSample()
		return true
	})
	run.clock.RunFor(run.options.duration())
	run.summarize()
	return run.result
}

// scheduleNextArrival keeps one arrival ahead, so that the event queue stays
// short.
func (run *run) scheduleNextArrival(index int) {
	if index >= len(run.plans) {
		return
	}
	plan := run.plans[index]
	run.clock.At(kernel.Epoch.Add(plan.arrival), func() {
		run.startFlow(plan, 0, run.clock.Now().Add(plan.lifetime))
		run.scheduleNextArrival(index + 1)
	})
}

// startFlow opens the attempt-th connection of a flow, which ends at endsAt.
func (run *run) startFlow(plan flowPlan, attempt uint32, endsAt time.Time) {
	flow := &flowState{plan: plan, attempt: attempt, endsAt: endsAt, tuple: tupleOf(plan.number, attempt)}
	flow.hash = hashOf(flow.tuple)
	run.tryOpening(flow, 0)
}

func (run *run) tryOpening(flow *flowState, retries int) {
	if retries > maximumRetries || !run.clock.Now().Before(flow.endsAt) {
		run.result.NotOpened++
		return
	}
	end := run.way.route(run.pickBalancer(flow), flow, true)
	if end.verdict != verdictDelivered {
		run.result.OpeningRetries++
		run.clock.After(retryInterval, func() { run.tryOpening(flow, retries+1) })
		return
	}
	run.countOpening(flow, end)
	run.clock.At(flow.endsAt, func() { run.endFlow(flow) })
	run.scheduleRequest(flow)
}

func (run *run) countOpening(flow *flowState, end outcome) {
	flow.owner = end.target
	target := run.target(end.target)
	target.flows++
	target.rate += flow.plan.rate
	run.open[flow.plan.number] = flow
	run.result.Opened++
	run.result.OpeningPasses += uint64(end.passes)
	late := target.phase == phaseDraining && run.clock.Now().Sub(target.drainedAt) > lateOpening
	if late {
		run.result.LateOpenings++
	}
}

// scheduleRequest plans the next packet of a flow: a request, or a packet that
// keeps the flow alive when the request is far away.
func (run *run) scheduleRequest(flow *flowState) {
	gap := exponential(run.draw(flow.plan.number, flow.packets, drawGap), 1/flow.plan.rate)
	isRequest := gap <= keepAlive
	run.clock.After(min(gap, keepAlive), func() {
		flow.packets++
		run.sendPacket(flow, isRequest, 0)
		if !flow.ended {
			run.scheduleRequest(flow)
		}
	})
}

// sendPacket sends a packet of an open flow through any balancer.
func (run *run) sendPacket(flow *flowState, isRequest bool, retries int) {
	if flow.ended {
		return
	}
	end := run.way.route(run.pickBalancer(flow), flow, false)
	run.result.Packets++
	run.result.Passes += uint64(end.passes)
	switch {
	case end.verdict == verdictDelivered && end.target == flow.owner:
		if isRequest {
			run.result.Requests++
			run.target(flow.owner).requests.arrive(run.serviceTime(flow))
		}
	case end.verdict == verdictLost && retries < maximumRetries:
		run.result.PacketRetries++
		flow.packets++
		run.clock.After(retryInterval, func() { run.sendPacket(flow, isRequest, retries+1) })
	default:
		run.breakFlow(flow, false)
	}
}

func (run *run) serviceTime(flow *flowState) time.Duration {
	return exponential(run.draw(flow.plan.number, flow.packets, drawService), run.options.ServiceTime.Seconds())
}

func (run *run) pickBalancer(flow *flowState) *balancerNode {
	number := run.draw(flow.plan.number, flow.packets, drawBalancer)
	return run.alive[number%uint64(len(run.alive))]
}

func (run *run) endFlow(flow *flowState) {
	if flow.ended {
		return
	}
	run.close(flow)
}

func (run *run) close(flow *flowState) {
	flow.ended = true
	target := run.target(flow.owner)
	target.flows--
	target.rate -= flow.plan.rate
	delete(run.open, flow.plan.number)
	run.way.closed(flow)
}

// breakFlow ends a flow before its time; its caller connects again for the
// rest of it.
func (run *run) breakFlow(flow *flowState, onDeadTarget bool) {
	run.close(flow)
	run.countBroken(onDeadTarget)
	run.clock.After(retryInterval, func() {
		if run.clock.Now().Before(flow.endsAt) {
			run.startFlow(flow.plan, flow.attempt+1, flow.endsAt)
		}
	})
}

// countBroken files a broken flow under the latest change.
func (run *run) countBroken(onDeadTarget bool) {
	switch {
	case onDeadTarget:
		run.result.BrokenOnDeadTarget++
	case len(run.changes) > 0 && run.changes[len(run.changes)-1].kind.isUnplanned():
		run.result.BrokenUnplanned++
	default:
		run.result.BrokenPlanned++
	}
}

// flowsOf returns the open flows of a target in the order of their numbers.
func (run *run) flowsOf(target *targetNode) []*flowState {
	var flows []*flowState
	for _, flow := range run.open {
		if flow.owner == target.id {
			flows = append(flows, flow)
		}
	}
	sortFlows(flows)
	return flows
}

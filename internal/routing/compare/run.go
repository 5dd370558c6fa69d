package compare

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// retryInterval is the time after which a caller retries a packet that was lost, or opens a
	// connection again after its flow broke.
	retryInterval = time.Second
	// maximumRetries is the number of retries of a packet after which a caller gives up.
	maximumRetries = 15
	// lateOpeningAfter is the time after the start of a drain from which on a new flow at the target
	// counts as late.
	lateOpeningAfter = 3 * time.Second
)

// run is the simulation of one algorithm.
type run struct {
	options   Options
	clock     *kernel.Scheduler
	plans     []flowPlan
	algorithm algorithm
	targets   []*targetNode
	// balancers has all balancers that ever started, alive those that receive packets.
	balancers []*balancerNode
	alive     []*balancerNode
	// open has the open flows by the number of their plan.
	open    map[uint64]*flowState
	loads   *loadReports
	changes []appliedChange
	samples []sample
	waits   waitStatistics
	state   stateStatistics
	result  Result
}

// appliedChange is a change that was applied, with its time since the start of the run.
type appliedChange struct {
	kind ChangeKind
	at   time.Duration
}

// balancerNode is one balancer. Algorithms keep their own state of it by its number.
type balancerNode struct {
	number int
	alive  bool
}

// flowState is one connection of a planned flow. A flow that breaks gets a new connection.
type flowState struct {
	plan  flowPlan
	tuple model.FiveTuple
	hash  uint64
	// owner is the target that opened the flow.
	owner model.TargetID
	// attempt is the number of earlier connections of the planned flow.
	attempt uint32
	// packets is the number of packets sent after the opening, including retries.
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
		run:       created,
		delivered: make(map[model.TargetID]model.TargetLoad),
		frozen:    make(map[model.TargetID]bool),
	}
	for range options.Balancers {
		created.addBalancer()
	}
	for range options.Targets {
		created.targets = append(created.targets, created.newTarget())
	}
	created.algorithm = newAlgorithm(created, name)
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
	run.algorithm.targetJoined(target.id)
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

// isLive reports whether id is a target whose machine is not dead.
func (run *run) isLive(id model.TargetID) bool { return id != 0 && !run.target(id).dead }

// serving returns the live targets whose phase is serving.
func (run *run) serving() []*targetNode {
	var serving []*targetNode
	for _, target := range run.targets {
		if target.isServing() {
			serving = append(serving, target)
		}
	}
	return serving
}

func (run *run) firstServing() model.TargetID { return run.serving()[0].id }

// execute simulates the flows and changes with the algorithm and returns the result.
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

// scheduleNextArrival schedules the arrival of the flow at index and, when it has arrived, the next
// one. Only one arrival is scheduled at a time, which keeps the event queue short.
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

// startFlow opens a connection of a flow, which ends at endsAt. attempt is zero for the first
// connection and increases with each new one after the flow broke.
func (run *run) startFlow(plan flowPlan, attempt uint32, endsAt time.Time) {
	flow := &flowState{plan: plan, attempt: attempt, endsAt: endsAt, tuple: tupleOf(plan.number, attempt)}
	flow.hash = hashOf(flow.tuple)
	run.tryOpening(flow, 0)
}

// tryOpening sends an opening packet. Unless it is delivered, tryOpening retries after
// retryInterval, until maximumRetries is exceeded or the flow's end is reached.
func (run *run) tryOpening(flow *flowState, retries int) {
	if retries > maximumRetries || !run.clock.Now().Before(flow.endsAt) {
		run.result.NotOpened++
		return
	}
	routed := run.algorithm.route(run.pickBalancer(flow), flow, true)
	if routed.verdict != verdictDelivered {
		run.result.OpeningRetries++
		run.clock.After(retryInterval, func() { run.tryOpening(flow, retries+1) })
		return
	}
	run.countOpening(flow, routed)
	run.clock.At(flow.endsAt, func() { run.endFlow(flow) })
	run.scheduleRequest(flow)
}

// countOpening records that the target of routed opened the flow.
func (run *run) countOpening(flow *flowState, routed outcome) {
	flow.owner = routed.target
	target := run.target(routed.target)
	target.flows++
	target.rate += flow.plan.rate
	run.open[flow.plan.number] = flow
	run.result.Opened++
	run.result.OpeningPasses += uint64(routed.passes)
	late := target.phase == phaseDraining && run.clock.Now().Sub(target.drainedAt) > lateOpeningAfter
	if late {
		run.result.LateOpenings++
	}
}

// scheduleRequest schedules the next packet of a flow: a request, or a keep-alive packet if the
// next request is more than keepAlive away.
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

// sendPacket sends a packet of an open flow through a random live balancer. A lost packet is sent
// again up to maximumRetries times. The flow breaks when that fails too, when the packet is reset,
// and when a target other than the owner accepts it.
func (run *run) sendPacket(flow *flowState, isRequest bool, retries int) {
	if flow.ended {
		return
	}
	routed := run.algorithm.route(run.pickBalancer(flow), flow, false)
	run.result.Packets++
	run.result.Passes += uint64(routed.passes)
	switch {
	case routed.verdict == verdictDelivered && routed.target == flow.owner:
		if isRequest {
			run.result.Requests++
			run.target(flow.owner).requests.admit(run.serviceTime(flow))
		}
	case routed.verdict == verdictLost && retries < maximumRetries:
		run.result.PacketRetries++
		flow.packets++
		run.clock.After(retryInterval, func() { run.sendPacket(flow, isRequest, retries+1) })
	default:
		run.breakFlow(flow, false)
	}
}

// serviceTime draws the time that the current request of the flow occupies a slot.
func (run *run) serviceTime(flow *flowState) time.Duration {
	return exponential(run.draw(flow.plan.number, flow.packets, drawService), run.options.ServiceTime.Seconds())
}

// pickBalancer draws the live balancer that receives the next packet of the flow.
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

// close ends an open flow at its owner.
func (run *run) close(flow *flowState) {
	flow.ended = true
	target := run.target(flow.owner)
	target.flows--
	target.rate -= flow.plan.rate
	delete(run.open, flow.plan.number)
	run.algorithm.flowClosed(flow)
}

// breakFlow ends a flow early. Its caller opens a new connection for the remaining lifetime.
func (run *run) breakFlow(flow *flowState, onDeadTarget bool) {
	run.close(flow)
	run.countBroken(onDeadTarget)
	run.clock.After(retryInterval, func() {
		if run.clock.Now().Before(flow.endsAt) {
			run.startFlow(flow.plan, flow.attempt+1, flow.endsAt)
		}
	})
}

// countBroken counts a broken flow, by whether its target died or, if not, whether the latest
// change was planned. Before the first change it counts as planned.
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

// flowsOf returns the open flows of a target, sorted by number.
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

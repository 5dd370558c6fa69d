package world

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/steering"
)

// Times of simulated agents. They are shorter than the product's defaults so that short runs also
// cover what happens after they have passed.
const (
	flowIdleTimeout    = 10 * time.Second
	assignmentLifetime = 12 * time.Second
	coldStartTime      = 5 * time.Second
	// expiryInterval is the time between two removals of idle flows by an agent.
	expiryInterval = 500 * time.Millisecond
	// maximumQueuedEvents bounds the events queued for a frozen agent.
	maximumQueuedEvents = 256
)

// agent simulates one target: the product's subscriber, steering, owned flows, admission and claims
// on a simulated process, with a simulated back end behind it.
type agent struct {
	world    *World
	process  *kernel.Process
	instance *agentInstance
}

// agentInstance is the in-memory state of one incarnation of an agent's process. It is lost when the
// process ends.
type agentInstance struct {
	agent       *agent
	incarnation model.Incarnation
	mailbox     *protocol.Mailbox
	store       *rollout.Store
	pause       *rollout.Pause
	loads       *rollout.LoadView
	subscriber  *rollout.Subscriber
	claims      Claims
	started     time.Time
	// lastExpiry is when the agent last removed idle flows.
	lastExpiry time.Time
	// stopping is true once a planned stop of the process has begun.
	stopping bool
	// queuedEvents are events that arrived while the process was frozen.
	queuedEvents []func()
	// target is the target that the agent serves. The fields below belong to it and are nil until
	// the configuration has a target with the agent's name.
	target     model.Target
	steering   Steerer
	ownedFlows *flow.OwnedFlows
	requests   *requestHandler
}

// flowIdleTimeout returns the idle time after which agents remove a flow.
func (world *World) flowIdleTimeout() time.Duration {
	if world.options.FlowIdleTimeout > 0 {
		return world.options.FlowIdleTimeout
	}
	return flowIdleTimeout
}

func newAgent(world *World, name model.NodeName, zone model.ZoneName) *agent {
	created := &agent{world: world}
	created.process = world.host.Add(kernel.Endpoint{Name: name, Zone: zone}, nodeInterval, created.build)
	created.process.AfterRun(func(time.Time) { created.observe() })
	return created
}

// build starts a new incarnation with empty state.
func (agent *agent) build(mailbox *protocol.Mailbox, incarnation model.Incarnation) kernel.Program {
	dispatcher := protocol.NewDispatcher(mailbox)
	instance := &agentInstance{
		agent:       agent,
		incarnation: incarnation,
		mailbox:     mailbox,
		store:       rollout.NewStore(),
		pause:       rollout.NewPause(),
		loads:       rollout.NewLoadView(),
		started:     agent.process.LocalNow(),
	}
	agent.instance = instance
	instance.subscriber = rollout.NewSubscriber(rollout.SubscriberOptions{
		Self:              agent.process.Name,
		Role:              model.RoleAgent,
		Zone:              agent.process.Zone,
		Incarnation:       incarnation,
		Relays:            agent.world.relayNames(agent.process.Zone),
		HeartbeatInterval: heartbeatInterval,
		Pause:             instance.pause,
	}, mailbox, dispatcher, instance.store, rollout.NewLease(), instance.loads, instance)
	instance.claims = agent.world.parts.Claims(claim.NewTracker(claim.Options{
		Agent:       agent.process.Name,
		Incarnation: incarnation,
		Mailbox:     mailbox,
		Replies:     dispatcher.Handle(protocol.ClaimReply{}),
		Relay:       instance.subscriber,
	}))
	return kernel.Program{
		Mailbox:     mailbox,
		Controllers: []board.Controller{dispatcher, instance.subscriber, instance, instance.claims},
		Stop:        instance.end,
	}
}

// end stops the back end when the process ends, planned or not.
func (instance *agentInstance) end() {
	if instance.requests != nil {
		instance.requests.stop()
	}
}

// Name implements board.Controller.
func (instance *agentInstance) Name() string { return "target" }

// Reconcile implements board.Controller: it updates the target, runs the events that arrived while the
// process was frozen, removes idle flows and reconciles the requests.
func (instance *agentInstance) Reconcile(now time.Time) {
	instance.updateTarget()
	queued := instance.queuedEvents
	instance.queuedEvents = nil
	for _, event := range queued {
		event()
	}
	if instance.ownedFlows == nil {
		return
	}
	if now.Sub(instance.lastExpiry) >= expiryInterval {
		instance.lastExpiry = now
		instance.ownedFlows.Expire(now)
	}
	instance.requests.reconcile(now)
}

// updateTarget finds the target with the agent's name in the current configuration. A target with a
// new ID is a different target and starts without flows.
func (instance *agentInstance) updateTarget() {
	target, found := targetOfNode(instance.store.Current(), instance.agent.process.Name)
	if !found || target.ID == instance.target.ID {
		if found {
			instance.target = target
		}
		return
	}
	instance.target = target
	instance.ownedFlows = flow.NewOwnedFlows(flow.OwnedFlowsOptions{
		Service:            target.Service,
		Target:             target.ID,
		MaximumFlows:       model.DefaultMaximumConnections,
		IdleTimeout:        instance.agent.world.flowIdleTimeout(),
		AssignmentLifetime: assignmentLifetime,
	})
	options := steering.Options{
		Target:             target.ID,
		Configurations:     instance.store,
		OwnedFlows:         instance.ownedFlows,
		Load:               instance.localLoad,
		Draining:           func() bool { return instance.stopping },
		MayOpen:            instance.pause.Over,
		Started:            instance.started,
		AssignmentLifetime: assignmentLifetime,
	}
	instance.steering = instance.agent.world.parts.Steering(options, steering.New(options))
	instance.requests = newRequestHandler(instance)
}

// targetOfNode returns the target with the given name, and reports whether there is one.
func targetOfNode(configuration *model.Configuration, name model.NodeName) (model.Target, bool) {
	for _, target := range configuration.Targets {
		if target.Name == string(name) {
			return target, true
		}
	}
	return model.Target{}, false
}

// targetIncarnation returns the identity of this incarnation of the target for the checkers.
func (instance *agentInstance) targetIncarnation() checker.TargetIncarnation {
	return checker.TargetIncarnation{Target: uint32(instance.target.ID), Incarnation: uint64(instance.incarnation)}
}

// Load implements rollout.Reporter.
func (instance *agentInstance) Load() *model.TargetLoad {
	if instance.ownedFlows == nil {
		return nil
	}
	load := instance.localLoad()
	return &load
}

// localLoad returns the target's current load from its own flows and admission.
func (instance *agentInstance) localLoad() model.TargetLoad {
	admitted := instance.requests.admission.Load(instance.agent.process.LocalNow())
	return model.TargetLoad{
		Target:      instance.target.ID,
		Incarnation: instance.incarnation,
		Flows:       uint32(instance.ownedFlows.Len()),
		Running:     uint32(admitted.Running),
		Waiting:     uint32(admitted.Waiting),
		Slots:       uint32(admitted.Slots),
		Cold:        admitted.Cold,
		Healthy:     admitted.Healthy,
	}
}

// EmptyBuckets implements rollout.Reporter.
func (instance *agentInstance) EmptyBuckets(at model.Revision) []model.BucketEmpty {
	if instance.steering == nil {
		return nil
	}
	return instance.steering.Empty(at)
}

// runOrQueue runs an event now, or when the process resumes if it is frozen. It drops the event if
// this incarnation has ended or too many events are queued.
func (instance *agentInstance) runOrQueue(event func()) {
	switch {
	case instance.agent.instance != instance || !instance.agent.process.Running():
	case instance.agent.process.Frozen():
		if len(instance.queuedEvents) < maximumQueuedEvents {
			instance.queuedEvents = append(instance.queuedEvents, event)
		}
	default:
		event()
	}
}

// receive handles a packet from a balancer or another agent.
func (agent *agent) receive(forwarded forwardedPacket) {
	if agent.instance != nil {
		instance := agent.instance
		instance.runOrQueue(func() { instance.decide(forwarded) })
	}
}

// decide delivers, forwards, resets or drops a packet as the steering decides.
func (instance *agentInstance) decide(forwarded forwardedPacket) {
	if instance.steering == nil {
		return
	}
	now := instance.agent.process.LocalNow()
	decision := instance.steering.Decide(now, steering.Input{
		Flow:       forwarded.packet.tuple,
		Service:    forwarded.service,
		Revision:   forwarded.revision,
		Opening:    forwarded.opening,
		Chain:      forwarded.chain,
		Position:   forwarded.position,
		PasserLoad: forwarded.passerLoad,
		Stage:      forwarded.stage,
		Passes:     forwarded.passes,
	})
	instance.agent.world.watchPacket(forwarded.packet.flow, "%s decides on packet %d opening %t chain %v position %d stage %d revision %d (own %d): %+v",
		instance.agent.process.Name, forwarded.packet.sequence, forwarded.opening, forwarded.chain, forwarded.position, forwarded.stage, forwarded.revision,
		instance.store.Current().Revision, decision)
	switch decision.Action {
	case steering.ActionDeliver:
		instance.deliver(now, forwarded, decision)
	case steering.ActionForward:
		instance.forwardToNext(forwarded, decision)
	case steering.ActionReset:
		instance.sendAnswer(answer{flow: forwarded.packet.flow, kind: answerReset, sequence: forwarded.packet.sequence})
	}
}

// forwardToNext sends the packet to the next target of its chain, with the state of the decision.
func (instance *agentInstance) forwardToNext(forwarded forwardedPacket, decision steering.Decision) {
	forwarded.chain = decision.Chain
	forwarded.position = decision.Position
	forwarded.revision = decision.Revision
	forwarded.stage = decision.Stage
	forwarded.passes = decision.Passes
	forwarded.passerLoad = decision.PasserLoad
	world := instance.agent.world
	world.forward(instance.agent.process.Endpoint, instance.store.Current(), decision.Next, forwarded)
}

// deliver hands the packet to the target, reports it to the checkers and answers the caller.
func (instance *agentInstance) deliver(now time.Time, forwarded forwardedPacket, decision steering.Decision) {
	world := instance.agent.world
	elapsed := world.run.Elapsed()
	world.checks.flows.Delivered(checker.Delivery{
		Flow:      forwarded.packet.flow,
		Intended:  uint32(forwarded.packet.intended),
		Delivered: uint32(instance.target.Service),
		Opening:   forwarded.opening,
		Target:    instance.targetIncarnation(),
		At:        elapsed,
	})
	world.run.Trace.Mix(uint64(forwarded.packet.flow), forwarded.packet.sequence, uint64(instance.target.ID), uint64(forwarded.passes))
	if decision.Opened {
		world.run.Trace.Addf(string(instance.agent.process.Name), "open", "flow %d", forwarded.packet.flow)
		world.checks.drain.WorkStarted(uint32(instance.target.ID), checker.WorkFlow, elapsed)
	}
	if decision.Hint {
		world.sendHint(instance, forwarded)
	}
	if forwarded.packet.closing {
		instance.closeFlow(forwarded.packet.tuple)
	}
	instance.sendAnswer(answer{flow: forwarded.packet.flow, kind: answerEcho, sequence: forwarded.packet.sequence, targetIncarnation: instance.targetIncarnation()})
	if forwarded.packet.request != nil {
		instance.requests.receive(now, forwarded.packet)
	}
}

// closeFlow removes a flow that its caller has closed.
func (instance *agentInstance) closeFlow(tuple model.FiveTuple) {
	table := instance.store.Current().Buckets[instance.target.Service]
	if table != nil {
		instance.ownedFlows.Close(routing.BucketOf(routing.FlowHash(tuple), table.Count()), tuple)
	}
}

// sendAnswer sends an answer to the caller without passing a balancer.
func (instance *agentInstance) sendAnswer(reply answer) {
	instance.agent.world.answerCaller(instance.agent.process.Endpoint, reply)
}

// observe reports the configuration that the node runs to the checkers.
func (agent *agent) observe() {
	agent.world.checks.observeNode(agent.process, agent.instance.store.Current())
}

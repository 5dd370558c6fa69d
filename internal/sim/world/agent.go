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

// Times of simulated agents. They are shorter than the defaults so that a
// short run shows what happens after them.
const (
	flowIdleTimeout    = 10 * time.Second
	assignmentLifetime = 12 * time.Second
	coldStartTime      = 5 * time.Second
	// expiryInterval is how often an agent looks for idle flows.
	expiryInterval = 500 * time.Millisecond
	// frozenEvents bounds what waits for a frozen agent.
	maximumQueuedEvents = 256
)

// agent is one target: the product's subscriber, steering, flow owners,
// admission and claims on a simulated process, and a back end behind it.
type agent struct {
	world    *World
	process  *kernel.Process
	instance *agentInstance
}

// agentLife is the memory of one life of an agent's process.
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
	// expiredAt is when the agent last looked for idle flows.
	lastExpiry time.Time
	// stopping tells that the process ends as planned.
	stopping bool
	// waiting are events that came while the process was frozen.
	queuedEvents []func()
	// target is the target that the agent serves, and what belongs to it.
	target   model.Target
	steering Steerer
	owners   *flow.OwnedFlows
	requests *requestHandler
}

func (world *World) flowIdleTimeout() time.Duration {
	if world.options.FlowIdleTimeout > 0 {
		return world.options.FlowIdleTimeout
	}
	return flowIdleTimeout
}

func newAgent(world *World, name model.NodeName, zone model.ZoneName) *agent {
	created := &agent{world: world}
	created.process = world.host.Add(kernel.Endpoint{Name: name, Zone: zone}, nodeInterval, created.build)
	created.process.After(func(time.Time) { created.observe() })
	return created
}

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

// end runs at the end of a life, planned or not.
func (instance *agentInstance) end() {
	if instance.requests != nil {
		instance.requests.stop()
	}
}

// Name implements board.Controller.
func (instance *agentInstance) Name() string { return "target" }

// Reconcile implements board.Controller.
func (instance *agentInstance) Reconcile(now time.Time) {
	instance.updateTarget()
	queued := instance.queuedEvents
	instance.queuedEvents = nil
	for _, event := range queued {
		event()
	}
	if instance.owners == nil {
		return
	}
	if now.Sub(instance.lastExpiry) >= expiryInterval {
		instance.lastExpiry = now
		instance.owners.Expire(now)
	}
	instance.requests.reconcile(now)
}

// findTarget looks for the target that carries the agent's name. A target with
// a new ID is another one: it starts without flows.
func (instance *agentInstance) updateTarget() {
	target, found := targetOfNode(instance.store.Current(), instance.agent.process.Name)
	if !found || target.ID == instance.target.ID {
		if found {
			instance.target = target
		}
		return
	}
	instance.target = target
	instance.owners = flow.NewOwnedFlows(flow.OwnedFlowsOptions{
		Service:            target.Service,
		Target:             target.ID,
		MaximumFlows:       model.DefaultMaximumConnections,
		IdleTimeout:        instance.agent.world.flowIdleTimeout(),
		AssignmentLifetime: assignmentLifetime,
	})
	options := steering.Options{
		Target:             target.ID,
		Configurations:     instance.store,
		OwnedFlows:         instance.owners,
		Load:               instance.localLoad,
		Draining:           func() bool { return instance.stopping },
		MayOpen:            instance.pause.Over,
		Started:            instance.started,
		AssignmentLifetime: assignmentLifetime,
	}
	instance.steering = instance.agent.world.parts.Steering(options, steering.New(options))
	instance.requests = newRequestHandler(instance)
}

func targetOfNode(configuration *model.Configuration, name model.NodeName) (model.Target, bool) {
	for _, target := range configuration.Targets {
		if target.Name == string(name) {
			return target, true
		}
	}
	return model.Target{}, false
}

// place is the present life of the target for the checkers.
func (instance *agentInstance) place() checker.Place {
	return checker.Place{Target: uint32(instance.target.ID), Incarnation: uint64(instance.incarnation)}
}

// Load implements rollout.Reporter.
func (instance *agentInstance) Load() *model.TargetLoad {
	if instance.owners == nil {
		return nil
	}
	load := instance.localLoad()
	return &load
}

func (instance *agentInstance) localLoad() model.TargetLoad {
	admitted := instance.requests.admission.Load(instance.agent.process.LocalNow())
	return model.TargetLoad{
		Target:      instance.target.ID,
		Incarnation: instance.incarnation,
		Flows:       uint32(instance.owners.Len()),
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

// handle runs an event now, or after the thaw when the process is frozen.
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

// receive takes a packet of a balancer or another agent.
func (agent *agent) receive(forwarded forwardedPacket) {
	if agent.instance != nil {
		instance := agent.instance
		instance.runOrQueue(func() { instance.decide(forwarded) })
	}
}

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

func (instance *agentInstance) deliver(now time.Time, forwarded forwardedPacket, decision steering.Decision) {
	world := instance.agent.world
	elapsed := world.run.Elapsed()
	world.checks.flows.Delivered(checker.Delivery{
		Flow:      forwarded.packet.flow,
		Intended:  uint32(forwarded.packet.intended),
		Delivered: uint32(instance.target.Service),
		Opening:   forwarded.opening,
		Place:     instance.place(),
		At:        elapsed,
	})
	world.run.Trace.Mix(uint64(forwarded.packet.flow), forwarded.packet.sequence, uint64(instance.target.ID), uint64(forwarded.passes))
	if decision.Opened {
		world.run.Trace.Addf(string(instance.agent.process.Name), "open", "flow %d", forwarded.packet.flow)
		world.checks.drain.Took(uint32(instance.target.ID), checker.WorkFlow, elapsed)
	}
	if decision.Hint {
		world.sendHint(instance, forwarded)
	}
	if forwarded.packet.closing {
		instance.closeFlow(forwarded.packet.tuple)
	}
	instance.sendAnswer(answer{flow: forwarded.packet.flow, kind: answerEcho, sequence: forwarded.packet.sequence, place: instance.place()})
	if forwarded.packet.request != nil {
		instance.requests.receive(now, forwarded.packet)
	}
}

func (instance *agentInstance) closeFlow(tuple model.FiveTuple) {
	table := instance.store.Current().Buckets[instance.target.Service]
	if table != nil {
		instance.owners.Close(routing.BucketOf(routing.FlowHash(tuple), table.Count()), tuple)
	}
}

// answer sends an answer straight to the caller.
func (instance *agentInstance) sendAnswer(reply answer) {
	instance.agent.world.answerCaller(instance.agent.process.Endpoint, reply)
}

// observe tells the checkers what the node runs.
func (agent *agent) observe() {
	agent.world.checks.observeNode(agent.process, agent.instance.store.Current())
}

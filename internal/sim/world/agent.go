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
	coldStart          = 5 * time.Second
	// expiryInterval is how often an agent looks for idle flows.
	expiryInterval = 500 * time.Millisecond
	// frozenEvents bounds what waits for a frozen agent.
	frozenEvents = 256
)

// agent is one target: the product's subscriber, steering, flow owners,
// admission and claims on a simulated process, and a back end behind it.
type agent struct {
	world   *World
	process *kernel.Process
	life    *agentLife
}

// agentLife is the memory of one life of an agent's process.
type agentLife struct {
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
	expiredAt time.Time
	// stopping tells that the process ends as planned.
	stopping bool
	// waiting are events that came while the process was frozen.
	waiting []func()
	// target is the target that the agent serves, and what belongs to it.
	target   model.Target
	steering Steerer
	owners   *flow.OwnedFlows
	requests *requestDesk
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
	life := &agentLife{
		agent:       agent,
		incarnation: incarnation,
		mailbox:     mailbox,
		store:       rollout.NewStore(),
		pause:       rollout.NewPause(),
		loads:       rollout.NewLoadView(),
		started:     agent.process.LocalNow(),
	}
	agent.life = life
	life.subscriber = rollout.NewSubscriber(rollout.SubscriberOptions{
		Self:              agent.process.Name,
		Role:              model.RoleAgent,
		Zone:              agent.process.Zone,
		Incarnation:       incarnation,
		Relays:            agent.world.relayNames(agent.process.Zone),
		HeartbeatInterval: heartbeatInterval,
		Pause:             life.pause,
	}, mailbox, dispatcher, life.store, rollout.NewLease(), life.loads, life)
	life.claims = agent.world.parts.Claims(claim.NewTracker(claim.Options{
		Agent:       agent.process.Name,
		Incarnation: incarnation,
		Mailbox:     mailbox,
		Replies:     dispatcher.Handle(protocol.ClaimReply{}),
		Relay:       life.subscriber,
	}))
	return kernel.Program{
		Mailbox:     mailbox,
		Controllers: []board.Controller{dispatcher, life.subscriber, life, life.claims},
		Stop:        life.end,
	}
}

// end runs at the end of a life, planned or not.
func (life *agentLife) end() {
	if life.requests != nil {
		life.requests.end()
	}
}

// Name implements board.Controller.
func (life *agentLife) Name() string { return "target" }

// Reconcile implements board.Controller.
func (life *agentLife) Reconcile(now time.Time) {
	life.findTarget()
	waiting := life.waiting
	life.waiting = nil
	for _, event := range waiting {
		event()
	}
	if life.owners == nil {
		return
	}
	if now.Sub(life.expiredAt) >= expiryInterval {
		life.expiredAt = now
		life.owners.Expire(now)
	}
	life.requests.reconcile(now)
}

// findTarget looks for the target that carries the agent's name. A target with
// a new ID is another one: it starts without flows.
func (life *agentLife) findTarget() {
	target, found := targetOfNode(life.store.Current(), life.agent.process.Name)
	if !found || target.ID == life.target.ID {
		if found {
			life.target = target
		}
		return
	}
	life.target = target
	life.owners = flow.NewOwnedFlows(flow.OwnedFlowsOptions{
		Service:            target.Service,
		Target:             target.ID,
		MaximumFlows:       model.DefaultMaximumConnections,
		IdleTimeout:        life.agent.world.flowIdleTimeout(),
		AssignmentLifetime: assignmentLifetime,
	})
	options := steering.Options{
		Target:             target.ID,
		Configurations:     life.store,
		OwnedFlows:         life.owners,
		Load:               life.ownLoad,
		Draining:           func() bool { return life.stopping },
		MayOpen:            life.pause.Over,
		Started:            life.started,
		AssignmentLifetime: assignmentLifetime,
	}
	life.steering = life.agent.world.parts.Steering(options, steering.New(options))
	life.requests = newRequestDesk(life)
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
func (life *agentLife) place() checker.TargetIncarnation {
	return checker.TargetIncarnation{Target: uint32(life.target.ID), Incarnation: uint64(life.incarnation)}
}

// Load implements rollout.Reporter.
func (life *agentLife) Load() *model.TargetLoad {
	if life.owners == nil {
		return nil
	}
	load := life.ownLoad()
	return &load
}

func (life *agentLife) ownLoad() model.TargetLoad {
	admitted := life.requests.admission.Load(life.agent.process.LocalNow())
	return model.TargetLoad{
		Target:      life.target.ID,
		Incarnation: life.incarnation,
		Flows:       uint32(life.owners.Len()),
		Running:     uint32(admitted.Running),
		Waiting:     uint32(admitted.Waiting),
		Slots:       uint32(admitted.Slots),
		Cold:        admitted.Cold,
		Healthy:     admitted.Healthy,
	}
}

// EmptyBuckets implements rollout.Reporter.
func (life *agentLife) EmptyBuckets(at model.Revision) []model.BucketEmpty {
	if life.steering == nil {
		return nil
	}
	return life.steering.Empty(at)
}

// handle runs an event now, or after the thaw when the process is frozen.
func (life *agentLife) handle(event func()) {
	switch {
	case life.agent.life != life || !life.agent.process.Running():
	case life.agent.process.Frozen():
		if len(life.waiting) < frozenEvents {
			life.waiting = append(life.waiting, event)
		}
	default:
		event()
	}
}

// receive takes a packet of a balancer or another agent.
func (agent *agent) receive(one forwarded) {
	if agent.life != nil {
		life := agent.life
		life.handle(func() { life.decide(one) })
	}
}

func (life *agentLife) decide(one forwarded) {
	if life.steering == nil {
		return
	}
	now := life.agent.process.LocalNow()
	decision := life.steering.Decide(now, steering.Input{
		Flow:       one.packet.tuple,
		Service:    one.service,
		Revision:   one.revision,
		Opening:    one.opening,
		Chain:      one.chain,
		Position:   one.position,
		PasserLoad: one.passerLoad,
		Stage:      one.stage,
		Passes:     one.passes,
	})
	life.agent.world.note(one.packet.flow, "%s decides on packet %d opening %t chain %v position %d stage %d revision %d (own %d): %+v",
		life.agent.process.Name, one.packet.sequence, one.opening, one.chain, one.position, one.stage, one.revision,
		life.store.Current().Revision, decision)
	switch decision.Action {
	case steering.ActionDeliver:
		life.deliver(now, one, decision)
	case steering.ActionForward:
		life.pass(one, decision)
	case steering.ActionReset:
		life.answer(answer{flow: one.packet.flow, kind: answerReset, sequence: one.packet.sequence})
	}
}

func (life *agentLife) pass(one forwarded, decision steering.Decision) {
	one.chain = decision.Chain
	one.position = decision.Position
	one.revision = decision.Revision
	one.stage = decision.Stage
	one.passes = decision.Passes
	one.passerLoad = decision.PasserLoad
	world := life.agent.world
	world.forward(life.agent.process.Endpoint, life.store.Current(), decision.Next, one)
}

func (life *agentLife) deliver(now time.Time, one forwarded, decision steering.Decision) {
	world := life.agent.world
	elapsed := world.run.Elapsed()
	world.check.flows.Delivered(checker.Delivery{
		Flow:      one.packet.flow,
		Intended:  uint32(one.packet.intended),
		Delivered: uint32(life.target.Service),
		Opening:   one.opening,
		Target:    life.place(),
		At:        elapsed,
	})
	world.run.Trace.Mix(uint64(one.packet.flow), one.packet.sequence, uint64(life.target.ID), uint64(one.passes))
	if decision.Opened {
		world.run.Trace.Addf(string(life.agent.process.Name), "open", "flow %d", one.packet.flow)
		world.check.drain.WorkStarted(uint32(life.target.ID), checker.WorkFlow, elapsed)
	}
	if decision.Hint {
		world.sendHint(life, one)
	}
	if one.packet.closing {
		life.close(one.packet.tuple)
	}
	life.answer(answer{flow: one.packet.flow, kind: answerEcho, sequence: one.packet.sequence, place: life.place()})
	if one.packet.request != nil {
		life.requests.take(now, one.packet)
	}
}

func (life *agentLife) close(tuple model.FiveTuple) {
	table := life.store.Current().Buckets[life.target.Service]
	if table != nil {
		life.owners.Close(routing.BucketOf(routing.FlowHash(tuple), table.Count()), tuple)
	}
}

// answer sends an answer straight to the caller.
func (life *agentLife) answer(one answer) {
	life.agent.world.answerCaller(life.agent.process.Endpoint, one)
}

// observe tells the checkers what the node runs.
func (agent *agent) observe() {
	agent.world.check.observeNode(agent.process, agent.life.store.Current())
}

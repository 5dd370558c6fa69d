package world

import (
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/sim/kernel"
)

// Settings of simulated nodes.
const (
	nodeInterval      = 50 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	cacheFlows        = 512
	// frozenPackets is how many packets wait in a frozen process's socket.
	maximumQueuedPackets = 64
)

// balancer is one balancer: the product's subscriber, cache and routing on a
// simulated process.
type balancer struct {
	world   *World
	process *kernel.Process
	// listed tells that the platform's list has the machine.
	listed bool
	store  *rollout.Store
	lease  *rollout.Lease
	cache  OwnerCache
	// waiting are packets that came while the process was frozen.
	queuedPackets []packet
	subscriber    *rollout.Subscriber
}

func newBalancer(world *World, name model.NodeName, zone model.ZoneName) *balancer {
	created := &balancer{world: world, listed: true}
	endpoint := kernel.Endpoint{Name: name, Zone: zone}
	created.process = world.host.Add(endpoint, nodeInterval, created.build)
	created.process.After(func(time.Time) { created.observe() })
	return created
}

func (balancer *balancer) build(mailbox *protocol.Mailbox, incarnation model.Incarnation) kernel.Program {
	dispatcher := protocol.NewDispatcher(mailbox)
	balancer.store = rollout.NewStore()
	balancer.lease = rollout.NewLease()
	balancer.cache = balancer.world.parts.Cache(flow.NewCache(cacheFlows))
	balancer.queuedPackets = nil
	balancer.subscriber = rollout.NewSubscriber(rollout.SubscriberOptions{
		Self:              balancer.process.Name,
		Role:              model.RoleBalancer,
		Zone:              balancer.process.Zone,
		Incarnation:       incarnation,
		Relays:            balancer.world.relayNames(balancer.process.Zone),
		HeartbeatInterval: heartbeatInterval,
	}, mailbox, dispatcher, balancer.store, balancer.lease, rollout.NewLoadView(), nil)
	return kernel.Program{
		Mailbox:     mailbox,
		Controllers: []board.Controller{leaseObserver{balancer}, dispatcher, balancer.subscriber, balancer},
	}
}

// Name implements board.Controller.
func (balancer *balancer) Name() string { return "packets" }

// Reconcile implements board.Controller: it handles the packets that came
// while the process was frozen.
func (balancer *balancer) Reconcile(time.Time) {
	queued := balancer.queuedPackets
	balancer.queuedPackets = nil
	for _, incoming := range queued {
		balancer.route(incoming)
	}
}

// receive takes a packet from the fabric.
func (balancer *balancer) receive(incoming packet) {
	switch {
	case balancer.process.Active():
		balancer.route(incoming)
	case balancer.process.Frozen() && len(balancer.queuedPackets) < maximumQueuedPackets:
		balancer.queuedPackets = append(balancer.queuedPackets, incoming)
	}
}

// route sends a packet to the flow's owner if the cache has it, and otherwise
// along the chain of its bucket.
func (balancer *balancer) route(incoming packet) {
	configuration := balancer.world.parts.Running(balancer.process.Name, balancer.store)
	service, known := serviceAt(configuration, incoming.tuple)
	if !known {
		return
	}
	table := configuration.Buckets[service.ID]
	if table == nil || table.Count() == 0 {
		return
	}
	hash := routing.FlowHash(incoming.tuple)
	chain := balancer.world.parts.Chain(table.Bucket(routing.BucketOf(hash, table.Count())))
	if len(chain) == 0 {
		return
	}
	position := balancer.startPosition(hash, incoming.tuple, chain)
	balancer.world.watchPacket(incoming.flow, "%s sends packet %d along %v from %d at revision %d",
		balancer.process.Name, incoming.sequence, chain, position, configuration.Revision)
	balancer.world.forward(balancer.process.Endpoint, configuration, chain[position], forwardedPacket{
		packet:   incoming,
		service:  service.ID,
		revision: configuration.Revision,
		opening:  incoming.opening,
		chain:    chain,
		position: position,
		balancer: balancer.process.Name,
	})
}

func (balancer *balancer) startPosition(hash uint64, tuple model.FiveTuple, chain []model.TargetID) int {
	owner, cached := balancer.cache.Lookup(hash, tuple)
	if !cached {
		return 0
	}
	return max(slices.Index(chain, owner), 0)
}

// learn takes a hint from an agent.
func (balancer *balancer) receiveHint(received hint) {
	if balancer.process.Active() {
		balancer.cache.Insert(routing.FlowHash(received.tuple), received.tuple, received.owner)
	}
}

// observe tells the checkers what the node runs.
func (balancer *balancer) observe() {
	configuration := balancer.world.parts.Running(balancer.process.Name, balancer.store)
	balancer.world.checks.observeNode(balancer.process, configuration)
}

func serviceAt(configuration *model.Configuration, tuple model.FiveTuple) (model.Service, bool) {
	for _, service := range configuration.Services {
		if service.Address == tuple.Destination && service.Protocol == tuple.Protocol {
			return service, true
		}
	}
	return model.Service{}, false
}

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
	// nodeInterval is the time between two periodic runs of a node's controllers.
	nodeInterval      = 50 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// cacheFlows is the number of flows that a balancer's cache of owners holds.
	cacheFlows = 512
	// maximumQueuedPackets is the number of packets that fit into a frozen process's socket buffer.
	maximumQueuedPackets = 64
)

// balancer simulates one balancer: the product's subscriber, cache of flow owners and routing on a
// simulated process.
type balancer struct {
	world   *World
	process *kernel.Process
	// listed is true while the balancer is in the platform's list. The fabric sends packets only to
	// balancers in this list.
	listed bool
	store  *rollout.Store
	lease  *rollout.Lease
	cache  OwnerCache
	// queuedPackets are packets that arrived while the process was frozen.
	queuedPackets []packet
	subscriber    *rollout.Subscriber
}

func newBalancer(world *World, name model.NodeName, zone model.ZoneName) *balancer {
	created := &balancer{world: world, listed: true}
	endpoint := kernel.Endpoint{Name: name, Zone: zone}
	created.process = world.host.Add(endpoint, nodeInterval, created.build)
	created.process.AfterRun(func(time.Time) { created.observe() })
	return created
}

// build starts a new incarnation with empty state.
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

// Reconcile implements board.Controller: it routes the packets that arrived while the process was
// frozen.
func (balancer *balancer) Reconcile(time.Time) {
	queued := balancer.queuedPackets
	balancer.queuedPackets = nil
	for _, incoming := range queued {
		balancer.route(incoming)
	}
}

// receive routes a packet from the fabric, or queues it while the process is frozen. It drops packets
// beyond maximumQueuedPackets, and every packet while the process is stopped.
func (balancer *balancer) receive(incoming packet) {
	switch {
	case balancer.process.Active():
		balancer.route(incoming)
	case balancer.process.Frozen() && len(balancer.queuedPackets) < maximumQueuedPackets:
		balancer.queuedPackets = append(balancer.queuedPackets, incoming)
	}
}

// route sends a packet along the chain of its bucket, starting at the flow's owner if the cache
// knows it and at the first target otherwise. It drops packets without a service or a chain.
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

// startPosition returns the index in chain of the flow's cached owner, or 0.
func (balancer *balancer) startPosition(hash uint64, tuple model.FiveTuple, chain []model.TargetID) int {
	owner, cached := balancer.cache.Lookup(hash, tuple)
	if !cached {
		return 0
	}
	return max(slices.Index(chain, owner), 0)
}

// receiveHint caches the owner of a flow that an agent reported.
func (balancer *balancer) receiveHint(received hint) {
	if balancer.process.Active() {
		balancer.cache.Insert(routing.FlowHash(received.tuple), received.tuple, received.owner)
	}
}

// observe reports the configuration that the node runs to the checkers.
func (balancer *balancer) observe() {
	configuration := balancer.world.parts.Running(balancer.process.Name, balancer.store)
	balancer.world.checks.observeNode(balancer.process, configuration)
}

// serviceAt returns the service at the destination of a packet, and reports whether there is one.
func serviceAt(configuration *model.Configuration, tuple model.FiveTuple) (model.Service, bool) {
	for _, service := range configuration.Services {
		if service.Address == tuple.Destination && service.Protocol == tuple.Protocol {
			return service, true
		}
	}
	return model.Service{}, false
}

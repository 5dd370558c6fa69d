package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

const (
	// loadInterval is the time between two load digests to agents.
	loadInterval = time.Second
	// unchangedLoadResendInterval is the time after which an unchanged digest is sent again, for
	// agents that did not receive it.
	unchangedLoadResendInterval = 10 * time.Second
)

// loadAggregator sends the agents of each service the loads of its targets: those that this
// relay's own agents report, and those that control sent from other relays.
type loadAggregator struct {
	mailbox  *protocol.Mailbox
	remote   map[model.TargetID]model.TargetLoad
	sentAt   time.Time
	lastSent map[model.ServiceID]sentLoads
}

// sentLoads is the digest that was last sent for a service, and the number of agents it went to.
type sentLoads struct {
	loads  []model.TargetLoad
	agents int
	at     time.Time
}

// serviceLoads has the local agents of one service and the loads of its targets.
type serviceLoads struct {
	agents []model.NodeName
	loads  map[model.TargetID]model.TargetLoad
}

func newLoadAggregator(mailbox *protocol.Mailbox) *loadAggregator {
	return &loadAggregator{
		mailbox:  mailbox,
		remote:   make(map[model.TargetID]model.TargetLoad),
		lastSent: make(map[model.ServiceID]sentLoads),
	}
}

func (aggregator *loadAggregator) reconcile(now time.Time, received *board.Queue[protocol.Envelope], configuration *model.Configuration, nodes *nodeTable) {
	if now.Sub(aggregator.sentAt) < loadInterval {
		return
	}
	aggregator.sentAt = now
	aggregator.receive(received, configuration)
	services := aggregator.aggregate(now, configuration, nodes)
	for _, id := range slices.Sorted(maps.Keys(services)) {
		aggregator.send(now, id, services[id])
	}
	for id := range aggregator.lastSent {
		if _, present := services[id]; !present {
			delete(aggregator.lastSent, id)
		}
	}
}

// receive stores the loads that control sent, and drops those of targets that are no longer in the
// configuration.
func (aggregator *loadAggregator) receive(received *board.Queue[protocol.Envelope], configuration *model.Configuration) {
	for _, envelope := range received.Drain() {
		digest, isDigest := envelope.Message.(protocol.LoadDigest)
		if !isDigest {
			continue
		}
		for _, load := range digest.Loads {
			aggregator.remote[load.Target] = load
		}
	}
	for target := range aggregator.remote {
		if _, known := configuration.Targets[target]; !known {
			delete(aggregator.remote, target)
		}
	}
}

// aggregate returns the agents and loads of each service that has an agent with a fresh heartbeat
// at this relay.
func (aggregator *loadAggregator) aggregate(now time.Time, configuration *model.Configuration, nodes *nodeTable) map[model.ServiceID]*serviceLoads {
	services := make(map[model.ServiceID]*serviceLoads)
	for name, row := range nodes.rows {
		if row.heartbeat.Load == nil || row.gone || now.Sub(row.receivedAt) > rollout.FreshWithin {
			continue
		}
		target, known := configuration.Targets[row.heartbeat.Load.Target]
		if !known {
			continue
		}
		service, exists := services[target.Service]
		if !exists {
			service = &serviceLoads{loads: make(map[model.TargetID]model.TargetLoad)}
			services[target.Service] = service
		}
		service.agents = append(service.agents, name)
		service.loads[target.ID] = *row.heartbeat.Load
	}
	aggregator.addRemote(configuration, services)
	return services
}

// addRemote adds the loads of targets whose agents report to other relays.
func (aggregator *loadAggregator) addRemote(configuration *model.Configuration, services map[model.ServiceID]*serviceLoads) {
	for id, load := range aggregator.remote {
		service, wanted := services[configuration.Targets[id].Service]
		if !wanted {
			continue
		}
		if _, local := service.loads[id]; !local {
			service.loads[id] = load
		}
	}
}

// send sends the service's digest to its agents if the loads or the number of agents changed, or
// if unchangedLoadResendInterval has passed.
func (aggregator *loadAggregator) send(now time.Time, id model.ServiceID, service *serviceLoads) {
	loads := make([]model.TargetLoad, 0, len(service.loads))
	for _, load := range service.loads {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(left, right model.TargetLoad) int { return cmp.Compare(left.Target, right.Target) })
	last := aggregator.lastSent[id]
	unchanged := slices.Equal(loads, last.loads) && last.agents == len(service.agents)
	if unchanged && now.Sub(last.at) < unchangedLoadResendInterval {
		return
	}
	aggregator.lastSent[id] = sentLoads{loads: loads, agents: len(service.agents), at: now}
	slices.Sort(service.agents)
	for _, agent := range service.agents {
		aggregator.mailbox.Send(agent, protocol.LoadDigest{Service: id, Loads: loads})
	}
}

package agent

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/agent/dataplane"
	"merlinpaddle/internal/agent/requests"
	"merlinpaddle/internal/agent/upstream"
	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/steering"
)

// flowIdleMargin is by how much a flow of QUIC stays owned after the idle
// time-out that ends its connection.
const flowIdleMargin = 10 * time.Second

// waitInDrain is how long after a drain began a request that waits may still
// be started.
const waitInDrain = 2 * time.Second

// instance is the agent's work for one life of its target: a target that is
// removed and created again gets a new instance.
type instance struct {
	target  model.TargetID
	service model.ServiceID
	owners  *flow.OwnedFlows
	steer   *steering.Steering
	plane   *dataplane.Plane

	// gate, pool and front serve QUIC services; datagrams serves plain UDP.
	gate      *requests.Gate
	pool      *upstream.Pool
	front     *frontend
	datagrams *dataplane.Datagrams

	// drainingSince is when the drain began, or zero. Only the goroutine that
	// reconciles the agent uses it.
	drainingSince time.Time
}

// newInstance starts the work for target.
func (agent *Agent) newInstance(target model.Target, service model.Service, fabric netip.AddrPort) (*instance, error) {
	created := &instance{target: target.ID, service: service.ID}
	created.owners = flow.NewOwnedFlows(flow.OwnedFlowsOptions{
		Service:     service.ID,
		Target:      target.ID,
		IdleTimeout: flowIdle(service),
	})
	created.gate = requests.NewGate(admission.New(admission.Options{
		Slots:        service.Limits.SlotsPerTarget,
		MaximumQueue: service.Limits.MaximumQueue,
		MaximumFeeds: service.Limits.MaximumConnections,
		ColdStart:    agent.settings.Agent.ColdStart,
		StartedAt:    agent.started,
		Seed:         uint64(agent.started.UnixNano()),
	}))
	created.steer = steering.New(steering.Options{
		Target:         target.ID,
		Configurations: agent.store,
		OwnedFlows:     created.owners,
		Load:           func() model.TargetLoad { return agent.loadOf(created) },
		Draining:       agent.stopping.Load,
		MayOpen:        agent.pause.Over,
		Started:        agent.started,
	})
	created.plane = dataplane.NewPlane(dataplane.Options{
		Target:         target.ID,
		Service:        service.ID,
		Configurations: agent.store,
		Decider:        created.steer,
		Owners:         created.owners,
		Socket:         agent.socket,
		Fabric:         fabric,
	})
	return created, agent.startReceiver(created, service)
}

// startReceiver starts what takes the service's packets.
func (agent *Agent) startReceiver(created *instance, service model.Service) error {
	switch service.Protocol {
	case model.ProtocolUDP:
		created.datagrams = dataplane.NewDatagrams(created.plane, agent.settings.Agent.Backend)
		created.plane.SetReceiver(created.datagrams)
	case model.ProtocolTCP:
		created.plane.SetReceiver(dataplane.NewSegments(created.plane, nil))
	default:
		return agent.startFrontend(created, service)
	}
	return nil
}

func (agent *Agent) startFrontend(created *instance, service model.Service) error {
	pair, err := loadCertificate(agent.settings, service.Address)
	if err != nil {
		return err
	}
	created.pool = upstream.NewPool(agent.settings.Agent.Backend)
	handler := requests.NewHandler(requests.Options{
		Service:     func() model.Service { return agent.serviceNow(service) },
		Gate:        created.gate,
		Pool:        created.pool,
		Claims:      agent.claims,
		Identifiers: agent.identifiers,
		Metrics:     agent.requestMetrics,
	})
	created.front, err = newFrontend(created.plane, service, pair, handler)
	if err != nil {
		return err
	}
	created.plane.SetReceiver(created.front)
	return nil
}

func flowIdle(service model.Service) time.Duration {
	if service.Protocol == model.ProtocolQUIC {
		return service.Limits.IdleTimeout + flowIdleMargin
	}
	return service.Limits.IdleTimeout
}

// setAccepting starts or ends the taking of new connections.
func (running *instance) setAccepting(accepting bool) {
	if running.front != nil {
		running.front.connections.setAccepting(accepting)
	}
}

// refuseWaiting refuses the requests that still wait for a slot when the drain
// has lasted for waitInDrain, so that the back end gets no new work later. It
// admits requests again after the drain.
func (running *instance) refuseWaiting(now time.Time, draining bool) {
	if !draining {
		running.drainingSince = time.Time{}
	} else if running.drainingSince.IsZero() {
		running.drainingSince = now
	}
	running.gate.SetClosed(draining && now.Sub(running.drainingSince) >= waitInDrain)
}

// maintain ends what is idle, and keeps up the average number of requests.
func (running *instance) maintain(now time.Time, limits model.Limits) {
	running.plane.Expire(now)
	running.steer.ObserveLoad(now)
	if running.front != nil {
		running.front.connections.endIdle(now, limits.IdleTimeout)
	}
}

// resize follows changed limits of the service.
func (running *instance) resize(limits model.Limits) {
	running.gate.Resize(limits.SlotsPerTarget, limits.MaximumQueue, limits.MaximumConnections)
}

// close ends everything at once.
func (running *instance) close() {
	if running.front != nil {
		running.front.close()
		running.pool.Close()
	}
	if running.datagrams != nil {
		running.datagrams.Close()
	}
}

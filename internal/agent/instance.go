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

// flowIdleMargin is how long a QUIC flow stays owned after the idle timeout that
// ends its connection.
const flowIdleMargin = 10 * time.Second

// drainQueueGrace is how long after the start of a drain queued requests may
// still be started.
const drainQueueGrace = 2 * time.Second

// instance serves one target ID. A target that is removed and created again has
// a new ID and gets a new instance.
type instance struct {
	target     model.TargetID
	service    model.ServiceID
	ownedFlows *flow.OwnedFlows
	steering   *steering.Steering
	plane      *dataplane.Plane

	// gate, pool and frontend serve QUIC services; datagrams serves plain UDP.
	gate      *requests.Gate
	pool      *upstream.Pool
	frontend  *frontend
	datagrams *dataplane.DatagramReceiver

	// drainingSince is when the drain began, or zero. Only the goroutine of
	// Agent.Run uses it.
	drainingSince time.Time
}

// newInstance returns an instance for target and starts its receiver.
func (agent *Agent) newInstance(target model.Target, service model.Service, fabric netip.AddrPort) (*instance, error) {
	created := &instance{target: target.ID, service: service.ID}
	created.ownedFlows = flow.NewOwnedFlows(flow.OwnedFlowsOptions{
		Service:     service.ID,
		Target:      target.ID,
		IdleTimeout: flowIdleTimeout(service),
	})
	created.gate = requests.NewGate(admission.New(admission.Options{
		Slots:        service.Limits.SlotsPerTarget,
		MaximumQueue: service.Limits.MaximumQueue,
		MaximumFeeds: service.Limits.MaximumConnections,
		ColdStart:    agent.settings.Agent.ColdStart,
		StartedAt:    agent.started,
		Seed:         uint64(agent.started.UnixNano()),
	}))
	created.steering = steering.New(steering.Options{
		Target:         target.ID,
		Configurations: agent.store,
		OwnedFlows:     created.ownedFlows,
		Load:           func() model.TargetLoad { return agent.loadOf(created) },
		Draining:       agent.stopping.Load,
		MayOpen:        agent.pause.Over,
		Started:        agent.started,
	})
	created.plane = dataplane.NewPlane(dataplane.Options{
		Target:         target.ID,
		Service:        service.ID,
		Configurations: agent.store,
		Decider:        created.steering,
		OwnedFlows:     created.ownedFlows,
		Socket:         agent.socket,
		Fabric:         fabric,
	})
	return created, agent.startReceiver(created, service)
}

// startReceiver starts the receiver for the service's protocol.
func (agent *Agent) startReceiver(created *instance, service model.Service) error {
	switch service.Protocol {
	case model.ProtocolUDP:
		created.datagrams = dataplane.NewDatagramReceiver(created.plane, agent.settings.Agent.Backend)
		created.plane.SetReceiver(created.datagrams)
	case model.ProtocolTCP:
		created.plane.SetReceiver(dataplane.NewSegmentReceiver(created.plane, nil))
	default:
		return agent.startFrontend(created, service)
	}
	return nil
}

// startFrontend starts the HTTP/3 server of created and its request handler.
func (agent *Agent) startFrontend(created *instance, service model.Service) error {
	pair, err := loadCertificate(agent.settings, service.Address)
	if err != nil {
		return err
	}
	created.pool = upstream.NewPool(agent.settings.Agent.Backend)
	handler := requests.NewHandler(requests.Options{
		Service:    func() model.Service { return agent.currentService(service) },
		Gate:       created.gate,
		Pool:       created.pool,
		Claims:     agent.claims,
		IDAssigner: agent.idAssigner,
		Metrics:    agent.requestMetrics,
	})
	created.frontend, err = newFrontend(created.plane, service, pair, handler)
	if err != nil {
		return err
	}
	created.plane.SetReceiver(created.frontend)
	return nil
}

// flowIdleTimeout returns how long a flow without packets stays owned.
func flowIdleTimeout(service model.Service) time.Duration {
	if service.Protocol == model.ProtocolQUIC {
		return service.Limits.IdleTimeout + flowIdleMargin
	}
	return service.Limits.IdleTimeout
}

// setAccepting sets whether new connections are accepted.
func (instance *instance) setAccepting(accepting bool) {
	if instance.frontend != nil {
		instance.frontend.connections.setAccepting(accepting)
	}
}

// refuseQueuedInDrain refuses the requests that still wait for a slot once the
// drain has lasted for drainQueueGrace, so that the back end gets no new work
// after that. Without a drain it admits requests again.
func (instance *instance) refuseQueuedInDrain(now time.Time, draining bool) {
	if !draining {
		instance.drainingSince = time.Time{}
	} else if instance.drainingSince.IsZero() {
		instance.drainingSince = now
	}
	instance.gate.SetClosed(draining && now.Sub(instance.drainingSince) >= drainQueueGrace)
}

// maintain expires idle flows, closes idle connections, and updates the average
// number of requests. It must be called at least every reconcileInterval.
func (instance *instance) maintain(now time.Time, limits model.Limits) {
	instance.plane.Expire(now)
	instance.steering.ObserveLoad(now)
	if instance.frontend != nil {
		instance.frontend.connections.closeIdle(now, limits.IdleTimeout)
	}
}

// resize applies changed limits of the service to the gate.
func (instance *instance) resize(limits model.Limits) {
	instance.gate.Resize(limits.SlotsPerTarget, limits.MaximumQueue, limits.MaximumConnections)
}

// close closes all flows and connections immediately.
func (instance *instance) close() {
	if instance.frontend != nil {
		instance.frontend.close()
		instance.pool.Close()
	}
	if instance.datagrams != nil {
		instance.datagrams.Close()
	}
}

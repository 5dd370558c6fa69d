// Package agent implements the agent role, which runs in front of one back end.
// An agent owns the flows of its target: it delivers their packets, serves
// HTTP/3 requests by proxying them to the back end, forwards packets of flows
// that other targets own along the flow's chain, and drains before a stop.
package agent

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/agent/dataplane"
	"merlinpaddle/internal/agent/requests"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/settings"
)

const (
	// reconcileInterval is the time between two runs of reconcile, which
	// applies the configuration and closes idle flows and connections. A
	// configuration change starts a run at once.
	reconcileInterval = 100 * time.Millisecond
)

// Names of the agent's readiness conditions.
const (
	readinessTarget    = "target configured"
	readinessAccepting = "accepting new flows"
)

// Agent serves one target. It implements rollout.Reporter.
type Agent struct {
	settings       settings.Settings
	store          *rollout.Store
	pause          *rollout.Pause
	logger         *zap.Logger
	readiness      *process.Readiness
	requestMetrics *requests.Metrics
	started        time.Time

	claims      requests.Claims
	idAssigner  *requests.IDAssigner
	incarnation model.Incarnation
	socket      *dataplane.Socket
	// fabric is the address of the fabric, to which answers are sent.
	fabric netip.AddrPort

	// instance is the current instance; nil until the configuration contains
	// the agent's target, and after Run returned.
	instance atomic.Pointer[instance]
	// stopping is set once the process drains for a stop. From then on the
	// agent accepts no new flows.
	stopping atomic.Bool
	// limitsRevision is the service revision whose limits are applied. Only
	// the goroutine of Run uses it.
	limitsRevision model.Revision
	// accepting is set while the agent accepts new flows.
	accepting atomic.Bool
}

// Dependencies are the settings and shared objects that New needs.
type Dependencies struct {
	Settings  settings.Settings
	Store     *rollout.Store
	Pause     *rollout.Pause
	Logger    *zap.Logger
	Readiness *process.Readiness
	Metrics   *requests.Metrics
}

// New returns an agent that is not started yet, and marks its readiness
// conditions as not met.
func New(dependencies Dependencies) *Agent {
	dependencies.Readiness.Set(readinessTarget, false)
	dependencies.Readiness.Set(readinessAccepting, false)
	return &Agent{
		settings:       dependencies.Settings,
		store:          dependencies.Store,
		pause:          dependencies.Pause,
		logger:         dependencies.Logger,
		readiness:      dependencies.Readiness,
		requestMetrics: dependencies.Metrics,
		started:        time.Now(),
	}
}

// Identity is the incarnation that the agent's heartbeats carry, and the claim
// tracker that uses the same incarnation.
type Identity struct {
	Incarnation model.Incarnation
	Claims      requests.Claims
}

// Start checks the agent's settings and opens the packet socket. It must be
// called before Receive, Run and PollHealth. The error has code AgentSettings
// when a setting is missing or malformed.
func (agent *Agent) Start(identity Identity) error {
	fabric, err := agent.checkSettings()
	if err != nil {
		return err
	}
	agent.fabric = fabric
	agent.incarnation = identity.Incarnation
	agent.claims = identity.Claims
	agent.idAssigner = requests.NewIDAssigner(model.NodeName(agent.settings.Node), identity.Incarnation)
	agent.socket, err = dataplane.Listen(agent.settings.Agent.Packets)
	return err
}

// checkSettings returns the parsed agent.fabric, or an error that names the
// setting that is missing or malformed.
func (agent *Agent) checkSettings() (netip.AddrPort, error) {
	if agent.settings.Agent.Packets == "" {
		return netip.AddrPort{}, faults.New(faults.AgentSettings, "agent.packets: must be set for the agent role")
	}
	if agent.settings.Agent.Backend == "" {
		return netip.AddrPort{}, faults.New(faults.AgentSettings, "agent.backend: must be set for the agent role")
	}
	fabric, err := netip.ParseAddrPort(agent.settings.Agent.Fabric)
	if err != nil {
		return netip.AddrPort{}, faults.New(faults.AgentSettings, "agent.fabric: %q is not an IP address and port", agent.settings.Agent.Fabric)
	}
	return fabric, nil
}

// PacketAddress returns the local address of the packet socket.
func (agent *Agent) PacketAddress() netip.AddrPort { return agent.socket.Address() }

// Receive reads packets from the socket and handles them until ctx ends. It
// discards them while there is no instance.
func (agent *Agent) Receive(ctx context.Context) error {
	return agent.socket.Receive(ctx, func(received *packet.Encapsulated) {
		if current := agent.instance.Load(); current != nil {
			current.plane.Handle(received)
		}
	}, func(err error) {
		if current := agent.instance.Load(); current != nil {
			current.plane.Rejected(err)
		}
	})
}

// Run applies the configuration until ctx ends, and then closes all flows.
func (agent *Agent) Run(ctx context.Context) error {
	changes := agent.store.Watch()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer agent.closeInstance()
	for {
		if err := agent.reconcile(time.Now()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-ticker.C:
		}
	}
}

// closeInstance stops accepting new flows and closes the current instance.
func (agent *Agent) closeInstance() {
	agent.accepting.Store(false)
	if current := agent.instance.Swap(nil); current != nil {
		current.close()
	}
}

// reconcile applies the configuration to the current instance, creating or
// replacing the instance if needed, and does its periodic work.
func (agent *Agent) reconcile(now time.Time) error {
	configuration := agent.store.Current()
	target, known := agent.ownTarget(configuration)
	if !known {
		// A removed target accepts no new flows. Its open flows continue for
		// as long as their packets arrive.
		agent.setAccepting(false)
		return nil
	}
	service, known := configuration.Services[target.Service]
	if !known {
		agent.setAccepting(false)
		return nil
	}
	service.Limits = withDefaults(service.Limits)
	if err := agent.ensureInstance(target, service); err != nil {
		return err
	}
	current := agent.instance.Load()
	if service.Revision != agent.limitsRevision {
		current.resize(service.Limits)
		agent.limitsRevision = service.Revision
	}
	agent.readiness.Set(readinessTarget, true)
	accepting := target.Phase == model.PhaseServing && !agent.stopping.Load()
	agent.setAccepting(accepting)
	current.refuseQueuedInDrain(now, !accepting)
	current.maintain(now, service.Limits)
	return nil
}

// ownTarget returns the target whose name is the agent's node name. When a
// service was removed and created again there may be several; the one with the
// highest ID, which is the newest, is returned.
func (agent *Agent) ownTarget(configuration *model.Configuration) (model.Target, bool) {
	var own model.Target
	for _, target := range configuration.Targets {
		if target.Name == agent.settings.Node && target.ID > own.ID {
			own = target
		}
	}
	return own, own.ID != 0
}

// ensureInstance creates an instance for target unless the current one is for
// it. It closes the instance that it replaces.
func (agent *Agent) ensureInstance(target model.Target, service model.Service) error {
	current := agent.instance.Load()
	if current != nil && current.target == target.ID {
		return nil
	}
	created, err := agent.newInstance(target, service, agent.fabric)
	if err != nil {
		return err
	}
	agent.instance.Store(created)
	if current != nil {
		agent.logger.Warn("target replaced; closing the flows of the previous target", zap.Uint32("target", uint32(current.target)))
		current.close()
	}
	return nil
}

// setAccepting publishes whether the agent accepts new flows. The QUIC server accepts connections for as
// long as flows are opened, because it would refuse the caller of a flow that was opened before.
func (agent *Agent) setAccepting(accepting bool) {
	if !accepting {
		agent.accepting.Store(false)
	}
	if current := agent.instance.Load(); current != nil {
		current.setAccepting(accepting)
	}
	agent.accepting.Store(accepting)
	agent.readiness.Set(readinessAccepting, accepting)
}

// currentService returns the service with the ID of fallback from the current
// configuration, or fallback when the service was removed.
func (agent *Agent) currentService(fallback model.Service) model.Service {
	service, known := agent.store.Current().Services[fallback.ID]
	if !known {
		return fallback
	}
	service.Limits = withDefaults(service.Limits)
	return service
}

// withDefaults returns limits with every field that is zero set to its default.
func withDefaults(limits model.Limits) model.Limits {
	defaults := model.DefaultLimits()
	setDefault(&limits.SlotsPerTarget, defaults.SlotsPerTarget)
	setDefault(&limits.MaximumConnections, defaults.MaximumConnections)
	setDefault(&limits.MaximumQueue, defaults.MaximumQueue)
	setDefault(&limits.MaximumHeaderBytes, defaults.MaximumHeaderBytes)
	setDefault(&limits.MaximumBodyBytes, defaults.MaximumBodyBytes)
	setDefault(&limits.HeaderTimeout, defaults.HeaderTimeout)
	setDefault(&limits.IdleTimeout, defaults.IdleTimeout)
	setDefault(&limits.RequestTimeout, defaults.RequestTimeout)
	setDefault(&limits.NewFlowsPerSecond, defaults.NewFlowsPerSecond)
	setDefault(&limits.NewFlowBurst, defaults.NewFlowBurst)
	return limits
}

// setDefault sets field to fallback if it has its zero value.
func setDefault[Value comparable](field *Value, fallback Value) {
	var zero Value
	if *field == zero {
		*field = fallback
	}
}

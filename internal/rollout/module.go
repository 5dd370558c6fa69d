package rollout

import (
	"context"
	"time"

	"go.uber.org/fx"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/transport"
)

const (
	// subscriberInterval is how often a node's subscriber runs without a
	// notice.
	subscriberInterval = 50 * time.Millisecond
	// farewellTime bounds the wait for the leaving heartbeat to go out.
	drainTimeout = 500 * time.Millisecond
	// farewellPoll is how often the outbox is looked at meanwhile.
	drainPollInterval = 10 * time.Millisecond
	// readinessPart is the subscriber's part of the process's readiness.
	readinessPart = "rollout"
)

// NodeModule runs the rollout side of a balancer or an agent. It provides
// model.Role, *Store, *Lease, *Pause, *LoadView and *Subscriber, and includes
// transport.Module. It needs what the process base provides; agents also
// provide a Reporter. The subscriber starts and stops with the process.
func NodeModule(role model.Role) fx.Option {
	return fx.Module("rollout",
		fx.Supply(role),
		transport.Module(),
		fx.Provide(NewStore, NewLease, NewPause, NewLoadView, provideSubscriber),
		fx.Invoke(runSubscriber),
	)
}

// subscriberParts are what a node's subscriber is made of.
type subscriberParts struct {
	fx.In

	Role       model.Role
	Settings   settings.Settings
	Mailbox    *protocol.Mailbox
	Dispatcher *protocol.Dispatcher
	Links      *transport.Links
	Store      *Store
	Lease      *Lease
	Pause      *Pause
	Loads      *LoadView
	Reporter   Reporter `optional:"true"`
}

func provideSubscriber(parts subscriberParts) (*Subscriber, error) {
	relays, interval := relaySettings(parts.Role, parts.Settings)
	if len(relays) == 0 {
		return nil, faults.New(faults.CodeRelaysMissing, "%s.relays: no relay is listed", parts.Role)
	}
	options := SubscriberOptions{
		Self:              model.NodeName(parts.Settings.Node),
		Role:              parts.Role,
		Zone:              model.ZoneName(parts.Settings.Zone),
		Incarnation:       model.Incarnation(time.Now().UnixNano()),
		HeartbeatInterval: interval,
		Pause:             parts.Pause,
	}
	for _, relay := range relays {
		options.Relays = append(options.Relays, model.NodeName(relay.Name))
		parts.Links.Dial(relay)
	}
	return NewSubscriber(options, parts.Mailbox, parts.Dispatcher, parts.Store, parts.Lease, parts.Loads, parts.Reporter), nil
}

func relaySettings(role model.Role, chosen settings.Settings) ([]settings.Peer, time.Duration) {
	if role == model.RoleAgent {
		return chosen.Agent.Relays, chosen.Agent.HeartbeatInterval
	}
	return chosen.Balancer.Relays, chosen.Balancer.HeartbeatInterval
}

func runSubscriber(lifecycle fx.Lifecycle, subscriber *Subscriber, mailbox *protocol.Mailbox, tasks *process.Tasks, readiness *process.Readiness) {
	var sources []<-chan struct{}
	for _, queue := range subscriber.Queues() {
		sources = append(sources, queue.Watch())
	}
	controller := &readinessController{subscriber: subscriber, readiness: readiness}
	runner := board.NewRunner(controller, subscriberInterval, sources...)
	stopped := make(chan struct{})
	runContext, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			tasks.Go("subscriber", func(ctx context.Context) error {
				defer close(stopped)
				stopOnTaskEnd := context.AfterFunc(ctx, cancel)
				defer stopOnTaskEnd()
				runner.Run(runContext)
				return nil
			})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			cancel()
			<-stopped
			subscriber.Leave(time.Now())
			drainOutbox(ctx, mailbox)
			return nil
		},
	})
}

// drainOutbox waits until the links have taken the last messages.
func drainOutbox(ctx context.Context, mailbox *protocol.Mailbox) {
	deadline := time.Now().Add(drainTimeout)
	for mailbox.Outbox.Length() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	time.Sleep(drainPollInterval)
}

// supervised runs a subscriber and shows in the process's readiness whether
// the node is confirmed.
type readinessController struct {
	subscriber *Subscriber
	readiness  *process.Readiness
}

// Name implements board.Controller.
func (controller *readinessController) Name() string { return controller.subscriber.Name() }

// Reconcile implements board.Controller.
func (controller *readinessController) Reconcile(now time.Time) {
	controller.subscriber.Reconcile(now)
	controller.readiness.Set(readinessPart, controller.subscriber.Confirmed(now))
}

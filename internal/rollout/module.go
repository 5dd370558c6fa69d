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
	// subscriberInterval is the time between runs of the subscriber when no message arrives.
	subscriberInterval = 50 * time.Millisecond
	// drainTimeout bounds the wait for the last heartbeat to be sent when the process stops.
	drainTimeout = 500 * time.Millisecond
	// drainPollInterval is the time between two checks of the outbox during that wait.
	drainPollInterval = 10 * time.Millisecond
	// readinessPart names the subscriber's part of the process's readiness.
	readinessPart = "rollout"
)

// NodeModule runs the subscriber of a balancer or an agent, which starts and stops with the
// process. It provides model.Role, *Store, *Lease, *Pause, *LoadView and *Subscriber, and includes
// transport.Module. It depends on what the process package's module provides; agents also provide
// a Reporter.
func NodeModule(role model.Role) fx.Option {
	return fx.Module("rollout",
		fx.Supply(role),
		transport.Module(),
		fx.Provide(NewStore, NewLease, NewPause, NewLoadView, provideSubscriber),
		fx.Invoke(runSubscriber),
	)
}

// subscriberParts are the dependencies of provideSubscriber.
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

// drainOutbox waits until the links have taken the last messages from the outbox, for at most
// drainTimeout. The final sleep leaves the links time to send them.
func drainOutbox(ctx context.Context, mailbox *protocol.Mailbox) {
	deadline := time.Now().Add(drainTimeout)
	for mailbox.Outbox.Length() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	time.Sleep(drainPollInterval)
}

// readinessController runs a subscriber and sets the process's readiness by whether the node is
// confirmed.
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

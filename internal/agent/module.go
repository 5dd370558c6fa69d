package agent

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/agent/requests"
	"merlinpaddle/internal/board"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/settings"
)

const (
	// claimReconcileInterval is the time between two runs of the claim tracker;
	// a reply starts one at once.
	claimReconcileInterval = 50 * time.Millisecond
	// stopLinger is how long packets are still forwarded after the last
	// heartbeat of a planned stop, so that control can move the buckets.
	stopLinger = 1500 * time.Millisecond
)

// Module runs the agent role. It provides *Agent, rollout.Reporter and
// *claim.Tracker, includes rollout.NodeModule, and requires what package process
// provides.
func Module() fx.Option {
	return fx.Module("agent",
		fx.Provide(requestMetrics, newAgent, asReporter, newTracker),
		// Hooks start in this order and stop in reverse order: first the
		// drain, then the last heartbeat, then stopLinger.
		fx.Invoke(lingerAtStop),
		rollout.NodeModule(model.RoleAgent),
		fx.Invoke(run),
	)
}

func requestMetrics(registry *prometheus.Registry) *requests.Metrics {
	return requests.NewMetrics(registry)
}

func newAgent(config settings.Settings, store *rollout.Store, pause *rollout.Pause, logger *zap.Logger,
	readiness *process.Readiness, metrics *requests.Metrics) *Agent {
	return New(Dependencies{
		Settings:  config,
		Store:     store,
		Pause:     pause,
		Logger:    logger,
		Readiness: readiness,
		Metrics:   metrics,
	})
}

func asReporter(agent *Agent) rollout.Reporter { return agent }

// newTracker returns the claim tracker and the queue of claim replies that it
// reads.
func newTracker(config settings.Settings, subscriber *rollout.Subscriber, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher) (*claim.Tracker, *board.Queue[protocol.Envelope]) {
	replies := dispatcher.Handle(protocol.ClaimReply{})
	return claim.NewTracker(claim.Options{
		Agent:       model.NodeName(config.Node),
		Incarnation: subscriber.Incarnation(),
		Mailbox:     mailbox,
		Replies:     replies,
		Relay:       subscriber,
	}), replies
}

// lingerAtStop keeps the packet socket open for stopLinger at the end of a stop.
func lingerAtStop(lifecycle fx.Lifecycle) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) {
		timer := time.NewTimer(stopLinger)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}))
}

// runDependencies are the dependencies of run.
type runDependencies struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Tasks      *process.Tasks
	Logger     *zap.Logger
	Registry   *prometheus.Registry
	Agent      *Agent
	Subscriber *rollout.Subscriber
	Tracker    *claim.Tracker
	Replies    *board.Queue[protocol.Envelope]
}

// run registers the metrics, and starts and stops the agent's goroutines.
func run(dependencies runDependencies) {
	dependencies.Registry.MustRegister(newCollector(dependencies.Agent))
	dependencies.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			identity := Identity{Incarnation: dependencies.Subscriber.Incarnation(), Claims: dependencies.Tracker}
			if err := dependencies.Agent.Start(identity); err != nil {
				return err
			}
			dependencies.Tasks.Go("packets", dependencies.Agent.Receive)
			dependencies.Tasks.Go("agent", dependencies.Agent.Run)
			dependencies.Tasks.Go("health", dependencies.Agent.PollHealth)
			dependencies.Tasks.Go("claims", func(ctx context.Context) error {
				board.NewRunner(dependencies.Tracker, claimReconcileInterval, dependencies.Replies.Watch()).Run(ctx)
				return nil
			})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			// Drain logs what is still open; the stop continues.
			_ = dependencies.Agent.Drain(ctx)
			return nil
		},
	})
}

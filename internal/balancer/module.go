package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/settings"
)

// indexInterval is how often the index controller runs without a change notification.
const indexInterval = time.Second

// Module returns the components of the balancer process. It must come after
// rollout.NodeModule in the list of modules: components stop in reverse order,
// and the node must stay subscribed to configurations during the grace period of
// a planned stop.
func Module() fx.Option {
	return fx.Module("balancer",
		fx.Provide(newFromSettings),
		fx.Invoke(start),
	)
}

func newFromSettings(chosen settings.Settings, store *rollout.Store, readiness *process.Readiness, registry *prometheus.Registry) (*Balancer, error) {
	address, err := netip.ParseAddrPort(chosen.Balancer.Packets)
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "balancer.packets: %q: %v", chosen.Balancer.Packets, err)
	}
	return New(Options{
		Packets:           address,
		CacheFlows:        chosen.Balancer.CacheFlows,
		Workers:           chosen.Balancer.Workers,
		OpeningsPerSource: chosen.Balancer.OpeningsPerSource,
		Configurations:    store,
		Readiness:         readiness,
		Registry:          registry,
	})
}

func start(lifecycle fx.Lifecycle, chosen settings.Settings, balancer *Balancer, store *rollout.Store, tasks *process.Tasks, logger *zap.Logger) {
	runner := board.NewRunner(balancer.Controller(), indexInterval, store.Watch())
	lifecycle.Append(fx.StartStopHook(
		func() {
			tasks.Go("balancer index", func(ctx context.Context) error {
				runner.Run(ctx)
				return nil
			})
			tasks.Go("balancer packets", balancer.Run)
		},
		func(ctx context.Context) {
			logger.Info("planned stop: forwarding for the grace", zap.Duration("grace", chosen.Balancer.StopGrace))
			balancer.BeginStop()
			waitFor(ctx, chosen.Balancer.StopGrace)
		},
	))
}

// waitFor waits for duration, or until ctx ends.
func waitFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

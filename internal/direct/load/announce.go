package load

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// NewSharingObserver returns a function for OnChange that logs each start and end of load
// sharing and keeps a gauge of the current state. The gauge is registered with registry.
func NewSharingObserver(registry prometheus.Registerer, logger *zap.Logger) func(sharing SharingState) {
	shared := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "merlinpaddle_direct_load_shared",
		Help: "1 while this node shares the load of targets with others, because a service is half used; else 0.",
	})
	registry.MustRegister(shared)
	return func(sharing SharingState) {
		shared.Set(0)
		if sharing.Active {
			shared.Set(1)
		}
		logger.Info("load sharing changed",
			zap.Bool("shared", sharing.Active),
			zap.Float64("utilization", sharing.Utilization),
			zap.Int("nodes", sharing.Nodes))
	}
}

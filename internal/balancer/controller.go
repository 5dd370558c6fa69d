package balancer

import (
	"sync/atomic"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
)

// readinessPart names the balancer's part of the process's readiness. The part is
// ready from the first configuration on, also while the balancer has no contact
// with the control plane, until a planned stop begins.
const readinessPart = "configuration"

// Configurations returns the configuration that the balancer runs.
// *rollout.Store implements it.
type Configurations interface {
	Current() *model.Configuration
}

// IndexController publishes the index of the running configuration. It
// implements board.Controller.
type IndexController struct {
	configurations Configurations
	limits         *Limits
	readiness      *process.Readiness
	metrics        *metrics
	// current is the published index, which the packet path loads.
	current atomic.Pointer[Index]
	// stopping is true once a planned stop has begun.
	stopping atomic.Bool
}

func newIndexController(configurations Configurations, limits *Limits, readiness *process.Readiness, metrics *metrics) *IndexController {
	created := &IndexController{
		configurations: configurations,
		limits:         limits,
		readiness:      readiness,
		metrics:        metrics,
	}
	created.current.Store(newIndex(time.Time{}, model.NewConfiguration(), nil, limits))
	return created
}

// Name implements board.Controller.
func (controller *IndexController) Name() string { return "balancer index" }

// Reconcile implements board.Controller. It publishes a new index if the running
// configuration has a higher revision than the published one, and updates the
// readiness.
func (controller *IndexController) Reconcile(now time.Time) {
	running := controller.configurations.Current()
	previous := controller.current.Load()
	if running.Revision > previous.revision {
		controller.current.Store(newIndex(now, running, previous, controller.limits))
		controller.metrics.revision.Set(float64(running.Revision))
	}
	controller.readiness.Set(readinessPart, running.Revision > 0 && !controller.stopping.Load())
}

// beginStop marks the process as not ready while it keeps forwarding.
func (controller *IndexController) beginStop() {
	controller.stopping.Store(true)
	controller.readiness.Set(readinessPart, false)
}

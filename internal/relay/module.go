package relay

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
	// runInterval is the time between runs of the controller when no message arrives.
	runInterval = 50 * time.Millisecond
	// readinessPart names the relay's part of the process's readiness.
	readinessPart = "control"
)

// Module runs the relay role. It provides model.Role and *Controller and includes
// transport.Module. It depends on what the process package's module provides.
func Module() fx.Option {
	return fx.Module("relay",
		fx.Supply(model.RoleRelay),
		transport.Module(),
		fx.Provide(provideController),
		fx.Invoke(run),
	)
}

func provideController(chosen settings.Settings, links *transport.Links, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher) (*Controller, error) {
	if len(chosen.Relay.Control) == 0 {
		return nil, faults.New(faults.CodeMembersMissing, "relay.control: no control member is listed")
	}
	options := Options{
		Self:           model.NodeName(chosen.Node),
		Zone:           model.ZoneName(chosen.Zone),
		Incarnation:    model.Incarnation(time.Now().UnixNano()),
		ReportInterval: chosen.Relay.ReportInterval,
	}
	for _, member := range chosen.Relay.Control {
		options.Control = append(options.Control, model.NodeName(member.Name))
		links.Dial(member)
	}
	return NewController(options, mailbox, dispatcher), nil
}

func run(lifecycle fx.Lifecycle, controller *Controller, tasks *process.Tasks, readiness *process.Readiness) {
	var sources []<-chan struct{}
	for _, queue := range controller.Queues() {
		sources = append(sources, queue.Watch())
	}
	runner := board.NewRunner(&readinessController{relay: controller, readiness: readiness}, runInterval, sources...)
	lifecycle.Append(fx.StartHook(func() {
		tasks.Go("relay", func(ctx context.Context) error {
			runner.Run(ctx)
			return nil
		})
	}))
}

// readinessController runs the relay's controller and sets the process's readiness by whether the
// control leader confirms the relay.
type readinessController struct {
	relay     *Controller
	readiness *process.Readiness
}

// Name implements board.Controller.
func (controller *readinessController) Name() string { return controller.relay.Name() }

// Reconcile implements board.Controller.
func (controller *readinessController) Reconcile(now time.Time) {
	controller.relay.Reconcile(now)
	controller.readiness.Set(readinessPart, controller.relay.Confirmed(now))
}

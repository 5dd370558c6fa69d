package transport

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/settings"
)

// dispatchInterval is the interval at which the dispatcher runs if no message arrives.
const dispatchInterval = time.Second

// Module provides the mailbox, the dispatcher and the links of a process.
func Module() fx.Option { return ModuleWith(DefaultTiming()) }

// ModuleWith is like Module but with the given time limits.
func ModuleWith(timing Timing) fx.Option {
	return fx.Module("transport",
		fx.Supply(timing),
		fx.Provide(provideMailbox, protocol.NewDispatcher, provideLinks),
		fx.Invoke(run),
	)
}

func provideMailbox(chosen settings.Settings) *protocol.Mailbox {
	return protocol.NewMailbox(model.NodeName(chosen.Node))
}

func provideLinks(chosen settings.Settings, role model.Role, mailbox *protocol.Mailbox, registry *prometheus.Registry,
	logger *zap.Logger, timing Timing) (*Links, error) {
	options := Options{
		Self:    model.NodeName(chosen.Node),
		Role:    role,
		Mailbox: mailbox,
		Metrics: NewMetrics(registry),
		Logger:  logger.Named("links"),
		Timing:  timing,
	}
	if acceptsConnections(role, chosen) {
		options.Listen = chosen.Listen
	}
	if chosen.Keys != "" {
		loader, err := keys.NewLoader(chosen.Keys, options.Self, role)
		if err != nil {
			return nil, err
		}
		options.Keys = loader
	}
	return NewLinks(options), nil
}

// acceptsConnections reports whether a process of the role accepts connections. Balancers accept
// connections from each other if they serve direct services.
func acceptsConnections(role model.Role, chosen settings.Settings) bool {
	switch role {
	case model.RoleControl, model.RoleRelay:
		return true
	case model.RoleBalancer:
		return chosen.Direct.Packets != ""
	default:
		return false
	}
}

func run(lifecycle fx.Lifecycle, links *Links, dispatcher *protocol.Dispatcher, mailbox *protocol.Mailbox, registry *prometheus.Registry, tasks *process.Tasks) {
	registry.MustRegister(newLossCollector(dispatcher))
	runner := board.NewRunner(dispatcher, dispatchInterval, mailbox.Inbox.Watch())
	lifecycle.Append(fx.StartHook(func() error {
		if err := links.Listen(); err != nil {
			return err
		}
		tasks.Go("links", links.Run)
		tasks.Go("dispatcher", func(ctx context.Context) error {
			runner.Run(ctx)
			return nil
		})
		return nil
	}))
}

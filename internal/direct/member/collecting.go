package member

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/load/datagram"
	"merlinpaddle/internal/direct/socketfault"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/settings"
)

// collecting is the collector of the load of targets, and what receives reports.
type collecting struct {
	collector *load.Collector
	// run receives until ctx ends.
	run func(ctx context.Context) error
}

// provideCollecting makes reports go the way that those of balancers do: as
// datagrams, or over links where processes have keys.
func provideCollecting(chosen settings.Settings, state *directory.Directory, group *replica.Controller,
	mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, registry *prometheus.Registry, logger *zap.Logger) (collecting, error) {
	self := model.NodeName(chosen.Node)
	options := load.CollectorOptions{
		Interval:   chosen.Direct.LoadInterval,
		Members:    memberSource{group: group}.Members,
		Capacities: directory.NewCapacityIndex(state),
		OnChange:   load.NewSharingObserver(registry, logger.Named("load")),
	}
	if chosen.Keys != "" || chosen.Listen == "" {
		collector := load.NewCollector(self, options, load.MailboxSender{Mailbox: mailbox}, dispatcher.Handle(load.Report{}))
		return collecting{collector: collector, run: func(context.Context) error { return nil }}, nil
	}
	socket, err := datagram.Listen(chosen.Listen, socketfault.New(registry, logger.Named("load"), "load"))
	if err != nil {
		return collecting{}, err
	}
	return collecting{collector: load.NewCollector(self, options, socket, socket.Reports()), run: socket.Run}, nil
}

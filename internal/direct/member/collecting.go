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

// loadCollection is the collector of the targets' load and the receiver of its reports.
type loadCollection struct {
	collector *load.Collector
	// run receives reports until ctx ends.
	run func(ctx context.Context) error
}

// provideLoadCollection returns the collection of load reports, over the same transport as at
// balancers: as datagrams, or over the connections of the control protocol if the processes have
// keys or this one listens on no address.
func provideLoadCollection(chosen settings.Settings, state *directory.Directory, group *replica.Controller,
	mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, registry *prometheus.Registry, logger *zap.Logger) (loadCollection, error) {
	self := model.NodeName(chosen.Node)
	options := load.CollectorOptions{
		Interval:   chosen.Direct.LoadInterval,
		Members:    memberSource{group: group}.Members,
		Capacities: directory.NewCapacityIndex(state),
		OnChange:   load.NewSharingObserver(registry, logger.Named("load")),
	}
	if chosen.Keys != "" || chosen.Listen == "" {
		collector := load.NewCollector(self, options, load.MailboxSender{Mailbox: mailbox}, dispatcher.Handle(load.Report{}))
		return loadCollection{collector: collector, run: func(context.Context) error { return nil }}, nil
	}
	socket, err := datagram.Listen(chosen.Listen, socketfault.New(registry, logger.Named("load"), "load"))
	if err != nil {
		return loadCollection{}, err
	}
	return loadCollection{collector: load.NewCollector(self, options, socket, socket.Reports()), run: socket.Run}, nil
}

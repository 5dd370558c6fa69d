package balancernode

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/load/datagram"
	"merlinpaddle/internal/direct/socketfault"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/settings"
)

// sharing is the exchange of load with other balancers, and what receives their
// reports.
type loadSharing struct {
	exchange *load.Exchange
	// run receives until ctx ends.
	run func(ctx context.Context) error
}

// provideSharing makes reports go as datagrams, or over links where processes
// have keys, because a datagram proves nothing about its sender.
func provideSharing(chosen settings.Settings, book *load.Book, table *steer.Table, subscriber *feed.Subscriber,
	mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, connections *connections,
	registry *prometheus.Registry, logger *zap.Logger) (loadSharing, error) {
	options := load.Options{
		Interval:   chosen.Direct.LoadInterval,
		Neighbours: subscriber.Neighbours,
		Collector:  subscriber.FollowedMember,
		Capacities: table,
		OnChange:   load.Announce(registry, logger.Named("load")),
	}
	if chosen.Keys != "" || chosen.Listen == "" {
		outlet := load.NewLinkOutlet(mailbox, connections)
		exchange := load.NewExchange(options, book, outlet, dispatcher.Handle(load.Report{}))
		return loadSharing{exchange: exchange, run: func(context.Context) error { return nil }}, nil
	}
	socket, err := datagram.Listen(chosen.Listen, socketfault.New(registry, logger.Named("load"), "load"))
	if err != nil {
		return loadSharing{}, err
	}
	return loadSharing{exchange: load.NewExchange(options, book, socket, socket.Reports()), run: socket.Run}, nil
}

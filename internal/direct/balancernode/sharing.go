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
type sharing struct {
	exchange *load.Exchange
	// run receives until ctx ends.
	run func(ctx context.Context) error
}

// provideSharing makes reports go as datagrams, or over links where processes
// have keys, because a datagram proves nothing about its sender.
func provideSharing(chosen settings.Settings, book *load.Counter, table *steer.Table, subscriber *feed.Subscriber,
	mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, connections *connections,
	registry *prometheus.Registry, logger *zap.Logger) (sharing, error) {
	options := load.ExchangeOptions{
		Interval:   chosen.Direct.LoadInterval,
		Neighbours: subscriber.Neighbours,
		Collector:  subscriber.FollowedMember,
		Capacities: table,
		OnChange:   load.NewSharingObserver(registry, logger.Named("load")),
	}
	if chosen.Keys != "" || chosen.Listen == "" {
		outlet := load.NewLinkSender(mailbox, connections)
		exchange := load.NewExchange(options, book, outlet, dispatcher.Handle(load.Report{}))
		return sharing{exchange: exchange, run: func(context.Context) error { return nil }}, nil
	}
	socket, err := datagram.Listen(chosen.Listen, socketfault.New(registry, logger.Named("load"), "load"))
	if err != nil {
		return sharing{}, err
	}
	return sharing{exchange: load.NewExchange(options, book, socket, socket.Reports()), run: socket.Run}, nil
}

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

// loadSharing is the exchange of load reports with other balancers and the receiver of their datagrams.
type loadSharing struct {
	exchange *load.Exchange
	// run receives datagrams until ctx ends. It returns at once if reports are sent over links.
	run func(ctx context.Context) error
}

// provideSharing returns the exchange of load reports. They are sent as datagrams, or over links if the
// process has keys, because datagrams do not authenticate their sender, or does not listen.
func provideSharing(config settings.Settings, loadCounter *load.Counter, table *steer.Table, subscriber *feed.Subscriber,
	mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, connections *connections,
	registry *prometheus.Registry, logger *zap.Logger) (loadSharing, error) {
	options := load.ExchangeOptions{
		Interval:   config.Direct.LoadInterval,
		Neighbours: subscriber.Neighbours,
		Collector:  subscriber.FollowedMember,
		Capacities: table,
		OnChange:   load.NewSharingObserver(registry, logger.Named("load")),
	}
	if config.Keys != "" || config.Listen == "" {
		sender := load.NewLinkSender(mailbox, connections)
		exchange := load.NewExchange(options, loadCounter, sender, dispatcher.Handle(load.Report{}))
		return loadSharing{exchange: exchange, run: func(context.Context) error { return nil }}, nil
	}
	socket, err := datagram.Listen(config.Listen, socketfault.New(registry, logger.Named("load"), "load"))
	if err != nil {
		return loadSharing{}, err
	}
	return loadSharing{exchange: load.NewExchange(options, loadCounter, socket, socket.Reports()), run: socket.Run}, nil
}

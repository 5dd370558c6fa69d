// Package balancernode is the fx module of a balancer of direct services.
//
// It provides model.Role, *steer.Table, *feed.Subscriber, *feed.Publisher,
// *renewal.Relay, *outcome.Tracker, *requests.Watcher, *load.Book, *load.Exchange,
// *transfer.Admission, *forwarder.Suspects and *forwarder.Forwarder, includes
// transport.Module, and needs a forwarder.Codec besides what the process base
// provides.
package balancernode

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/egress"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/forwarder"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/outcome"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/direct/renewal"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/socketfault"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/direct/transfer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/transport"
)

const (
	// subscribeInterval is how often the subscriber runs without a notice.
	subscribeInterval = 40 * time.Millisecond
	// publishInterval is how often the publisher runs without a notice.
	publishInterval = time.Second
	// outcomesInterval is how often outcomes are told.
	outcomesInterval = 500 * time.Millisecond
	// requestsInterval is how often overdue requests are looked for.
	requestsInterval = 250 * time.Millisecond
	// loadInterval is how often the sharing of load is looked at without a report.
	loadInterval = 50 * time.Millisecond
	// renewalsInterval is how often renewals are looked at.
	renewalsInterval = 400 * time.Millisecond
	// suspectsInterval is how often suspicions are looked at without a notice.
	suspectsInterval = time.Second
	// bytesPerMegabit turns a rate in Mbit/s into bytes a second.
	bytesPerMegabit = 1e6 / 8
	// readinessPart is the balancer's part of the process's readiness.
	readinessPart = "table"
)

// Module runs a balancer.
func Module() fx.Option {
	return fx.Module("direct balancer",
		fx.Supply(model.RoleBalancer),
		transport.ModuleWith(transport.QuickTiming()),
		fx.Provide(newTable, provideSubscriber, provideReplica, providePublisher, provideReports, provideRelay, provideTracker,
			load.NewBook, provideWatcher, provideAdmission, provideSharing, newConnections, provideSuspects, provideForwarder, newMetrics, newObserver),
		fx.Provide(newChangeListeners),
		fx.Invoke(reportChanges, run),
	)
}

func newTable(chosen settings.Settings, book *load.Book) *steer.Table {
	options := steer.DefaultOptions()
	options.Self = model.NodeName(chosen.Node)
	options.Zone = chosen.Zone
	options.Regions = regionsOf(chosen.Direct.Zones)
	options.LocalZoneWeight = chosen.Direct.NearWeight
	options.SpilloverCandidates = chosen.Direct.SpillCandidates
	options.Candidates = chosen.Direct.LoadCandidates
	options.MaxOccupancy = chosen.Direct.LoadCrowd
	options.MaxObjectiveShare = chosen.Direct.LoadAdmission
	options.Loads = book
	return steer.NewTable(options)
}

func regionsOf(zones []settings.Zone) map[string]string {
	regions := make(map[string]string, len(zones))
	for _, zone := range zones {
		regions[zone.Name] = zone.Region
	}
	return regions
}

func provideSubscriber(chosen settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher,
	table *steer.Table, connections *connections, changed *changeListeners) *feed.Subscriber {
	return feed.NewSubscriber(feed.SubscriberOptions{
		Seeds:    direct.SeedMembers(chosen.Direct),
		Zone:     model.ZoneName(chosen.Zone),
		Serves:   servesPeers(chosen),
		Renewals: chosen.Direct.Renewals,
		OnChange: changed.notify,
	}, mailbox, dispatcher, table, connections)
}

// servesPeers tells whether other balancers may follow this one.
func servesPeers(chosen settings.Settings) bool {
	return chosen.Listen != "" && chosen.Direct.PeerFollowers > 0
}

// changeListeners are told of each update that changed the table.
type changeListeners struct {
	listeners []func(changes directory.Changes, from model.NodeName)
}

func newChangeListeners() *changeListeners { return &changeListeners{} }

// add registers a listener; it is called before the first update comes.
func (changed *changeListeners) add(listener func(changes directory.Changes, from model.NodeName)) {
	changed.listeners = append(changed.listeners, listener)
}

func (changed *changeListeners) notify(changes directory.Changes, from model.NodeName) {
	for _, listener := range changed.listeners {
		listener(changes, from)
	}
}

// reportChanges says in the log and in the readiness what changed.
func reportChanges(changed *changeListeners, table *steer.Table, readiness *process.Readiness, logger *zap.Logger) {
	logger = logger.Named("table")
	changed.add(func(changes directory.Changes, from model.NodeName) {
		readiness.Set(readinessPart, table.Serving())
		logger.Info("table changed",
			zap.Uint64("revision", uint64(changes.To)),
			zap.Uint64("version", changes.Version),
			zap.Bool("whole", changes.Whole),
			zap.Int("targets", len(changes.Targets)),
			zap.Int("routes", len(changes.Routes)),
			zap.Int("removed", len(changes.Removed)),
			zap.Int("evacuated_zones", table.EvacuatedZones()),
			zap.String("from", string(from)))
	})
}

func provideReplica(table *steer.Table, subscriber *feed.Subscriber, changed *changeListeners) *feed.Replica {
	replica := feed.NewReplica(table, subscriber)
	changed.add(func(changes directory.Changes, _ model.NodeName) { replica.Took(changes) })
	return replica
}

func providePublisher(chosen settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, replica *feed.Replica) *feed.Publisher {
	return feed.NewPublisher(feed.PublisherOptions{Limit: chosen.Direct.PeerFollowers}, mailbox, dispatcher, replica, replica)
}

func provideReports(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, subscriber *feed.Subscriber) *feed.Reports {
	return feed.NewReports(mailbox, dispatcher, subscriber.Following)
}

func provideRelay(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, table *steer.Table, subscriber *feed.Subscriber) *renewal.Relay {
	return renewal.NewRelay(mailbox, dispatcher, table, subscriber.Following)
}

func provideTracker(mailbox *protocol.Mailbox, subscriber *feed.Subscriber) *outcome.Tracker {
	return outcome.NewTracker(mailbox, subscriber.Following)
}

func provideWatcher(tracker *outcome.Tracker, book *load.Book) *requests.Watcher {
	watcher := requests.NewWatcher(tracker, book)
	watcher.ObserveAnswers(tracker)
	return watcher
}

// provideAdmission makes the admission learn from the requests that the watcher
// sees.
func provideAdmission(chosen settings.Settings, watcher *requests.Watcher) *transfer.Admission {
	sizes := transfer.NewSizes()
	watcher.ObserveSizes(sizes)
	options := transfer.Options{BytesPerSecond: linkRate(chosen), Share: chosen.Direct.LinkAdmission}
	return transfer.New(options, sizes, watcher.EachOpen)
}

// linkRate returns the rate that the balancer sends at, in bytes a second; zero
// means that it has no bound.
func linkRate(chosen settings.Settings) float64 {
	return chosen.Direct.LinkMegabits * bytesPerMegabit * chosen.Direct.LinkShare
}

func provideSuspects(table *steer.Table, mailbox *protocol.Mailbox, subscriber *feed.Subscriber, logger *zap.Logger) *forwarder.Suspects {
	return forwarder.NewSuspects(table, probe.New(probe.DialTCP), mailbox, subscriber.Following, logger.Named("targets"))
}

func provideForwarder(chosen settings.Settings, codec forwarder.Codec, table *steer.Table, suspects *forwarder.Suspects,
	watcher *requests.Watcher, admission *transfer.Admission, observer *observer,
	registry *prometheus.Registry, logger *zap.Logger) (*forwarder.Forwarder, error) {
	options := forwarder.Options{
		Address:  chosen.Direct.Packets,
		Link:     egress.Link{BytesPerSecond: linkRate(chosen), DatagramOverhead: chosen.Direct.LinkOverhead},
		Failures: socketfault.New(registry, logger.Named("flows"), "packets"),
	}
	return forwarder.New(options, codec, table, suspects, watcher, admission, observer)
}

// parts are what run needs; fx fills it.
type parts struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Settings   settings.Settings
	Tasks      *process.Tasks
	Readiness  *process.Readiness
	Registry   *prometheus.Registry
	Metrics    *metrics
	Subscriber *feed.Subscriber
	Table      *steer.Table
	Publisher  *feed.Publisher
	Reports    *feed.Reports
	Relay      *renewal.Relay
	Tracker    *outcome.Tracker
	Watcher    *requests.Watcher
	Sharing    sharing
	Suspects   *forwarder.Suspects
	Forwarder  *forwarder.Forwarder
	Admission  *transfer.Admission
	Reloads    *process.Reloads
}

func run(parts parts) {
	parts.Readiness.Set(readinessPart, false)
	parts.Metrics.counts = parts.Forwarder.Counts
	parts.Admission.ObserveLink(parts.Forwarder.Egress())
	parts.Forwarder.ObserveWaits(func(waited time.Duration) { parts.Metrics.egressWait.Observe(waited.Seconds()) })
	parts.Registry.MustRegister(parts.Metrics, parts.Metrics.tableAge, parts.Metrics.egressWait)
	parts.Reloads.OnChange(func(changed settings.Settings) {
		parts.Subscriber.SetSeeds(direct.SeedMembers(changed.Direct))
	})
	runners := []*board.Runner{
		board.NewRunner(parts.Subscriber, subscribeInterval, parts.Subscriber.Sources()...),
		board.NewRunner(parts.Publisher, publishInterval,
			append(parts.Publisher.Sources(), parts.Table.Watch(), parts.Table.WatchConfirmations())...),
		board.NewRunner(parts.Reports, time.Second, parts.Reports.Sources()...),
		board.NewRunner(parts.Tracker, outcomesInterval),
		board.NewRunner(parts.Watcher, requestsInterval),
		board.NewRunner(parts.Sharing.exchange, loadInterval, parts.Sharing.exchange.Sources()...),
		board.NewRunner(parts.Relay, renewalsInterval),
		board.NewRunner(parts.Suspects, suspectsInterval, parts.Suspects.Sources()...),
	}
	parts.Lifecycle.Append(fx.StartStopHook(
		func() {
			parts.Tasks.Go("forwarder", parts.Forwarder.Run)
			parts.Tasks.Go("parked packets", parts.Forwarder.Release)
			parts.Tasks.Go("egress", parts.Forwarder.Drain)
			parts.Tasks.Go("load reports", parts.Sharing.run)
			for _, runner := range runners {
				parts.Tasks.Go("controller", func(ctx context.Context) error {
					runner.Run(ctx)
					return nil
				})
			}
		},
		func(ctx context.Context) { leave(ctx, parts.Readiness, parts.Settings.Direct.StopGrace) },
	))
}

// leave stops being ready and keeps forwarding for grace, so that the routers
// send elsewhere before the socket closes.
func leave(ctx context.Context, readiness *process.Readiness, grace time.Duration) {
	readiness.Set("running", false)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Package balancernode is the fx module of a balancer of direct services.
//
// It provides model.Role, *steer.Table, *feed.Subscriber, *feed.Replica, *feed.Publisher,
// *feed.ReportRelay, *renewal.Relay, *outcome.Tracker, *requests.Watcher, *load.Counter,
// *transfer.Admission, *forwarder.Suspects and *forwarder.Forwarder. It includes the module of package
// transport, and requires a forwarder.Codec in addition to what the process base provides.
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
	// outcomesInterval is how often the outcomes of requests are reported.
	outcomesInterval = 500 * time.Millisecond
	// requestsInterval is how often requests are checked for timeouts.
	requestsInterval = 250 * time.Millisecond
	// loadInterval is how often the load exchange runs without a report.
	loadInterval = 50 * time.Millisecond
	// renewalsInterval is how often the renewal relay runs.
	renewalsInterval = 400 * time.Millisecond
	// suspectsInterval is how often suspected targets are processed without a notice.
	suspectsInterval = time.Second
	// bytesPerMegabit converts a rate in Mbit/s to bytes per second.
	bytesPerMegabit = 1e6 / 8
	// readinessPart names the condition that the balancer adds to the readiness of the process.
	readinessPart = "table"
)

// Module returns the fx module that runs a balancer.
func Module() fx.Option {
	return fx.Module("direct balancer",
		fx.Supply(model.RoleBalancer),
		transport.ModuleWith(transport.QuickTiming()),
		fx.Provide(newTable, provideSubscriber, provideReplica, providePublisher, provideReports, provideRelay, provideTracker,
			load.NewCounter, provideWatcher, provideAdmission, provideSharing, newConnections, provideSuspects, provideForwarder, newMetrics, newObserver),
		fx.Provide(newChangeListeners),
		fx.Invoke(reportTableChanges, registerTasks),
	)
}

func newTable(config settings.Settings, loadCounter *load.Counter) *steer.Table {
	options := steer.DefaultOptions()
	options.Self = model.NodeName(config.Node)
	options.Zone = config.Zone
	options.Regions = regionsOf(config.Direct.Zones)
	options.LocalZoneWeight = config.Direct.LocalZoneWeight
	options.SpilloverCandidates = config.Direct.SpilloverCandidates
	options.Candidates = config.Direct.LoadCandidates
	options.MaxOccupancy = config.Direct.MaxOccupancy
	options.MaxObjectiveShare = config.Direct.LoadAdmission
	options.Loads = loadCounter
	return steer.NewTable(options)
}

// regionsOf returns the region of each zone by the zone's name.
func regionsOf(zones []settings.Zone) map[string]string {
	regions := make(map[string]string, len(zones))
	for _, zone := range zones {
		regions[zone.Name] = zone.Region
	}
	return regions
}

func provideSubscriber(config settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher,
	table *steer.Table, connections *connections, listeners *changeListeners) *feed.Subscriber {
	return feed.NewSubscriber(feed.SubscriberOptions{
		Seeds:    direct.SeedMembers(config.Direct),
		Zone:     model.ZoneName(config.Zone),
		Serves:   servesPeers(config),
		Renewals: config.Direct.Renewals,
		OnChange: listeners.notify,
	}, mailbox, dispatcher, table, connections)
}

// servesPeers reports whether other balancers may follow this one.
func servesPeers(config settings.Settings) bool {
	return config.Listen != "" && config.Direct.PeerFollowers > 0
}

// changeListeners holds the functions that are called for each update that changed the table.
type changeListeners struct {
	functions []func(changes directory.Changes, from model.NodeName)
}

func newChangeListeners() *changeListeners { return &changeListeners{} }

// add registers a listener. It must be called before the first update is received.
func (listeners *changeListeners) add(listener func(changes directory.Changes, from model.NodeName)) {
	listeners.functions = append(listeners.functions, listener)
}

// notify calls the listeners with the changes that a node sent.
func (listeners *changeListeners) notify(changes directory.Changes, from model.NodeName) {
	for _, listener := range listeners.functions {
		listener(changes, from)
	}
}

// reportTableChanges logs each change of the table and updates the readiness of the process.
func reportTableChanges(listeners *changeListeners, table *steer.Table, readiness *process.Readiness, logger *zap.Logger) {
	logger = logger.Named("table")
	listeners.add(func(changes directory.Changes, from model.NodeName) {
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

func provideReplica(table *steer.Table, subscriber *feed.Subscriber, listeners *changeListeners) *feed.Replica {
	replica := feed.NewReplica(table, subscriber)
	listeners.add(func(changes directory.Changes, _ model.NodeName) { replica.Record(changes) })
	return replica
}

func providePublisher(config settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, replica *feed.Replica) *feed.Publisher {
	return feed.NewPublisher(feed.PublisherOptions{MaxFollowers: config.Direct.PeerFollowers}, mailbox, dispatcher, replica, replica)
}

func provideReports(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, subscriber *feed.Subscriber) *feed.ReportRelay {
	return feed.NewReportRelay(mailbox, dispatcher, subscriber.Following)
}

func provideRelay(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, table *steer.Table, subscriber *feed.Subscriber) *renewal.Relay {
	return renewal.NewRelay(mailbox, dispatcher, table, subscriber.Following)
}

func provideTracker(mailbox *protocol.Mailbox, subscriber *feed.Subscriber) *outcome.Tracker {
	return outcome.NewTracker(mailbox, subscriber.Following)
}

func provideWatcher(tracker *outcome.Tracker, loadCounter *load.Counter) *requests.Watcher {
	watcher := requests.NewWatcher(tracker, loadCounter)
	watcher.ObserveAnswers(tracker)
	return watcher
}

// provideAdmission returns the admission control of the link, which learns the sizes of requests from
// the watcher.
func provideAdmission(config settings.Settings, watcher *requests.Watcher) *transfer.Admission {
	sizes := transfer.NewSizes()
	watcher.ObserveSizes(sizes)
	options := transfer.Options{BytesPerSecond: linkRate(config), ObjectiveShare: config.Direct.LinkAdmission}
	return transfer.NewAdmission(options, sizes, watcher.EachOpen)
}

// linkRate returns the rate that the balancer sends at, in bytes per second; zero means no limit.
func linkRate(config settings.Settings) float64 {
	return config.Direct.LinkMegabits * bytesPerMegabit * config.Direct.LinkShare
}

func provideSuspects(table *steer.Table, mailbox *protocol.Mailbox, subscriber *feed.Subscriber, logger *zap.Logger) *forwarder.Suspects {
	return forwarder.NewSuspects(table, probe.New(probe.DialTCP), mailbox, subscriber.Following, logger.Named("targets"))
}

func provideForwarder(config settings.Settings, codec forwarder.Codec, table *steer.Table, suspects *forwarder.Suspects,
	watcher *requests.Watcher, admission *transfer.Admission, observer *observer,
	registry *prometheus.Registry, logger *zap.Logger) (*forwarder.Forwarder, error) {
	options := forwarder.Options{
		Address:  config.Direct.Packets,
		Link:     egress.Link{BytesPerSecond: linkRate(config), DatagramOverhead: config.Direct.LinkOverhead},
		Failures: socketfault.New(registry, logger.Named("flows"), "packets"),
	}
	return forwarder.New(options, codec, table, suspects, watcher, admission, observer)
}

// dependencies are the parameters of registerTasks, which fx fills in.
type dependencies struct {
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
	Reports    *feed.ReportRelay
	Relay      *renewal.Relay
	Tracker    *outcome.Tracker
	Watcher    *requests.Watcher
	Sharing    loadSharing
	Suspects   *forwarder.Suspects
	Forwarder  *forwarder.Forwarder
	Admission  *transfer.Admission
	Reloads    *process.Reloads
}

// registerTasks connects the components and registers lifecycle hooks that start them, and that drain
// the balancer on stop.
func registerTasks(deps dependencies) {
	deps.Readiness.Set(readinessPart, false)
	deps.Metrics.egressCounts = deps.Forwarder.Counts
	deps.Admission.ObserveLink(deps.Forwarder.Egress())
	deps.Forwarder.ObserveWaits(func(waited time.Duration) { deps.Metrics.egressWait.Observe(waited.Seconds()) })
	deps.Registry.MustRegister(deps.Metrics, deps.Metrics.tableAge, deps.Metrics.egressWait)
	deps.Reloads.OnChange(func(changed settings.Settings) {
		deps.Subscriber.SetSeeds(direct.SeedMembers(changed.Direct))
	})
	runners := []*board.Runner{
		board.NewRunner(deps.Subscriber, subscribeInterval, deps.Subscriber.Sources()...),
		board.NewRunner(deps.Publisher, publishInterval,
			append(deps.Publisher.Sources(), deps.Table.Watch(), deps.Table.WatchConfirmations())...),
		board.NewRunner(deps.Reports, time.Second, deps.Reports.Sources()...),
		board.NewRunner(deps.Tracker, outcomesInterval),
		board.NewRunner(deps.Watcher, requestsInterval),
		board.NewRunner(deps.Sharing.exchange, loadInterval, deps.Sharing.exchange.Sources()...),
		board.NewRunner(deps.Relay, renewalsInterval),
		board.NewRunner(deps.Suspects, suspectsInterval, deps.Suspects.Sources()...),
	}
	deps.Lifecycle.Append(fx.StartStopHook(
		func() {
			deps.Tasks.Go("forwarder", deps.Forwarder.Run)
			deps.Tasks.Go("parked packets", deps.Forwarder.RunParking)
			deps.Tasks.Go("egress", deps.Forwarder.RunEgress)
			deps.Tasks.Go("load reports", deps.Sharing.run)
			for _, runner := range runners {
				deps.Tasks.Go("controller", func(ctx context.Context) error {
					runner.Run(ctx)
					return nil
				})
			}
		},
		func(ctx context.Context) { drain(ctx, deps.Readiness, deps.Settings.Direct.StopGrace) },
	))
}

// drain makes the process not ready and lets it continue forwarding for the grace period, so that the
// routers send to other balancers before the socket closes.
func drain(ctx context.Context, readiness *process.Readiness, grace time.Duration) {
	readiness.Set("running", false)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

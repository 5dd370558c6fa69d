// Package member is the fx module of a member of the control group of direct
// services.
//
// It provides model.Role, *directory.Directory, *replica.Controller,
// *replica.Node, collecting and *registrar.BlockingRegistrar, includes transport.Module, and needs
// what the process base provides.
package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct"
	"merlinpaddle/internal/direct/admin"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/filesystem/measured"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/reconfigure"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/transport"
)

const (
	// healthInterval is how often targets are looked at.
	healthInterval = 100 * time.Millisecond
	// publishInterval is how often the feed runs without a notice.
	publishInterval = 50 * time.Millisecond
	// proposerInterval is how often the proposer runs without a notice.
	proposerInterval = 25 * time.Millisecond
	// reconfigureInterval is how often the membership is looked at.
	reconfigureInterval = 100 * time.Millisecond
	// loadInterval is how often it is looked whether the load of targets is to be
	// added up.
	loadInterval = 20 * time.Millisecond
	// connectInterval is how often connections follow the membership.
	connectInterval = 100 * time.Millisecond
	// missedNumerator and missedDenominator tell how many renewal intervals
	// after a renewal the next one counts as missed.
	missedNumerator   = 8
	missedDenominator = 5
	// forgetMargin is how much longer a token is kept than the longest flow.
	forgetMargin = 15 * time.Second
	// probePause is the least time between two probes of one target.
	probePause = 700 * time.Millisecond
	// transferTimeout bounds the hand-over of leadership at a planned stop.
	transferTimeout = 800 * time.Millisecond
	// firstElectionDivisor is how much shorter the first wait for a leader
	// after a start is than the election timeout.
	firstElectionDivisor = 4
	// segmentBytes is the size of a log segment.
	segmentBytes = 1 << 20
	// readinessPart is the member's part of the process's readiness.
	readinessPart = "member"
)

// Module runs a member.
func Module() fx.Option {
	return fx.Module("direct member",
		fx.Supply(model.RoleControl),
		transport.ModuleWith(transport.QuickTiming()),
		fx.Provide(
			directory.New,
			newTimes,
			process.ProvideFolder,
			provideReplica,
			replica.NewNode,
			registrar.NewRenewalTable,
			provideProposer,
			provideRegistrar,
			provideHandOver,
			provideCalls,
			provideHealth,
			providePublisher,
			provideCollecting,
			provideReconfigure,
		),
		fx.Provide(newMetrics),
		fx.Invoke(func(*metrics) {}, admin.Serve, run),
	)
}

func provideReplica(chosen settings.Settings, files filesystem.FileSystem, mailbox *protocol.Mailbox,
	dispatcher *protocol.Dispatcher, state *directory.Directory, times *times) (*replica.Controller, error) {
	self := model.NodeName(chosen.Node)
	seeds := direct.SeedMembers(chosen.Direct)
	return replica.NewController(replica.Options{
		Self:            self,
		Zone:            model.ZoneName(chosen.Zone),
		Members:         seeds,
		Join:            !chosen.Direct.Bootstrap || !slices.Contains(seeds, self),
		ElectionTimeout: chosen.Direct.ElectionTimeout,

		FirstElectionTimeout: chosen.Direct.ElectionTimeout / firstElectionDivisor,

		HeartbeatInterval: chosen.Direct.HeartbeatInterval,
		SnapshotEvery:     chosen.Direct.SnapshotEvery,
		SegmentBytes:      segmentBytes,
		Seed:              rand.Uint64(),
	}, measured.New(files, times.observeSync), mailbox, dispatcher, state)
}

func provideProposer(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group *replica.Controller, state *directory.Directory) *registrar.Proposer {
	return registrar.NewProposer(mailbox, dispatcher, group, state, rand.Uint64())
}

func provideRegistrar(state *directory.Directory, proposer *registrar.Proposer, group *replica.Controller,
	renewed *registrar.RenewalTable, publisher *feed.Publisher, logger *zap.Logger) *registrar.Registrar {
	return registrar.NewRegistrar(state, proposer, group, renewed, publisher.Peers, logger.Named("registrar"))
}

func provideHandOver(chosen settings.Settings, publisher *feed.Publisher) *registrar.RenewalRedirector {
	return registrar.NewRenewalRedirector(chosen.Direct.RenewalsPerSecond, publisher.Peers)
}

func provideCalls(chosen settings.Settings, taker *registrar.Registrar, handOver *registrar.RenewalRedirector) *registrar.BlockingRegistrar {
	return registrar.NewBlockingRegistrar(taker, handOver, chosen.Direct.AnswerWithin)
}

func provideHealth(chosen settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher,
	group *replica.Controller, state *directory.Directory, renewed *registrar.RenewalTable, logger *zap.Logger) *registrar.HealthMonitor {
	options := registrar.HealthOptions{
		SilentAfter:       chosen.Direct.SilentAfter,
		MissedAfter:       chosen.Direct.RenewalInterval * missedNumerator / missedDenominator,
		MinProbeInterval:  probePause,
		RemoveFailedAfter: chosen.Direct.FlowLife + forgetMargin,
	}
	return registrar.NewHealthMonitor(options, mailbox, dispatcher, group, state, renewed, probe.New(probe.DialTCP), logger.Named("targets"))
}

func providePublisher(chosen settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, state *directory.Directory, group *replica.Controller) *feed.Publisher {
	return feed.NewPublisher(feed.PublisherOptions{Limit: chosen.Direct.Followers, TellsMembers: true},
		mailbox, dispatcher, state, memberSource{group: group})
}

func provideReconfigure(chosen settings.Settings, group *replica.Controller, logger *zap.Logger) *reconfigure.Controller {
	options := reconfigure.DefaultOptions(chosen.Direct.ToleratedLosses)
	options.ToleratesZone = chosen.Direct.ToleratedZones > 0
	return reconfigure.New(options, group, logger.Named("membership"))
}

// memberSource shows the member to its publisher.
type memberSource struct {
	group *replica.Controller
}

// Confirmed implements feed.Source.
func (source memberSource) Confirmed(now time.Time) (time.Duration, bool) {
	return 0, registrar.QuorumConfirmed(source.group, now)
}

// Depth implements feed.Source.
func (source memberSource) Depth() uint8 { return 0 }

// Members implements feed.Source.
func (source memberSource) Members() []model.NodeName {
	var names []model.NodeName
	for _, member := range source.group.StatusAt(time.Now()).Members {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// parts are what run needs; fx fills it.
type parts struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Settings    settings.Settings
	Tasks       *process.Tasks
	Logger      *zap.Logger
	Readiness   *process.Readiness
	Links       *transport.Links
	Node        *replica.Node
	Group       *replica.Controller
	Directory   *directory.Directory
	Proposer    *registrar.Proposer
	Health      *registrar.HealthMonitor
	Publisher   *feed.Publisher
	Collecting  collecting
	Reconfigure *reconfigure.Controller
	Times       *times
	Reloads     *process.Reloads
}

func run(parts parts) {
	connections := newConnections(parts)
	parts.Reloads.OnChange(func(changed settings.Settings) {
		seeds := direct.SeedMembers(changed.Direct)
		connections.setSeeds(seeds)
		parts.Group.SetContacts(seeds)
	})
	runners := []*board.Runner{
		board.NewRunner(parts.Proposer, proposerInterval, append(parts.Proposer.Sources(), parts.Node.Watch())...),
		board.NewRunner(parts.Health, healthInterval, parts.Health.Sources()...),
		board.NewRunner(parts.Publisher, publishInterval, append(parts.Publisher.Sources(), parts.Node.Watch())...),
		board.NewRunner(parts.Collecting.collector, loadInterval),
		board.NewRunner(parts.Reconfigure, reconfigureInterval),
		board.NewRunner(connections, connectInterval),
	}
	parts.Lifecycle.Append(fx.StartStopHook(
		func() {
			parts.Tasks.Go("consensus", parts.Node.Run)
			parts.Tasks.Go("load reports", parts.Collecting.run)
			for _, runner := range runners {
				parts.Tasks.Go("controller", func(ctx context.Context) error {
					runner.Run(ctx)
					return nil
				})
			}
		},
		func(ctx context.Context) { parts.Node.HandOver(ctx, transferTimeout, parts.Logger) },
	))
}

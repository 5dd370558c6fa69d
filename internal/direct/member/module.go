// Package member is the fx module of a member of the control group of direct services.
//
// It provides model.Role, *directory.Directory, *replica.Controller, *replica.Node, loadCollection
// and *registrar.BlockingRegistrar, includes transport.Module, and needs what the base module of
// the process provides.
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
	// healthInterval is how often the health monitor runs without a notification.
	healthInterval = 100 * time.Millisecond
	// publishInterval is how often the feed runs without a notification.
	publishInterval = 50 * time.Millisecond
	// proposerInterval is how often the proposer runs without a notification.
	proposerInterval = 25 * time.Millisecond
	// reconfigureInterval is how often the membership is checked.
	reconfigureInterval = 100 * time.Millisecond
	// loadInterval is how often the collector checks whether the targets' load is due to be
	// summed.
	loadInterval = 20 * time.Millisecond
	// connectInterval is how often the connections are adjusted to the membership.
	connectInterval = 100 * time.Millisecond
	// missedRenewalNumerator and missedRenewalDenominator are the fraction of the renewal
	// interval after which the next renewal counts as missed.
	missedRenewalNumerator   = 8
	missedRenewalDenominator = 5
	// failedTargetMargin is how much longer than the longest flow a failed target's token is
	// kept.
	failedTargetMargin = 15 * time.Second
	// minProbeInterval is the minimum time between two probes of a target.
	minProbeInterval = 700 * time.Millisecond
	// leaveTimeout bounds the wait of a planned stop for another member that takes over this
	// member's vote. It covers a learner that still catches up, and leaves time to end
	// requests in progress before a platform kills the process.
	leaveTimeout = 3 * time.Second
	// leaveTimeoutWithoutLearners bounds that wait while the member keeps its vote, so that only
	// leadership has to be handed over.
	leaveTimeoutWithoutLearners = 800 * time.Millisecond
	// firstElectionDivisor divides the election timeout to get the shorter first one after a
	// start.
	firstElectionDivisor = 4
	// segmentBytes is the size of a log segment in bytes.
	segmentBytes = 1 << 20
	// readinessComponent names the member in the readiness of the process.
	readinessComponent = "member"
)

// Module returns the fx module that runs a member.
func Module() fx.Option {
	return fx.Module("direct member",
		fx.Supply(model.RoleControl),
		transport.ModuleWith(transport.QuickTiming()),
		fx.Provide(
			directory.New,
			newHistograms,
			process.ProvideDataFolder,
			provideReplica,
			replica.NewNode,
			registrar.NewRenewalTable,
			provideProposer,
			provideRegistrar,
			provideRenewalRedirector,
			provideBlockingRegistrar,
			provideHealthMonitor,
			providePublisher,
			provideLoadCollection,
			provideReconfigureOptions,
			provideReconfigure,
		),
		fx.Provide(newMetrics),
		fx.Invoke(func(*metrics) {}, admin.Serve, run),
	)
}

func provideReplica(chosen settings.Settings, files filesystem.FileSystem, mailbox *protocol.Mailbox,
	dispatcher *protocol.Dispatcher, state *directory.Directory, histograms *histograms) (*replica.Controller, error) {
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
	}, measured.New(files, histograms.observeSync), mailbox, dispatcher, state)
}

func provideProposer(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group *replica.Controller, state *directory.Directory) *registrar.Proposer {
	return registrar.NewProposer(mailbox, dispatcher, group, state, rand.Uint64())
}

func provideRegistrar(state *directory.Directory, proposer *registrar.Proposer, group *replica.Controller,
	renewalTable *registrar.RenewalTable, publisher *feed.Publisher, logger *zap.Logger) *registrar.Registrar {
	return registrar.NewRegistrar(state, proposer, group, renewalTable, publisher.Peers, logger.Named("registrar"))
}

func provideRenewalRedirector(chosen settings.Settings, publisher *feed.Publisher) *registrar.RenewalRedirector {
	return registrar.NewRenewalRedirector(chosen.Direct.RenewalsPerSecond, publisher.Peers)
}

func provideBlockingRegistrar(chosen settings.Settings, inner *registrar.Registrar, redirector *registrar.RenewalRedirector) *registrar.BlockingRegistrar {
	return registrar.NewBlockingRegistrar(inner, redirector, chosen.Direct.AnswerWithin)
}

func provideHealthMonitor(chosen settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher,
	group *replica.Controller, state *directory.Directory, renewalTable *registrar.RenewalTable, logger *zap.Logger) *registrar.HealthMonitor {
	options := registrar.HealthOptions{
		SilentAfter:       chosen.Direct.SilentAfter,
		MissedAfter:       chosen.Direct.RenewalInterval * missedRenewalNumerator / missedRenewalDenominator,
		MinProbeInterval:  minProbeInterval,
		RemoveFailedAfter: chosen.Direct.FlowLife + failedTargetMargin,
	}
	return registrar.NewHealthMonitor(options, mailbox, dispatcher, group, state, renewalTable, probe.New(probe.DialTCP), logger.Named("targets"))
}

func providePublisher(chosen settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, state *directory.Directory, group *replica.Controller) *feed.Publisher {
	return feed.NewPublisher(feed.PublisherOptions{MaxFollowers: chosen.Direct.Followers, IsMember: true},
		mailbox, dispatcher, state, memberSource{group: group})
}

func provideReconfigure(options reconfigure.Options, group *replica.Controller, logger *zap.Logger) *reconfigure.Controller {
	return reconfigure.New(options, group, logger.Named("membership"))
}

func provideReconfigureOptions(chosen settings.Settings) reconfigure.Options {
	options := reconfigure.DefaultOptions(chosen.Direct.ToleratedLosses, chosen.Direct.ElectionTimeout)
	options.ToleratesZoneLoss = chosen.Direct.ToleratedZones > 0
	return options
}

// memberSource is the feed.Source of a member.
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

// runParams are the dependencies of run, which fx injects.
type runParams struct {
	fx.In

	Lifecycle      fx.Lifecycle
	Settings       settings.Settings
	Tasks          *process.Tasks
	Logger         *zap.Logger
	Readiness      *process.Readiness
	Links          *transport.Links
	Node           *replica.Node
	Group          *replica.Controller
	Directory      *directory.Directory
	Proposer       *registrar.Proposer
	Health         *registrar.HealthMonitor
	Publisher      *feed.Publisher
	LoadCollection loadCollection
	Membership     reconfigure.Options
	Reconfigure    *reconfigure.Controller
	Histograms     *histograms
	Reloads        *process.Reloads
}

func run(params runParams) {
	connections := newConnections(params)
	params.Links.OnRefused(params.Group.PeerEnded)
	params.Reloads.OnChange(func(changed settings.Settings) {
		seeds := direct.SeedMembers(changed.Direct)
		connections.setSeeds(seeds)
		params.Group.SetContacts(seeds)
	})
	runners := []*board.Runner{
		board.NewRunner(params.Proposer, proposerInterval, append(params.Proposer.Sources(), params.Node.Watch())...),
		board.NewRunner(params.Health, healthInterval, params.Health.Sources()...),
		board.NewRunner(params.Publisher, publishInterval, append(params.Publisher.Sources(), params.Node.Watch())...),
		board.NewRunner(params.LoadCollection.collector, loadInterval),
		board.NewRunner(params.Reconfigure, reconfigureInterval),
		board.NewRunner(connections, connectInterval),
	}
	params.Lifecycle.Append(fx.StartStopHook(
		func() {
			params.Tasks.Go("consensus", params.Node.Run)
			params.Tasks.Go("load reports", params.LoadCollection.run)
			for _, runner := range runners {
				params.Tasks.Go("controller", func(ctx context.Context) error {
					runner.Run(ctx)
					return nil
				})
			}
		},
		func(ctx context.Context) {
			params.Node.Leave(ctx, replica.LeaveLimits{
				VoteMoves:    leaveTimeout,
				WantedVoters: params.Membership.WantedVoters(),
				Otherwise:    leaveTimeoutWithoutLearners,
			}, params.Logger.Named("group"))
		},
	))
}

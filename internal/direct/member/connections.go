package member

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/transport"
)

// connections is the controller that keeps a connection to every other member and seed. It also
// logs changes of the member's view of the group and reports readiness.
type connections struct {
	self      model.NodeName
	seeds     atomic.Pointer[[]model.NodeName]
	group     *replica.Controller
	links     *transport.Links
	readiness *process.Readiness
	logger    *zap.Logger
	dialled   map[model.NodeName]bool

	histograms *histograms
	// leaderlessSince is the time since which no leader is known; zero while one is.
	leaderlessSince time.Time
	leader          model.NodeName
	term            uint64
	members         int
}

func newConnections(params runParams) *connections {
	created := &connections{
		self:       model.NodeName(params.Settings.Node),
		group:      params.Group,
		links:      params.Links,
		readiness:  params.Readiness,
		logger:     params.Logger.Named("group"),
		dialled:    make(map[model.NodeName]bool),
		histograms: params.Histograms,
	}
	created.setSeeds(direct.SeedMembers(params.Settings.Direct))
	return created
}

// setSeeds replaces the seed members of the settings. It is safe for concurrent use.
func (connections *connections) setSeeds(seeds []model.NodeName) { connections.seeds.Store(&seeds) }

// Name implements board.Controller.
func (connections *connections) Name() string { return "member connections" }

// Reconcile implements board.Controller.
func (connections *connections) Reconcile(now time.Time) {
	status := connections.group.StatusAt(now)
	wanted := connections.desiredPeers(status)
	for _, name := range wanted {
		if !connections.dialled[name] {
			connections.dialled[name] = true
			connections.links.Dial(direct.Peer(name))
		}
	}
	for name := range connections.dialled {
		if !slices.Contains(wanted, name) {
			delete(connections.dialled, name)
			connections.links.Disconnect(name)
		}
	}
	connections.readiness.Set(readinessComponent, status.Leader != "")
	connections.observeLeaderless(now, status.Leader != "")
	connections.logViewChange(status)
}

// observeLeaderless measures how long no leader was known.
func (connections *connections) observeLeaderless(now time.Time, hasLeader bool) {
	switch {
	case !hasLeader && connections.leaderlessSince.IsZero():
		connections.leaderlessSince = now
	case hasLeader && !connections.leaderlessSince.IsZero():
		connections.histograms.leaderlessSeconds.Observe(now.Sub(connections.leaderlessSince).Seconds())
		connections.leaderlessSince = time.Time{}
	}
}

// desiredPeers returns the nodes to connect to: seeds, members and the leader, without this one.
func (connections *connections) desiredPeers(status replica.Status) []model.NodeName {
	names := slices.Clone(*connections.seeds.Load())
	for _, member := range status.Members {
		names = append(names, member.Name)
	}
	if status.Leader != "" {
		names = append(names, status.Leader)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name model.NodeName) bool { return name == connections.self })
}

// logViewChange logs the member's view of the group when its leader, term or size changed.
func (connections *connections) logViewChange(status replica.Status) {
	if status.Leader == connections.leader && status.Term == connections.term && len(status.Members) == connections.members {
		return
	}
	connections.leader = status.Leader
	connections.term = status.Term
	connections.members = len(status.Members)
	connections.logger.Info("view of the group changed",
		zap.String("leader", string(status.Leader)),
		zap.Uint64("term", status.Term),
		zap.Uint64("id", uint64(status.Self)),
		zap.Int("members", len(status.Members)),
		zap.Uint64("applied", uint64(status.Applied)))
}

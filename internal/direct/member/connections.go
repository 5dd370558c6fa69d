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

// connections is the controller that keeps a connection to every member and
// seed, and says when the member's view of the group changes.
type connections struct {
	self      model.NodeName
	seeds     atomic.Pointer[[]model.NodeName]
	group     *replica.Controller
	links     *transport.Links
	readiness *process.Readiness
	logger    *zap.Logger
	dialled   map[model.NodeName]bool

	times *times
	// aloneSince is since when no leader is known; zero while one is.
	aloneSince time.Time
	leader     model.NodeName
	term       uint64
	members    int
}

func newConnections(parts parts) *connections {
	created := &connections{
		self:      model.NodeName(parts.Settings.Node),
		group:     parts.Group,
		links:     parts.Links,
		readiness: parts.Readiness,
		logger:    parts.Logger.Named("group"),
		dialled:   make(map[model.NodeName]bool),
		times:     parts.Times,
	}
	created.setSeeds(direct.SeedMembers(parts.Settings.Direct))
	return created
}

// setSeeds replaces the members of the settings; it may be called from any
// goroutine.
func (connections *connections) setSeeds(seeds []model.NodeName) { connections.seeds.Store(&seeds) }

// Name implements board.Controller.
func (connections *connections) Name() string { return "member connections" }

// Reconcile implements board.Controller.
func (connections *connections) Reconcile(now time.Time) {
	status := connections.group.StatusAt(now)
	wanted := connections.wanted(status)
	for _, name := range wanted {
		if !connections.dialled[name] {
			connections.dialled[name] = true
			connections.links.Dial(direct.Peer(name))
		}
	}
	for name := range connections.dialled {
		if !slices.Contains(wanted, name) {
			delete(connections.dialled, name)
			connections.links.Hangup(name)
		}
	}
	connections.readiness.Set(readinessPart, status.Leader != "")
	connections.measure(now, status.Leader != "")
	connections.say(status)
}

// measure observes how long no leader was known.
func (connections *connections) measure(now time.Time, led bool) {
	switch {
	case !led && connections.aloneSince.IsZero():
		connections.aloneSince = now
	case led && !connections.aloneSince.IsZero():
		connections.times.leaderless.Observe(now.Sub(connections.aloneSince).Seconds())
		connections.aloneSince = time.Time{}
	}
}

// wanted returns the other nodes to be connected to.
func (connections *connections) wanted(status replica.Status) []model.NodeName {
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

func (connections *connections) say(status replica.Status) {
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

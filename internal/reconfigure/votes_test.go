package reconfigure

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

// statusOf returns the status of a leader whose peers are all committed.
func statusOf(peers []raft.Peer, leaving ...replica.MemberID) replica.Status {
	status := replica.Status{Self: 1, Leading: true, LeaderSince: leaderSince, Peers: peers, Leaving: leaving}
	for _, peer := range peers {
		status.Members = append(status.Members, peer.Member)
	}
	return status
}

// TestAwaitsReplacement checks that a planned stop waits only for a vote that a member can take over.
func TestAwaitsReplacement(t *testing.T) {
	long := time.Minute
	cases := []struct {
		name    string
		peers   []raft.Peer
		leaving []replica.MemberID
		want    bool
	}{
		{"no learner", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c")}, []replica.MemberID{3}, false},
		{"ready learner", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner)}, []replica.MemberID{3}, true},
		{"learner that catches up", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner, notCaughtUp)}, []replica.MemberID{3}, true},
		{"learner that was just added", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner, addedAndNeverHeard(100*time.Millisecond))}, []replica.MemberID{3}, true},
		{"silent learner", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner, lastHeardAgo(long))}, []replica.MemberID{3}, false},
		{"leaving learner", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner)}, []replica.MemberID{3, 4}, false},
		{"promoted learner", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d")}, []replica.MemberID{3}, true},
		{"surplus voters without a learner", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d")}, []replica.MemberID{2, 3}, true},
		{"no vote left", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", learner), peer(4, "d")}, []replica.MemberID{3}, false},
		{"removed", []raft.Peer{peer(1, "a"), peer(2, "b"), peer(4, "d")}, []replica.MemberID{3}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := planner{options: DefaultOptions(1, testElectionTimeout), status: statusOf(test.peers, test.leaving...), now: now}
			require.Equal(t, test.want, plan.awaitsReplacement(3))
		})
	}
}

// TestDemotionIsAwaitedUntilItIsCommitted checks that a member is not released while only the
// uncommitted membership shows it without a vote.
func TestDemotionIsAwaitedUntilItIsCommitted(t *testing.T) {
	status := statusOf([]raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", learner), peer(4, "d")}, 3)
	status.Members[2].Learner = false
	plan := planner{options: DefaultOptions(1, testElectionTimeout), status: status, now: now}
	require.True(t, plan.awaitsReplacement(3))
}

// randomStatus returns the status of a leader of a group of three or more members, of which a
// majority of the voters responds.
func randomStatus(random *rand.Rand) replica.Status {
	for {
		var peers []raft.Peer
		var leaving []replica.MemberID
		for id := replica.MemberID(1); id <= replica.MemberID(3+random.IntN(6)); id++ {
			changes := []func(*raft.Peer){inZone(model.ZoneName(rune('x' + random.IntN(3))))}
			if id > 1 && random.IntN(3) == 0 {
				changes = append(changes, learner)
			}
			if id > 1 && random.IntN(5) == 0 {
				changes = append(changes, lastHeardAgo(time.Duration(1+random.IntN(20))*time.Second), notCaughtUp)
			}
			if random.IntN(5) == 0 {
				leaving = append(leaving, id)
			}
			peers = append(peers, peer(id, model.NodeName(rune('a'+id)), changes...))
		}
		status := statusOf(peers, leaving...)
		if counts := DefaultOptions(1, testElectionTimeout).CountMembers(status, now); counts.ResponsiveVoters > counts.Voters/2 {
			return status
		}
	}
}

// applied returns the status after the change.
func applied(status replica.Status, change Change) replica.Status {
	peers := slices.Clone(status.Peers)
	index := slices.IndexFunc(peers, func(peer raft.Peer) bool { return peer.ID == change.ID })
	switch change.Kind {
	case ChangePromote:
		peers[index].Learner = false
	case ChangeDemote:
		peers[index].Learner = true
	case ChangeRemove:
		peers = slices.Delete(peers, index, index+1)
	case ChangeTransferLeadership:
		next := statusOf(peers, status.Leaving...)
		for _, peer := range peers {
			if !peer.Learner && peer.ID != status.Self && responsive(peer, testElectionTimeout, now) {
				next.Self = peer.ID
			}
		}
		return next
	}
	next := statusOf(peers, status.Leaving...)
	next.Self = status.Self
	return next
}

// TestMembershipSettles checks for random groups that Plan takes no majority from the voters that
// respond, gives no vote to a member that is not ready, never takes the vote of the leader, and comes
// to an end: without it, the group would promote and demote the same members for ever.
func TestMembershipSettles(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 20_000
	properties := gopter.NewProperties(parameters)
	properties.Property("the membership settles", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 3))
		status := randomStatus(random)
		options := DefaultOptions(1+random.IntN(2), testElectionTimeout)
		for range 30 {
			change := Plan(options, status, now)
			if change.Kind == ChangeNone {
				return true
			}
			if !safeChange(status, change) {
				t.Logf("seed %d: %+v at %+v", seed, change, status.Peers)
				return false
			}
			status = applied(status, change)
		}
		t.Logf("seed %d: the membership does not settle at %+v, leaving %v", seed, status.Peers, status.Leaving)
		return false
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// safeChange reports whether the responsive voters are a majority after the change, a promoted member
// is ready, and the leader keeps its vote.
func safeChange(status replica.Status, change Change) bool {
	index := slices.IndexFunc(status.Peers, func(peer raft.Peer) bool { return peer.ID == change.ID })
	switch change.Kind {
	case ChangePromote:
		if member := status.Peers[index]; !member.CaughtUp || !responsive(member, testElectionTimeout, now) || slices.Contains(status.Leaving, change.ID) {
			return false
		}
	case ChangeDemote, ChangeRemove:
		if change.ID == status.Self {
			return false
		}
	}
	counts := DefaultOptions(1, testElectionTimeout).CountMembers(applied(status, change), now)
	return counts.ResponsiveVoters > counts.Voters/2
}

// plannedStops plays the planned stops of a group whose members all respond: membership changes,
// releases, and the end of those that are released. Members that still wait at the end, for a learner
// that has not caught up, stop when their time is over.
type plannedStops struct {
	options Options
	status  replica.Status
	ended   map[replica.MemberID]bool
}

// step plays the next event and reports whether there was one.
func (stops *plannedStops) step() bool {
	if stops.handOver() {
		return true
	}
	plan := planner{options: stops.options, status: stops.status, now: now}
	for _, id := range stops.status.Leaving {
		if id != stops.status.Self && !plan.awaitsReplacement(id) {
			stops.end(id)
			return true
		}
	}
	change := plan.next()
	if change.Kind == ChangeNone {
		return false
	}
	stops.status = applied(stops.status, change)
	return true
}

// handOver passes leadership from a leaving leader to a voter that stays, if there is one.
func (stops *plannedStops) handOver() bool {
	if !slices.Contains(stops.status.Leaving, stops.status.Self) {
		return false
	}
	for _, peer := range stops.status.Peers {
		if !peer.Learner && !stops.ended[peer.ID] && !slices.Contains(stops.status.Leaving, peer.ID) {
			stops.status.Self = peer.ID
			return true
		}
	}
	return false
}

// end makes a released member end.
func (stops *plannedStops) end(id replica.MemberID) {
	stops.ended[id] = true
	stops.status.Leaving = slices.DeleteFunc(slices.Clone(stops.status.Leaving), func(other replica.MemberID) bool { return other == id })
	for index := range stops.status.Peers {
		if stops.status.Peers[index].ID == id {
			lastHeardAgo(time.Minute)(&stops.status.Peers[index])
			notCaughtUp(&stops.status.Peers[index])
		}
	}
}

// randomStops returns a group whose members all respond, some of which are leaving, and the number of
// members that stay and are ready to vote.
func randomStops(random *rand.Rand) (stops *plannedStops, ready int) {
	var peers []raft.Peer
	var leaving []replica.MemberID
	for id := replica.MemberID(1); id <= replica.MemberID(3+random.IntN(8)); id++ {
		changes := []func(*raft.Peer){inZone(model.ZoneName(rune('x' + random.IntN(3))))}
		catchesUp := id > 1 && random.IntN(6) == 0
		if catchesUp {
			changes = append(changes, notCaughtUp)
		}
		if catchesUp || id > 1 && random.IntN(2) == 0 {
			changes = append(changes, learner)
		}
		switch {
		case random.IntN(2) == 0:
			leaving = append(leaving, id)
		case !catchesUp:
			ready++
		}
		peers = append(peers, peer(id, model.NodeName(rune('a'+id)), changes...))
	}
	return &plannedStops{options: DefaultOptions(1+random.IntN(2), testElectionTimeout), status: statusOf(peers, leaving...), ended: make(map[replica.MemberID]bool)}, ready
}

// TestPlannedStopsKeepAMajority guards against a group that planned stops alone end: leaving voters were
// released with their votes although others could have taken them, and those that stayed were no
// majority.
func TestPlannedStopsKeepAMajority(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 20_000
	properties := gopter.NewProperties(parameters)
	properties.Property("those that stay are a majority", prop.ForAll(func(seed uint64) bool {
		stops, ready := randomStops(rand.New(rand.NewPCG(seed, 5)))
		for steps := 0; stops.step(); steps++ {
			if steps == 100 {
				t.Logf("seed %d: the stops do not end at %+v", seed, stops.status)
				return false
			}
		}
		voters, running := 0, 0
		for _, peer := range stops.status.Peers {
			if peer.Learner {
				continue
			}
			voters++
			if !stops.ended[peer.ID] && !slices.Contains(stops.status.Leaving, peer.ID) {
				running++
			}
		}
		held := ready <= stops.options.WantedVoters()/2 || running > voters/2
		if !held {
			t.Logf("seed %d: %d of %d voters stay; %d members were ready", seed, running, voters, ready)
		}
		return held
	}, gen.UInt64()))
	properties.TestingRun(t)
}

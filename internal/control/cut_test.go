package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/rollout"
)

// noticeWithin is how long both sides of a cut may take to notice it.
const noticeWithin = rollout.LeaseLength + rollout.ClockMargin + time.Second

// leasedNodes returns the nodes that the leader takes to hold a lease.
func (cluster *cluster) leasedNodes() map[model.NodeName]bool {
	leased := make(map[model.NodeName]bool)
	leader := cluster.awaitLeader()
	for _, node := range leader.member.RolloutAt(leader.clock(cluster.elapsed)).Nodes {
		if node.Leased {
			leased[node.Name] = true
		}
	}
	return leased
}

// TestBothSidesNoticeACut cuts processes off without a word and looks from
// both sides.
func TestBothSidesNoticeACut(t *testing.T) {
	t.Parallel()
	zoneA := []model.NodeName{"balancer-a0", "balancer-a1", "agent-a0", "agent-a1"}
	cases := []struct {
		name string
		cut  func(cluster *cluster)
		// off are the nodes that are cut off.
		off []model.NodeName
		// relayConfirmed tells whether the relay of zone a stays confirmed.
		relayConfirmed bool
	}{
		{
			name: "a zone from the rest", off: zoneA,
			cut: func(cluster *cluster) {
				cluster.isolate("relay-a", cluster.memberNames()...)
				for _, name := range zoneA {
					cluster.isolate(name, "relay-b")
				}
			},
		},
		{
			name: "one node from all relays", off: zoneA[:1], relayConfirmed: true,
			cut: func(cluster *cluster) { cluster.isolate("balancer-a0", "relay-a", "relay-b") },
		},
		{
			name: "one node hears nothing", off: zoneA[:1], relayConfirmed: true,
			cut: func(cluster *cluster) {
				cluster.cut[link{"relay-a", "balancer-a0"}] = true
				cluster.cut[link{"relay-b", "balancer-a0"}] = true
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := ordinary(t, 11)
			cluster.awaitLeader()
			base := cluster.seedState()
			cluster.run(settleTime)
			test.cut(cluster)
			revision := cluster.putService(base, 7)
			cluster.run(noticeWithin)
			for _, name := range test.off {
				node := cluster.nodes[name]
				require.False(t, node.subscriber.Confirmed(node.clock(cluster.elapsed)), "%s thinks that it is current", name)
			}
			relay := cluster.processes["relay-a"]
			require.Equal(t, test.relayConfirmed, cluster.relays["relay-a"].Confirmed(relay.clock(cluster.elapsed)))
			require.GreaterOrEqual(t, cluster.inForce(), revision, "the cut holds the change back")
			cluster.heal()
			cluster.until(15*time.Second, func() bool { return len(cluster.leasedNodes()) == len(cluster.nodes) }, "leases do not return")
			require.True(t, cluster.allRun(revision))
		})
	}
}

// TestRestartedRelayResyncsByDigest restarts a relay, which then has no
// configuration. Nodes that hold the right one are not sent it again.
func TestRestartedRelayResyncsByDigest(t *testing.T) {
	t.Parallel()
	cluster := ordinary(t, 12)
	cluster.awaitLeader()
	base := cluster.seedState()
	cluster.run(settleTime)
	running := make(map[model.NodeName]*model.Configuration)
	for name, node := range cluster.nodes {
		running[name] = node.store.Current()
	}
	cluster.addRelay("relay-a", "a")
	cluster.run(settleTime)
	for name, node := range cluster.nodes {
		require.Same(t, running[name], node.store.Current(), "%s was sent its configuration again", name)
	}
	revision := cluster.putService(base, 7)
	cluster.until(time.Second, func() bool { return cluster.allRun(revision) }, "change did not arrive")
	require.Equal(t, revision, cluster.relays["relay-a"].Revision())
}

// TestFrozenNodeHasNoLeaseInTheMomentItWakes freezes nodes for longer than a
// lease. What they do first after the pause must already see that it is over.
func TestFrozenNodeHasNoLeaseInTheMomentItWakes(t *testing.T) {
	t.Parallel()
	cluster := ordinary(t, 13)
	cluster.awaitLeader()
	cluster.seedState()
	cluster.run(settleTime)
	for _, node := range cluster.nodes {
		node.frozen = true
	}
	cluster.run(rollout.LeaseLength + clusterStep)
	for name, node := range cluster.nodes {
		node.frozen = false
		require.False(t, node.lease.Valid(node.clock(cluster.elapsed)), name)
		// Answers to heartbeats from before the pause wait in its inbox.
		for _, controller := range node.controllers {
			controller.Reconcile(node.clock(cluster.elapsed))
		}
		require.False(t, node.lease.Valid(node.clock(cluster.elapsed)), "%s took an old answer", name)
	}
}

// TestLeavingBalancerHoldsNothingBack stops a balancer as planned right before
// a change.
func TestLeavingBalancerHoldsNothingBack(t *testing.T) {
	t.Parallel()
	cluster := ordinary(t, 14)
	cluster.awaitLeader()
	base := cluster.seedState()
	cluster.run(settleTime)
	node := cluster.nodes["balancer-a0"]
	node.subscriber.Leave(node.clock(cluster.elapsed))
	require.False(t, node.lease.Valid(node.clock(cluster.elapsed)))
	cluster.run(clusterStep)
	cluster.stop("balancer-a0")
	revision := cluster.putService(base, 7)
	cluster.until(time.Second, func() bool { return cluster.inForce() >= revision }, "a balancer that left holds the change back")
}

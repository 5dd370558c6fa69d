package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/rollout"
)

// partitionNoticeTime is how long both sides of a network partition may take to detect it.
const partitionNoticeTime = rollout.LeaseLength + rollout.ClockMargin + time.Second

// leasedNodes returns the nodes that may hold a lease according to the leader.
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

// TestBothSidesDetectAPartition isolates processes without any notice to the others. The isolated
// nodes must notice that they are no longer current, and control must stop waiting for them, so
// that the partition does not delay a change from being in force.
func TestBothSidesDetectAPartition(t *testing.T) {
	t.Parallel()
	zoneA := []model.NodeName{"balancer-a0", "balancer-a1", "agent-a0", "agent-a1"}
	cases := []struct {
		name      string
		partition func(cluster *cluster)
		// isolated are the nodes that are cut off from control.
		isolated []model.NodeName
		// relayConfirmed reports whether the relay of zone a stays confirmed by control.
		relayConfirmed bool
	}{
		{
			name: "a zone from the rest", isolated: zoneA,
			partition: func(cluster *cluster) {
				cluster.isolate("relay-a", cluster.memberNames()...)
				for _, name := range zoneA {
					cluster.isolate(name, "relay-b")
				}
			},
		},
		{
			name: "one node from all relays", isolated: zoneA[:1], relayConfirmed: true,
			partition: func(cluster *cluster) { cluster.isolate("balancer-a0", "relay-a", "relay-b") },
		},
		{
			name: "one node receives nothing", isolated: zoneA[:1], relayConfirmed: true,
			partition: func(cluster *cluster) {
				cluster.blocked[link{"relay-a", "balancer-a0"}] = true
				cluster.blocked[link{"relay-b", "balancer-a0"}] = true
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoZoneCluster(t, 11)
			cluster.awaitLeader()
			base := cluster.createService()
			cluster.run(settleTime)
			test.partition(cluster)
			revision := cluster.putService(base, 7)
			cluster.run(partitionNoticeTime)
			for _, name := range test.isolated {
				node := cluster.nodes[name]
				require.False(t, node.subscriber.Confirmed(node.clock(cluster.elapsed)), "%s still considers itself current", name)
			}
			relay := cluster.processes["relay-a"]
			require.Equal(t, test.relayConfirmed, cluster.relays["relay-a"].Confirmed(relay.clock(cluster.elapsed)))
			require.GreaterOrEqual(t, cluster.inForce(), revision, "the partition delays the change")
			cluster.heal()
			cluster.runUntil(15*time.Second, func() bool { return len(cluster.leasedNodes()) == len(cluster.nodes) }, "leases are not granted again")
			require.True(t, cluster.allApplied(revision))
		})
	}
}

// TestRestartedRelayResyncsByDigest restarts a relay, which then has no configuration. Nodes whose
// configuration has the right digest must not be sent it again.
func TestRestartedRelayResyncsByDigest(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 12)
	cluster.awaitLeader()
	base := cluster.createService()
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
	cluster.runUntil(time.Second, func() bool { return cluster.allApplied(revision) }, "change did not arrive")
	require.Equal(t, revision, cluster.relays["relay-a"].Revision())
}

// TestFrozenNodeHasNoLeaseWhenItResumes freezes nodes for longer than a lease. The lease must be
// expired from the first moment after the pause, and delayed acknowledgements must not extend it.
func TestFrozenNodeHasNoLeaseWhenItResumes(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 13)
	cluster.awaitLeader()
	cluster.createService()
	cluster.run(settleTime)
	for _, node := range cluster.nodes {
		node.frozen = true
	}
	cluster.run(rollout.LeaseLength + clusterStep)
	for name, node := range cluster.nodes {
		node.frozen = false
		require.False(t, node.lease.Valid(node.clock(cluster.elapsed)), name)
		// The inbox holds acknowledgements of heartbeats from before the pause.
		for _, controller := range node.controllers {
			controller.Reconcile(node.clock(cluster.elapsed))
		}
		require.False(t, node.lease.Valid(node.clock(cluster.elapsed)), "%s extended its lease by an old acknowledgement", name)
	}
}

// TestLeavingBalancerDoesNotDelayInForce stops a balancer as planned, one clusterStep before a
// change. The change must be in force without waiting for the balancer's lease to run out.
func TestLeavingBalancerDoesNotDelayInForce(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 14)
	cluster.awaitLeader()
	base := cluster.createService()
	cluster.run(settleTime)
	node := cluster.nodes["balancer-a0"]
	node.subscriber.Leave(node.clock(cluster.elapsed))
	require.False(t, node.lease.Valid(node.clock(cluster.elapsed)))
	cluster.run(clusterStep)
	cluster.stop("balancer-a0")
	revision := cluster.putService(base, 7)
	cluster.runUntil(time.Second, func() bool { return cluster.inForce() >= revision }, "a balancer that left delays the change")
}

package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// newRelayTree returns a cluster whose zone relays reach control through other relays: relay-a and
// relay-b through two top relays, and relay-c through relay-a or relay-b.
func newRelayTree(t testing.TB, seed uint64) *cluster {
	cluster := newCluster(t, seed)
	cluster.addMembers("control-1", "control-2", "control-3")
	cluster.addRelay("top-1", "top")
	cluster.addRelay("top-2", "top")
	cluster.addRelayWithUpstreams("relay-a", "a", "top-1", "top-2")
	cluster.addRelayWithUpstreams("relay-b", "b", "top-2", "top-1")
	cluster.addRelayWithUpstreams("relay-c", "c", "relay-a", "relay-b")
	for _, zone := range []string{"a", "b", "c"} {
		for number := range 2 {
			cluster.addNode(fmt.Sprintf("balancer-%s%d", zone, number), model.RoleBalancer, zone)
		}
	}
	cluster.addNode("agent-a0", model.RoleAgent, "a")
	cluster.addNode("agent-b0", model.RoleAgent, "b")
	cluster.addNode(farAgent, model.RoleAgent, "c")
	return cluster
}

// farAgent is the agent of zone c, whose relay is farthest from control. It has the name of a
// target of zone b.
const farAgent = "agent-b1"

// allUseZoneRelay reports whether every node uses the relay of its zone.
func (cluster *cluster) allUseZoneRelay() bool {
	for name, node := range cluster.nodes {
		zoneRelay := "relay-" + name[len(name)-2:len(name)-1]
		if _, isTree := cluster.relays["relay-c"]; isTree && name == farAgent {
			zoneRelay = "relay-c"
		}
		if node.subscriber.RelayName() != zoneRelay {
			return false
		}
	}
	return true
}

// startRelayTree starts a relay tree with the test service, waits until all nodes use the relays of
// their zones, and returns the service's revision.
func startRelayTree(t testing.TB, seed uint64) (*cluster, model.Revision) {
	cluster := newRelayTree(t, seed)
	revision := cluster.createService()
	cluster.runUntil(time.Minute, cluster.allUseZoneRelay, "nodes do not use the relays of their zones")
	cluster.run(settleTime)
	return cluster, revision
}

// TestChangesReachNodesThroughTreeOfRelays checks that changes reach every node and come into force
// through the tree, and that control sends nothing to relays that are not connected to it.
func TestChangesReachNodesThroughTreeOfRelays(t *testing.T) {
	t.Parallel()
	cluster, revision := startRelayTree(t, 21)
	require.Len(t, cluster.leasedNodes(), len(cluster.nodes))
	cluster.meter = newByteMeter()
	for number := range 5 {
		revision = cluster.putService(revision, 100+number)
		cluster.runUntil(time.Second, func() bool { return cluster.allApplied(revision) }, "change did not reach every node")
		cluster.runUntil(2*time.Second, func() bool { return cluster.inForce() >= revision }, "change is not in force")
	}
	for key := range cluster.meter.streams {
		if _, fromControl := cluster.members[key.from]; fromControl {
			require.NotContains(t, []model.NodeName{"relay-a", "relay-b", "relay-c"}, key.to, "control sent a message to a relay that is not connected to it")
		}
	}
}

// TestTreeOfRelaysUnderFaults disturbs the top of the tree. Leases are long enough for the
// zone relays to fail over. A change must come into force in time, and all nodes must hold
// leases afterwards.
func TestTreeOfRelaysUnderFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		disturb func(cluster *cluster)
	}{
		{name: "top relay stopped", disturb: func(cluster *cluster) { cluster.stop("top-1") }},
		{name: "top relay frozen", disturb: func(cluster *cluster) { cluster.processes["top-1"].frozen = true }},
		{name: "top relay cut off from control", disturb: func(cluster *cluster) { cluster.isolate("top-1", cluster.memberNames()...) }},
		{name: "leader stopped", disturb: func(cluster *cluster) { cluster.stop(cluster.leader().name) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster, revision := startRelayTree(t, 22)
			test.disturb(cluster)
			revision = cluster.putService(revision, 7)
			cluster.runUntil(7*time.Second, func() bool { return cluster.allApplied(revision) && cluster.inForce() >= revision }, "not in force in time")
			cluster.runUntil(15*time.Second, func() bool { return len(cluster.leasedNodes()) == len(cluster.nodes) }, "nodes without leases")
		})
	}
}

// TestNothingBelowAPartitionIsCurrent isolates both top relays from control while all relays and
// nodes still reach each other. No relay may stay confirmed, no node may keep its lease, and a
// restarted node must not install a configuration until the partition heals.
func TestNothingBelowAPartitionIsCurrent(t *testing.T) {
	t.Parallel()
	cluster, _ := startRelayTree(t, 23)
	for _, top := range []model.NodeName{"top-1", "top-2"} {
		cluster.isolate(top, cluster.memberNames()...)
	}
	cluster.run(partitionNoticeTime)
	for name, relay := range cluster.relays {
		require.False(t, relay.Confirmed(cluster.processes[name].clock(cluster.elapsed)), name)
	}
	for name, node := range cluster.nodes {
		require.False(t, node.lease.Valid(node.clock(cluster.elapsed)), name)
	}
	restarted := cluster.addNode("balancer-c0", model.RoleBalancer, "c")
	cluster.run(settleTime)
	require.Zero(t, restarted.store.Current().Revision, "a restarted node installed an unconfirmed configuration")
	cluster.heal()
	cluster.runUntil(20*time.Second, func() bool { return len(cluster.leasedNodes()) == len(cluster.nodes) }, "leases are not granted again")
}

// TestRelayLoopDoesNotMultiplyMessages starts relays without control members: two that have only
// each other as upstream, one below them, and one that also has itself as upstream. The messages in
// flight must not grow over time.
func TestRelayLoopDoesNotMultiplyMessages(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 24)
	cluster.addRelayWithUpstreams("relay-a", "a", "relay-b")
	cluster.addRelayWithUpstreams("relay-b", "b", "relay-a")
	cluster.addRelayWithUpstreams("relay-c", "c", "relay-a")
	cluster.addRelayWithUpstreams("relay-d", "d", "relay-c", "relay-d")
	peak := 0
	cluster.afterStep = func() { peak = max(peak, len(cluster.inFlight)) }
	cluster.run(10 * time.Second)
	peakEarly := peak
	peak = 0
	cluster.run(50 * time.Second)
	require.LessOrEqual(t, peak, 2*peakEarly, "messages in flight grow")
}

// TestClaimsAndLoadsThroughTreeOfRelays checks that a claim is answered through three levels of
// relays, and that loads reach the agents of another zone.
func TestClaimsAndLoadsThroughTreeOfRelays(t *testing.T) {
	t.Parallel()
	cluster, _ := startRelayTree(t, 25)
	agent := cluster.nodes[farAgent]
	replies := agent.dispatcher.Handle(protocol.ClaimReply{})
	request := protocol.ClaimRequest{
		Correlation: 1, Key: protocol.ClaimKey{Tenant: "riga", Service: "tipline", Key: "k"}, Fingerprint: 3, Agent: farAgent,
		Incarnation: agent.subscriber.Incarnation(),
	}
	agent.mailbox.Send("relay-c", request)
	var got []protocol.ClaimReply
	cluster.runUntil(2*time.Second, func() bool {
		for _, envelope := range replies.Drain() {
			got = append(got, envelope.Message.(protocol.ClaimReply))
		}
		return len(got) > 0
	}, "claim was not answered")
	require.Equal(t, protocol.ClaimGranted, got[0].State)

	targets := make(map[string]model.TargetID)
	for _, target := range cluster.leader().machine.Configuration().Targets {
		targets[target.Name] = target.ID
	}
	cluster.nodes["agent-a0"].reporter.load = &model.TargetLoad{Target: targets["agent-a0"], Flows: 5}
	cluster.nodes["agent-b0"].reporter.load = &model.TargetLoad{Target: targets["agent-b0"], Flows: 6}
	cluster.runUntil(3*rollout.LeaseLength, func() bool {
		load, known := cluster.nodes["agent-b0"].loads.Load(targets["agent-a0"])
		return known && load.Flows == 5
	}, "load did not reach the other zone")
}

// TestInForceIsNeverReportedTooEarlyThroughRelayTree is TestInForceIsNeverReportedTooEarly with
// further relays between control and the relays of the zones.
func TestInForceIsNeverReportedTooEarlyThroughRelayTree(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			checkReportedInForce(t, newRelayTree(t, seed), seed)
		})
	}
}

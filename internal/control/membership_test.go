package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// targetPhase returns the committed phase of the named agent's target, or zero without one.
func (cluster *cluster) targetPhase(agent string) model.TargetPhase {
	leader := cluster.awaitLeader()
	for _, target := range leader.machine.Configuration().Targets {
		if target.Name == agent {
			return target.Phase
		}
	}
	return 0
}

func (cluster *cluster) stop(names ...model.NodeName) {
	for _, name := range names {
		cluster.processes[name].stopped = true
	}
}

// zoneProcesses returns the nodes and the relay of a zone.
func (cluster *cluster) zoneProcesses(zone string) []model.NodeName {
	var names []model.NodeName
	for name := range cluster.nodes {
		if string(name[len(name)-2:len(name)-1]) == zone {
			names = append(names, name)
		}
	}
	return append(names, model.NodeName("relay-"+zone))
}

// TestTargetsDeclaredDead checks which targets are declared dead after various failures. Failures
// of relays, control members or the network must not make the targets of running agents dead.
func TestTargetsDeclaredDead(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		disturb func(cluster *cluster)
		dead    []string
	}{
		{name: "nothing", disturb: func(*cluster) {}},
		{
			name:    "one agent",
			disturb: func(cluster *cluster) { cluster.stop("agent-a0") },
			dead:    []string{"agent-a0"},
		},
		{
			name: "a planned stop of an agent",
			disturb: func(cluster *cluster) {
				node := cluster.nodes["agent-a0"]
				node.subscriber.Leave(node.clock(cluster.elapsed))
				cluster.collect(node.simulatedProcess)
				node.stopped = true
			},
			dead: []string{"agent-a0"},
		},
		{
			name: "a restarted agent is alive",
			disturb: func(cluster *cluster) {
				cluster.addNode("agent-a0", model.RoleAgent, "a")
			},
		},
		{
			name:    "a relay",
			disturb: func(cluster *cluster) { cluster.stop("relay-a") },
		},
		{
			name:    "a relay and one of its agents",
			disturb: func(cluster *cluster) { cluster.stop("relay-a", "agent-a0") },
			dead:    []string{"agent-a0"},
		},
		{
			name: "a zone cut off from control and the other zone",
			disturb: func(cluster *cluster) {
				for _, name := range cluster.zoneProcesses("a") {
					cluster.isolate(name, cluster.memberNames()...)
					cluster.isolate(name, cluster.zoneProcesses("b")...)
				}
			},
		},
		{
			name:    "a zone that the platform still lists",
			disturb: func(cluster *cluster) { cluster.stop(cluster.zoneProcesses("a")...); cluster.listAllMachines() },
		},
		{
			name: "a zone that the platform no longer lists",
			disturb: func(cluster *cluster) {
				cluster.stop(cluster.zoneProcesses("a")...)
				cluster.listAllMachines()
				for _, name := range cluster.zoneProcesses("a") {
					delete(cluster.machines.live, name)
				}
			},
			dead: []string{"agent-a0", "agent-a1"},
		},
		{
			name: "the platform lists no machine of running agents",
			disturb: func(cluster *cluster) {
				cluster.machines.known = true
			},
		},
		{
			name: "a leader change",
			disturb: func(cluster *cluster) {
				cluster.leader().stopped = true
			},
		},
		{
			name: "a leader frozen for 12 s",
			disturb: func(cluster *cluster) {
				leader := cluster.leader()
				leader.frozen = true
				cluster.run(12 * time.Second)
				leader.frozen = false
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoZoneCluster(t, 11)
			cluster.createService()
			cluster.run(2 * settleTime)
			for _, name := range targetNames {
				require.Equal(t, model.PhaseServing, cluster.targetPhase(name), name)
			}
			test.disturb(cluster)
			cluster.run(20 * time.Second)
			var dead []string
			for _, name := range targetNames {
				if cluster.targetPhase(name) == model.PhaseDead {
					dead = append(dead, name)
				}
			}
			require.Equal(t, test.dead, dead)
		})
	}
}

// listAllMachines makes the platform's list known and lists all nodes as live.
func (cluster *cluster) listAllMachines() {
	cluster.machines.known = true
	for name := range cluster.nodes {
		cluster.machines.live[name] = true
	}
}

// TestDeadTargetServesAgainAfterRestart stops an agent until its target is dead and starts it
// again. The target must serve again under the new incarnation.
func TestDeadTargetServesAgainAfterRestart(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 12)
	cluster.createService()
	cluster.run(2 * settleTime)
	cluster.stop("agent-a0")
	cluster.runUntil(10*time.Second, func() bool { return cluster.targetPhase("agent-a0") == model.PhaseDead }, "not dead")
	restarted := cluster.addNode("agent-a0", model.RoleAgent, "a")
	cluster.runUntil(5*time.Second, func() bool { return cluster.targetPhase("agent-a0") == model.PhaseServing }, "not alive again")
	for _, target := range cluster.leader().machine.Configuration().Targets {
		if target.Name == "agent-a0" {
			require.Equal(t, cluster.incarnation, target.Incarnation)
		}
	}
	require.NotNil(t, restarted)
}

// TestNeverStartedTargetIsDead configures targets whose agents never ran. They have no flows to
// lose, so the rule for partitions does not keep them alive.
func TestNeverStartedTargetIsDead(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 13)
	cluster.stop("agent-b0", "agent-b1")
	cluster.createService()
	cluster.runUntil(20*time.Second, func() bool {
		return cluster.targetPhase("agent-b0") == model.PhaseDead && cluster.targetPhase("agent-b1") == model.PhaseDead
	}, "a target whose agent never ran is not dead")
}

// TestEmptyBucketsDropEarlierTargets makes a target dead and alive again, so that buckets move and
// keep their earlier targets. Once the agents report all their buckets empty, no bucket may keep an
// earlier target.
func TestEmptyBucketsDropEarlierTargets(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 14)
	cluster.createService()
	cluster.run(2 * settleTime)
	cluster.stop("agent-a0")
	cluster.runUntil(10*time.Second, func() bool { return cluster.targetPhase("agent-a0") == model.PhaseDead }, "not dead")
	cluster.addNode("agent-a0", model.RoleAgent, "a")
	cluster.runUntil(5*time.Second, func() bool { return cluster.targetPhase("agent-a0") == model.PhaseServing }, "not alive again")
	cluster.run(time.Second)
	require.Positive(t, cluster.earlierTargets(), "no bucket has an earlier target, so the test checks nothing")
	for _, target := range cluster.leader().machine.Configuration().Targets {
		for bucket := range 256 {
			reporter := cluster.nodes[model.NodeName(target.Name)].reporter
			reporter.empty = append(reporter.empty, model.BucketEmpty{Service: target.Service, Target: target.ID, Bucket: model.BucketIndex(bucket)})
		}
	}
	cluster.runUntil(20*time.Second, func() bool { return cluster.earlierTargets() == 0 }, "buckets keep earlier targets whose buckets are empty")
}

// earlierTargets returns the number of buckets that have earlier targets.
func (cluster *cluster) earlierTargets() int {
	count := 0
	for _, table := range cluster.awaitLeader().machine.Configuration().Buckets {
		count += len(table.Earlier)
	}
	return count
}

// TestLoadsReachAgentsOfBothZones gives each agent a load and checks that every agent learns the
// loads of all targets, also of those in the other zone.
func TestLoadsReachAgentsOfBothZones(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 15)
	cluster.createService()
	cluster.run(settleTime)
	for _, target := range cluster.leader().machine.Configuration().Targets {
		cluster.nodes[model.NodeName(target.Name)].reporter.load = &model.TargetLoad{Target: target.ID, Flows: uint32(100 + target.ID)}
	}
	cluster.runUntil(6*time.Second, func() bool {
		for _, name := range targetNames {
			for _, target := range cluster.leader().machine.Configuration().Targets {
				load, known := cluster.nodes[model.NodeName(name)].loads.Load(target.ID)
				if !known || load.Flows != uint32(100+target.ID) {
					return false
				}
			}
		}
		return true
	}, "loads did not reach every agent")
}

// sendClaim sends the request from the agent to its relay.
func (cluster *cluster) sendClaim(agent model.NodeName, request protocol.ClaimRequest) {
	node := cluster.nodes[agent]
	node.mailbox.Send(node.subscriber.RelayName(), request)
}

// TestClaims sends a claim through the agent's relay to the leader. The claim is answered as
// unavailable when no leader can propose it. When the leader proposes it but cannot commit it, the
// outcome is unknown and the claim is not answered.
func TestClaims(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		disturb func(cluster *cluster)
		want    protocol.ClaimState
	}{
		{name: "granted", disturb: func(*cluster) {}, want: protocol.ClaimGranted},
		{
			name: "all members stopped",
			disturb: func(cluster *cluster) {
				cluster.stop(cluster.memberNames()...)
				cluster.run(2 * time.Second)
			},
			want: protocol.ClaimUnavailable,
		},
		{
			name: "majority lost but not yet noticed by the leader",
			disturb: func(cluster *cluster) {
				leader := cluster.leader()
				for _, name := range cluster.memberNames() {
					if name != leader.name {
						cluster.stop(name)
					}
				}
			},
			want: 0,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoZoneCluster(t, 16)
			cluster.createService()
			cluster.run(2 * settleTime)
			agent := cluster.nodes["agent-a0"]
			replies := agent.dispatcher.Handle(protocol.ClaimReply{})
			test.disturb(cluster)
			request := protocol.ClaimRequest{
				Correlation: 1, Agent: "agent-a0", Incarnation: cluster.incarnation,
				Key: protocol.ClaimKey{Tenant: "riga", Service: "tipline", Key: "payout-1"},
			}
			cluster.sendClaim("agent-a0", request)
			cluster.run(4 * time.Second)
			var got []protocol.ClaimState
			for _, envelope := range replies.Drain() {
				got = append(got, envelope.Message.(protocol.ClaimReply).State)
			}
			if test.want == 0 {
				require.Empty(t, got)
				return
			}
			require.Equal(t, []protocol.ClaimState{test.want}, got)
		})
	}
}

// TestClaimOfAnotherAgentIsDropped sends a claim in the name of another agent, which must not be
// answered.
func TestClaimOfAnotherAgentIsDropped(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 17)
	cluster.createService()
	cluster.run(2 * settleTime)
	replies := cluster.nodes["agent-a1"].dispatcher.Handle(protocol.ClaimReply{})
	cluster.sendClaim("agent-a0", protocol.ClaimRequest{
		Correlation: 1, Agent: "agent-a1", Key: protocol.ClaimKey{Tenant: "riga", Service: "tipline", Key: "payout-1"},
	})
	cluster.run(2 * time.Second)
	require.Zero(t, replies.Length())
}

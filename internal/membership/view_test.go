package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// reportInterval is the time between two reports of a test. It is longer than rollout.FreshWithin,
// so a heartbeat is stale by the next report.
const reportInterval = 2 * time.Second

// reportBuilder builds the reports of one relay process in sequence.
type reportBuilder struct {
	name        model.NodeName
	incarnation model.Incarnation
	sequence    uint64
}

// next returns the next report, with the given floor for balancers. The first report is full.
func (builder *reportBuilder) next(floor model.Revision, nodes ...protocol.NodeReport) protocol.Report {
	builder.sequence++
	return protocol.Report{
		Zone: "a", Incarnation: builder.incarnation, Sequence: builder.sequence, Full: builder.sequence == 1,
		Floors:      []protocol.Floor{{Role: model.RoleBalancer, Revision: floor, Digest: uint64(floor) * 10}},
		FreshWithin: rollout.FreshWithin, Nodes: nodes,
	}
}

// balancer returns the entry of a balancer process that runs the revision applied.
func balancer(name model.NodeName, incarnation model.Incarnation, applied model.Revision) protocol.NodeReport {
	return protocol.NodeReport{Node: name, Heartbeat: protocol.Heartbeat{
		Role: model.RoleBalancer, Incarnation: incarnation, Sequence: 1, Applied: applied, Digest: uint64(applied) * 10,
	}}
}

// behind marks the entry's node as behind the floor.
func behind(report protocol.NodeReport) protocol.NodeReport {
	report.Behind = true
	return report
}

// withAge sets the age of the entry's heartbeat.
func withAge(report protocol.NodeReport, age time.Duration) protocol.NodeReport {
	report.Age = age
	return report
}

// TestFloorAppliesToUnlistedNodes checks which nodes advance with the floor of a later report:
// those that were neither behind nor stale when a report last listed them.
func TestFloorAppliesToUnlistedNodes(t *testing.T) {
	const longAgo = 10 * time.Second
	cases := []struct {
		name    string
		first   []protocol.NodeReport
		second  []protocol.NodeReport
		applied model.Revision
		seen    time.Time
	}{
		{
			name: "not listed again", first: []protocol.NodeReport{balancer("x", 1, 7)},
			applied: 9, seen: testStart.Add(reportInterval - rollout.FreshWithin),
		},
		{
			name: "behind before", first: []protocol.NodeReport{behind(balancer("x", 1, 6))},
			applied: 6, seen: testStart.Add(reportInterval - rollout.FreshWithin),
		},
		{
			name: "behind now", first: []protocol.NodeReport{balancer("x", 1, 7)},
			second: []protocol.NodeReport{behind(balancer("x", 1, 7))}, applied: 7, seen: testStart.Add(reportInterval),
		},
		{
			name: "stale before", first: []protocol.NodeReport{withAge(balancer("x", 1, 7), longAgo)},
			applied: 7, seen: testStart.Add(-longAgo),
		},
		{
			name: "restarted", first: []protocol.NodeReport{balancer("x", 1, 7)},
			second: []protocol.NodeReport{behind(balancer("x", 2, 0))}, applied: 0, seen: testStart.Add(reportInterval),
		},
		{
			name: "caught up", first: []protocol.NodeReport{behind(balancer("x", 1, 6))},
			second: []protocol.NodeReport{balancer("x", 1, 9)}, applied: 9, seen: testStart.Add(reportInterval),
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			registry := NewRegistry()
			relay := &reportBuilder{name: "relay-1", incarnation: 1}
			require.True(t, registry.ApplyReport(testStart, relay.name, relay.next(7, test.first...)))
			require.True(t, registry.ApplyReport(testStart.Add(reportInterval), relay.name, relay.next(9, test.second...)))
			node, known := registry.View().Node("x")
			require.True(t, known)
			require.Equal(t, test.applied, node.Applied)
			require.Equal(t, uint64(test.applied)*10, node.Digest)
			require.Equal(t, test.seen, node.LastSeen)
		})
	}
}

// TestFloorOfPreviousRelayIsIgnoredAfterRestart restarts a node, which connects to a second relay
// while the first relay still counts the previous process among its nodes. The first relay's floor
// must not apply to the new process.
func TestFloorOfPreviousRelayIsIgnoredAfterRestart(t *testing.T) {
	registry := NewRegistry()
	first := &reportBuilder{name: "relay-1", incarnation: 1}
	second := &reportBuilder{name: "relay-2", incarnation: 1}
	require.True(t, registry.ApplyReport(testStart, first.name, first.next(7, balancer("x", 1, 7))))
	require.True(t, registry.ApplyReport(testStart, second.name, second.next(9, behind(balancer("x", 2, 0)))))
	require.True(t, registry.ApplyReport(testStart, first.name, first.next(9)))
	node, _ := registry.View().Node("x")
	require.Zero(t, node.Applied, "the first relay's floor covers only the previous process")
}

// TestDetachedNodeKeepsItsLatestState restarts a relay whose first report no longer lists the node.
// The node keeps the revision and time that the previous relay process last reported for it.
func TestDetachedNodeKeepsItsLatestState(t *testing.T) {
	registry := NewRegistry()
	relay := &reportBuilder{name: "relay-1", incarnation: 1}
	require.True(t, registry.ApplyReport(testStart, relay.name, relay.next(7, balancer("x", 1, 7))))
	require.True(t, registry.ApplyReport(testStart.Add(reportInterval), relay.name, relay.next(9)))
	restarted := &reportBuilder{name: "relay-1", incarnation: 2}
	require.True(t, registry.ApplyReport(testStart.Add(2*reportInterval), relay.name, restarted.next(0)))
	node, known := registry.View().Node("x")
	require.True(t, known)
	require.Empty(t, node.Attachments)
	require.Equal(t, model.Revision(9), node.Applied)
	require.Equal(t, testStart.Add(reportInterval-rollout.FreshWithin), node.LastSeen)
}

// TestInForceWaitsForEveryLeasedBalancer checks that a balancer that is behind delays the revision
// in force until its lease has expired.
func TestInForceWaitsForEveryLeasedBalancer(t *testing.T) {
	registry := NewRegistry()
	relay := &reportBuilder{name: "relay-1", incarnation: 1}
	leadership := Leadership{Leading: true, Term: 1, Since: testStart.Add(-time.Minute)}
	inForce := func() model.Revision { return registry.RolloutStatus(testStart, leadership, 9).InForce }
	report := func(floor model.Revision, nodes ...protocol.NodeReport) {
		require.True(t, registry.ApplyReport(testStart, relay.name, relay.next(floor, nodes...)))
		registry.Grant(relay.name, testStart.Add(rollout.LeaseLength))
	}
	report(7, balancer("x", 1, 7), balancer("y", 1, 7))
	require.Equal(t, model.Revision(7), inForce())
	report(9, behind(balancer("y", 1, 7)))
	require.Equal(t, model.Revision(7), inForce(), "y is behind and holds a lease")
	expired := behind(balancer("y", 1, 7))
	expired.LeaseExpired = true
	report(9, expired)
	require.Equal(t, model.Revision(9), inForce(), "y has no lease")
}

// TestLoadsOfUnlistedNodesAreApplied sends loads in a report that does not list the nodes: the load
// of a known target's agent is applied, and the load of an unknown target is ignored.
func TestLoadsOfUnlistedNodesAreApplied(t *testing.T) {
	registry := NewRegistry()
	relay := &reportBuilder{name: "relay-1", incarnation: 1}
	agent := protocol.NodeReport{Node: "agent-1", Heartbeat: protocol.Heartbeat{
		Role: model.RoleAgent, Incarnation: 1, Sequence: 1, Load: &model.TargetLoad{Target: 4, Flows: 1},
	}}
	require.True(t, registry.ApplyReport(testStart, relay.name, relay.next(7, agent)))
	report := relay.next(7)
	report.Loads = []model.TargetLoad{{Target: 4, Flows: 2}, {Target: 5, Flows: 3}}
	require.True(t, registry.ApplyReport(testStart, relay.name, report))
	node, _ := registry.View().Node("agent-1")
	require.Equal(t, &model.TargetLoad{Target: 4, Flows: 2}, node.Load)
	require.Equal(t, model.RoleAgent, node.Role)
	require.Zero(t, node.Applied, "the floor of balancers does not apply to agents")
}

// TestLeasesOutliveTheRelayProcessThatGrantedThem restarts a relay. Its nodes may still hold leases
// that the previous process granted, until the previous process's own grant and the clock margin
// have expired.
func TestLeasesOutliveTheRelayProcessThatGrantedThem(t *testing.T) {
	cases := []struct {
		name  string
		nodes []protocol.NodeReport
	}{
		{name: "the new process does not know the node"},
		{name: "the new process has granted the node no lease", nodes: []protocol.NodeReport{
			{Node: "x", Heartbeat: balancer("x", 1, 7).Heartbeat, LeaseExpired: true},
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			registry := NewRegistry()
			relay := &reportBuilder{name: "relay-1", incarnation: 1}
			require.True(t, registry.ApplyReport(testStart, relay.name, relay.next(7, balancer("x", 1, 7))))
			end := testStart.Add(rollout.LeaseLength)
			registry.Grant(relay.name, end)
			restarted := &reportBuilder{name: "relay-1", incarnation: 2}
			require.True(t, registry.ApplyReport(testStart.Add(time.Second), relay.name, restarted.next(0, test.nodes...)))
			registry.Grant(relay.name, testStart.Add(time.Hour))
			node, _ := registry.View().Node("x")
			require.True(t, registry.MayHoldLease(end, node))
			require.False(t, registry.MayHoldLease(end.Add(rollout.ClockMargin), node))
		})
	}
}

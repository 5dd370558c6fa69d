package membership

import (
	"fmt"
	"testing"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// benchmarkRelays is the number of relays that report the nodes.
const benchmarkRelays = 32

// benchmarkGroup returns a registry with that many nodes, one of eight a
// balancer and the others agents with targets.
func benchmarkGroup(nodes int) (*Registry, *model.Configuration) {
	registry, configuration := NewRegistry(), model.NewConfiguration()
	reports := make([]protocol.Report, benchmarkRelays)
	for index := range nodes {
		report := &reports[index%benchmarkRelays]
		zone := model.ZoneName(fmt.Sprintf("zone-%d", index%benchmarkRelays))
		name, role := model.NodeName(fmt.Sprintf("node-%d", index)), model.RoleBalancer
		heartbeat := protocol.Heartbeat{Zone: zone, Incarnation: 1, Sequence: 1, Applied: 1}
		if index%8 != 0 {
			role = model.RoleAgent
			id := model.TargetID(index + 1)
			configuration.Targets[id] = model.Target{ID: id, Name: string(name), Zone: zone, Phase: model.PhaseServing, Incarnation: 1}
			heartbeat.Load = &model.TargetLoad{Target: id, Healthy: true}
		}
		heartbeat.Role = role
		report.Zone = zone
		report.Nodes = append(report.Nodes, protocol.NodeReport{Node: name, Heartbeat: heartbeat})
	}
	for index, report := range reports {
		name := model.NodeName(fmt.Sprintf("relay-%d", index))
		report.Sequence, report.Incarnation, report.Full, report.FreshWithin = 1, 1, true, time.Second
		registry.ApplyReport(testStart, name, report)
		registry.Grant(name, testStart.Add(time.Hour))
	}
	return registry, configuration
}

// BenchmarkLeader gives the slopes of docs/CAPACITY.md for what the leader
// does over all nodes: one look at what is in force, which each waiting
// request takes each 20 ms, and one decision about the targets, each 250 ms.
func BenchmarkLeader(b *testing.B) {
	for _, nodes := range []int{5900, 11_800, 23_600, 47_300} {
		registry, configuration := benchmarkGroup(nodes)
		leadership := Leadership{Leading: true, Term: 1, Since: testStart.Add(-time.Hour)}
		b.Run(fmt.Sprintf("rollout_status/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				if status := registry.RolloutStatus(testStart, leadership, 1); len(status.Nodes) != nodes {
					b.Fatal("nodes are missing")
				}
			}
		})
		b.Run(fmt.Sprintf("decide/nodes=%d", nodes), func(b *testing.B) {
			proposals := board.NewQueue[Proposal]("proposals", 16)
			liveness := NewLiveness(registry, &fixedWorld{leadership: leadership, configuration: configuration}, testDeadAfter, proposals)
			for b.Loop() {
				liveness.decide(testStart)
			}
			if proposals.Length() != 0 {
				b.Fatal("a target changed")
			}
		})
	}
}

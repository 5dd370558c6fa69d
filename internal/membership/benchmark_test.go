package membership

import (
	"fmt"
	"testing"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// benchmarkRelays is the number of relays that the nodes are spread over.
const benchmarkRelays = 32

// benchmarkRegistry returns a registry and a configuration for the given number of nodes. One node
// in eight is a balancer; the others are agents with one target each.
func benchmarkRegistry(nodes int) (*Registry, *model.Configuration) {
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

// BenchmarkLeader measures how the leader's work over all nodes grows with their number, for
// docs/CAPACITY.md: one computation of the rollout status, which each waiting request does every
// 20 ms, and one decision about all targets, every 250 ms.
func BenchmarkLeader(b *testing.B) {
	for _, nodes := range []int{5900, 11_800, 23_600, 47_300} {
		registry, configuration := benchmarkRegistry(nodes)
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
			liveness := NewLiveness(registry, &fixedEnvironment{leadership: leadership, configuration: configuration}, testDeadAfter, proposals)
			for b.Loop() {
				liveness.decide(testStart)
			}
			if proposals.Length() != 0 {
				b.Fatal("a target changed")
			}
		})
	}
}

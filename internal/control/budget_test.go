package control

import (
	"encoding/gob"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/state"
)

// controlTrafficBudget is the most control traffic that a node may send and receive together, in
// bytes per second, in a cluster of the size that users run (see TestControlBudget).
const controlTrafficBudget = 4096

// byteMeter counts the bytes that each process sends and receives, encoded as one gob stream per
// connection. It does not count TCP, TLS and the two bytes of frame header.
type byteMeter struct {
	streams map[link]*countingStream
	bytes   map[model.NodeName]int
}

// countingStream encodes one connection's messages and counts their bytes.
type countingStream struct {
	encoder *gob.Encoder
	count   int
}

// Write implements io.Writer.
func (stream *countingStream) Write(buffer []byte) (int, error) {
	stream.count += len(buffer)
	return len(buffer), nil
}

func newByteMeter() *byteMeter {
	return &byteMeter{streams: make(map[link]*countingStream), bytes: make(map[model.NodeName]int)}
}

func (meter *byteMeter) count(t testing.TB, envelope protocol.Envelope) {
	key := link{envelope.From, envelope.To}
	stream, known := meter.streams[key]
	if !known {
		stream = &countingStream{}
		stream.encoder = gob.NewEncoder(stream)
		meter.streams[key] = stream
	}
	before := stream.count
	// The names of sender and receiver are not sent with each message.
	require.NoError(t, stream.encoder.Encode(protocol.Envelope{Message: envelope.Message}))
	meter.bytes[envelope.From] += stream.count - before
	meter.bytes[envelope.To] += stream.count - before
}

// budgetLayout is the size of one measured cluster.
type budgetLayout struct {
	zones     int
	balancers int
	// services is the number of targets of each service.
	services []int
	// changeInterval is the time between two changes of the configuration.
	changeInterval time.Duration
}

// trafficRates are bytes per second, sent and received together. The rates of balancers, agents and
// relays are means over the processes of that kind.
type trafficRates struct {
	balancer, agent, relay, leader float64
}

func zoneName(layout budgetLayout, index int) string { return string(rune('a' + index%layout.zones)) }

// budgetTargets returns the targets of one service.
func budgetTargets(layout budgetLayout, service int) []state.TargetParameter {
	var targets []state.TargetParameter
	for index := range layout.services[service] {
		targets = append(targets, state.TargetParameter{
			Name: fmt.Sprintf("agent-%d-%d", service, index), Zone: zoneName(layout, index),
			Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(service), byte(index)}), 9000),
			Backend: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(service), byte(index)}), 8000),
		})
	}
	return targets
}

// budgetCommand creates one service, or changes it when base is its revision. Its request timeout
// is number milliseconds.
func budgetCommand(layout budgetLayout, service int, base model.Revision, number int) state.PutService {
	address := fmt.Sprintf("192.0.2.%d:443", service+1)
	return state.PutService{
		Change: state.Change{Base: base}, Tenant: "riga", Name: fmt.Sprintf("service-%d", service),
		Template: model.TemplateReference{Name: "web"},
		Parameters: []state.Parameter{
			{Name: "address", Value: encodeJSON(address)},
			{Name: "targets", Value: encodeJSON(budgetTargets(layout, service))},
			{Name: "timeout", Value: encodeJSON(fmt.Sprintf("%dms", number))},
		},
	}
}

// measureTraffic starts a cluster of the layout and returns the traffic of each kind of process
// while the services change. The changes alternate between new parameters, draining a target, and
// undraining the same target.
func measureTraffic(t testing.TB, layout budgetLayout) trafficRates {
	t.Helper()
	cluster := startBudgetCluster(t, layout)
	cluster.meter = newByteMeter()
	start := cluster.elapsed
	const changes = 30
	for number := range changes {
		nextChangeAt := cluster.elapsed + layout.changeInterval
		cluster.commit(cluster.budgetChange(layout, number))
		for _, node := range cluster.nodes {
			if node.reporter != nil {
				node.reporter.load = &model.TargetLoad{Target: node.reporter.load.Target, Slots: 2, Flows: uint32(number), Healthy: true}
			}
		}
		cluster.run(nextChangeAt - cluster.elapsed)
	}
	return cluster.meanTrafficRates((cluster.elapsed - start).Seconds())
}

// startBudgetCluster starts a cluster of the layout and runs it until the agents report loads.
func startBudgetCluster(t testing.TB, layout budgetLayout) *cluster {
	t.Helper()
	cluster := newCluster(t, 1)
	cluster.addMembers("control-1", "control-2", "control-3")
	for zone := range layout.zones {
		cluster.addRelay("relay-"+zoneName(layout, zone), zoneName(layout, zone))
	}
	cluster.awaitLeader()
	cluster.commit(webTemplate())
	cluster.commit(state.PutTenant{Name: "riga"})
	for service := range layout.services {
		cluster.commit(budgetCommand(layout, service, 0, 1))
		for index, target := range budgetTargets(layout, service) {
			cluster.addNode(target.Name, model.RoleAgent, zoneName(layout, index)).reporter.load = &model.TargetLoad{}
		}
	}
	for index := range layout.balancers {
		cluster.addNode(fmt.Sprintf("balancer-%d", index), model.RoleBalancer, zoneName(layout, index))
	}
	cluster.run(30 * time.Second)
	for _, target := range cluster.leader().machine.Configuration().Targets {
		cluster.nodes[model.NodeName(target.Name)].reporter.load = &model.TargetLoad{Target: target.ID}
	}
	cluster.run(5 * time.Second)
	return cluster
}

// budgetChange returns the change with the given number.
func (cluster *cluster) budgetChange(layout budgetLayout, number int) state.Command {
	const kinds = 3
	round := number / kinds
	service := round % len(layout.services)
	name := fmt.Sprintf("service-%d", service)
	view := cluster.awaitLeader().machine.View()
	if number%kinds == 0 {
		record, _ := view.Service(state.ServiceKey{Tenant: "riga", Name: name})
		return budgetCommand(layout, service, record.Revision, 100+number)
	}
	key := state.TargetKey{Tenant: "riga", Service: name, Name: fmt.Sprintf("agent-%d-%d", service, round%layout.services[service])}
	_, record, _ := view.Target(key)
	change := state.Change{Base: record.Revision}
	if number%kinds == 1 {
		return state.DrainTarget{Change: change, Target: key}
	}
	return state.UndrainTarget{Change: change, Target: key}
}

// meanTrafficRates returns the mean rate of each kind of process over the given number of seconds,
// and the leader's own rate.
func (cluster *cluster) meanTrafficRates(seconds float64) trafficRates {
	mean := func(include func(name model.NodeName) bool) float64 {
		total, count := 0, 0
		for name := range cluster.processes {
			if include(name) {
				total += cluster.meter.bytes[name]
				count++
			}
		}
		return float64(total) / float64(max(count, 1)) / seconds
	}
	return trafficRates{
		balancer: mean(func(name model.NodeName) bool {
			return cluster.nodes[name] != nil && cluster.nodes[name].reporter == nil
		}),
		agent: mean(func(name model.NodeName) bool {
			return cluster.nodes[name] != nil && cluster.nodes[name].reporter != nil
		}),
		relay:  mean(func(name model.NodeName) bool { return cluster.relays[name] != nil }),
		leader: mean(func(name model.NodeName) bool { return cluster.leader() != nil && cluster.leader().name == name }),
	}
}

// TestControlBudget measures a cluster of the size that users run: two services of 14 and 4 targets
// in three zones, and a change every 2 s. The traffic of balancers and agents must stay within the
// budget.
func TestControlBudget(t *testing.T) {
	t.Parallel()
	rates := measureTraffic(t, budgetLayout{zones: 3, balancers: 6, services: []int{14, 4}, changeInterval: 2 * time.Second})
	t.Logf("bytes per second: balancer %.0f, agent %.0f, relay %.0f, leader %.0f", rates.balancer, rates.agent, rates.relay, rates.leader)
	require.Less(t, rates.balancer, float64(controlTrafficBudget))
	require.Less(t, rates.agent, float64(controlTrafficBudget))
}

// BenchmarkControlBytes measures how the traffic per second grows with the rate of changes and with
// the numbers of balancers, targets and services.
func BenchmarkControlBytes(b *testing.B) {
	usual := budgetLayout{zones: 3, balancers: 6, services: []int{14, 4}, changeInterval: 2 * time.Second}
	vary := func(change func(layout *budgetLayout)) budgetLayout {
		layout := usual
		change(&layout)
		return layout
	}
	cases := []struct {
		name   string
		layout budgetLayout
	}{
		{name: "usual", layout: usual},
		{name: "change every 1s", layout: vary(func(layout *budgetLayout) { layout.changeInterval = time.Second })},
		{name: "change every 4s", layout: vary(func(layout *budgetLayout) { layout.changeInterval = 4 * time.Second })},
		{name: "change every 20s", layout: vary(func(layout *budgetLayout) { layout.changeInterval = 20 * time.Second })},
		{name: "24 balancers", layout: vary(func(layout *budgetLayout) { layout.balancers = 24 })},
		{name: "services of 28 and 8", layout: vary(func(layout *budgetLayout) { layout.services = []int{28, 8} })},
		{name: "4 services of 14", layout: vary(func(layout *budgetLayout) { layout.services = []int{14, 14, 14, 14} })},
		{name: "12 services of 14", layout: vary(func(layout *budgetLayout) { layout.services = []int{14, 14, 14, 14, 14, 14, 14, 14, 14, 14, 14, 14} })},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			for b.Loop() {
				rates := measureTraffic(b, test.layout)
				b.ReportMetric(rates.balancer, "balancer-B/s")
				b.ReportMetric(rates.agent, "agent-B/s")
				b.ReportMetric(rates.relay, "relay-B/s")
				b.ReportMetric(rates.leader, "leader-B/s")
			}
		})
	}
}

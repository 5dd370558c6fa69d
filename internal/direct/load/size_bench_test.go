package load

import (
	"fmt"
	"testing"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/gobstream"
	"merlinpaddle/internal/model"
)

// targetsPerBalancer is the number of targets at which each balancer of the benchmark has open
// requests.
const targetsPerBalancer = 10

// fixedCapacity gives every service and pool the same capacity.
type fixedCapacity int

// ServiceCapacity implements Capacities.
func (capacity fixedCapacity) ServiceCapacity(directory.Token) (string, int) {
	return "feed", int(capacity)
}

// PoolCapacity implements PoolCapacities.
func (capacity fixedCapacity) PoolCapacity(directory.Token) (directory.Pool, int) {
	return directory.Pool{Service: "feed"}, int(capacity)
}

// countingSender counts the bytes that reports take as datagrams.
type countingSender struct {
	encoders *gobstream.Encoders
	bytes    int
	messages int
}

// Send implements Sender.
func (sender *countingSender) Send(nodes []model.NodeName, report Report) {
	content, err := sender.encoders.Encode(report)
	if err != nil {
		return
	}
	sender.bytes += len(content) * len(nodes)
	sender.messages += len(nodes)
}

// BenchmarkCollectorRound measures one round of a member: receiving the reports of its balancers
// and sending sums and totals, without the sockets.
func BenchmarkCollectorRound(b *testing.B) {
	for _, size := range []struct{ balancers, targets int }{{15, 150}, {50, 600}, {50, 3000}} {
		b.Run(fmt.Sprintf("balancers=%d/targets=%d", size.balancers, size.targets), func(b *testing.B) {
			sender := &countingSender{encoders: gobstream.NewEncoders()}
			members := []model.NodeName{"m0", "m1", "m2", "m3", "m4", "m5"}
			collector := NewCollector("m0", CollectorOptions{
				Interval: interval, Members: func() []model.NodeName { return members }, Capacities: fixedCapacity(1),
			}, sender, nil)
			collector.demand.wantedLocallyAt = start
			report := func(from, targets int) Report {
				var result Report
				for token := range targets {
					result.Entries = append(result.Entries, Entry{Token: directory.Token((from*7+token)%size.targets + 1), Open: 2})
				}
				result.Entries.sort()
				return result
			}
			for member := range members[1:] {
				part := report(member, size.targets)
				part.Scope = ScopeFollowers
				collector.applyReport(members[member+1], part, start)
			}
			reports := make([]Report, size.balancers)
			for balancer := range reports {
				reports[balancer] = report(balancer, targetsPerBalancer)
			}
			b.ReportAllocs()
			for b.Loop() {
				for balancer, sent := range reports {
					collector.applyReport(model.NodeName(fmt.Sprint("b", balancer)), sent, start)
				}
				collector.sumReports()
				collector.demand.observe(collector.utilization(), start)
				collector.sendSums(start)
			}
			b.ReportMetric(float64(sender.bytes)/float64(sender.messages), "bytes/message")
		})
	}
}

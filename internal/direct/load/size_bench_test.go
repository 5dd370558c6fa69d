package load

import (
	"fmt"
	"testing"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/gobstream"
	"merlinpaddle/internal/model"
)

// openAtEach is the number of targets at which a balancer of the benchmarks has open
// requests.
const openAtEach = 10

// capacityOf has the same capacity for every service.
type capacityOf int

// ServiceCapacity implements Capacities.
func (capacity capacityOf) ServiceCapacity(directory.Token) (string, int) {
	return "feed", int(capacity)
}

// PoolCapacity implements PoolCapacities.
func (capacity capacityOf) PoolCapacity(directory.Token) (directory.Pool, int) {
	return directory.Pool{Service: "feed"}, int(capacity)
}

// discard counts the bytes of reports as datagrams carry them.
type discard struct {
	encoders *gobstream.Encoders
	bytes    int
	messages int
}

// Tell implements Outlet.
func (outlet *discard) Send(nodes []model.NodeName, report Report) {
	content, err := outlet.encoders.Encode(report)
	if err != nil {
		return
	}
	outlet.bytes += len(content) * len(nodes)
	outlet.messages += len(nodes)
}

// BenchmarkCollectorRound shows what one round costs a member, whose balancers
// report and are told, without the sockets.
func BenchmarkCollectorRound(b *testing.B) {
	for _, size := range []struct{ balancers, targets int }{{15, 150}, {50, 600}, {50, 3000}} {
		b.Run(fmt.Sprintf("balancers=%d/targets=%d", size.balancers, size.targets), func(b *testing.B) {
			outlet := &discard{encoders: gobstream.NewEncoders()}
			members := []model.NodeName{"m0", "m1", "m2", "m3", "m4", "m5"}
			collector := NewCollector("m0", CollectorOptions{
				Interval: interval, Members: func() []model.NodeName { return members }, Capacities: capacityOf(1),
			}, outlet, nil)
			collector.demand.foundAt = start
			report := func(from, targets int) Report {
				var told Report
				for token := range targets {
					told.Entries = append(told.Entries, Entry{Token: directory.Token((from*7+token)%size.targets + 1), Open: 2})
				}
				told.Entries.sort()
				return told
			}
			for member := range members[1:] {
				part := report(member, size.targets)
				part.Scope = ScopeFollowers
				collector.take(members[member+1], part, start)
			}
			reports := make([]Report, size.balancers)
			for balancer := range reports {
				reports[balancer] = report(balancer, openAtEach)
			}
			b.ReportAllocs()
			for b.Loop() {
				for balancer, told := range reports {
					collector.take(model.NodeName(fmt.Sprint("b", balancer)), told, start)
				}
				collector.addUp()
				collector.demand.observe(collector.utilization(), start)
				collector.tell(start)
			}
			b.ReportMetric(float64(outlet.bytes)/float64(outlet.messages), "bytes/message")
		})
	}
}

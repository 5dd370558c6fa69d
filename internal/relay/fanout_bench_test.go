package relay

import (
	"fmt"
	"testing"
	"time"

	"merlinpaddle/internal/model"
)

// BenchmarkHeartbeat measures the cost of one heartbeat at a relay with many nodes: to receive it,
// answer it and include it in reports. Each heartbeat is processed in a run of its own, as when
// the nodes' heartbeats are spread over time.
func BenchmarkHeartbeat(b *testing.B) {
	for _, count := range []int{200, 1000, 2000} {
		b.Run(fmt.Sprintf("%d nodes", count), func(b *testing.B) {
			names := balancerNames(count)
			harness := newRelayHarness()
			for range 4 {
				harness.sendHeartbeats(7, names...)
				harness.run(true)
			}
			step := testStep * 10 / 1000
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				harness.now = harness.now.Add(step)
				harness.sendHeartbeats(model.Revision(7), names[index%count])
				harness.dispatcher.Reconcile(harness.now)
				harness.relay.Reconcile(harness.now)
				harness.acknowledge(harness.mailbox.Outbox.Drain())
			}
		})
	}
}

// BenchmarkArrival measures the cost per node when all nodes of another relay move to this one
// within one report interval.
func BenchmarkArrival(b *testing.B) {
	for _, count := range []int{200, 1000, 2000} {
		b.Run(fmt.Sprintf("%d nodes", count), func(b *testing.B) {
			names := balancerNames(count)
			for b.Loop() {
				harness := newRelayHarness()
				harness.run(true)
				step := testStep * 10 / time.Duration(count)
				for _, name := range names {
					harness.now = harness.now.Add(step)
					harness.sendHeartbeats(7, name)
					harness.dispatcher.Reconcile(harness.now)
					harness.relay.Reconcile(harness.now)
					harness.acknowledge(harness.mailbox.Outbox.Drain())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/node")
		})
	}
}

package flow_test

import (
	"runtime"
	"testing"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// BenchmarkOwnersMemory reports the heap memory of an open flow and of an assignment at a target.
func BenchmarkOwnersMemory(b *testing.B) {
	const flows = 50000
	const buckets = 896
	for b.Loop() {
		empty := heapBytes()
		owned := flow.NewOwnedFlows(flow.OwnedFlowsOptions{MaximumFlows: flows})
		for number := range flows {
			tuple := numberedFlow(number)
			owned.Open(start, routing.BucketOf(routing.FlowHash(tuple), buckets), tuple, 1)
		}
		withFlows := heapBytes()
		for number := range flows {
			tuple := numberedFlow(flows + number)
			owned.Assign(start, routing.BucketOf(routing.FlowHash(tuple), buckets), tuple, model.TargetID(2), 1)
		}
		withAssignments := heapBytes()
		b.ReportMetric((withFlows-empty)/flows, "B/flow")
		b.ReportMetric((withAssignments-withFlows)/flows, "B/assignment")
		runtime.KeepAlive(owned)
	}
}

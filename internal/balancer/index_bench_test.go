package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

// indexBenchConfiguration returns a configuration with targets spread evenly over
// services, and model.BucketsPerTarget buckets for each target.
func indexBenchConfiguration(services, targets int) *model.Configuration {
	configuration := model.NewConfiguration()
	configuration.Revision = 1
	for number := range targets {
		id, service := model.TargetID(number+1), model.ServiceID(number%services+1)
		address := netip.AddrFrom4([4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)})
		configuration.Targets[id] = model.Target{ID: id, Service: service, Agent: netip.AddrPortFrom(address, 6081), Phase: model.PhaseServing}
	}
	for number := range services {
		id := model.ServiceID(number + 1)
		address := netip.AddrFrom4([4]byte{192, byte(id >> 16), byte(id >> 8), byte(id)})
		configuration.Services[id] = model.Service{ID: id, Protocol: model.ProtocolQUIC, Address: netip.AddrPortFrom(address, 443), Limits: model.DefaultLimits()}
		buckets := model.BucketsPerTarget * (targets/services + 1)
		configuration.Buckets[id] = &model.BucketTable{Service: id, Heads: make([]model.TargetID, buckets), Alternates: make([]model.TargetID, buckets)}
	}
	return configuration
}

// BenchmarkIndex measures the time and the heap that building the index takes, which a
// configuration change costs a balancer in addition to applying it. docs/CAPACITY.md
// derives its growth rates from these figures.
func BenchmarkIndex(b *testing.B) {
	for _, size := range []struct{ services, targets int }{{600, 5125}, {1200, 10250}, {2400, 20500}, {4800, 41000}} {
		b.Run(fmt.Sprintf("services=%d,targets=%d", size.services, size.targets), func(b *testing.B) {
			configuration := indexBenchConfiguration(size.services, size.targets)
			limits := NewLimits(0)
			before := heapInUse()
			index := newIndex(startTime, configuration, nil, limits)
			indexBytes := heapInUse() - before
			for b.Loop() {
				index = newIndex(startTime, configuration, index, limits)
			}
			require.Len(b, index.targets, size.targets)
			b.ReportMetric(indexBytes/1e6, "heap-MB")
		})
	}
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

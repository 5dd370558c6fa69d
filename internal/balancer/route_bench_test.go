package balancer

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/routing"
)

const (
	// benchmarkFlows is the number of flows that one balancer is expected to cache.
	benchmarkFlows = 500_000
	// benchmarkCacheCapacity is large enough that even cache sets to which more flows
	// than the average hash evict nothing.
	benchmarkCacheCapacity = 1_000_000
)

// benchmarkSource returns the source address of the flow with a number.
func benchmarkSource(number int) netip.AddrPort {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 0x0a000000+uint32(number>>8))
	return netip.AddrPortFrom(netip.AddrFrom4(address), uint16(1024+number&0xff))
}

// filledRouter returns a router whose cache holds benchmarkFlows flows, and its index.
func filledRouter(t testing.TB) (*Router, *Index) {
	t.Helper()
	limits := NewLimits(2000)
	router := NewRouter(flow.NewCache(benchmarkCacheCapacity), limits)
	configuration := testConfiguration()
	index := newIndex(startTime, configuration, nil, limits)
	fillCache(router.cache, configuration)
	return router, index
}

// fillCache inserts benchmarkFlows flows into the cache, each owned by the alternate of
// its bucket.
func fillCache(cache *flow.Cache, configuration *model.Configuration) {
	table := configuration.Buckets[quicService]
	for number := range benchmarkFlows {
		tuple := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: benchmarkSource(number), Destination: quicAddress}
		hash := routing.FlowHash(tuple)
		row := table.Bucket(routing.BucketOf(hash, table.Count()))
		cache.Insert(hash, tuple, row.Alternate)
	}
}

// BenchmarkRoute measures the routing decision of one balancer that has
// 500,000 flows in its cache, for packets of random flows on several threads.
// "cpu-ns/op" is the processor time of one decision.
func BenchmarkRoute(b *testing.B) {
	router, index := filledRouter(b)
	for _, workers := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			hits := runOnThreads(b, workers, func(worker, count int) int64 {
				encapsulated := newBenchmarkPacket()
				return routeRandom(b, router, index, encapsulated, uint64(worker)<<32, count)
			})
			b.ReportMetric(float64(hits)/float64(b.N), "cache-hits/op")
			b.ReportMetric(float64(router.cache.Len()), "flows")
		})
	}
}

// runOnThreads spreads b.N operations over threads, reports the processor time per
// operation, and returns the sum of the results of run.
func runOnThreads(b *testing.B, threads int, run func(thread, count int) int64) int64 {
	b.ReportAllocs()
	var total, processorTime atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for thread := range threads {
		count := b.N / threads
		if thread == 0 {
			count += b.N % threads
		}
		group.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			began := threadTime(b)
			total.Add(run(thread, count))
			processorTime.Add(int64(threadTime(b) - began))
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(processorTime.Load())/float64(b.N), "cpu-ns/op")
	return total.Load()
}

// newBenchmarkPacket returns an ingress packet of an established flow whose chain has
// enough memory for every row.
func newBenchmarkPacket() *packet.Encapsulated {
	encapsulated := ingressPacket(model.ProtocolUDP, quicAddress, quicShort)
	encapsulated.Chain = make([]model.TargetID, 0, packet.MaximumChain)
	return encapsulated
}

// routeRandom routes count packets of random cached flows, and returns the number of
// cache hits. A hit enters the chain at position 1, the alternate.
func routeRandom(b *testing.B, router *Router, index *Index, encapsulated *packet.Encapsulated, first uint64, count int) int64 {
	hits := int64(0)
	for sequence := first; sequence < first+uint64(count); sequence++ {
		// Fibonacci hashing: the multiplier is 2^64 divided by the golden ratio.
		number := int(sequence * 0x9E3779B97F4A7C15 >> 32 % benchmarkFlows)
		encapsulated.Flow.Protocol = model.ProtocolUDP
		encapsulated.Flow.Source = benchmarkSource(number)
		if _, verdict := router.Route(startTime, index, encapsulated); verdict != VerdictForward {
			b.Errorf("packet of flow %d: %s", number, verdict)
		}
		if encapsulated.Position == 1 {
			hits++
		}
	}
	return hits
}

// BenchmarkNewFlow measures the cost of a new flow, without its later packets: the
// opening packet, which misses the cache and goes through the rate limits, and the hint
// of the agent that opened the flow. The cache is full of other flows.
func BenchmarkNewFlow(b *testing.B) {
	configuration := testConfiguration()
	service := configuration.Services[quicService]
	service.Limits.NewFlowsPerSecond = 1e9
	service.Limits.NewFlowBurst = 1 << 30
	configuration.Services[quicService] = service
	limits := NewLimits(2000)
	index := newIndex(startTime, configuration, nil, limits)
	router := NewRouter(flow.NewCache(benchmarkFlows), limits)
	fillCache(router.cache, configuration)
	encapsulated := newBenchmarkPacket()
	hint := ingressPacket(model.ProtocolQUIC, quicAddress, nil)
	hint.Service = quicService
	now := startTime
	number := benchmarkFlows
	b.ReportAllocs()
	for b.Loop() {
		number++
		// Enough time for the limiters to always have tokens.
		now = now.Add(time.Millisecond)
		encapsulated.Flow.Protocol = model.ProtocolUDP
		encapsulated.Flow.Source = benchmarkSource(number)
		encapsulated.Payload = quicInitial
		target, verdict := router.Route(now, index, encapsulated)
		if verdict != VerdictForward {
			b.Fatalf("opening packet of flow %d: %s", number, verdict)
		}
		hint.Flow = encapsulated.Flow
		hint.Owner = encapsulated.Chain[0]
		if verdict := router.Hint(index, target.agent.Addr(), hint); verdict != VerdictHint {
			b.Fatalf("hint about flow %d: %s", number, verdict)
		}
	}
}

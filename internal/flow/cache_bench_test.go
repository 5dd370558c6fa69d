package flow_test

import (
	"fmt"
	"runtime"
	"testing"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// cacheSizes are the numbers of flows at which the memory of the cache is measured, to show how it
// grows with them.
var cacheSizes = []int{100_000, 250_000, 500_000, 1_000_000}

// filledCache returns a cache made for the given number of flows, into which as many were inserted,
// and the heap memory that it uses, in bytes.
func filledCache(flows int) (cache *flow.Cache, heapBytes uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cache = flow.NewCache(flows)
	for number := range flows {
		inserted := numberedFlow(number)
		cache.Insert(routing.FlowHash(inserted), inserted, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return cache, after.HeapAlloc - before.HeapAlloc
}

// BenchmarkCache measures lookups and inserts of random flows in caches into which as many flows
// were inserted as they are made for. "B/flow" is the memory of a cache divided by the number of
// flows in it, and "held" is the fraction of the inserted flows that are in it.
func BenchmarkCache(b *testing.B) {
	for _, flows := range cacheSizes {
		cache, heapBytes := filledCache(flows)
		b.Run(fmt.Sprintf("lookup/flows=%d", flows), func(b *testing.B) {
			benchmarkRandomFlows(b, flows, func(hash uint64, tuple model.FiveTuple) { cache.Lookup(hash, tuple) })
			b.ReportMetric(float64(heapBytes)/float64(cache.Len()), "B/flow")
			b.ReportMetric(float64(cache.Len())/float64(flows), "held")
		})
		b.Run(fmt.Sprintf("insert/flows=%d", flows), func(b *testing.B) {
			benchmarkRandomFlows(b, flows, func(hash uint64, tuple model.FiveTuple) { cache.Insert(hash, tuple, 2) })
		})
	}
}

// benchmarkRandomFlows calls use with flows in pseudorandom order.
func benchmarkRandomFlows(b *testing.B, flows int, use func(hash uint64, tuple model.FiveTuple)) {
	b.ReportAllocs()
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		// The multiplier is 2^64 divided by the golden ratio; it spreads consecutive numbers.
		tuple := numberedFlow(int(sequence * 0x9E3779B97F4A7C15 >> 32 % uint64(flows)))
		use(routing.FlowHash(tuple), tuple)
	}
}

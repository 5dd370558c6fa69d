// Package capacity has those benchmarks behind the slopes (costs per service, target or flow) of
// docs/CAPACITY.md that need the state of many services.
package capacity

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/state"
)

// benchmarkServices are the numbers of services, of nine targets each. More services take minutes
// to build, because each command copies the map of targets.
var benchmarkServices = []int{300, 600, 1200, 2400}

const (
	benchmarkTargets = 9
	bytesPerMegabyte = 1e6
)

// forEachPopulation runs a sub-benchmark for each number of services.
func forEachPopulation(b *testing.B, run func(b *testing.B, population population)) {
	for _, services := range benchmarkServices {
		b.Run(fmt.Sprintf("services=%d,targets=%d", services, services*benchmarkTargets), func(b *testing.B) {
			run(b, population{
				services:          services,
				targetsPerService: benchmarkTargets,
				zones:             []string{"a", "b", "c", "d"},
			})
		})
	}
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// sharedSnapshots holds the snapshots that benchmarks share, by number of services, because building
// one applies a command for each service.
var sharedSnapshots = make(map[int][]byte)

func mustSnapshot(b *testing.B, population population) []byte {
	b.Helper()
	services := population.services
	if _, found := sharedSnapshots[services]; !found {
		snapshot, _, err := population.snapshot()
		if err != nil {
			b.Fatal(err)
		}
		sharedSnapshots[services] = snapshot
	}
	return sharedSnapshots[services]
}

// restoreMachine returns a state machine restored from a snapshot, and the heap bytes that it uses.
func restoreMachine(b *testing.B, snapshot []byte) (*state.Machine, float64) {
	b.Helper()
	before := heapBytes()
	machine := state.NewMachine()
	if err := machine.Restore(snapshot); err != nil {
		b.Fatal(err)
	}
	return machine, heapBytes() - before
}

// BenchmarkStateSnapshot measures how long a member takes to encode its snapshot, the snapshot's
// bytes, and the heap bytes of the state.
func BenchmarkStateSnapshot(b *testing.B) {
	forEachPopulation(b, func(b *testing.B, population population) {
		machine, heap := restoreMachine(b, mustSnapshot(b, population))
		size := 0
		for b.Loop() {
			snapshot, err := machine.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			size = len(snapshot)
		}
		b.ReportMetric(float64(size)/bytesPerMegabyte, "snapshot-MB")
		b.ReportMetric(heap/bytesPerMegabyte, "heap-MB")
	})
}

// BenchmarkStateRestore measures how long a restarted member takes to restore a snapshot.
func BenchmarkStateRestore(b *testing.B) {
	forEachPopulation(b, func(b *testing.B, population population) {
		snapshot := mustSnapshot(b, population)
		for b.Loop() {
			if err := state.NewMachine().Restore(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkStateChange measures how long a member takes to encode and apply a change of a service,
// and the bytes of its log entry.
func BenchmarkStateChange(b *testing.B) {
	forEachPopulation(b, func(b *testing.B, population population) {
		machine, _ := restoreMachine(b, mustSnapshot(b, population))
		record, _ := machine.View().Service(state.ServiceKey{Tenant: tenantName, Name: serviceName(0)})
		index, base, bytes := model.Revision(population.services+10), record.Revision, 0
		for b.Loop() {
			index++
			command, err := population.put(0)
			if err != nil {
				b.Fatal(err)
			}
			command.Base = base
			encoded, err := state.EncodeCommand(command)
			if err != nil {
				b.Fatal(err)
			}
			result, err := state.DecodeResult(machine.Apply(index, time.Now(), encoded))
			if err != nil || result.Err() != nil {
				b.Fatal(err, result.Err())
			}
			base, bytes = result.Revision, len(encoded)
		}
		b.ReportMetric(float64(bytes), "log-bytes")
	})
}

// BenchmarkUpdateSnapshot measures the cost of starting nodes: a relay encodes the full
// configuration once for all waiting nodes, and each node decodes it.
func BenchmarkUpdateSnapshot(b *testing.B) {
	forEachPopulation(b, func(b *testing.B, population population) {
		machine, _ := restoreMachine(b, mustSnapshot(b, population))
		update := protocol.Update{Snapshot: machine.Configuration()}
		encoder := protocol.NewUpdateEncoder()
		packed, err := encoder.Encode(update)
		if err != nil {
			b.Fatal(err)
		}
		packed = encoder.WithDescriptions(packed)
		b.Run("encode", func(b *testing.B) {
			for b.Loop() {
				if _, err := encoder.Encode(update); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(packed.Payload))/bytesPerMegabyte, "payload-MB")
		})
		b.Run("decode", func(b *testing.B) {
			decoder := protocol.NewUpdateDecoder()
			for b.Loop() {
				if _, err := decoder.Decode(packed); err != nil {
					b.Fatal(err)
				}
			}
		})
		// A decoded configuration has no cached sum of its rows, so the digest is computed from every
		// row, as nodes do periodically.
		b.Run("digest", func(b *testing.B) {
			decoded, err := protocol.NewUpdateDecoder().Decode(packed)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				decoded.Snapshot.Digest()
			}
		})
	})
}

// benchmarkFlow returns the number-th flow.
func benchmarkFlow(number int) model.FiveTuple {
	source := netip.AddrFrom4([4]byte{10, byte(number >> 24), byte(number >> 16), byte(number >> 8)})
	return model.FiveTuple{
		Protocol:    model.ProtocolTCP,
		Source:      netip.AddrPortFrom(source, 1024+uint16(number&0xff)),
		Destination: netip.MustParseAddrPort("192.0.2.1:443"),
	}
}

// BenchmarkFlowCache measures a balancer's flow cache: heap bytes per flow when it is full, and the
// time to insert a new flow.
func BenchmarkFlowCache(b *testing.B) {
	for _, flows := range []int{31_250, 125_000, 500_000, 2_000_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			before := heapBytes()
			cache := flow.NewCache(flows)
			for number := range flows {
				tuple := benchmarkFlow(number)
				cache.Insert(routing.FlowHash(tuple), tuple, 1)
			}
			heap := heapBytes() - before
			number := flows
			for b.Loop() {
				tuple := benchmarkFlow(number)
				cache.Insert(routing.FlowHash(tuple), tuple, 1)
				number++
			}
			b.ReportMetric(heap/float64(flows), "heap-B/flow")
			b.ReportMetric(float64(cache.Len())/float64(flows), "kept")
		})
	}
}

// BenchmarkOwners measures an agent's table of owned flows: heap bytes per flow, and the time to
// open and close one.
func BenchmarkOwners(b *testing.B) {
	const buckets = 64
	for _, flows := range []int{800, 3200, 12_800, 51_200} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			before := heapBytes()
			ownedFlows := flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: 1, Target: 1})
			now := time.Now()
			open := func(number int) model.BucketIndex {
				bucket := model.BucketIndex(number % buckets)
				if ownedFlows.Open(now, bucket, benchmarkFlow(number), 1) != flow.OpenNew {
					b.Fatal("a flow was not opened")
				}
				return bucket
			}
			for number := range flows {
				open(number)
			}
			heap := heapBytes() - before
			number := flows
			for b.Loop() {
				ownedFlows.Close(open(number), benchmarkFlow(number))
				number++
			}
			b.ReportMetric(heap/float64(flows), "heap-B/flow")
		})
	}
}

package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// buildConfiguration returns a configuration with the given number of services, and with the targets
// spread evenly over them. The number of targets should be a multiple of that of services: the
// remainder is left out.
func buildConfiguration(services, targets int) *Configuration {
	configuration := NewConfiguration()
	configuration.Revision = 1
	perService := targets / services
	for index := range services {
		service := ServiceID(index + 1)
		address := netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)})
		configuration.Services[service] = Service{
			ID: service, Tenant: "tenant", Name: fmt.Sprintf("service-%d", index),
			Protocol: ProtocolQUIC, Address: netip.AddrPortFrom(address, 443), Limits: DefaultLimits(),
		}
		buckets := perService * BucketsPerTarget
		table := &BucketTable{Service: service, Heads: make([]TargetID, buckets), Alternates: make([]TargetID, buckets)}
		for bucket := range buckets {
			table.Heads[bucket] = TargetID(index*perService + bucket%perService + 1)
			table.Alternates[bucket] = TargetID(index*perService + (bucket+1)%perService + 1)
		}
		configuration.Buckets[service] = table
		for offset := range perService {
			target := TargetID(index*perService + offset + 1)
			configuration.Targets[target] = Target{
				ID: target, Service: service, Name: fmt.Sprintf("target-%d", target), Zone: "zone-1",
				Agent:   netip.AddrPortFrom(address, 6081),
				Backend: netip.AddrPortFrom(address, 8080), Phase: PhaseServing,
			}
		}
	}
	return configuration
}

// randomDelta returns a delta that adds, replaces or removes one target, and that changes one bucket
// of a random service or removes the service, if it exists.
func randomDelta(random *rand.Rand, configuration *Configuration) Delta {
	delta := Delta{From: configuration.Revision, To: configuration.Revision + 1}
	target := TargetID(random.IntN(40) + 1)
	if existing, exists := configuration.Targets[target]; exists && random.IntN(2) == 0 {
		delta.RemovedTargets = []TargetID{existing.ID}
	} else {
		delta.Targets = []Target{{ID: target, Service: 1, Name: fmt.Sprint(random.IntN(9)), Phase: PhaseServing}}
	}
	service := ServiceID(random.IntN(4) + 1)
	if _, exists := configuration.Buckets[service]; !exists {
		return delta
	}
	delta.Buckets = []BucketChange{{Service: service, Rows: []Bucket{{
		Index: BucketIndex(random.IntN(64)), Head: target, Alternate: TargetID(random.IntN(9)),
		Earlier: []EarlierTarget{{Target: 3, MovedAt: delta.To}},
	}}}}
	if random.IntN(10) == 0 {
		delta.Buckets = nil
		delta.RemovedServices = []ServiceID{service}
	}
	return delta
}

func TestIncrementalDigestEqualsRecomputedDigest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	configuration := buildConfiguration(4, 40)
	for range 500 {
		next, err := configuration.Apply(randomDelta(random, configuration))
		require.NoError(t, err)
		fresh := &Configuration{Revision: next.Revision, Services: next.Services, Targets: next.Targets, Buckets: next.Buckets}
		require.Equal(t, fresh.Digest(), next.Digest())
		configuration = next
	}
}

func TestApplyDoesNotModifyTheReceiver(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	configuration := buildConfiguration(4, 40)
	for range 100 {
		targets := maps.Clone(configuration.Targets)
		before := configuration.Digest()
		next, err := configuration.Apply(randomDelta(random, configuration))
		require.NoError(t, err)
		fresh := &Configuration{Revision: configuration.Revision, Services: configuration.Services, Targets: configuration.Targets, Buckets: configuration.Buckets}
		require.Equal(t, before, fresh.Digest())
		require.Equal(t, targets, configuration.Targets)
		require.NotEqual(t, before, next.Digest())
		configuration = next
	}
}

func TestApplyRefusesDeltaWithGap(t *testing.T) {
	configuration := buildConfiguration(1, 2)
	cases := []struct {
		name  string
		delta Delta
	}{
		{"older base", Delta{From: 0, To: 1}},
		{"later base", Delta{From: 2, To: 3}},
		{"rows of an unknown service", Delta{From: 1, To: 2, Buckets: []BucketChange{{Service: 9, Rows: []Bucket{{}}}}}},
		{"bucket out of range", Delta{From: 1, To: 2, Buckets: []BucketChange{{Service: 1, Rows: []Bucket{{Index: 4096}}}}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := configuration.Apply(test.delta)
			require.ErrorIs(t, err, ErrDeltaGap)
		})
	}
}

// BenchmarkConfiguration measures, for several sizes, the heap memory of a configuration and the time
// to apply a change of one target. docs/CAPACITY.md derives its growth rates from these figures.
func BenchmarkConfiguration(b *testing.B) {
	for _, size := range []struct{ services, targets int }{{600, 5125}, {1200, 10250}, {2400, 20500}, {4800, 41000}} {
		b.Run(fmt.Sprintf("services=%d,targets=%d", size.services, size.targets), func(b *testing.B) {
			before := heapBytes()
			configuration := buildConfiguration(size.services, size.targets)
			configuration.Seal()
			used := heapBytes() - before
			b.ResetTimer()
			for index := range b.N {
				target := configuration.Targets[TargetID(index%1000+1)]
				target.Incarnation++
				delta := Delta{From: configuration.Revision, To: configuration.Revision + 1, Targets: []Target{target}}
				next, err := configuration.Apply(delta)
				if err != nil {
					b.Fatal(err)
				}
				configuration = next
			}
			b.ReportMetric(float64(used)/1e6, "heap-MB")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}

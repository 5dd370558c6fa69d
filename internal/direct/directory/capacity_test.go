package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

// TestCapacityIndexFollowsChanges compares an index that applies changes with a new index that
// reads everything, across restored snapshots and evacuations.
func TestCapacityIndexFollowsChanges(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(12))
	properties.Property("capacities", prop.ForAll(func(seed uint64) bool {
		runner := newRunner(t)
		incremental := NewCapacityIndex(runner.directory)
		agree := true
		applyRandomCommands(runner, seed, 80, func(random *rand.Rand) {
			switch random.IntN(10) {
			case 0:
				runner.orderEvacuation([]string{"", "a"}[random.IntN(2)], random.IntN(2) == 0, runner.lastOrderRevision())
			case 1:
				snapshot, err := runner.directory.Snapshot()
				require.NoError(t, err)
				require.NoError(t, runner.directory.Restore(snapshot))
			case 2, 3, 4:
				return
			}
			fresh := NewCapacityIndex(runner.directory)
			for token := range runner.directory.nextToken + 1 {
				service, capacity := incremental.ServiceCapacity(token)
				pool, poolCapacity := incremental.PoolCapacity(token)
				wantedService, wantedCapacity := fresh.ServiceCapacity(token)
				wantedPool, wantedPoolCapacity := fresh.PoolCapacity(token)
				agree = agree && fmt.Sprint(service, capacity, pool, poolCapacity) == fmt.Sprint(wantedService, wantedCapacity, wantedPool, wantedPoolCapacity)
			}
		})
		return agree
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// BenchmarkCapacityAfterAChange measures a lookup after one of many targets changed.
func BenchmarkCapacityAfterAChange(b *testing.B) {
	for _, count := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			runner := newRunner(b)
			var targets []Target
			for number := range count {
				targets = append(targets, targetAt(TargetID(number+1), byte(number), 1, TargetReady))
			}
			runner.apply(Command{RegisterAll: &Registrations{Targets: targets}})
			index := NewCapacityIndex(runner.directory)
			change, err := EncodeCommand(Command{TargetHealth: &HealthChange{Aside: []Token{1}}})
			require.NoError(b, err)
			back, err := EncodeCommand(Command{TargetHealth: &HealthChange{Back: []Token{1}}})
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				runner.index++
				runner.directory.Apply(runner.index, time.Time{}, change)
				change, back = back, change
				index.ServiceCapacity(1)
			}
		})
	}
}

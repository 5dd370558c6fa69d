package registrar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// benchmarkTargets is the number of targets in benchmarks.
const benchmarkTargets = 3000

// newHarnessWithTargets returns a leader with benchmarkTargets registered targets.
func newHarnessWithTargets(b *testing.B) *harness {
	harness := newHarness(b)
	for id := range directory.TargetID(benchmarkTargets) {
		target := readyTarget(id+1, 1)
		target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 8080)
		data, err := directory.EncodeCommand(directory.Command{Register: &directory.Registration{Target: target}})
		require.NoError(b, err)
		harness.group.index++
		harness.group.directory.Apply(harness.group.index, harness.now, data)
	}
	return harness
}

// BenchmarkHealthOfManyTargets measures one Reconcile of the leader's health monitor when a
// twelfth of the targets renewed since the previous one.
func BenchmarkHealthOfManyTargets(b *testing.B) {
	harness := newHarnessWithTargets(b)
	next := directory.TargetID(0)
	b.ReportAllocs()
	for b.Loop() {
		for range benchmarkTargets / 12 {
			next = next%benchmarkTargets + 1
			harness.health.renewalTable.Put(next, harness.now)
		}
		harness.now = harness.now.Add(100 * time.Millisecond)
		harness.health.Reconcile(harness.now)
	}
}

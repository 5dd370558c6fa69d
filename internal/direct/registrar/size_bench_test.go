package registrar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// benchTargets is the number of targets of a member in benchmarks.
const benchTargets = 3000

// benchWithTargets returns a leader with benchTargets targets that renew.
func benchWithTargets(b *testing.B) *bench {
	made := newBench(b)
	for id := range directory.TargetID(benchTargets) {
		target := ready(id+1, 1)
		target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 8080)
		data, err := directory.EncodeCommand(directory.Command{Register: &directory.Registration{Target: target}})
		require.NoError(b, err)
		made.group.index++
		made.group.directory.Apply(made.group.index, made.now, data)
	}
	return made
}

// BenchmarkHealthOfManyTargets measures one look of the leader at its targets,
// of which a twelfth renewed since the last one.
func BenchmarkHealthOfManyTargets(b *testing.B) {
	made := benchWithTargets(b)
	next := directory.TargetID(0)
	b.ReportAllocs()
	for b.Loop() {
		for range benchTargets / 12 {
			next = next%benchTargets + 1
			made.health.renewed.Put(next, made.now)
		}
		made.now = made.now.Add(100 * time.Millisecond)
		made.health.Reconcile(made.now)
	}
}

package sim

import (
	"math"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunTwiceFindsRunsThatDiffer(t *testing.T) {
	var calls atomic.Uint64
	// Seed 70 mixes another number into its digest each time it is run.
	unstable := Scenario{Name: "unstable", Play: func(run *Run) {
		run.Trace.Add("test", "event", "")
		if run.Seed == 70 {
			run.Trace.Mix(calls.Add(1))
		}
	}}
	for _, workers := range []int{1, 4} {
		var seeds, different []uint64
		RunTwice(unstable, SeedRange{First: 1, Last: 200}, workers, func(first, second Result) bool {
			require.Equal(t, first.Seed, second.Seed)
			seeds = append(seeds, first.Seed)
			if !first.SameRun(second) {
				different = append(different, first.Seed)
			}
			return true
		})
		require.Len(t, seeds, 200)
		require.Equal(t, []uint64{70}, different)
	}
}

func TestRunTwiceAtTheEndOfTheRange(t *testing.T) {
	count := 0
	RunTwice(randomScenario(), SeedRange{First: math.MaxUint64 - 127, Last: math.MaxUint64}, 2, func(first, second Result) bool {
		count++
		return first.SameRun(second)
	})
	require.Equal(t, 128, count)
}

func TestSameRun(t *testing.T) {
	run := Execute(randomScenario(), 3)
	table := []struct {
		name   string
		change func(result *Result)
	}{
		{"digest", func(result *Result) { result.Digest++ }},
		{"events", func(result *Result) { result.Events++ }},
		{"virtual time", func(result *Result) { result.Elapsed++ }},
		{"violations", func(result *Result) { result.Violations = nil }},
	}
	require.True(t, run.SameRun(run))
	for _, row := range table {
		other := run
		row.change(&other)
		require.False(t, run.SameRun(other), row.name)
	}
}

func TestSeedRangeCount(t *testing.T) {
	require.EqualValues(t, 1, SeedRange{First: 7, Last: 7}.Count())
	require.EqualValues(t, 200, SeedRange{First: 1, Last: 200}.Count())
	require.EqualValues(t, uint64(math.MaxUint64), SeedRange{Last: math.MaxUint64}.Count())
}

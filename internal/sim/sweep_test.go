package sim

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/checker"
)

func TestParseSeedRange(t *testing.T) {
	table := []struct {
		text string
		want SeedRange
		fail bool
	}{
		{text: "1-200", want: SeedRange{1, 200}},
		{text: "7", want: SeedRange{7, 7}},
		{text: "18446744073709551610-18446744073709551615", want: SeedRange{math.MaxUint64 - 5, math.MaxUint64}},
		{text: "0-18446744073709551615", want: SeedRange{0, math.MaxUint64}},
		{text: "5-4", fail: true},
		{text: "18446744073709551616", fail: true},
		{text: "", fail: true},
		{text: "-3", fail: true},
		{text: "a-b", fail: true},
	}
	for _, row := range table {
		got, err := ParseSeedRange(row.text)
		require.Equal(t, row.fail, err != nil, row.text)
		require.Equal(t, row.want, got, row.text)
	}
}

// randomScenario returns a scenario of random events that violates an invariant for odd seeds and
// panics for seed 9.
func randomScenario() Scenario {
	return Scenario{Name: "drawing", Play: func(run *Run) {
		random := run.Random("draws")
		for range 10 {
			run.Scheduler.After(random.Exponential(time.Second), func() { run.Trace.Addf("test", "draw", "%d", random.Uint64()) })
		}
		run.Scheduler.RunFor(time.Minute)
		if run.Seed == 9 {
			panic("nine")
		}
		if run.Seed%2 == 1 {
			run.Report.Add(checker.InvariantProgress, run.Elapsed(), "odd seed")
		}
	}}
}

func collectSweep(seeds SeedRange, workers int) []Result {
	var results []Result
	Sweep([]Scenario{randomScenario()}, seeds, workers, func(result Result) bool {
		results = append(results, result)
		return true
	})
	return results
}

func TestSweepIsInOrderAndIndependentOfWorkers(t *testing.T) {
	withOneWorker := collectSweep(SeedRange{10, 150}, 1)
	withSevenWorkers := collectSweep(SeedRange{10, 150}, 7)
	require.Len(t, withOneWorker, 141)
	for index, result := range withOneWorker {
		require.EqualValues(t, 10+index, result.Seed)
		require.Equal(t, result.Digest, withSevenWorkers[index].Digest)
		require.Equal(t, result.Seed%2 == 1, result.Failed())
	}
	require.NotEqual(t, withOneWorker[0].Digest, withOneWorker[1].Digest)
}

func TestSweepAtTheEndOfTheRange(t *testing.T) {
	results := collectSweep(SeedRange{math.MaxUint64 - 99, math.MaxUint64}, 3)
	require.Len(t, results, 100)
	require.EqualValues(t, uint64(math.MaxUint64), results[99].Seed)
}

func TestSweepStopsWhenReportReturnsFalse(t *testing.T) {
	count := 0
	Sweep([]Scenario{randomScenario()}, SeedRange{0, math.MaxUint64}, 2, func(Result) bool {
		count++
		return count < 5
	})
	require.Equal(t, 5, count)
}

func TestPanicIsAViolation(t *testing.T) {
	result := Execute(randomScenario(), 9)
	require.True(t, result.Failed())
	require.Equal(t, checker.InvariantNoPanic, result.Violations[0].Invariant)
	require.Contains(t, result.Describe(), "seed 9")
	require.Contains(t, result.Describe(), "nine")
}

func TestDescriptionShowsTheEventsBeforeTheFirstViolation(t *testing.T) {
	result := Execute(Scenario{Name: "late", Play: func(run *Run) {
		for number := range 100 {
			run.Trace.Addf("test", "early", "number %d.", number)
		}
		run.Report.Add(checker.InvariantDrain, run.Elapsed(), "first")
		for number := range 100 {
			run.Trace.Addf("test", "later", "number %d.", number)
		}
		run.Report.Add(checker.InvariantInForce, run.Elapsed(), "second")
	}}, 4)
	text := result.Describe()
	for _, part := range []string{
		"scenario late, seed 4", "violated drain at virtual time 0s: first", "violated in-force",
		"number 99.", "merlinsim run --scenario late --seeds 4 --trace",
	} {
		require.Contains(t, text, part)
	}
	require.NotContains(t, text, "later")
	require.NotContains(t, text, "number 70.")
}

func TestViolationsArePartOfTheDigest(t *testing.T) {
	play := func(detail string) Scenario {
		return Scenario{Name: "same", Play: func(run *Run) { run.Report.Add(checker.InvariantDrain, 0, "%s", detail) }}
	}
	require.NotEqual(t, Execute(play("one"), 1).Digest, Execute(play("two"), 1).Digest)
}

package experiment

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/bench/audit"
)

func sampleAt(second float64, connections ...float64) Sample {
	sample := Sample{At: second}
	names := []string{"web-1", "web-2", "web-3"}
	for index, count := range connections {
		sample.Targets = append(sample.Targets, TargetSample{Service: "web", Target: names[index], Connections: count, Running: count})
	}
	return sample
}

func testResult() Result {
	samples := []Sample{sampleAt(1, 2, 2), sampleAt(2, 3, 1), sampleAt(6, 2, 2, 2)}
	return Result{
		Name: "test", Fleet: "fleets/demo.yaml", Started: time.Unix(0, 0).UTC(), Seconds: 10, LoadFactor: 1,
		Audit:     audit.Result{WeightedOffered: 10, WeightedDelivered: 9, Flows: audit.FlowAccount{Broken: 2}},
		Imbalance: imbalances(samples, []string{"web", "idle"}),
		Steps:     []StepRecord{{At: 2, Action: ActionKill}, {At: 2.1, Action: ActionDrain}, {At: 12, Action: ActionHeal}},
		Samples:   samples,
	}
}

func TestResultIsStoredAndReadBack(t *testing.T) {
	folder := t.TempDir()
	result := testResult()
	require.NoError(t, result.Write(folder))
	for _, name := range []string{tableFile, "connections-web.png", "imbalance-web.png", "requests-web.png", "connections-idle.png"} {
		require.FileExists(t, filepath.Join(folder, name))
	}
	read, err := Read(filepath.Join(folder, resultFile))
	require.NoError(t, err)
	require.Equal(t, result.Markdown(), read.Markdown())
	compared := Compare(result, read)
	require.Contains(t, compared, "| broken flows | 2 | 2 | 1.000 |")
	require.Contains(t, compared, "| weighted service | 0.9 | 0.9 | 1.000 |")
	_, err = Read(filepath.Join(folder, tableFile))
	require.ErrorContains(t, err, tableFile)
}

func TestImbalanceIsMaximumOverMean(t *testing.T) {
	measured := imbalances(testResult().Samples, []string{"web"})[0]
	require.Equal(t, Spread{Median: 1, P90: 1.5, Max: 1.5, Last: 1, Samples: 3}, measured.Connections)
}

func TestSplitAtGaps(t *testing.T) {
	cases := []struct {
		name  string
		at    []float64
		parts []int
	}{
		{"no samples", nil, nil},
		{"one sample", []float64{1}, []int{1}},
		{"no gap", []float64{1, 2, 3.5}, []int{3}},
		{"gaps", []float64{1, 2, 6, 7, 20}, []int{2, 2, 1}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			var series []point
			for _, at := range testCase.at {
				series = append(series, point{at: at})
			}
			var lengths []int
			for _, part := range splitAtGaps(series) {
				lengths = append(lengths, len(part))
			}
			require.Equal(t, testCase.parts, lengths)
		})
	}
}

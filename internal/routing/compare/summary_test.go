package compare_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/routing/compare"
)

// requestsMean is the figure that the tests compare.
func requestsMean(summary compare.Summary) float64 { return summary.RequestsMean }

func TestGapClosed(t *testing.T) {
	summaries := func(plain, product, best float64) []compare.Summary {
		return []compare.Summary{
			{Algorithm: compare.AlgorithmHashing, RequestsMean: plain},
			{Algorithm: compare.AlgorithmChain, RequestsMean: product},
			{Algorithm: compare.AlgorithmLeastRequests, RequestsMean: best},
		}
	}
	require.InDelta(t, 0.75, compare.GapClosed(summaries(3, 1.5, 1), requestsMean), 1e-9)
	require.InDelta(t, -0.5, compare.GapClosed(summaries(3, 4, 1), requestsMean), 1e-9, "worse than plain hashing")
	require.True(t, math.IsNaN(compare.GapClosed(summaries(1, 1, 1), requestsMean)), "no gap")
	require.True(t, math.IsNaN(compare.GapClosed(summaries(3, 2, 1)[:2], requestsMean)), "no baseline")
}

func TestSummarizeAddsCountsAndKeepsTheHighestQuantiles(t *testing.T) {
	run := func(broken uint64, median, highest, after float64) compare.Comparison {
		return compare.Comparison{Results: []compare.Result{{
			Algorithm:     compare.AlgorithmChain,
			BrokenPlanned: broken,
			FlowsSettled:  compare.Spread{Median: median, Max: highest},
			Changes:       []compare.ChangeResult{{Change: compare.TargetJoin, Flows: after}},
		}}}
	}
	summaries := compare.Summarize([]compare.Comparison{run(1, 1.02, 1.10, 1.04), run(2, 1.04, 1.05, 1.03)})
	require.Len(t, summaries, 1)
	summary := summaries[0]
	require.Equal(t, 2, summary.Runs)
	require.EqualValues(t, 3, summary.BrokenPlanned)
	require.InDelta(t, 1.03, summary.FlowsSettled.Median, 1e-9)
	require.InDelta(t, 1.10, summary.FlowsSettled.Max, 1e-9)
	require.InDelta(t, 1.04, summary.FlowsAfterChange[0].Flows, 1e-9)
	require.Contains(t, compare.Markdown(4, summaries), "| full chain | 3 | 0 |")
	require.Contains(t, compare.Markdown(4, summaries), "no gap")
	require.Empty(t, compare.Summarize(nil))
}

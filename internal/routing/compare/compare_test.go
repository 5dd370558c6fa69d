package compare_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/routing/compare"
)

// shortOptions returns options of a comparison that is short enough for every test run.
func shortOptions(targets int) compare.Options {
	options := compare.DefaultOptions(1, targets)
	options.FlowsPerSecond = 4
	options.WarmUp = 30 * time.Second
	options.ChangeInterval = 45 * time.Second
	options.SettledAfter = 30 * time.Second
	return options
}

// TestOnlyTheFullChainBreaksNoFlows checks that the full chain breaks no flow whose target lives,
// while with the same flows and changes every other algorithm without full knowledge breaks some.
func TestOnlyTheFullChainBreaksNoFlows(t *testing.T) {
	for _, targets := range []int{4, 14} {
		comparison, err := compare.Run(shortOptions(targets), compare.AllAlgorithms(), 3)
		require.NoError(t, err)
		chain, _ := comparison.Result(compare.AlgorithmChain)
		require.Zero(t, chain.Broken(), "%d targets", targets)
		require.NotZero(t, chain.BrokenOnDeadTarget, "flows of a dead target break with every algorithm")
		require.Zero(t, chain.LateOpenings)
		for _, name := range []compare.AlgorithmName{
			compare.AlgorithmHashing, compare.AlgorithmFlowTable, compare.AlgorithmTwoHop, compare.AlgorithmConnectionID,
		} {
			other, _ := comparison.Result(name)
			require.NotZero(t, other.Broken(), "%s at %d targets", name, targets)
		}
	}
}

func TestSameSeedGivesSameResults(t *testing.T) {
	first, err := compare.Run(shortOptions(4), compare.AllAlgorithms(), 1)
	require.NoError(t, err)
	second, err := compare.Run(shortOptions(4), compare.AllAlgorithms(), 3)
	require.NoError(t, err)
	require.Equal(t, first, second)
}

func TestValidateNamesTheInvalidField(t *testing.T) {
	tests := map[string]func(*compare.Options){
		"targets":         func(options *compare.Options) { options.Targets = 1 },
		"balancers":       func(options *compare.Options) { options.Balancers = 1 },
		"flows a second":  func(options *compare.Options) { options.FlowsPerSecond = 0 },
		"utilization":     func(options *compare.Options) { options.Utilization = 1 },
		"QUIC share":      func(options *compare.Options) { options.QUICShare = 2 },
		"slots":           func(options *compare.Options) { options.Slots = 0 },
		"service time":    func(options *compare.Options) { options.ServiceTime = 0 },
		"change interval": func(options *compare.Options) { options.ChangeInterval = options.SettledAfter },
	}
	for field, invalidate := range tests {
		t.Run(field, func(t *testing.T) {
			options := shortOptions(4)
			invalidate(&options)
			_, err := compare.Run(options, compare.AllAlgorithms(), 1)
			require.ErrorContains(t, err, field)
		})
	}
}

func TestFlowsAreBalancedTwoMinutesAfterAChange(t *testing.T) {
	for _, targets := range []int{4, 14} {
		options := compare.DefaultOptions(1, targets)
		options.FlowsPerSecond = 6
		options.WarmUp = time.Minute
		options.ChangeInterval = 130 * time.Second
		comparison, err := compare.Run(options, []compare.AlgorithmName{compare.AlgorithmChain}, 1)
		require.NoError(t, err)
		chain, _ := comparison.Result(compare.AlgorithmChain)
		require.LessOrEqual(t, chain.FlowsSettled.Max, 1.05, "%d targets", targets)
		require.Zero(t, chain.Broken())
	}
}

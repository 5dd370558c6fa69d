package cli

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/mutant"
	"merlinpaddle/internal/sim/world"
)

// stubMutant returns a mutant that violates the expected invariant if caught is true, and nothing
// otherwise.
func stubMutant(caught bool) mutant.Mutant {
	return mutant.Mutant{
		Name:   "stub",
		Breaks: "nothing",
		Expect: []checker.Invariant{checker.InvariantDrain},
		Scenario: mutant.Scenario{Name: "stub", Play: func(run *sim.Run, parts world.Parts) {
			if caught && parts.Chain == nil {
				run.Report.Add(checker.InvariantDrain, 0, "late")
			}
		}},
		Variant: func(_ *sim.Run, parts *world.Parts) { parts.Chain = nil },
	}
}

func TestRunMutants(t *testing.T) {
	table := []struct {
		name    string
		mutants []mutant.Mutant
		want    error
		output  string
	}{
		{name: "none", want: errNoMutants},
		{name: "all caught", mutants: []mutant.Mutant{stubMutant(true), stubMutant(true)}, output: "2 of 2 caught"},
		{name: "one escapes", mutants: []mutant.Mutant{stubMutant(true), stubMutant(false)}, want: errNotCaught, output: "1 of 2 caught"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			var output bytes.Buffer
			err := runMutants(&output, row.mutants, mutantFlags{seeds: "1-3", workers: 2})
			require.ErrorIs(t, err, row.want)
			require.Contains(t, output.String(), row.output)
		})
	}
}

func TestMutantsCommandRefusesBadFlags(t *testing.T) {
	table := []struct {
		arguments []string
		message   string
	}{
		{[]string{"mutants", "--mutant", "nothing"}, `no mutant "nothing"`},
		{[]string{"mutants", "--seeds", "5-4"}, "the last seed is below the first"},
		{[]string{"mutants", "extra"}, "unknown command"},
	}
	for _, row := range table {
		var output, errorOutput bytes.Buffer
		require.Equal(t, 1, Execute(row.arguments, &output, &errorOutput))
		require.Contains(t, errorOutput.String(), row.message)
	}
}

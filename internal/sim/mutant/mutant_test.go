package mutant

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

// testSeeds are the seeds of which at least one must catch each mutant.
var testSeeds = sim.SeedRange{First: 1, Last: 5}

// controlScenarios are the scenarios that start the control members only.
var controlScenarios = []string{
	"leader-loss", "racing-operators", "clock-skew", "restart-after-500", "lost-disk",
	"forgotten-votes", "slow-elections", "disks-lost-unnoticed",
}

// TestControlMutantsAreCaught hunts the mutants whose scenario is short. The scenarios with traffic
// take longer; CI runs all mutants with "merlinsim mutants".
func TestControlMutantsAreCaught(t *testing.T) {
	hunted := 0
	for _, one := range All() {
		if !slices.Contains(controlScenarios, one.Scenario.Name) {
			continue
		}
		hunted++
		t.Run(one.Name, func(t *testing.T) {
			t.Parallel()
			finding := Hunt(one, testSeeds)
			require.True(t, finding.Caught, "other invariants: %v, failed unbroken: %d", finding.OtherInvariants, finding.FailedUnbroken)
		})
	}
	require.GreaterOrEqual(t, hunted, 11)
}

// TestEveryInvariantHasAMutant checks that there is a mutant for each invariant, which shows that
// its checker detects a violation.
func TestEveryInvariantHasAMutant(t *testing.T) {
	expected := make(map[checker.Invariant]bool)
	names := make(map[string]bool)
	for _, one := range All() {
		require.False(t, names[one.Name], one.Name)
		names[one.Name] = true
		require.NotEmpty(t, one.Breaks)
		require.NotNil(t, one.Variant)
		for _, invariant := range one.Expect {
			expected[invariant] = true
		}
	}
	for _, invariant := range checker.Invariants() {
		require.True(t, expected[invariant], "no mutant expects %s", invariant)
	}
}

// stubMutant returns a mutant whose scenario only calls play; broken says whether the variant is in
// place.
func stubMutant(play func(run *sim.Run, broken bool)) Mutant {
	return Mutant{
		Name:   "stub",
		Expect: []checker.Invariant{checker.InvariantDrain},
		Scenario: Scenario{Name: "stub", Play: func(run *sim.Run, parts world.Parts) {
			play(run, parts.Chain == nil)
		}},
		Variant: func(_ *sim.Run, parts *world.Parts) { parts.Chain = nil },
	}
}

func TestHunt(t *testing.T) {
	violate := func(run *sim.Run, invariant checker.Invariant) { run.Report.Add(invariant, time.Second, "drawn") }
	table := []struct {
		name string
		play func(run *sim.Run, broken bool)
		want Finding
	}{
		{
			name: "caught by the third seed",
			play: func(run *sim.Run, broken bool) {
				if broken && run.Seed >= 3 {
					violate(run, checker.InvariantDrain)
				}
			},
			want: Finding{Caught: true, Seeds: 3, Seed: 3},
		},
		{
			name: "never caught",
			play: func(*sim.Run, bool) {},
			want: Finding{Seeds: 5},
		},
		{
			name: "another invariant does not count",
			play: func(run *sim.Run, broken bool) {
				if broken {
					violate(run, checker.InvariantInForce)
				}
			},
			want: Finding{Seeds: 5, OtherInvariants: []checker.Invariant{checker.InvariantInForce}},
		},
		{
			name: "a scenario that fails without the variant does not count",
			play: func(run *sim.Run, _ bool) { violate(run, checker.InvariantDrain) },
			want: Finding{Seeds: 5, FailedUnbroken: 5},
		},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			finding := Hunt(stubMutant(row.play), testSeeds)
			require.Equal(t, row.want.Caught, finding.Caught)
			require.Equal(t, row.want.Seeds, finding.Seeds)
			require.Equal(t, row.want.Seed, finding.Seed)
			require.Equal(t, row.want.OtherInvariants, finding.OtherInvariants)
			require.Equal(t, row.want.FailedUnbroken, finding.FailedUnbroken)
		})
	}
}

func TestHuntAllReportsInOrder(t *testing.T) {
	var mutants []Mutant
	for range 20 {
		mutants = append(mutants, stubMutant(func(*sim.Run, bool) {}))
	}
	for index := range mutants {
		mutants[index].Name = strings.Repeat("x", index+1)
	}
	var names []string
	HuntAll(mutants, testSeeds, 3, func(finding Finding) { names = append(names, finding.Mutant.Name) })
	require.Len(t, names, len(mutants))
	require.True(t, slices.IsSorted(names))
}

func TestFind(t *testing.T) {
	_, known := Find("claim-skipped")
	require.True(t, known)
	_, known = Find("nothing")
	require.False(t, known)
}

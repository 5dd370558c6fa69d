package cli

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/scenario"
)

// allScenarios is the value of --scenario that selects all scenarios.
const allScenarios = "all"

// selection has the scenarios and seeds that a command runs, and the number of workers.
type selection struct {
	scenarios []sim.Scenario
	seeds     sim.SeedRange
	workers   int
}

// addSelection adds the flags that newSelection reads.
func addSelection(command *cobra.Command, scenarioName, seeds *string, workers *int) {
	command.Flags().StringVar(scenarioName, "scenario", allScenarios, "name of a scenario, or all")
	command.Flags().StringVar(seeds, "seeds", "1-20", "seeds as A-B or A, any unsigned 64-bit numbers")
	addWorkers(command, workers)
}

// addWorkers adds the flag for the number of concurrent runs.
func addWorkers(command *cobra.Command, workers *int) {
	command.Flags().IntVar(workers, "workers", runtime.GOMAXPROCS(0), "runs at the same time")
}

// newSelection validates the values of the flags and returns the selection.
func newSelection(scenarioName, seeds string, workers int) (selection, error) {
	scenarios, err := selectScenarios(scenarioName)
	if err != nil {
		return selection{}, err
	}
	parsed, err := parseSeeds(seeds, workers)
	if err != nil {
		return selection{}, err
	}
	return selection{scenarios: scenarios, seeds: parsed, workers: workers}, nil
}

// parseSeeds parses the value of --seeds and validates that of --workers.
func parseSeeds(seeds string, workers int) (sim.SeedRange, error) {
	if workers < 1 {
		return sim.SeedRange{}, fmt.Errorf("--workers %d: at least one is needed", workers)
	}
	parsed, err := sim.ParseSeedRange(seeds)
	if err != nil {
		return sim.SeedRange{}, fmt.Errorf("--seeds: %w; write A-B or A, such as 1-200", err)
	}
	return parsed, nil
}

// selectScenarios returns the scenario with the given name, or all scenarios for allScenarios.
func selectScenarios(name string) ([]sim.Scenario, error) {
	if name == allScenarios {
		return scenario.All(), nil
	}
	one, known := scenario.Find(name)
	if !known {
		return nil, fmt.Errorf("--scenario: there is no scenario %q; merlinsim list shows them", name)
	}
	return []sim.Scenario{one}, nil
}

package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/sim/mutant"
)

// Reasons to exit with code 1.
var (
	errNotCaught = errors.New("a mutant was not caught")
	errNoMutants = errors.New("there are no mutants to run")
)

type mutantFlags struct {
	name    string
	seeds   string
	workers int
}

func newMutantsCommand() *cobra.Command {
	var flags mutantFlags
	command := &cobra.Command{
		Use:   "mutants",
		Short: "Run deliberately broken variants; exit 1 unless every one is caught",
		Long: `Run deliberately broken variants of the system, each in a scenario whose
checkers must catch it. The seeds are tried in order until one catches the
variant; a seed counts only if the same scenario passes without the variant.
Exit 1 unless every variant is caught.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			mutants, err := selectMutants(flags.name)
			if err != nil {
				return err
			}
			return runMutants(command.OutOrStdout(), mutants, flags)
		},
	}
	command.Flags().StringVar(&flags.name, "mutant", "", "name of one mutant; empty for all")
	command.Flags().StringVar(&flags.seeds, "seeds", "1-20", "seeds to try in order, as A-B")
	addWorkers(command, &flags.workers)
	return command
}

func runMutants(output io.Writer, mutants []mutant.Mutant, flags mutantFlags) error {
	seeds, err := parseSeeds(flags.seeds, flags.workers)
	if err != nil {
		return err
	}
	if len(mutants) == 0 {
		return errNoMutants
	}
	caught := 0
	fmt.Fprintf(output, mutantFormat, "mutant", "scenario", "caught by", "seeds", "what it breaks")
	mutant.HuntAll(mutants, seeds, flags.workers, func(finding mutant.Finding) {
		printFinding(output, finding)
		if finding.Caught {
			caught++
		}
	})
	fmt.Fprintf(output, "%d of %d caught\n", caught, len(mutants))
	if caught < len(mutants) {
		return errNotCaught
	}
	return nil
}

func selectMutants(name string) ([]mutant.Mutant, error) {
	if name == "" {
		return mutant.All(), nil
	}
	one, known := mutant.Find(name)
	if !known {
		return nil, fmt.Errorf("no mutant %q; merlinsim mutants without --mutant runs and names them all", name)
	}
	return []mutant.Mutant{one}, nil
}

// mutantFormat formats one line of the table: mutant, scenario, violated invariant, number of seeds
// that were run, and what the variant breaks.
const mutantFormat = "%-26s %-22s %-20s %6v  %s\n"

func printFinding(output io.Writer, finding mutant.Finding) {
	invariant := "NOT CAUGHT"
	if finding.Caught {
		invariant = string(finding.Violation.Invariant)
	}
	fmt.Fprintf(output, mutantFormat, finding.Mutant.Name, finding.Mutant.Scenario.Name, invariant, finding.Seeds, finding.Mutant.Breaks)
	if finding.Caught {
		return
	}
	if finding.FailedUnbroken > 0 {
		fmt.Fprintf(output, "  %d seeds do not count: they fail without the mutant too\n", finding.FailedUnbroken)
	}
	if len(finding.OtherInvariants) > 0 {
		fmt.Fprintf(output, "  other invariants violated: %v\n", finding.OtherInvariants)
	}
}

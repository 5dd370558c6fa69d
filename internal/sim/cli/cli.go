// Package cli implements the command line of merlinsim, which runs the simulation.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/sim/scenario"
)

// errFailed makes the process exit with code 1 after the violations were printed.
var errFailed = errors.New("an invariant was violated")

// Execute runs the command with the given arguments and returns the exit code: 0 on success and 1
// on any error, which is printed to errorOutput.
func Execute(arguments []string, output, errorOutput io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errorOutput, "merlinsim:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "merlinsim",
		Short:         "Deterministic simulation of the whole system under failure",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newListCommand(), newRunCommand(), newDigestCommand(), newMutantsCommand())
	return root
}

func newListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the scenarios",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, one := range scenario.All() {
				fmt.Fprintf(command.OutOrStdout(), "%-24s %s\n", one.Name, one.Summary)
			}
			return nil
		},
	}
}

// Package command implements the command line of merlinpaddle. Each role has a file of its own, named
// after the role, with its subcommand; roles.go lists them.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/faults"
)

// exitFailure is the exit code of a command that failed.
const exitFailure = 1

// Execute runs the command line and returns the exit code of the process.
func Execute(arguments []string, output, errorOutput io.Writer) int {
	root := newRootCommand()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errorOutput, faults.Describe(err))
		return exitFailure
	}
	return 0
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "merlinpaddle",
		Short:         "Layer-4 load balancer: run one process of the system",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(subcommands()...)
	return root
}

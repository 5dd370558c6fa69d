// Package command is the command line of merlinbench.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// exitFailure is the exit code of a command that failed, or of a run that violated an invariant.
const exitFailure = 1

// Execute runs the command line and returns the exit code of the process.
func Execute(arguments []string, output, errorOutput io.Writer) int {
	root := &cobra.Command{
		Use:           "merlinbench",
		Short:         "Drive and measure fleets of separate processes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newFleetCommand(), newDemoCommand(), newRunCommand(), newCompareCommand(), newControlCommand(),
		newRoutingCommand(), newPlotCommand())
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errorOutput, "merlinbench:", err)
		return exitFailure
	}
	return 0
}

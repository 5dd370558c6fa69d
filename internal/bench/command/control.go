package command

import (
	"context"
	"fmt"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/bench/experiment"
	"merlinpaddle/internal/bench/fleet"
	"merlinpaddle/internal/bench/operators"
)

// Defaults of the control command. The freeze is longer than the election timeout, the leases, the
// links' read timeout and the administration API's timeouts of proposals and read barriers.
const (
	controlFleet     = "fleets/control.yaml"
	defaultOperators = 8
	defaultPhase     = 6 * time.Second
	defaultFreeze    = 12 * time.Second
)

func newControlCommand() *cobra.Command {
	flags := &runFlags{}
	options := operators.Options{}
	var path string
	command := &cobra.Command{
		Use:   "control",
		Short: "Run concurrent operators against a control group whose members are killed, frozen and partitioned",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				path = filepath.Join(flags.root, controlFleet)
			}
			return runControl(command, flags, path, options)
		},
	}
	flags.registerPaths(command)
	command.Flags().StringVar(&path, "fleet", "", "fleet file; empty means "+controlFleet)
	command.Flags().IntVar(&options.Operators, "operators", defaultOperators, "number of operators")
	command.Flags().DurationVar(&options.Phase, "phase", defaultPhase, "length of a failure, and of the rest after it")
	command.Flags().DurationVar(&options.Freeze, "freeze", defaultFreeze, "how long the leader is frozen")
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the operators' choices")
	return command
}

func runControl(command *cobra.Command, flags *runFlags, path string, options operators.Options) error {
	file, err := fleet.LoadFile(path)
	if err != nil {
		return err
	}
	paths, err := flags.options(experiment.File{Name: file.Name})
	if err != nil {
		return err
	}
	options.Fleet = file
	options.Script = experiment.Script{Root: paths.Root, Folder: paths.Folder, Binaries: paths.Binaries}
	started := time.Now()
	options.Progress = func(text string) {
		fmt.Fprintf(command.ErrOrStderr(), "%s %3.0f s: %s\n", file.Name, time.Since(started).Seconds(), text)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := operators.Run(ctx, options)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.OutOrStdout(), result.Table())
	if len(result.Violations) > 0 {
		return errViolations
	}
	return nil
}

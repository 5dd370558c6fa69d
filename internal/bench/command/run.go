package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/bench/experiment"
)

// demoExperiment is the experiment that "make demo" runs.
const demoExperiment = "experiments/demo.yaml"

// errViolations is the error of a run that violated an invariant.
var errViolations = errors.New("the run violated invariants; see the list above")

// runFlags are the flags that state the paths of a run.
type runFlags struct {
	root     string
	binaries string
	folder   string
	results  string
	baseline string
	fleet    string
}

func (flags *runFlags) register(command *cobra.Command) {
	flags.registerPaths(command)
	command.Flags().StringVar(&flags.results, "results", "results", "folder for results")
	command.Flags().StringVar(&flags.baseline, "baseline", "", "earlier result.json to compare with")
}

// registerPaths registers the flags for paths that every command which runs a fleet has.
func (flags *runFlags) registerPaths(command *cobra.Command) {
	command.Flags().StringVar(&flags.root, "root", ".", "the repository's root")
	command.Flags().StringVar(&flags.binaries, "binaries", "bin", "folder with the programs")
	command.Flags().StringVar(&flags.folder, "folder", "", "folder of the fleet; empty means run/NAME")
}

func newDemoCommand() *cobra.Command {
	flags := &runFlags{}
	command := &cobra.Command{
		Use:   "demo",
		Short: "Show the whole system in a small fleet, under changes and faults",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runExperiments(command, flags, filepath.Join(flags.root, demoExperiment))
		},
	}
	flags.register(command)
	return command
}

func newRunCommand() *cobra.Command {
	flags := &runFlags{}
	command := &cobra.Command{
		Use:   "run EXPERIMENT...",
		Short: "Run experiment files, one after another",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			var failures []error
			for _, path := range paths {
				failures = append(failures, runExperiments(command, flags, path))
			}
			return errors.Join(failures...)
		},
	}
	command.Flags().StringVar(&flags.fleet, "fleet", "", "only run on this one of the experiment's fleet files")
	flags.register(command)
	return command
}

// newPlotCommand returns the command that writes the table and plots of a stored result again.
func newPlotCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plot RESULT.json FOLDER",
		Short: "Write the table and plots of a result into a folder",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, arguments []string) error {
			result, err := experiment.Read(arguments[0])
			if err != nil {
				return err
			}
			return result.Write(arguments[1])
		},
	}
}

func newCompareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare BEFORE.json AFTER.json",
		Short: "Compare two results",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, paths []string) error {
			before, err := experiment.Read(paths[0])
			if err != nil {
				return err
			}
			after, err := experiment.Read(paths[1])
			if err != nil {
				return err
			}
			fmt.Fprint(command.OutOrStdout(), experiment.Compare(before, after))
			return nil
		},
	}
}

// runExperiments runs an experiment file on each of its fleets, or on the one that the flag states.
func runExperiments(command *cobra.Command, flags *runFlags, path string) error {
	files, err := experiment.LoadFiles(flags.root, path)
	if err != nil {
		return err
	}
	var failures []error
	for _, file := range files {
		if flags.fleet != "" && filepath.Clean(file.Fleet) != filepath.Clean(flags.fleet) {
			continue
		}
		failures = append(failures, runExperiment(command, flags, file))
	}
	return errors.Join(failures...)
}

// runExperiment runs one experiment, prints and stores its result, and returns errViolations when an
// invariant was violated.
func runExperiment(command *cobra.Command, flags *runFlags, file experiment.File) error {
	options, err := flags.options(file)
	if err != nil {
		return err
	}
	bar := newProgress(command.ErrOrStderr(), file.Name)
	options.Progress = bar.show
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := experiment.Run(ctx, file, options)
	bar.finish()
	if err != nil {
		return err
	}
	fmt.Fprintln(command.OutOrStdout(), result.Markdown())
	if err := result.Write(filepath.Join(flags.results, file.Name)); err != nil {
		return err
	}
	if err := flags.compare(command.OutOrStdout(), result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errViolations
	}
	return nil
}

// options returns the absolute paths of a run. It fails when the programs are not built.
func (flags *runFlags) options(file experiment.File) (experiment.Options, error) {
	folder := flags.folder
	if folder == "" {
		folder = filepath.Join(flags.root, "run", file.Name)
	}
	root, rootErr := filepath.Abs(flags.root)
	binaries, binariesErr := filepath.Abs(flags.binaries)
	folder, folderErr := filepath.Abs(folder)
	if err := errors.Join(rootErr, binariesErr, folderErr); err != nil {
		return experiment.Options{}, err
	}
	if _, err := os.Stat(filepath.Join(binaries, "merlinpaddle")); err != nil {
		return experiment.Options{}, fmt.Errorf("programs are not built; run make build: %w", err)
	}
	return experiment.Options{Root: root, Binaries: binaries, Folder: folder}, nil
}

// compare prints the comparison with the baseline, if one is given.
func (flags *runFlags) compare(output io.Writer, result experiment.Result) error {
	if flags.baseline == "" {
		return nil
	}
	baseline, err := experiment.Read(flags.baseline)
	if err != nil {
		return err
	}
	fmt.Fprintln(output, experiment.Compare(baseline, result))
	return nil
}

package command

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/routing/compare"
)

const (
	// routingFolderMode and routingFileMode are the modes of results.
	routingFolderMode = 0o755
	routingFileMode   = 0o644
	// defaultRoutingWorkers is the number of algorithms that run concurrently.
	defaultRoutingWorkers = 3
)

// routingFlags are the flags of the routing command.
type routingFlags struct {
	targets []int
	seed    uint64
	runs    int
	workers int
	// flowsPerSecond is the number of new flows per second and target.
	flowsPerSecond float64
	results        string
	// revision is the revision of the sources; empty means the one that the program was built from.
	revision string
}

// routingReport is the JSON form of the results, written to routing.json.
type routingReport struct {
	Revision string        `json:"revision"`
	Sizes    []routingSize `json:"sizes"`
}

// routingSize has the runs with one number of targets, one run for each seed.
type routingSize struct {
	Targets   int                  `json:"targets"`
	Options   compare.Options      `json:"options"`
	Summaries []compare.Summary    `json:"summaries"`
	Runs      []compare.Comparison `json:"runs"`
}

func newRoutingCommand() *cobra.Command {
	flags := &routingFlags{}
	command := &cobra.Command{
		Use:   "routing",
		Short: "Compare routing algorithms on the same flows, in virtual time",
		Long: "Compare routing algorithms on the same flows and changes, in virtual time and without processes. " +
			"Prints Markdown tables; writes routing.json, routing.md and plots. The same seed gives the same tables.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	command.Flags().IntSliceVar(&flags.targets, "targets", []int{14, 4}, "numbers of targets, each compared on its own")
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the first run")
	command.Flags().IntVar(&flags.runs, "runs", 1, "runs of each size, with successive seeds")
	command.Flags().Float64Var(&flags.flowsPerSecond, "flows", compare.DefaultOptions(0, 0).FlowsPerSecond, "new flows a second for each target; one lasts 28 s in the mean")
	command.Flags().IntVar(&flags.workers, "workers", defaultRoutingWorkers, "ways that run at once")
	command.Flags().StringVar(&flags.results, "results", "results/routing", "folder for results")
	command.Flags().StringVar(&flags.revision, "revision", "", "revision of the sources; empty means as the program was built")
	return command
}

func (flags *routingFlags) run(command *cobra.Command) error {
	if flags.runs < 1 {
		return fmt.Errorf("runs: %d must be at least 1", flags.runs)
	}
	report := routingReport{Revision: flags.revision}
	if report.Revision == "" {
		report.Revision = buildRevision()
	}
	page := fmt.Sprintf("Revision %s, seeds %d to %d.\n\n", report.Revision, flags.seed, flags.seed+uint64(flags.runs)-1)
	bar := newProgress(command.ErrOrStderr(), "routing")
	defer bar.finish()
	for position, targets := range flags.targets {
		size, err := flags.runSize(targets, func(run int) {
			done := time.Duration(position*flags.runs + run)
			bar.show(done*time.Second, time.Duration(len(flags.targets)*flags.runs)*time.Second, fmt.Sprintf("%d targets", targets))
		})
		if err != nil {
			return err
		}
		report.Sizes = append(report.Sizes, size)
		page += compare.Markdown(targets, size.Summaries)
	}
	fmt.Fprint(command.OutOrStdout(), page)
	return report.write(flags.results, page)
}

// runSize runs the comparison with one number of targets for all seeds, and calls started before each
// run.
func (flags *routingFlags) runSize(targets int, started func(run int)) (routingSize, error) {
	size := routingSize{Targets: targets, Options: compare.DefaultOptions(flags.seed, targets)}
	size.Options.FlowsPerSecond = flags.flowsPerSecond
	for run := range flags.runs {
		started(run)
		options := size.Options
		options.Seed += uint64(run)
		comparison, err := compare.Run(options, compare.AllAlgorithms(), flags.workers)
		if err != nil {
			return size, err
		}
		size.Runs = append(size.Runs, comparison)
	}
	size.Summaries = compare.Summarize(size.Runs)
	return size, nil
}

// buildRevision returns the short revision that the program was built from, or "unknown", with a
// note when the sources had uncommitted changes.
func buildRevision() string {
	information, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, setting := range information.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), shortRevision)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " with changes"
		}
	}
	return revision + modified
}

// shortRevision is the number of characters in a short revision.
const shortRevision = 12

func (report routingReport) write(folder, page string) error {
	if err := os.MkdirAll(folder, routingFolderMode); err != nil {
		return fmt.Errorf("make results folder: %w", err)
	}
	encoded, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "routing.json"), encoded, routingFileMode); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "routing.md"), []byte(page), routingFileMode); err != nil {
		return fmt.Errorf("write tables: %w", err)
	}
	for _, size := range report.Sizes {
		if err := size.plot(folder); err != nil {
			return err
		}
	}
	return nil
}

package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

type runFlags struct {
	scenario  string
	seeds     string
	asJSON    bool
	workers   int
	keepGoing bool
	trace     bool
	flow      uint64
	// knownRed is the path of a file with runs that are known to fail; empty for none.
	knownRed string
}

const runHelp = `Run scenarios over a range of seeds, each on a virtual clock.

A scenario stops at its first seed that violates an invariant, and the other
scenarios continue; --keep-going runs all seeds. The exit code is 1 when any seed
violated an invariant. The same seed always gives the same run and the same
digest: replay a failed run with --trace.`

const runExample = `  merlinsim run --scenario all --seeds 1-200
  merlinsim run --scenario leader-loss --seeds 17 --trace
  merlinsim run --scenario planned-metro --seeds 17 --trace --flow 312
  merlinsim run --scenario chaos --seeds 1000-2000 --json --keep-going`

func newRunCommand() *cobra.Command {
	var flags runFlags
	command := &cobra.Command{
		Use:     "run",
		Short:   "Run scenarios over a range of seeds; exit 1 on a violated invariant",
		Long:    runHelp,
		Example: runExample,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			selected, err := flags.selection()
			if err != nil {
				return err
			}
			if flags.trace {
				return traceRun(command.OutOrStdout(), selected, flags.flow)
			}
			known, err := readKnownRed(flags.knownRed)
			if err != nil {
				return err
			}
			progress := newProgress(command.ErrOrStderr(), selected)
			return runScenarios(command.OutOrStdout(), progress, selected, known, flags)
		},
	}
	addSelection(command, &flags.scenario, &flags.seeds, &flags.workers)
	command.Flags().BoolVar(&flags.asJSON, "json", false, "write one JSON object for each run")
	command.Flags().BoolVar(&flags.keepGoing, "keep-going", false, "run all seeds of a scenario also after a violation")
	command.Flags().StringVar(&flags.knownRed, "known-red", "", "file with runs that are known to fail: they are printed, and fail nothing")
	command.Flags().BoolVar(&flags.trace, "trace", false, "print every event of one seed of one scenario")
	command.Flags().Uint64Var(&flags.flow, "flow", 0, "with --trace, print also the packets of this flow")
	return command
}

// selection validates the flags and returns the runs that they select.
func (flags runFlags) selection() (selection, error) {
	selected, err := newSelection(flags.scenario, flags.seeds, flags.workers)
	switch {
	case err != nil:
		return selection{}, err
	case flags.trace && (len(selected.scenarios) != 1 || selected.seeds.First != selected.seeds.Last):
		return selection{}, errors.New("--trace prints one run: give it one --scenario and one seed in --seeds")
	case flags.trace && flags.asJSON:
		return selection{}, errors.New("--trace and --json exclude each other")
	case flags.flow != 0 && !flags.trace:
		return selection{}, errors.New("--flow needs --trace")
	}
	return selected, nil
}

// summary counts the runs of one scenario.
type summary struct {
	name    string
	runs    int
	failed  int
	events  uint64
	virtual time.Duration
	// knownRed counts the failed runs that are known to fail.
	knownRed int
	// stoppedEarly says that seeds were skipped after a violation.
	stoppedEarly bool
}

func runScenarios(output io.Writer, progress *progress, selected selection, known knownRed, flags runFlags) error {
	var summaries []*summary
	failures := 0
	for _, scenario := range selected.scenarios {
		counted := &summary{name: scenario.Name}
		summaries = append(summaries, counted)
		sim.Sweep([]sim.Scenario{scenario}, selected.seeds, selected.workers, func(result sim.Result) bool {
			line, isKnown := known.knownFailure(result)
			counted.add(result, isKnown)
			if flags.asJSON || result.Failed() {
				progress.clear()
			}
			printResult(output, flags, result)
			if isKnown {
				fmt.Fprintln(output, "known red:", line)
			}
			progress.show(scenario.Name, counted.runs, failures+counted.failed)
			return flags.keepGoing || isKnown || !result.Failed()
		})
		failures += counted.failed
		counted.stoppedEarly = uint64(counted.runs) < selected.seeds.Count()
	}
	progress.clear()
	if !flags.asJSON {
		printSummaries(output, summaries)
	}
	if failures > 0 {
		return errFailed
	}
	return nil
}

func (summary *summary) add(result sim.Result, isKnown bool) {
	summary.runs++
	summary.events += result.Events
	summary.virtual += result.Elapsed
	switch {
	case isKnown:
		summary.knownRed++
	case result.Failed():
		summary.failed++
	}
}

// jsonResult is one run as written with --json.
type jsonResult struct {
	Scenario   string          `json:"scenario"`
	Seed       uint64          `json:"seed"`
	Digest     string          `json:"digest"`
	Virtual    string          `json:"virtual"`
	Events     uint64          `json:"events"`
	Passed     bool            `json:"passed"`
	Violations []jsonViolation `json:"violations,omitempty"`
	// Latest has the last events before the first violation.
	Latest []string `json:"latest,omitempty"`
	// Replay is the command that prints all events of a failed run.
	Replay string `json:"replay,omitempty"`
}

type jsonViolation struct {
	Invariant string `json:"invariant"`
	At        string `json:"at"`
	Detail    string `json:"detail"`
}

func printResult(output io.Writer, flags runFlags, result sim.Result) {
	if flags.asJSON {
		// The values can always be encoded. A failed write of the output is ignored.
		_ = json.NewEncoder(output).Encode(toJSON(result))
		return
	}
	if result.Failed() {
		fmt.Fprintln(output, result.Describe())
	}
}

func toJSON(result sim.Result) jsonResult {
	converted := jsonResult{
		Scenario: result.Scenario,
		Seed:     result.Seed,
		Digest:   fmt.Sprintf("%016x", result.Digest),
		Virtual:  result.Elapsed.String(),
		Events:   result.Events,
		Passed:   !result.Failed(),
	}
	for _, violation := range result.Violations {
		converted.Violations = append(converted.Violations, jsonViolation{
			Invariant: string(violation.Invariant),
			At:        violation.At.String(),
			Detail:    violation.Detail,
		})
	}
	if result.Failed() {
		converted.Replay = result.ReplayCommand()
	}
	for _, event := range result.Latest {
		converted.Latest = append(converted.Latest, event.String())
	}
	return converted
}

func printSummaries(output io.Writer, summaries []*summary) {
	fmt.Fprintf(output, "%-24s %8s %8s %14s %14s\n", "scenario", "seeds", "failed", "events", "virtual time")
	for _, one := range summaries {
		note := ""
		if one.stoppedEarly {
			note = "  stopped at the first failure"
		}
		if one.knownRed > 0 {
			note += fmt.Sprintf("  %d known red", one.knownRed)
		}
		fmt.Fprintf(output, "%-24s %8d %8d %14d %14s%s\n", one.name, one.runs, one.failed, one.events, one.virtual.Round(time.Second), note)
	}
}

// traceRun runs one seed of one scenario and prints all its events, and the notes on the packets of
// the given flow unless flow is 0.
func traceRun(output io.Writer, selected selection, flow uint64) error {
	run := sim.NewRun(selected.seeds.First)
	run.Trace.Observe(func(event kernel.Event) { fmt.Fprintln(output, event) })
	run.Watch = func(watched uint64, note string) {
		if flow != 0 && watched == flow {
			fmt.Fprintf(output, "%12s  %s\n", run.Elapsed(), note)
		}
	}
	result := sim.ExecuteRun(selected.scenarios[0], run)
	fmt.Fprintf(output, "digest %016x, %d events, virtual time %s\n", result.Digest, result.Events, result.Elapsed)
	for _, violation := range result.Violations {
		fmt.Fprintln(output, "violated", violation)
	}
	if result.PanicStack != "" {
		fmt.Fprintln(output, result.PanicStack)
	}
	if result.Failed() {
		return errFailed
	}
	return nil
}

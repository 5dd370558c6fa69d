package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

// errDiverged makes the process exit with code 1 after the differences were printed.
var errDiverged = errors.New("a seed gave two different runs")

type digestFlags struct {
	scenario string
	seeds    string
	workers  int
	asJSON   bool
}

func newDigestCommand() *cobra.Command {
	var flags digestFlags
	command := &cobra.Command{
		Use:   "digest",
		Short: "Run every seed twice; exit 1 unless both runs have the same digest",
		Long: `Run every seed twice, on different numbers of workers, and compare the
digests of all events. A difference is printed with the first event that
differs. Exit 1 when any seed gave two different runs.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			selected, err := newSelection(flags.scenario, flags.seeds, flags.workers)
			if err != nil {
				return err
			}
			progress := newProgress(command.ErrOrStderr(), selected)
			return compareDigests(command.OutOrStdout(), progress, selected, flags.asJSON)
		},
	}
	addSelection(command, &flags.scenario, &flags.seeds, &flags.workers)
	command.Flags().BoolVar(&flags.asJSON, "json", false, "write one JSON object for each seed")
	return command
}

// jsonDigest is one comparison as written with --json.
type jsonDigest struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	First    string `json:"first"`
	Second   string `json:"second"`
	Same     bool   `json:"same"`
}

func compareDigests(output io.Writer, progress *progress, selected selection, asJSON bool) error {
	total := 0
	for _, scenario := range selected.scenarios {
		seeds, different := 0, 0
		sim.RunTwice(scenario, selected.seeds, selected.workers, func(first, second sim.Result) bool {
			seeds++
			if !first.SameRun(second) {
				different++
			}
			if asJSON || !first.SameRun(second) {
				progress.clear()
			}
			printComparison(output, scenario, first, second, asJSON)
			progress.show(scenario.Name, seeds, total+different)
			return true
		})
		progress.clear()
		if !asJSON {
			fmt.Fprintf(output, "%-24s %6d seeds twice, %d different\n", scenario.Name, seeds, different)
		}
		total += different
	}
	if total > 0 {
		return errDiverged
	}
	return nil
}

func printComparison(output io.Writer, scenario sim.Scenario, first, second sim.Result, asJSON bool) {
	if asJSON {
		// The values can always be encoded. A failed write of the output is ignored.
		_ = json.NewEncoder(output).Encode(jsonDigest{
			Scenario: scenario.Name,
			Seed:     first.Seed,
			First:    fmt.Sprintf("%016x", first.Digest),
			Second:   fmt.Sprintf("%016x", second.Digest),
			Same:     first.SameRun(second),
		})
		return
	}
	if !first.SameRun(second) {
		fmt.Fprintf(output, "DIFFERENT scenario %s, seed %d: digest %016x and %016x\n", scenario.Name, first.Seed, first.Digest, second.Digest)
		fmt.Fprintf(output, "  %s\n", firstDifference(scenario, first.Seed))
	}
}

// firstDifference runs a seed twice again and describes the first event in which the runs differ.
func firstDifference(scenario sim.Scenario, seed uint64) string {
	first, second := eventsOf(scenario, seed), eventsOf(scenario, seed)
	for index := range min(len(first), len(second)) {
		if first[index] != second[index] {
			return fmt.Sprintf("event %d: %s\n  or       %s", index, first[index], second[index])
		}
	}
	if len(first) != len(second) {
		return fmt.Sprintf("one run has %d events and the other one %d", len(first), len(second))
	}
	return "the events are equal; packets or messages differ, or the difference is rare"
}

// eventsOf runs a seed and returns its events.
func eventsOf(scenario sim.Scenario, seed uint64) []kernel.Event {
	var events []kernel.Event
	run := sim.NewRun(seed)
	run.Trace.Observe(func(event kernel.Event) { events = append(events, event) })
	sim.ExecuteRun(scenario, run)
	return events
}

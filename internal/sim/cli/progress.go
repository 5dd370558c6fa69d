package cli

import (
	"fmt"
	"io"
	"os"
	"time"
)

// progressInterval is the shortest time between two progress lines.
const progressInterval = 200 * time.Millisecond

// progress writes a progress line to a terminal and overwrites it with each update.
type progress struct {
	// output is nil if the output is not a terminal.
	output io.Writer
	// seeds is the number of seeds of each scenario.
	seeds         uint64
	scenarioCount int
	started       time.Time
	shownAt       time.Time
	shown         bool
}

// newProgress returns the progress of a selection. It writes nothing unless output is a terminal.
func newProgress(output io.Writer, selected selection) *progress {
	if !isTerminal(output) {
		output = nil
	}
	return &progress{output: output, seeds: selected.seeds.Count(), scenarioCount: len(selected.scenarios), started: time.Now()}
}

func isTerminal(output io.Writer) bool {
	file, isFile := output.(*os.File)
	if !isFile {
		return false
	}
	information, err := file.Stat()
	return err == nil && information.Mode()&os.ModeCharDevice != 0
}

// show updates the progress line, at most once in progressInterval.
func (progress *progress) show(scenario string, done, failed int) {
	now := time.Now()
	if progress.output == nil || now.Sub(progress.shownAt) < progressInterval {
		return
	}
	progress.shownAt = now
	progress.shown = true
	fmt.Fprintf(progress.output, "\r\x1b[K%s: seed %d of %d, %d failed so far, %s",
		scenario, done, progress.seeds, failed, now.Sub(progress.started).Round(time.Second))
}

// clear erases the progress line, so that other output can be written at the start of the line.
func (progress *progress) clear() {
	if progress.shown {
		fmt.Fprint(progress.output, "\r\x1b[K")
		progress.shown = false
	}
}

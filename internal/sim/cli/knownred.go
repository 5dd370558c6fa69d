package cli

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"merlinpaddle/internal/sim"
)

// maxKnownRed is how many runs may be known to fail. A longer list would hide new failures.
const maxKnownRed = 3

// knownRun names one run.
type knownRun struct {
	scenario string
	seed     uint64
}

// knownRed maps the runs that are known to fail, because of a fault that is not fixed yet, to the
// lines of the file that list them.
type knownRed map[knownRun]string

// readKnownRed reads the lines of a file that begin with "simulation SCENARIO seed N". It returns an
// empty list if path is empty or the file does not exist, and an error if a line that begins with
// "simulation " is malformed or if more than maxKnownRed runs are listed.
func readKnownRed(path string) (knownRed, error) {
	known := make(knownRed)
	if path == "" {
		return known, nil
	}
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(content)) {
		if !strings.HasPrefix(line, "simulation ") {
			continue
		}
		var run knownRun
		if _, err := fmt.Sscanf(line, "simulation %s seed %d", &run.scenario, &run.seed); err != nil {
			return nil, fmt.Errorf("%s: %q does not begin with a scenario and a seed: %w", path, strings.TrimSpace(line), err)
		}
		known[run] = strings.TrimSpace(line)
	}
	if len(known) > maxKnownRed {
		return nil, fmt.Errorf("%s: %d runs are known to fail; at most %d may be", path, len(known), maxKnownRed)
	}
	return known, nil
}

// knownFailure reports whether the run failed and is known to fail, and returns the line that lists
// it.
func (known knownRed) knownFailure(result sim.Result) (line string, isKnown bool) {
	line, listed := known[knownRun{scenario: result.Scenario, seed: result.Seed}]
	return line, listed && result.Failed()
}

package cli

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"merlinpaddle/internal/sim"
)

// maxKnownRed is how many runs may be known to fail. A list that grows hides what breaks.
const maxKnownRed = 3

// knownRun names one run.
type knownRun struct {
	scenario string
	seed     uint64
}

// knownRed has the runs that are known to fail for a fault that is not mended yet, with the
// line that says so.
type knownRed map[knownRun]string

// readKnownRed reads the lines of a file that begin with "simulation SCENARIO seed N". No path,
// or no file, is an empty list.
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

// knownFailure tells whether a failed run is known to fail.
func (known knownRed) knownFailure(result sim.Result) (line string, passes bool) {
	line, listed := known[knownRun{scenario: result.Scenario, seed: result.Seed}]
	return line, listed && result.Failed()
}

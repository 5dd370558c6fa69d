// Package audit compares the callers' accounts of an experiment, which record what was answered,
// refused or cut, with the back ends' ledgers, which record what ran, and reports violated invariants.
//
// It decodes the files with types of its own, so that a mistake in a stand-in's types isn't repeated
// here and thereby hidden.
package audit

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// ledgerLine is one line of a back end's ledger, a file of JSON lines.
type ledgerLine struct {
	At      time.Time `json:"at"`
	Event   string    `json:"event"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	Key     string    `json:"key"`
	Class   string    `json:"class"`
	Updates int       `json:"updates"`
}

// Events of ledger lines.
const (
	eventStart     = "start"
	eventCompleted = "completed"
	eventCancelled = "cancelled"
)

// Run is one execution of a request at a back end.
type Run struct {
	Node    string
	Request string
	Key     string
	Class   string
	Started time.Time
	// Ended is zero when the ledger has no end of the run, as when the back end died first.
	Ended     time.Time
	Completed bool
	// Updates is the number of updates that a feed sent.
	Updates int
}

// ReadLedgers returns the runs of all ledgers, the *.jsonl files, in a folder.
func ReadLedgers(folder string) ([]Run, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("list ledgers: %w", err)
	}
	var runs []Run
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read ledger: %w", err)
		}
		read, err := parseLedger(string(content))
		if err != nil {
			return nil, fmt.Errorf("ledger %s: %w", path, err)
		}
		runs = append(runs, read...)
	}
	return runs, nil
}

// parseLedger pairs the start and end lines of one ledger.
func parseLedger(content string) ([]Run, error) {
	var runs []Run
	open := make(map[string][]int)
	number := 0
	for text := range strings.Lines(content) {
		number++
		var line ledgerLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		switch line.Event {
		case eventStart:
			open[line.Request] = append(open[line.Request], len(runs))
			runs = append(runs, Run{Node: line.Node, Request: line.Request, Key: line.Key, Class: line.Class, Started: line.At})
		case eventCompleted, eventCancelled:
			if err := closeRun(runs, open, line); err != nil {
				return nil, fmt.Errorf("line %d: %w", number, err)
			}
		default:
			return nil, fmt.Errorf("line %d: unknown event %q", number, line.Event)
		}
	}
	return runs, nil
}

var errEndWithoutStart = errors.New("end without a start")

// closeRun records the end of the earliest open run of the line's request. The map open has the
// positions in runs of each request's open runs.
func closeRun(runs []Run, open map[string][]int, line ledgerLine) error {
	openRuns := open[line.Request]
	if len(openRuns) == 0 {
		return fmt.Errorf("request %q: %w", line.Request, errEndWithoutStart)
	}
	run := &runs[openRuns[0]]
	open[line.Request] = openRuns[1:]
	run.Ended = line.At
	run.Completed = line.Event == eventCompleted
	run.Updates = line.Updates
	return nil
}

package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"merlinpaddle/internal/faults"
)

// Line holds fields of one structured log line about a flow, a target or a process. Fields that the
// line does not have are zero.
type Line struct {
	Time    time.Time `json:"time"`
	Logger  string    `json:"logger"`
	Message string    `json:"message"`
	Node    string    `json:"node"`

	Caller  string `json:"caller"`
	Route   string `json:"route"`
	Reason  string `json:"reason"`
	Opening bool   `json:"opening"`
	Attempt int    `json:"attempt"`
	Token   uint64 `json:"token"`
	Target  uint64 `json:"target"`
	Suspect uint64 `json:"suspect"`
	// Open is the number of requests that were open at the chosen target, and Expected how long a
	// further one would have taken there.
	Open     int    `json:"open"`
	Expected string `json:"expected"`
	// EvacuatedSince is the revision of the latest order to evacuate a zone.
	EvacuatedSince uint64 `json:"evacuated_since"`
	Revision       uint64 `json:"revision"`
	Version        uint64 `json:"version"`
	// ConfirmedAgo is how long before the decision the balancer's table was last confirmed, or
	// neverConfirmed.
	ConfirmedAgo string `json:"confirmed_ago"`

	State    string `json:"state"`
	Outcome  string `json:"outcome"`
	Verdict  string `json:"verdict"`
	Cause    string `json:"cause"`
	Address  string `json:"address"`
	Leader   string `json:"leader"`
	Settings string `json:"settings"`
	LeftOut  uint64 `json:"left_out"`
}

// The messages of the log lines about flows, targets and processes. Explanations evaluate some of
// them; the others, about targets, appear in the timeline only.
const (
	messageOpened     = "flow opened"
	messageReset      = "flow reset"
	messageDropped    = "packet dropped"
	messageProbed     = "suspected target probed"
	messageReported   = "target reported dead"
	messageFailed     = "target failed"
	messageRecovered  = "target recovered"
	messageRegistered = "target registered"
	messageLeaves     = "target leaves"
	messageStarts     = "process starts"
	messageEnds       = "process ends"
)

// neverConfirmed is the value of Line.ConfirmedAgo for a table that no quorum has confirmed yet.
const neverConfirmed = "never"

// maximumLineBytes is the largest length of a log line, in bytes.
const maximumLineBytes = 1 << 20

// Read returns the structured lines of a log. It skips the text before a line's first brace, and
// lines that are not structured.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maximumLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(text[begin:], &line); err == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, faults.New(faults.LogUnreadable, "%v", err)
	}
	return lines, nil
}

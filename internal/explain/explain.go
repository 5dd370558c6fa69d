// Package explain finds out from log lines of balancers and members what was
// decided about one flow of a direct service, and why.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"merlinpaddle/internal/faults"
)

// Line is what explain reads of one structured log line. Fields that a line
// does not have are zero.
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
	// Open is the number of requests that were open at the chosen target, and
	// Expected how long a further one would take there.
	Open     int    `json:"open"`
	Expected string `json:"expected"`
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	// ConfirmedAgo is how old the balancer's table may have been.
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

// The messages of the lines that explain knows.
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

// neverConfirmed is the age of a table that no quorum confirmed yet.
const neverConfirmed = "never"

// maximumLine bounds one log line, in bytes.
const maximumLine = 1 << 20

// Read returns the structured lines of a log. Text before a line's first brace
// is passed over, and so are lines that are not structured.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maximumLine)
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

// Event is one line of an explanation.
type Event struct {
	At   time.Time
	Node string
	Text string
}

// Explanation is what the lines tell about one flow.
type Explanation struct {
	// Flow is the caller's address and port.
	Flow   string
	Events []Event
	// Cause says in words how the flow ended, as far as the lines tell.
	Cause string
}

// around is how long before and after the decisions about a flow the events of
// its targets and balancers count.
const around = 3 * time.Second

// Flow explains what was decided about the flow of a caller, given as address
// and port.
func Flow(lines []Line, caller string) Explanation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(left, right Line) int { return left.Time.Compare(right.Time) })
	found := decisionsAbout(lines, caller)
	explanation := Explanation{Flow: caller}
	if len(found) == 0 {
		explanation.Cause = unseen(lines)
		return explanation
	}
	story := newStory(found)
	for _, line := range lines {
		if text, tells := story.describe(line); tells {
			explanation.Events = append(explanation.Events, Event{At: line.Time, Node: line.Node, Text: text})
		}
	}
	explanation.Cause = story.cause(lines)
	return explanation
}

// Target explains what was registered, found out and decided about one
// incarnation of a target, given as its number.
func Target(lines []Line, id uint64) Explanation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(left, right Line) int { return left.Time.Compare(right.Time) })
	explanation := Explanation{Cause: "No line names the target."}
	flows := 0
	for _, line := range lines {
		if line.Target != id {
			continue
		}
		if line.Caller != "" {
			flows++
			continue
		}
		explanation.Events = append(explanation.Events, Event{At: line.Time, Node: line.Node, Text: describeTarget(line)})
	}
	switch {
	case len(explanation.Events) > 0:
		last := explanation.Events[len(explanation.Events)-1]
		explanation.Cause = fmt.Sprintf("The lines name %d packets that opened flows. The latest of the target itself: %s.", flows, last.Text)
	case flows > 0:
		explanation.Cause = fmt.Sprintf("The lines name %d packets that opened flows and nothing else of the target.", flows)
	}
	return explanation
}

func decisionsAbout(lines []Line, caller string) []Line {
	var found []Line
	for _, line := range lines {
		if line.Caller == caller {
			found = append(found, line)
		}
	}
	return found
}

// unseen explains a flow that no line names.
func unseen(lines []Line) string {
	leftOut := uint64(0)
	for _, line := range lines {
		if line.Message == messageOpened || line.Message == messageReset || line.Message == messageDropped {
			leftOut += line.LeftOut
		}
	}
	if leftOut > 0 {
		return fmt.Sprintf("No line names the flow. %d lines about flows were left out because of the budget.", leftOut)
	}
	return "No balancer decided anything about the flow: its packets were lost on the way, or reached a balancer that did not run."
}

// story collects what belongs to one flow.
type story struct {
	decisions   []Line
	first, last time.Time
	targets     map[uint64]bool
	tokens      map[uint64]bool
	balancers   map[string]bool
}

func newStory(decisions []Line) *story {
	made := &story{
		decisions: decisions,
		first:     decisions[0].Time,
		last:      decisions[len(decisions)-1].Time,
		targets:   make(map[uint64]bool),
		tokens:    make(map[uint64]bool),
		balancers: make(map[string]bool),
	}
	for _, line := range decisions {
		made.balancers[line.Node] = true
		if line.Target != 0 {
			made.targets[line.Target] = true
		}
		if line.Token != 0 {
			made.tokens[line.Token] = true
		}
	}
	return made
}

func (story *story) near(at time.Time) bool {
	return !at.Before(story.first.Add(-around)) && !at.After(story.last.Add(around))
}

// describe puts a line into words; false when it does not belong to the flow.
func (story *story) describe(line Line) (string, bool) {
	if line.Caller != "" {
		return describeDecision(line), line.Caller == story.decisions[0].Caller
	}
	if !story.near(line.Time) && line.Message != messageFailed {
		return "", false
	}
	switch line.Message {
	case messageStarts, messageEnds:
		return line.Message, story.balancers[line.Node]
	}
	if !story.targets[line.Target] || line.Target == 0 {
		return "", false
	}
	return describeTarget(line), true
}

func describeDecision(line Line) string {
	kind := "a packet"
	if line.Opening {
		kind = fmt.Sprintf("opening packet, copy %d,", line.Attempt)
	}
	confirmed := "confirmed " + line.ConfirmedAgo + " before"
	if line.ConfirmedAgo == neverConfirmed {
		confirmed = "not confirmed yet"
	}
	text := fmt.Sprintf("%s: %s to %s; reason %s; table revision %d, version %d, %s",
		line.Message, kind, line.Route, line.Reason, line.Revision, line.Version, confirmed)
	if line.Target != 0 {
		text += fmt.Sprintf("; target %x, token %d, %d requests open there, answer expected after %s",
			line.Target, line.Token, line.Open, line.Expected)
	}
	if line.Suspect != 0 {
		text += fmt.Sprintf("; the target with token %d had not answered", line.Suspect)
	}
	return text
}

func describeTarget(line Line) string {
	parts := []string{fmt.Sprintf("%s: target %x", line.Message, line.Target)}
	for _, part := range []struct{ name, value string }{
		{"address", line.Address},
		{"state", line.State}, {"outcome", line.Outcome}, {"verdict", line.Verdict}, {"cause", line.Cause},
	} {
		if part.value != "" {
			parts = append(parts, part.name+" "+part.value)
		}
	}
	return strings.Join(parts, ", ")
}

// cause says how the flow ended.
func (story *story) cause(lines []Line) string {
	last := story.decisions[len(story.decisions)-1]
	switch {
	case last.Message == messageReset && last.Reason == "target_failed":
		return "The flow was reset because its target was found dead. " + story.failure(lines)
	case last.Message == messageReset && last.Reason == "overloaded":
		return fmt.Sprintf("The flow was refused before it opened: its service had no idle target for long, and the least busy one, "+
			"target %x, had %d open requests, so an answer was expected after %s only.", last.Target, last.Open, last.Expected)
	case last.Message == messageReset:
		return fmt.Sprintf("The flow was reset: no route has the address %s in version %d.", last.Route, last.Version)
	case last.Message == messageDropped:
		return droppedBecause(last)
	}
	if failure := story.failure(lines); failure != "" {
		return "The flow was opened, and its target died afterwards. " + failure
	}
	if late := story.lateStart(lines); late != "" {
		return late
	}
	if copies := story.copies(); copies > 0 {
		return fmt.Sprintf("The flow was opened at its choice %d: %s", copies+1, story.firstChoice(lines))
	}
	if ended, at := story.balancerEnded(lines); ended {
		return fmt.Sprintf("The flow was opened; its balancer ended at %s, so packets on the way to it were lost.", at.Format(time.RFC3339Nano))
	}
	return "The flow was opened at its first choice and every decision was in order; look at the target."
}

func droppedBecause(last Line) string {
	switch last.Reason {
	case "no_table":
		return "The balancer had just started and had no table yet."
	case "unknown_token":
		return "The balancer did not know the flow's token: it was behind, or the target was forgotten long ago."
	case "no_target":
		return "No target of the pool took new flows."
	case "no_route_stale":
		return "The balancer had no route for the address, and its table was not confirmed lately, so it said nothing."
	default:
		return "The packet was dropped: " + last.Reason + "."
	}
}

// copies returns the highest copy of the opening packet that was placed.
func (story *story) copies() int {
	highest := 0
	for _, line := range story.decisions {
		if line.Opening && line.Message == messageOpened {
			highest = max(highest, line.Attempt)
		}
	}
	return highest
}

// lateStart tells that the flow had to wait for its balancer: the balancer had
// started shortly before, so that former copies of the opening packet reached no
// balancer, or the packet waited for the first table.
func (story *story) lateStart(lines []Line) string {
	first := story.decisions[0]
	waited := first.Message == messageDropped && first.Reason == "no_table"
	if !waited && (!first.Opening || first.Attempt == 0) {
		return ""
	}
	for _, line := range lines {
		started := line.Message == messageStarts && line.Node == first.Node
		if !started || line.Time.After(first.Time) || first.Time.Sub(line.Time) > around {
			continue
		}
		began := line.Time.Format(time.RFC3339Nano)
		if waited {
			return fmt.Sprintf("The flow waited %s for the first table of its balancer, which had started at %s.",
				story.last.Sub(story.first), began)
		}
		return fmt.Sprintf("The flow was opened by copy %d of its opening packet; no balancer took the former ones, and this one had started at %s.",
			first.Attempt, began)
	}
	return ""
}

// failure tells when and why one of the flow's targets was found dead.
func (story *story) failure(lines []Line) string {
	for _, line := range lines {
		if line.Message == messageFailed && story.targets[line.Target] && !line.Time.Before(story.first.Add(-around)) {
			return fmt.Sprintf("Member %s found target %x dead at %s: %s.", line.Node, line.Target, line.Time.Format(time.RFC3339Nano), line.Cause)
		}
	}
	return ""
}

// firstChoice tells why the first choice of the opening packet did not answer.
func (story *story) firstChoice(lines []Line) string {
	for _, line := range lines {
		if line.Message == messageProbed && story.tokens[line.Token] && story.near(line.Time) {
			return fmt.Sprintf("the former one did not answer in time, and a probe was %s.", line.Outcome)
		}
	}
	return "the former one did not answer in time, because it was full, or a packet was lost, or no balancer ran where the first copy went."
}

func (story *story) balancerEnded(lines []Line) (bool, time.Time) {
	for _, line := range lines {
		restarted := line.Message == messageStarts && line.Time.After(story.first)
		if (restarted || line.Message == messageEnds) && story.balancers[line.Node] && story.near(line.Time) {
			return true, line.Time
		}
	}
	return false, time.Time{}
}

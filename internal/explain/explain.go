// Package explain reconstructs from log lines of balancers and members what was decided about one
// flow or target of a direct service, and why.
package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Event is one line of an explanation.
type Event struct {
	At   time.Time
	Node string
	Text string
}

// Explanation is the timeline of one flow or target, and its outcome.
type Explanation struct {
	// Flow is the caller's address and port; empty for a target.
	Flow   string
	Events []Event
	// Cause describes in words how the flow ended, or the latest event of the target, as far as
	// the lines show it.
	Cause string
}

// eventWindow is how long before the first and after the last decision about a flow the events of its
// targets and balancers are taken into account.
const eventWindow = 3 * time.Second

// Flow explains what was decided about the flow of a caller, which is given as address and port.
func Flow(lines []Line, caller string) Explanation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(left, right Line) int { return left.Time.Compare(right.Time) })
	found := decisionsAbout(lines, caller)
	explanation := Explanation{Flow: caller}
	if len(found) == 0 {
		explanation.Cause = causeWithoutDecisions(lines)
		return explanation
	}
	history := newHistory(found)
	for _, line := range lines {
		if text, belongs := history.describe(line); belongs {
			explanation.Events = append(explanation.Events, Event{At: line.Time, Node: line.Node, Text: text})
		}
	}
	explanation.Cause = history.cause(lines)
	return explanation
}

// Target explains what was registered, found out and decided about a target, which is given by its
// ID. A restarted target may keep its ID, so its incarnations are not distinguished.
func Target(lines []Line, id uint64) Explanation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(left, right Line) int { return left.Time.Compare(right.Time) })
	explanation := Explanation{Cause: "No log line names the target."}
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
		explanation.Cause = fmt.Sprintf("The log lines name the target in %d decisions about flows. Its latest event: %s.", flows, last.Text)
	case flows > 0:
		explanation.Cause = fmt.Sprintf("The log lines name the target in %d decisions about flows, and show no event of the target itself.", flows)
	}
	return explanation
}

// decisionsAbout returns the lines about packets of the caller.
func decisionsAbout(lines []Line, caller string) []Line {
	var found []Line
	for _, line := range lines {
		if line.Caller == caller {
			found = append(found, line)
		}
	}
	return found
}

// causeWithoutDecisions returns the cause for a flow that no line names.
func causeWithoutDecisions(lines []Line) string {
	leftOut := uint64(0)
	for _, line := range lines {
		if line.Message == messageOpened || line.Message == messageReset || line.Message == messageDropped {
			leftOut += line.LeftOut
		}
	}
	if leftOut > 0 {
		return fmt.Sprintf("No log line names the flow. %d lines about flows were left out because their rate exceeded the limit.", leftOut)
	}
	return "No balancer decided anything about the flow: its packets were lost in the network, or sent to a balancer that was not running."
}

// history holds the decisions about one flow, and the targets, tokens and balancers that they name.
type history struct {
	decisions   []Line
	first, last time.Time
	targets     map[uint64]bool
	tokens      map[uint64]bool
	balancers   map[string]bool
}

func newHistory(decisions []Line) *history {
	created := &history{
		decisions: decisions,
		first:     decisions[0].Time,
		last:      decisions[len(decisions)-1].Time,
		targets:   make(map[uint64]bool),
		tokens:    make(map[uint64]bool),
		balancers: make(map[string]bool),
	}
	for _, line := range decisions {
		created.balancers[line.Node] = true
		if line.Target != 0 {
			created.targets[line.Target] = true
		}
		if line.Token != 0 {
			created.tokens[line.Token] = true
		}
	}
	return created
}

// inWindow reports whether the time is within eventWindow of the decisions about the flow.
func (history *history) inWindow(at time.Time) bool {
	return !at.Before(history.first.Add(-eventWindow)) && !at.After(history.last.Add(eventWindow))
}

// describe describes a line in words, and reports whether it belongs to the flow.
func (history *history) describe(line Line) (string, bool) {
	if line.Caller != "" {
		return describeDecision(line), line.Caller == history.decisions[0].Caller
	}
	if !history.inWindow(line.Time) && line.Message != messageFailed {
		return "", false
	}
	switch line.Message {
	case messageStarts, messageEnds:
		return line.Message, history.balancers[line.Node]
	}
	if !history.targets[line.Target] || line.Target == 0 {
		return "", false
	}
	return describeTarget(line), true
}

// describeDecision describes the decision of a balancer about a packet, in words.
func describeDecision(line Line) string {
	kind := "a packet"
	if line.Opening {
		kind = fmt.Sprintf("opening packet, retransmission %d,", line.Attempt)
	}
	confirmed := "confirmed " + line.ConfirmedAgo + " earlier"
	if line.ConfirmedAgo == neverConfirmed {
		confirmed = "not confirmed yet"
	}
	text := fmt.Sprintf("%s: %s to %s; reason %s; table revision %d, version %d, %s",
		line.Message, kind, line.Route, line.Reason, line.Revision, line.Version, confirmed)
	if line.Target != 0 {
		text += fmt.Sprintf("; target %x, token %d, %d open requests at the target, answer expected after %s",
			line.Target, line.Token, line.Open, line.Expected)
	}
	if line.Suspect != 0 {
		text += fmt.Sprintf("; the target with token %d had not answered", line.Suspect)
	}
	return text
}

// describeTarget describes an event of a target, in words.
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

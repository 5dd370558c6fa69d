// Package explain finds out from log lines of balancers and members what was
// decided about one flow of a direct service, and why.
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

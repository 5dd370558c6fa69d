package audit

import (
	"fmt"
	"slices"
	"time"
)

// unknownNode is the callers' name for the back end of a connection on which
// nothing was answered.
const unknownNode = "unknown"

// Expectation states what a run may have besides what must always hold.
type Expectation struct {
	// DeadNodes are back ends that died, froze or were cut off, or whose agent
	// did, without warning: flows that lived on them may break, and their
	// requests may be cut.
	DeadNodes []string
	// Drains are targets that were told to leave.
	Drains []Drain
}

// Drain is one back end that was told to leave.
type Drain struct {
	Node string
	At   time.Time
	// Until is when it was taken back into service; zero means never.
	Until time.Time
	// Grace replaces DrainGrace; zero does not.
	Grace time.Duration
}

func (drain Drain) grace() time.Duration {
	if drain.Grace > 0 {
		return drain.Grace
	}
	return DrainGrace
}

// DrainGrace is how long after a drain new work may still come, unless the
// drain states another time.
const DrainGrace = 3 * time.Second

// mayBreak tells whether a flow of that back end may break.
func (expectation Expectation) mayBreak(node string) bool {
	if len(expectation.DeadNodes) == 0 {
		return false
	}
	return node == unknownNode || slices.Contains(expectation.DeadNodes, node)
}

// unexpected sums the counts of back ends that must not break anything.
func (expectation Expectation) unexpectedCount(byNode map[string]int) int {
	total := 0
	for node, count := range byNode {
		if !expectation.mayBreak(node) {
			total += count
		}
	}
	return total
}

// Violation is one thing that must always hold and did not.
type Violation struct {
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// Violations returns what must always hold and did not in this run.
func (result Result) Violations(expected Expectation, runs []Run) []Violation {
	var found []Violation
	add := func(count int, invariant, what string) {
		if count > 0 {
			found = append(found, Violation{Invariant: invariant, Detail: fmt.Sprintf("%d %s", count, what)})
		}
	}
	add(expected.unexpectedCount(result.Flows.BrokenByNode), "open flows survive", "flows broke whose target had not died")
	add(int(result.Feeds.Missing+result.Feeds.Duplicates), "feeds have no gaps and no duplicates", "updates were missing or came twice")
	add(result.Lost, "an answer means that the request ran", "answered requests never completed")
	add(result.RefusedWithoutRetryAfter, "a refusal says when to come back", "refusals for want of capacity had no Retry-After")
	for _, line := range result.Classes {
		add(expected.unexpectedCount(line.CutByNode), "nothing in progress is cut", line.Class+" attempts were cut whose target had not died")
		add(line.Crossed, "answers belong to their own request", line.Class+" requests got another answer")
		add(line.RefusedYetRun, "what is refused as not run did not run", line.Class+" attempts were refused and ran")
		add(line.Doubled, "a request runs at most once", line.Class+" requests ran twice")
		if line.Offered > 0 && line.Delivered == 0 {
			add(line.Offered, "requests are served", line.Class+" requests were offered and none delivered")
		}
	}
	for _, drain := range expected.Drains {
		add(countRunsAfterDrain(drain, runs), "a leaving back end gets no new work", "runs began at "+drain.Node+" after "+drain.grace().String())
	}
	return found
}

// newWork counts the runs that began at a draining back end after the grace.
func countRunsAfterDrain(drain Drain, runs []Run) int {
	count := 0
	for _, run := range runs {
		late := run.Started.After(drain.At.Add(drain.grace()))
		over := !drain.Until.IsZero() && run.Started.After(drain.Until)
		if run.Node == drain.Node && late && !over {
			count++
		}
	}
	return count
}

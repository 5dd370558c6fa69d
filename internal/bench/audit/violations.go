package audit

import (
	"fmt"
	"slices"
	"time"
)

// unknownNode stands in callers' accounts for the back end of a connection that received no answer,
// because callers learn the back end from answers.
const unknownNode = "unknown"

// Expectation lists the failures and drains of an experiment, which decide what counts as a
// violation.
type Expectation struct {
	// DeadNodes are the back ends that, or whose agents, crashed, froze or were partitioned without
	// warning. Their flows may break and their requests may be cut.
	DeadNodes []string
	// Drains are the drains of back ends, each with its time.
	Drains []Drain
}

// Drain is one drain of a back end, after which it must receive no new work.
type Drain struct {
	Node string
	// At is when the drain began.
	At time.Time
	// Until is when the back end returned to service; zero means never.
	Until time.Time
	// Grace replaces DrainGrace; zero means DrainGrace.
	Grace time.Duration
}

func (drain Drain) grace() time.Duration {
	if drain.Grace > 0 {
		return drain.Grace
	}
	return DrainGrace
}

// DrainGrace is how long after the start of a drain new work may still arrive, unless Drain.Grace
// replaces it.
const DrainGrace = 3 * time.Second

// mayBreak reports whether flows of a back end may break and its requests may be cut. For an unknown
// back end it is true when any back end died.
func (expectation Expectation) mayBreak(node string) bool {
	if len(expectation.DeadNodes) == 0 {
		return false
	}
	return node == unknownNode || slices.Contains(expectation.DeadNodes, node)
}

// unexpectedCount returns the sum of the counts of broken flows or cut attempts, by back end, without
// those of back ends for which mayBreak is true.
func (expectation Expectation) unexpectedCount(byNode map[string]int) int {
	total := 0
	for node, count := range byNode {
		if !expectation.mayBreak(node) {
			total += count
		}
	}
	return total
}

// Violation is an invariant that did not hold, with what was found.
type Violation struct {
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// Violations returns the invariants that the experiment violated.
func (result Result) Violations(expected Expectation, runs []Run) []Violation {
	var found []Violation
	add := func(count int, invariant, detail string) {
		if count > 0 {
			found = append(found, Violation{Invariant: invariant, Detail: fmt.Sprintf("%d %s", count, detail)})
		}
	}
	add(expected.unexpectedCount(result.Flows.BrokenByNode), "open flows survive", "flows broke whose target had not died")
	add(int(result.Feeds.Missing+result.Feeds.Duplicates), "feeds have no gaps and no duplicates", "updates were missing or came twice")
	add(result.Lost, "an answer means that the request ran", "answered requests never completed")
	add(result.RefusedWithoutRetryAfter, "a refusal says when to come back", "refusals for want of capacity had no Retry-After")
	for _, classResult := range result.Classes {
		add(expected.unexpectedCount(classResult.CutByNode), "nothing in progress is cut", classResult.Class+" attempts were cut whose target had not died")
		add(classResult.Crossed, "answers belong to their own request", classResult.Class+" requests got another answer")
		add(classResult.RefusedYetRun, "what is refused as not run did not run", classResult.Class+" attempts were refused and ran")
		add(classResult.Doubled, "a request runs at most once", classResult.Class+" requests ran twice")
		if classResult.Offered > 0 && classResult.Delivered == 0 {
			add(classResult.Offered, "requests are served", classResult.Class+" requests were offered and none delivered")
		}
	}
	for _, drain := range expected.Drains {
		add(countRunsAfterDrain(drain, runs), "a leaving back end gets no new work", "runs began at "+drain.Node+" after "+drain.grace().String())
	}
	return found
}

// countRunsAfterDrain counts the runs that began at a draining back end after the grace period and
// before its return to service.
func countRunsAfterDrain(drain Drain, runs []Run) int {
	count := 0
	for _, run := range runs {
		afterGrace := run.Started.After(drain.At.Add(drain.grace()))
		afterReturn := !drain.Until.IsZero() && run.Started.After(drain.Until)
		if run.Node == drain.Node && afterGrace && !afterReturn {
			count++
		}
	}
	return count
}

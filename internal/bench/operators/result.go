package operators

import (
	"fmt"
	"strings"
	"time"

	"merlinpaddle/internal/checker"
)

// PhaseResult has the counts of one phase. Refused counts operations given up by
// the client or refused before they reached the state machine, Resent accepted
// changes sent again, and Lost requests and answers dropped on purpose.
type PhaseResult struct {
	Name      string
	Seconds   float64
	Accepted  int
	Conflicts int
	Unknown   int
	Refused   int
	Reads     int
	Resent    int
	Lost      int
	// LongestGap is the longest time without an accepted change.
	LongestGap time.Duration
}

// Result is the outcome of a run. Races is the number of revisions on which more
// than one change was based, Terms the number of terms with a leader, and Probes
// the summary of the probes of the frozen leader.
type Result struct {
	Phases     []PhaseResult
	Races      int
	Terms      int
	Probes     string
	Violations []checker.Violation
}

func (run *run) result() Result {
	history := run.history
	history.lock.Lock()
	defer history.lock.Unlock()
	history.endPhase()
	history.operators.CheckLinearizable()
	result := Result{Terms: history.replicas.Terms(), Probes: run.probes.String(), Violations: history.report.Violations()}
	for _, changes := range history.changesPerBase {
		if changes > 1 {
			result.Races++
		}
	}
	for _, phase := range history.phases {
		result.Phases = append(result.Phases, PhaseResult{
			Name: phase.name, Seconds: phase.ended.Sub(phase.began).Seconds(),
			Accepted: phase.accepted, Conflicts: phase.conflicts, Unknown: phase.unknown, Refused: phase.refused,
			Reads: phase.reads, Resent: phase.resent, Lost: phase.lost, LongestGap: phase.longestGap,
		})
	}
	return result
}

// checks lists the checked invariants in the order of the report.
var checks = []struct {
	invariant checker.Invariant
	text      string
}{
	{checker.InvariantCommittedKept, "no committed change lost; none accepted without a quorum"},
	{checker.InvariantAppliedOnce, "a resent change is applied once"},
	{checker.InvariantOneWinner, "one winner for each equal revision; the frozen leader accepts no change"},
	{checker.InvariantLinearizable, "operators' history is linearizable; the frozen leader serves no stale read"},
	{checker.InvariantNoRevert, "no balancer's revision goes back"},
	{checker.InvariantInForce, "every balancer ends at the last revision"},
	{checker.InvariantReplicasAgree, "members at equal revisions have equal digests"},
	{checker.InvariantOneLeader, "one leader for each term"},
	{checker.InvariantProgress, "the run did what it is about"},
}

// Table returns the result as Markdown.
func (result Result) Table() string {
	var text strings.Builder
	text.WriteString("| phase | s | accepted | conflicts | unknown | gave up | reads | sent again | lost on purpose | longest gap |\n")
	text.WriteString("|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, phase := range result.Phases {
		fmt.Fprintf(&text, "| %s | %.0f | %d | %d | %d | %d | %d | %d | %d | %.1f s |\n", phase.Name, phase.Seconds, phase.Accepted,
			phase.Conflicts, phase.Unknown, phase.Refused, phase.Reads, phase.Resent, phase.Lost, phase.LongestGap.Seconds())
	}
	fmt.Fprintf(&text, "\nraces at equal revisions: %d; terms with a leader: %d\nfrozen leader: %s\n\n", result.Races, result.Terms, result.Probes)
	text.WriteString("| check | result |\n|---|---|\n")
	for _, check := range checks {
		fmt.Fprintf(&text, "| %s | %s |\n", check.text, result.verdict(check.invariant))
	}
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "\n- %s", violation)
	}
	return text.String()
}

func (result Result) verdict(invariant checker.Invariant) string {
	for _, violation := range result.Violations {
		if violation.Invariant == invariant {
			return "**violated**"
		}
	}
	return "held"
}

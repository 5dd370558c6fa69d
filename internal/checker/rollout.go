package checker

import "time"

// Node is the name of a balancer or an agent.
type Node string

type committedRevision struct {
	revision uint64
	at       time.Duration
}

// Rollout checks that a committed revision runs in time on all nodes that hold a lease, that no
// node returns to a lower revision, not even after a restart, and that all nodes with the same
// revision have the same configuration.
type Rollout struct {
	report *Report
	bound  time.Duration
	// committed has the accepted revisions in ascending order.
	committed []committedRevision
	// highest has the highest revision that each node ran.
	highest map[Node]uint64
	// digests has the digest of each revision's configuration.
	digests map[uint64]uint64
	// leased counts the samples in which the node held a lease.
	leased  int
	sampled int
}

// NewRollout returns a checker that adds its violations to report. A node that holds a lease must
// run an accepted revision within bound.
func NewRollout(report *Report, bound time.Duration) *Rollout {
	return &Rollout{
		report:  report,
		bound:   bound,
		highest: make(map[Node]uint64),
		digests: make(map[uint64]uint64),
	}
}

// Committed records that the system accepted a revision. Calls come in order of time. A revision
// that is not the highest so far is ignored, because a node that runs a higher one includes it.
func (rollout *Rollout) Committed(revision uint64, at time.Duration) {
	if last := len(rollout.committed); last > 0 && rollout.committed[last-1].revision >= revision {
		return
	}
	rollout.committed = append(rollout.committed, committedRevision{revision: revision, at: at})
}

// Applied records that a node began to run a revision whose configuration has the given digest.
func (rollout *Rollout) Applied(node Node, revision, digest uint64, at time.Duration) {
	if revision < rollout.highest[node] {
		rollout.report.Add(InvariantNoRevert, at, "%s runs revision %d after %d", node, revision, rollout.highest[node])
	}
	rollout.highest[node] = max(rollout.highest[node], revision)
	known, seen := rollout.digests[revision]
	if seen && known != digest {
		rollout.report.Add(InvariantSameConfiguration, at, "%s has digest %x at revision %d, others have %x", node, digest, revision, known)
	}
	rollout.digests[revision] = digest
}

// Sample records whether a node holds a lease and which revision it runs, as the node reports.
func (rollout *Rollout) Sample(node Node, leased bool, applied uint64, at time.Duration) {
	rollout.sampled++
	if !leased {
		return
	}
	rollout.leased++
	if due := rollout.due(at); applied < due {
		rollout.report.Add(InvariantInForce, at, "%s holds a lease and runs revision %d; %d was accepted more than %s ago",
			node, applied, due, rollout.bound)
	}
}

// due returns the highest revision that was accepted at least bound ago, or 0 if there is none.
func (rollout *Rollout) due(at time.Duration) uint64 {
	for index := len(rollout.committed) - 1; index >= 0; index-- {
		if rollout.committed[index].at+rollout.bound <= at {
			return rollout.committed[index].revision
		}
	}
	return 0
}

// LeasedShare returns the share of samples, from 0 to 1, in which the node held a lease.
func (rollout *Rollout) LeasedShare() float64 {
	if rollout.sampled == 0 {
		return 0
	}
	return float64(rollout.leased) / float64(rollout.sampled)
}

// CommittedCount returns the number of accepted revisions that were the highest when accepted.
func (rollout *Rollout) CommittedCount() int { return len(rollout.committed) }

// Latest returns the highest accepted revision, or 0 if there is none.
func (rollout *Rollout) Latest() uint64 {
	if len(rollout.committed) == 0 {
		return 0
	}
	return rollout.committed[len(rollout.committed)-1].revision
}

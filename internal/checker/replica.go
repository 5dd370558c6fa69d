package checker

import "time"

// Replicas checks the control group: its members agree, each term has at most one leader, and no
// log entry is replaced after it was applied.
type Replicas struct {
	report  *Report
	digests map[uint64]replicaDigest
	leaders map[uint64]string
	applied map[uint64]string
	// lastIndex has the log index that each incarnation of a member applied last.
	lastIndex map[MemberIncarnation]uint64
}

// MemberIncarnation is one incarnation of a member's process.
type MemberIncarnation struct {
	Member      string
	Incarnation uint64
}

type replicaDigest struct {
	member string
	digest uint64
}

// NewReplicas returns a checker that adds its violations to report.
func NewReplicas(report *Report) *Replicas {
	return &Replicas{
		report:    report,
		digests:   make(map[uint64]replicaDigest),
		leaders:   make(map[uint64]string),
		applied:   make(map[uint64]string),
		lastIndex: make(map[MemberIncarnation]uint64),
	}
}

// State records the digest of a member's state after it applied the entry at index.
func (replicas *Replicas) State(member string, index, digest uint64, at time.Duration) {
	known, seen := replicas.digests[index]
	if !seen {
		replicas.digests[index] = replicaDigest{member: member, digest: digest}
		return
	}
	if known.digest != digest {
		replicas.report.Add(InvariantReplicasAgree, at, "at index %d %s has digest %x, %s has %x",
			index, member, digest, known.member, known.digest)
	}
}

// Applied records that a member applied a command at index. One incarnation of a member applies
// entries in the order of their indices.
func (replicas *Replicas) Applied(member MemberIncarnation, index uint64, command string, at time.Duration) {
	if latest := replicas.lastIndex[member]; index <= latest {
		replicas.report.Add(InvariantReplicasAgree, at, "%s applied index %d after %d", member.Member, index, latest)
	}
	replicas.lastIndex[member] = index
	known, seen := replicas.applied[index]
	if !seen {
		replicas.applied[index] = command
		return
	}
	if known != command {
		replicas.report.Add(InvariantCommittedKept, at, "%s applied another command at index %d than the group before", member.Member, index)
	}
}

// Leader records that a member claims to lead a term.
func (replicas *Replicas) Leader(term uint64, member string, at time.Duration) {
	known, seen := replicas.leaders[term]
	if seen && known != member {
		replicas.report.Add(InvariantOneLeader, at, "term %d has leaders %s and %s", term, known, member)
		return
	}
	replicas.leaders[term] = member
}

// Terms returns the number of terms that had a leader.
func (replicas *Replicas) Terms() int { return len(replicas.leaders) }

// AppliedIndices returns the number of log indices that at least one member applied.
func (replicas *Replicas) AppliedIndices() int { return len(replicas.applied) }

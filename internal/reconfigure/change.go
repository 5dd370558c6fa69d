package reconfigure

import (
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
)

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeNone ChangeKind = iota
	ChangeAdd
	ChangePromote
	ChangeRemove
	// ChangeDemote makes a voter a learner, which keeps its log.
	ChangeDemote
	// ChangeTransferLeadership changes no membership: the leader is about to lose its vote, and
	// another voter demotes it.
	ChangeTransferLeadership
)

// String returns the kind's name.
func (kind ChangeKind) String() string {
	return [...]string{"none", "add", "promote", "remove", "demote", "transfer leadership"}[kind]
}

// Change is one membership change.
type Change struct {
	Kind ChangeKind
	// ID and Name are those of the member that is promoted, demoted or removed.
	ID   replica.MemberID
	Name model.NodeName
	// Admitted are the candidates that become learners.
	Admitted []replica.Candidate
	// Cause is the reason for the change, for the log.
	Cause string
}

func (change *Change) admittedNames() []string {
	names := make([]string, 0, len(change.Admitted))
	for _, candidate := range change.Admitted {
		names = append(names, string(candidate.Name))
	}
	return names
}

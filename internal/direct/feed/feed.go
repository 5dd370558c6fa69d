// Package feed carries the directory of direct services from the control
// group to the balancers.
//
// A balancer follows one member at a time: it subscribes with the revision
// that it has, and the member sends what changed as soon as it is committed,
// and a sign of life at an interval. A member that says nothing for a while,
// or that has lost its quorum, is left for another one. A balancer's table
// never goes back, whichever member it follows.
package feed

import (
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Subscribe asks a member for what changed after Have. Balancers repeat it.
type Subscribe struct {
	Have model.Revision
}

// Update answers a Subscribe, and follows each commit.
type Update struct {
	Changes directory.Changes
	// Fresh tells that the member leads with a confirmed quorum, or heard from
	// such a leader just now.
	Fresh bool
	// Members are the names of the group's members; set when they changed
	// since the last update to this balancer.
	Members []model.NodeName
}

// Verdict is what a balancer found out about a target that did not answer.
type Verdict uint8

// The verdicts.
const (
	// VerdictRefused: nothing listens at the target's address.
	VerdictRefused Verdict = iota + 1
	// VerdictSilent: the target's machine does not answer.
	VerdictSilent
)

// String returns the verdict's name.
func (verdict Verdict) String() string {
	switch verdict {
	case VerdictRefused:
		return "refused"
	case VerdictSilent:
		return "silent"
	default:
		return "unknown"
	}
}

// HealthReport tells the member that a balancer follows about a target that a
// probe found dead. Members pass it on to the leader.
type HealthReport struct {
	ID      directory.TargetID
	Verdict Verdict
	// Balancer is the balancer that probed.
	Balancer model.NodeName
}

func init() {
	protocol.RegisterAs("ds", Subscribe{})
	protocol.RegisterAs("du", Update{})
	protocol.RegisterAs("dh", HealthReport{})
}

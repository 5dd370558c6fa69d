// Package feed carries the directory of direct services from the control
// group to the balancers.
//
// A balancer follows one member at a time: it subscribes with the revision
// that it has, and the member sends what changed as soon as it is committed,
// and a sign of life at an interval. A member that says nothing for a while,
// or that has lost its quorum, is left for another one. A balancer's table
// never goes back, whichever member it follows.
//
// Balancers pass the feed on: members tell each balancer of a few others, and
// a balancer that reaches no member, or whose members feed as many as they may,
// follows another balancer. What it learns there is as old as that balancer's
// own last word of a member; the age travels along and only grows, so that two
// balancers that are cut off together confirm nothing to each other. The
// number of balancers on the way travels along too and is bounded, so that
// balancers which follow each other in a circle notice it.
package feed

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Subscribe asks a member, or another balancer, for what changed after Have.
// Balancers repeat it.
type Subscribe struct {
	Have model.Revision
	// Zone is the balancer's zone.
	Zone model.ZoneName
	// Serves tells that other balancers may follow this one, at its name.
	Serves bool
	// Renewals is the address at which the balancer takes renewals of targets;
	// empty when it takes none.
	Renewals string
}

// Update answers a Subscribe, and follows each commit.
type Update struct {
	Changes directory.Changes
	// Packed has the changes instead when there are many.
	Packed []byte
	// Fresh tells that the sender knows of a confirmed quorum: as a member that
	// leads or hears its leader, or as a balancer that follows such a member.
	Fresh bool
	// Age is how long ago the quorum was confirmed.
	Age time.Duration
	// Depth is the number of balancers between the sender and the member that
	// it hears of: zero for a member.
	Depth uint8
	// Elsewhere tells that the sender feeds as many as it may; this answer is
	// its only one, and the balancer is to follow another node.
	Elsewhere bool
	// Peers are balancers to follow when no member can be reached; set when
	// they changed since the last update to this balancer.
	Peers []model.NodeName
	// Neighbours are the balancers to tell of the load of targets. Members set
	// them, and NeighboursTold, when they changed since the last update to this
	// balancer.
	Neighbours     []model.NodeName
	NeighboursTold bool
	// Members are the names of the group's members; set when they changed
	// since the last update to this balancer.
	Members []model.NodeName
}

// Peer is a balancer that others may follow, at its name.
type Peer struct {
	Name model.NodeName
	Zone model.ZoneName
	// Renewals is the address at which it takes renewals of targets; empty
	// when it takes none.
	Renewals string
}

// Followers tells the other members which balancers follow this one, so that
// each can tell its own followers of enough others.
type Followers struct {
	Peers []Peer
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

// HealthReport tells the node that a balancer follows about a target that a
// probe found dead. Balancers pass it on to the node that they follow, members
// to the leader.
type HealthReport struct {
	// Hops is the number of balancers that passed the report on.
	Hops    uint8
	Token   directory.Token
	Verdict Verdict
	// Balancer is the balancer that probed.
	Balancer model.NodeName
}

// OutcomeCount has the requests that a balancer sent to a target, by whether
// and how they were answered.
type OutcomeCount struct {
	Token      directory.Token
	Answered   uint32
	Unanswered uint32
	// Hasty are those of the answered ones whose answers came far sooner, and were far
	// shorter, than others of their routes.
	Hasty uint32
}

// OutcomeReport tells the node that a balancer follows how requests ended lately.
// It goes the way of a HealthReport.
type OutcomeReport struct {
	// Hops is the number of balancers that passed the report on.
	Hops   uint8
	Counts []OutcomeCount
}

func init() {
	protocol.RegisterAs("ds", Subscribe{})
	protocol.RegisterAs("du", Update{})
	protocol.RegisterAs("dh", HealthReport{})
	protocol.RegisterAs("do", OutcomeReport{})
	protocol.RegisterAs("df", Followers{})
}

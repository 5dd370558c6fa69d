// Package feed sends the directory of direct services from the control group to the balancers.
//
// A balancer follows one member at a time. It subscribes with the revision that it has; the member
// sends changes as soon as they are committed, and keepalives at an interval. When the member sends
// nothing for a while, or has lost its quorum, the balancer follows another one. The revision of a
// balancer's table never decreases, whichever member it follows.
//
// Balancers relay the feed. Members send each balancer the names of a few others. A balancer that
// reaches no member, or whose members already feed as many balancers as they may, follows another
// balancer. Its table then counts as current only as of the last quorum confirmation that reached
// that balancer. Each update carries the age of this confirmation, which only grows, so two
// balancers that are both cut off from all members cannot confirm each other's tables. Each update
// also carries the number of balancers on its path from the member. The number is bounded, so
// balancers that follow each other in a cycle detect it.
package feed

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Subscribe asks a member, or another balancer, for the changes after the revision Have. Balancers
// repeat it, as followers that stop subscribing are removed.
type Subscribe struct {
	Have model.Revision
	// Zone is the balancer's zone.
	Zone model.ZoneName
	// Serves means that other balancers may follow this one. They reach it by its node name.
	Serves bool
	// Renewals is the address at which the balancer accepts renewals of targets; empty if it
	// accepts none.
	Renewals string
}

// Update answers a Subscribe. It is also sent after each commit and as a keepalive.
type Update struct {
	Changes directory.Changes
	// Packed holds the changes in compressed form if there are many. Changes then has no entries.
	Packed []byte
	// Fresh means that the sender has a recent quorum confirmation: it is a member that leads or
	// is in contact with its leader, or a balancer that such a confirmation reached.
	Fresh bool
	// Age is the time since the quorum was confirmed.
	Age time.Duration
	// Depth is the number of balancers on the path from the member to the sender, including the
	// sender: zero for a member.
	Depth uint8
	// Elsewhere means that the sender already has as many followers as it may have. This update is
	// its only answer to the subscription, and the balancer should follow another node.
	Elsewhere bool
	// Peers are balancers to follow when no member can be reached. Peers, Neighbours and Members
	// are only set if they changed since the last update to this balancer, and in the first update
	// after each of its subscriptions.
	Peers []model.NodeName
	// Neighbours are the balancers to exchange the load of targets with. Only members set them.
	// NeighboursTold means that they are set, as they may be empty.
	Neighbours     []model.NodeName
	NeighboursTold bool
	// Members are the names of the group's members.
	Members []model.NodeName
}

// Peer is a balancer that others may follow. They reach it by its node name.
type Peer struct {
	Name model.NodeName
	Zone model.ZoneName
	// Renewals is the address at which it accepts renewals of targets; empty if it accepts none.
	Renewals string
}

// Followers is sent by a member to the other members and lists balancers that follow it, so that
// each member can name enough peers to its own followers.
type Followers struct {
	Peers []Peer
}

// Verdict is the result of a balancer's probe of a target that did not answer.
type Verdict uint8

// The verdicts.
const (
	// VerdictRefused means that nothing listens at the target's address.
	VerdictRefused Verdict = iota + 1
	// VerdictSilent means that the target's machine does not answer.
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

// HealthReport reports a target that failed a balancer's probe. It goes to the node that the
// balancer follows. Balancers forward it to the node that they follow, members to the leader.
type HealthReport struct {
	// Hops is the number of balancers that forwarded the report.
	Hops    uint8
	Token   directory.Token
	Verdict Verdict
	// Balancer is the balancer that probed the target.
	Balancer model.NodeName
}

// OutcomeCount counts the requests that a balancer sent to a target, by outcome.
type OutcomeCount struct {
	Token      directory.Token
	Answered   uint32
	Unanswered uint32
	// Hasty counts the answered requests whose answers came much sooner, and were much shorter,
	// than is usual on their routes. Such answers are probably errors; see package outcome.
	Hasty uint32
}

// OutcomeReport reports the outcomes of recent requests. It is forwarded like a HealthReport.
type OutcomeReport struct {
	// Hops is the number of balancers that forwarded the report.
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

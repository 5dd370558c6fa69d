package relay

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// passage serves relays that have this one as their upstream. They subscribe
// to the configuration here; their reports and claims are passed on to control
// and its answers back. The leader grants to each relay by itself, and a grant
// counts from when the far relay sent its report, so a detour only shortens
// it.
type passage struct {
	mailbox   *protocol.Mailbox
	publisher *rollout.Publisher
	// upstreams are the processes that this relay may use as upstream.
	upstreams []model.NodeName
	// children has when each relay that is connected to this one was last
	// heard; below has the child through which each farther one was.
	children map[model.NodeName]time.Time
	below    map[model.NodeName]model.NodeName
}

func newPassage(options Options, mailbox *protocol.Mailbox, publisher *rollout.Publisher) *passage {
	return &passage{
		mailbox:   mailbox,
		publisher: publisher,
		upstreams: options.Control,
		children:  make(map[model.NodeName]time.Time),
		below:     make(map[model.NodeName]model.NodeName),
	}
}

func (passage *passage) reconcile(now time.Time, queues queues, member model.NodeName) {
	for _, envelope := range queues.reports.Drain() {
		if report, isReport := envelope.Message.(protocol.Report); isReport {
			passage.children[envelope.From] = now
			passage.publisher.Confirm(now, envelope.From, report.Applied, report.Digest)
			passage.up(member, envelope.From, report)
		}
	}
	for _, envelope := range queues.passed.Drain() {
		passed, isPassed := envelope.Message.(protocol.Passed)
		switch {
		case !isPassed:
		case slices.Contains(passage.upstreams, envelope.From):
			passage.down(passed)
		default:
			passage.forward(now, member, envelope.From, passed)
		}
	}
	passage.forget(now)
}

// hasChild tells whether name is a relay that is connected to this one.
func (passage *passage) hasChild(name model.NodeName) bool {
	_, isChild := passage.children[name]
	return isChild
}

// up passes a child's own message on to control.
func (passage *passage) up(member, child model.NodeName, message any) {
	passage.mailbox.Send(member, protocol.Passed{Relay: child, Message: message, Hops: 1})
}

// forward passes on what a child passed on.
func (passage *passage) forward(now time.Time, member, child model.NodeName, passed protocol.Passed) {
	passage.children[child] = now
	if passed.Hops >= protocol.MaximumHops {
		return
	}
	passage.below[passed.Relay] = child
	passed.Hops++
	passage.mailbox.Send(member, passed)
}

// down passes an answer of control on towards its relay.
func (passage *passage) down(passed protocol.Passed) {
	if passage.hasChild(passed.Relay) {
		passage.mailbox.Send(passed.Relay, passed.Message)
		return
	}
	if child, known := passage.below[passed.Relay]; known {
		passage.mailbox.Send(child, passed)
	}
}

func (passage *passage) forget(now time.Time) {
	for child, heardAt := range passage.children {
		if now.Sub(heardAt) <= forgetAfter {
			continue
		}
		delete(passage.children, child)
		passage.publisher.Remove(child)
		for relay, via := range passage.below {
			if via == child {
				delete(passage.below, relay)
			}
		}
	}
}

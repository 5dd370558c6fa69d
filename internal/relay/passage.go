package relay

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// downstreamRelays serves relays that have this one as their upstream. They subscribe to the
// configuration here. Their reports and claims are forwarded to control, and control's answers
// back to them. The leader grants to each relay individually. The duration of a grant counts from
// when the downstream relay sent its report, so the delay of forwarding only shortens it.
type downstreamRelays struct {
	mailbox   *protocol.Mailbox
	publisher *rollout.Publisher
	// upstreams are the processes that this relay may use as upstream. Messages from them are
	// answers of control; messages from other processes go to control.
	upstreams []model.NodeName
	// lastHeard has the time of the last report or forwarded message from each child, a relay that
	// is connected to this one.
	lastHeard map[model.NodeName]time.Time
	// childFor has, for each relay that reaches this one through other relays, the child that last
	// forwarded a message of it.
	childFor map[model.NodeName]model.NodeName
}

func newDownstreamRelays(options Options, mailbox *protocol.Mailbox, publisher *rollout.Publisher) *downstreamRelays {
	return &downstreamRelays{
		mailbox:   mailbox,
		publisher: publisher,
		upstreams: options.Control,
		lastHeard: make(map[model.NodeName]time.Time),
		childFor:  make(map[model.NodeName]model.NodeName),
	}
}

func (downstream *downstreamRelays) reconcile(now time.Time, queues queues, member model.NodeName) {
	for _, envelope := range queues.reports.Drain() {
		if report, isReport := envelope.Message.(protocol.Report); isReport {
			downstream.lastHeard[envelope.From] = now
			downstream.publisher.Confirm(now, envelope.From, report.Applied, report.Digest)
			downstream.sendUp(member, envelope.From, report)
		}
	}
	for _, envelope := range queues.passed.Drain() {
		passed, isPassed := envelope.Message.(protocol.Passed)
		switch {
		case !isPassed:
		case slices.Contains(downstream.upstreams, envelope.From):
			downstream.sendDown(passed)
		default:
			downstream.forwardUp(now, member, envelope.From, passed)
		}
	}
	downstream.expire(now)
}

// hasChild reports whether name is a relay that is connected to this one.
func (downstream *downstreamRelays) hasChild(name model.NodeName) bool {
	_, isChild := downstream.lastHeard[name]
	return isChild
}

// sendUp sends a child's own message to control, in the child's name.
func (downstream *downstreamRelays) sendUp(member, child model.NodeName, message any) {
	downstream.mailbox.Send(member, protocol.Passed{Relay: child, Message: message, Hops: 1})
}

// forwardUp forwards to control a message that a child forwards for a farther relay. A message
// that has made MaximumHops hops is dropped, because relays may name each other as upstream.
func (downstream *downstreamRelays) forwardUp(now time.Time, member, child model.NodeName, passed protocol.Passed) {
	downstream.lastHeard[child] = now
	if passed.Hops >= protocol.MaximumHops {
		return
	}
	downstream.childFor[passed.Relay] = child
	passed.Hops++
	downstream.mailbox.Send(member, passed)
}

// sendDown sends an answer of control to its relay, or to the child that last forwarded a message of
// the relay.
func (downstream *downstreamRelays) sendDown(passed protocol.Passed) {
	if downstream.hasChild(passed.Relay) {
		downstream.mailbox.Send(passed.Relay, passed.Message)
		return
	}
	if child, known := downstream.childFor[passed.Relay]; known {
		downstream.mailbox.Send(child, passed)
	}
}

// expire removes children that sent no report and forwarded nothing for expireAfter, and the routes
// through them.
func (downstream *downstreamRelays) expire(now time.Time) {
	for child, heardAt := range downstream.lastHeard {
		if now.Sub(heardAt) <= expireAfter {
			continue
		}
		delete(downstream.lastHeard, child)
		downstream.publisher.Remove(child)
		for relay, via := range downstream.childFor {
			if via == child {
				delete(downstream.childFor, relay)
			}
		}
	}
}

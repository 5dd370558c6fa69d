// Package renewal spreads the renewals of many targets over the balancers.
//
// Members hand a target whose renewals they have too many of to a balancer. The
// balancer takes only what changes nothing, and only while it hears a quorum;
// everything else it refuses, so that the target goes back to a member. It
// tells the node that it follows, folded into one message, which targets
// renewed.
package renewal

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// tellInterval is the time between two messages with renewals.
const tellInterval = 400 * time.Millisecond

// heardWithin is how long after the last word of a quorum a balancer takes
// renewals. It is longer than a table counts as current: when members have too
// much to do, all targets that went back to them would be more than they can
// take, and a target whose renewals do not arrive is probed before it fails.
const heardWithin = 6 * time.Second

// keptFor is how long a renewal is kept while no node is followed; an older one
// says nothing any more.
const keptFor = 3 * time.Second

// Relay is the controller that takes renewals at a balancer. Renew may be called
// from any goroutine.
type Relay struct {
	mailbox *protocol.Mailbox
	passed  *board.Queue[protocol.Envelope]
	table   *steer.Table
	follows func() model.NodeName
	renewed *board.Table[directory.TargetID, time.Time]
	toldAt  time.Time
}

// NewRelay returns the controller. follows returns the node that is told.
func NewRelay(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, table *steer.Table, follows func() model.NodeName) *Relay {
	return &Relay{
		mailbox: mailbox,
		passed:  dispatcher.Handle(registrar.Renewals{}),
		table:   table,
		follows: follows,
		renewed: registrar.NewRenewed(),
	}
}

// Renew takes a target's renewal. It refuses what must be committed and what
// the table does not know.
func (relay *Relay) Renew(now time.Time, stated directory.Target) error {
	if confirmedAt := relay.table.ConfirmedAt(); confirmedAt.IsZero() || now.Sub(confirmedAt) > heardWithin {
		return faults.New(faults.QuorumUnconfirmed, "this balancer has not heard from a quorum lately")
	}
	known, exists := relay.table.FindTarget(stated.ID)
	sameColdness := (known.Cold > 0) == (stated.Cold > 0)
	unchanged := exists &&
		known.Started == stated.Started &&
		(sameColdness || !relay.table.HasColdLimit(known.Service)) &&
		known.State == directory.TargetReady &&
		stated.State == directory.TargetReady &&
		known.Address == stated.Address &&
		known.Capacity == stated.Capacity
	if !unchanged {
		return faults.New(faults.NotLeader, "this balancer takes renewals only; a member takes what is new")
	}
	relay.renewed.Put(stated.ID, now)
	return nil
}

// Name implements board.Controller.
func (relay *Relay) Name() string { return "renewals" }

// Reconcile implements board.Controller.
func (relay *Relay) Reconcile(now time.Time) {
	relay.takePassed(now)
	if now.Sub(relay.toldAt) < tellInterval {
		return
	}
	relay.toldAt = now
	renewals := registrar.TakeRenewals(relay.renewed, now)
	renewals = slices.DeleteFunc(renewals, func(renewal registrar.Renewal) bool { return renewal.Ago > keptFor })
	if node := relay.follows(); node != "" && len(renewals) > 0 {
		slices.SortFunc(renewals, func(left, right registrar.Renewal) int { return cmp.Compare(left.ID, right.ID) })
		relay.mailbox.Send(node, registrar.Renewals{Targets: renewals})
	}
}

// takePassed keeps the renewals that balancers which follow this one took, for
// the next message.
func (relay *Relay) takePassed(now time.Time) {
	for _, received := range protocol.Receive[registrar.Renewals](relay.passed) {
		message := received.Message
		for _, renewal := range message.Targets {
			relay.renewed.Update(renewal.ID, func(at time.Time, exists bool) (time.Time, bool) {
				passed := now.Add(-renewal.Ago)
				if exists && at.After(passed) {
					return at, true
				}
				return passed, true
			})
		}
	}
}

// Package renewal distributes the renewals of many targets over the balancers.
//
// A member that gets too many renewals redirects targets to a balancer. The balancer accepts only
// renewals that change nothing, and only while a quorum has confirmed its table recently. It
// refuses all other calls, so that the target goes back to a member. Once per interval, it sends
// the accepted renewals in one message to the node that it follows.
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

// sendInterval is the time between two messages with renewals.
const sendInterval = 400 * time.Millisecond

// maxConfirmationAge is how long after the last confirmation by a quorum a balancer accepts
// renewals. It is longer than the time for which a table counts as current: when members are
// overloaded, they could not handle all the targets that would go back to them. This is safe
// because a target whose renewals do not arrive is probed before it is marked as failed.
const maxConfirmationAge = 6 * time.Second

// maxRenewalAge is the age above which a renewal is dropped instead of sent: it is no longer
// evidence that the target is alive.
const maxRenewalAge = 3 * time.Second

// Relay is the controller that accepts renewals at a balancer. Renew may be called from any
// goroutine.
type Relay struct {
	mailbox      *protocol.Mailbox
	forwarded    *board.Queue[protocol.Envelope]
	table        *steer.Table
	followedNode func() model.NodeName
	renewedAt    *board.Table[directory.TargetID, time.Time]
	lastSentAt   time.Time
}

// NewRelay returns the controller. followedNode returns the node to which renewals are sent; empty
// for none.
func NewRelay(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, table *steer.Table, followedNode func() model.NodeName) *Relay {
	return &Relay{
		mailbox:      mailbox,
		forwarded:    dispatcher.Handle(registrar.Renewals{}),
		table:        table,
		followedNode: followedNode,
		renewedAt:    registrar.NewRenewalTable(),
	}
}

// Renew records a target's renewal. It returns NotLeader for changes that must be committed and
// for targets that the table does not have, and QuorumUnconfirmed while no quorum has confirmed
// the table recently.
func (relay *Relay) Renew(now time.Time, reported directory.Target) error {
	if confirmedAt := relay.table.ConfirmedAt(); confirmedAt.IsZero() || now.Sub(confirmedAt) > maxConfirmationAge {
		return faults.New(faults.QuorumUnconfirmed, "no quorum has confirmed the table of this balancer recently")
	}
	known, exists := relay.table.FindTarget(reported.ID)
	sameColdness := (known.Cold > 0) == (reported.Cold > 0)
	unchanged := exists &&
		known.Started == reported.Started &&
		(sameColdness || !relay.table.HasColdLimit(known.Service)) &&
		known.State == directory.TargetReady &&
		reported.State == directory.TargetReady &&
		known.Address == reported.Address &&
		known.Capacity == reported.Capacity
	if !unchanged {
		return faults.New(faults.NotLeader, "a balancer accepts only renewals that change nothing; send other registrations to a member")
	}
	relay.renewedAt.Put(reported.ID, now)
	return nil
}

// Name implements board.Controller.
func (relay *Relay) Name() string { return "renewals" }

// Reconcile implements board.Controller. Once per interval, it sends the recorded renewals to the
// followed node. Without a followed node, they are dropped.
func (relay *Relay) Reconcile(now time.Time) {
	relay.mergeForwarded(now)
	if now.Sub(relay.lastSentAt) < sendInterval {
		return
	}
	relay.lastSentAt = now
	renewals := registrar.DrainRenewals(relay.renewedAt, now)
	renewals = slices.DeleteFunc(renewals, func(renewal registrar.Renewal) bool { return renewal.Ago > maxRenewalAge })
	if node := relay.followedNode(); node != "" && len(renewals) > 0 {
		slices.SortFunc(renewals, func(left, right registrar.Renewal) int { return cmp.Compare(left.ID, right.ID) })
		relay.mailbox.Send(node, registrar.Renewals{Targets: renewals})
	}
}

// mergeForwarded records the renewals that balancers which follow this one forwarded, for the next
// message. The latest renewal of each target counts.
func (relay *Relay) mergeForwarded(now time.Time) {
	for _, received := range protocol.Receive[registrar.Renewals](relay.forwarded) {
		message := received.Message
		for _, renewal := range message.Targets {
			relay.renewedAt.Update(renewal.ID, func(at time.Time, exists bool) (time.Time, bool) {
				renewed := now.Add(-renewal.Ago)
				if exists && at.After(renewed) {
					return at, true
				}
				return renewed, true
			})
		}
	}
}

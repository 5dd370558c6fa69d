package registrar

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// renewalInterval is the time between two messages that fold renewals.
const renewalInterval = 250 * time.Millisecond

// takeRenewals returns the targets that were heard from at this member since
// the last call, and those that other members told.
func (health *HealthMonitor) takeRenewals(now time.Time) []Renewal {
	var renewals []Renewal
	for _, received := range protocol.Receive[Renewals](health.renewals) {
		message := received.Message
		renewals = append(renewals, message.Targets...)
	}
	if now.Sub(health.toldAt) < renewalInterval {
		return renewals
	}
	health.toldAt = now
	renewals = append(renewals, DrainRenewals(health.renewed, now)...)
	slices.SortFunc(renewals, func(left, right Renewal) int { return cmp.Compare(left.ID, right.ID) })
	return renewals
}

// DrainRenewals returns what the table has and takes it out, but for targets
// that renew meanwhile.
func DrainRenewals(renewed *RenewalTable, now time.Time) []Renewal {
	var renewals []Renewal
	renewed.Range(func(id directory.TargetID, row board.Row[time.Time]) bool {
		renewals = append(renewals, Renewal{ID: id, Ago: now.Sub(row.Value)})
		return true
	})
	for _, renewal := range renewals {
		taken := now.Add(-renewal.Ago)
		renewed.Update(renewal.ID, func(at time.Time, exists bool) (time.Time, bool) {
			return at, exists && at.After(taken)
		})
	}
	return renewals
}

// passOn sends the leader what this member heard.
func (health *HealthMonitor) passOn(leader model.NodeName, renewals []Renewal) {
	reports := health.reports.Drain()
	outcomes := health.outcomes.Drain()
	if leader == "" || leader == health.mailbox.Self {
		return
	}
	if len(renewals) > 0 {
		health.mailbox.Send(leader, Renewals{Targets: renewals})
	}
	for _, envelope := range append(reports, outcomes...) {
		health.mailbox.Send(leader, envelope.Message)
	}
}

// note takes renewals in. A renewal counts for the latest incarnation of its target: a
// former one is gone for good. One of a target that is not in the directory is one of a
// registration that was not committed.
func (health *HealthMonitor) note(now time.Time, renewals []Renewal) {
	for _, renewal := range renewals {
		token, exists := health.directory.TokenOf(renewal.ID)
		if !exists {
			continue
		}
		known := health.observation(token)
		renewedAt := now.Add(-renewal.Ago)
		if renewedAt.After(known.renewedAt) {
			known.renewedAt = renewedAt
		}
		if renewedAt.After(known.seenAt) {
			known.seenAt = renewedAt
		}
		if renewal.Ago < renewalInterval {
			known.witnesses = nil
			known.silentProbes = 0
		}
	}
}

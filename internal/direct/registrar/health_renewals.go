package registrar

import (
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// renewalInterval is the time between two messages that fold renewals.
const renewalInterval = 250 * time.Millisecond

// takeRenewals returns the targets that were heard from at this member since
// the last call, and those that other members told.
func (health *Health) takeRenewals(now time.Time) []Renewal {
	var renewals []Renewal
	for _, envelope := range health.renewals.Drain() {
		message, _ := envelope.Message.(Renewals)
		renewals = append(renewals, message.Targets...)
	}
	if now.Sub(health.toldAt) < renewalInterval {
		return renewals
	}
	health.toldAt = now
	latest := health.told
	health.renewed.Range(func(id directory.TargetID, row board.Row[time.Time]) bool {
		if row.Revision > health.told {
			renewals = append(renewals, Renewal{ID: id, Ago: now.Sub(row.Value)})
			latest = max(latest, row.Revision)
		}
		return true
	})
	health.told = latest
	health.dropOldRenewals(now)
	slices.SortFunc(renewals, func(left, right Renewal) int {
		if left.ID < right.ID {
			return -1
		}
		return 1
	})
	return renewals
}

// renewalKept is how long a renewal is remembered at the member that took it.
const renewalKept = time.Minute

// dropOldRenewals forgets targets that no longer renew here.
func (health *Health) dropOldRenewals(now time.Time) {
	var old []directory.TargetID
	health.renewed.Range(func(id directory.TargetID, row board.Row[time.Time]) bool {
		if now.Sub(row.Value) > renewalKept {
			old = append(old, id)
		}
		return true
	})
	for _, id := range old {
		health.renewed.Delete(id)
	}
}

// passOn sends the leader what this member heard.
func (health *Health) passOn(leader model.NodeName, renewals []Renewal) {
	reports := health.reports.Drain()
	if leader == "" || leader == health.mailbox.Self {
		return
	}
	if len(renewals) > 0 {
		health.mailbox.Send(leader, Renewals{Targets: renewals})
	}
	for _, envelope := range reports {
		health.mailbox.Send(leader, envelope.Message)
	}
}

// note takes renewals in.
func (health *Health) note(now time.Time, renewals []Renewal) {
	for _, renewal := range renewals {
		known := health.observation(renewal.ID)
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

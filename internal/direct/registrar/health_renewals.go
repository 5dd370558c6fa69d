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

// renewalFlushInterval is the time between two messages with the renewals at this member.
const renewalFlushInterval = 250 * time.Millisecond

// collectRenewals returns the renewals that other members and balancers sent and, every
// renewalFlushInterval, those received at this member since the last flush.
func (health *HealthMonitor) collectRenewals(now time.Time) []Renewal {
	var renewals []Renewal
	for _, received := range protocol.Receive[Renewals](health.renewalMessages) {
		message := received.Message
		renewals = append(renewals, message.Targets...)
	}
	if now.Sub(health.renewalsDrainedAt) < renewalFlushInterval {
		return renewals
	}
	health.renewalsDrainedAt = now
	renewals = append(renewals, DrainRenewals(health.renewalTable, now)...)
	slices.SortFunc(renewals, func(left, right Renewal) int { return cmp.Compare(left.ID, right.ID) })
	return renewals
}

// DrainRenewals returns the renewals in the table and deletes their rows, except for targets
// that renewed again meanwhile.
func DrainRenewals(table *RenewalTable, now time.Time) []Renewal {
	var renewals []Renewal
	table.Range(func(id directory.TargetID, row board.Row[time.Time]) bool {
		renewals = append(renewals, Renewal{ID: id, Ago: now.Sub(row.Value)})
		return true
	})
	for _, renewal := range renewals {
		drainedAt := now.Add(-renewal.Ago)
		table.Update(renewal.ID, func(at time.Time, exists bool) (time.Time, bool) {
			return at, exists && at.After(drainedAt)
		})
	}
	return renewals
}

// forwardToLeader sends the leader the renewals and the reports that this member received.
// Without a known leader they are dropped.
func (health *HealthMonitor) forwardToLeader(leader model.NodeName, renewals []Renewal) {
	reports := health.healthReports.Drain()
	outcomes := health.outcomeReports.Drain()
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

// recordRenewals records renewals. A renewal counts for the latest incarnation of its target,
// because the process of an earlier one has ended. Renewals of targets that are not in the
// directory are ignored: their registration was not committed. A renewal younger than
// renewalFlushInterval also discards the findings that the target does not answer.
func (health *HealthMonitor) recordRenewals(now time.Time, renewals []Renewal) {
	for _, renewal := range renewals {
		token, exists := health.directory.TokenOf(renewal.ID)
		if !exists {
			continue
		}
		observed := health.observationOf(token)
		renewedAt := now.Add(-renewal.Ago)
		if renewedAt.After(observed.renewedAt) {
			observed.renewedAt = renewedAt
		}
		if renewedAt.After(observed.seenAt) {
			observed.seenAt = renewedAt
		}
		if renewal.Ago < renewalFlushInterval {
			observed.reporters = nil
			observed.unansweredProbes = 0
		}
	}
}

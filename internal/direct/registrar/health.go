package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/outcome"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/protocol"
)

// HealthOptions are the time limits of failure detection.
type HealthOptions struct {
	// SilentAfter is how long after its latest renewal or probe answer a target is probed.
	SilentAfter time.Duration
	// MissedAfter is how long after the latest renewal the next one counts as missed.
	MissedAfter time.Duration
	// MinProbeInterval is the minimum time between two probes of a target.
	MinProbeInterval time.Duration
	// RemoveFailedAfter is how long the token of a failed target is kept: the longest lifetime
	// of a flow and a margin.
	RemoveFailedAfter time.Duration
}

// HealthMonitor is the controller that detects failed targets and ejects targets with failing
// requests. Members forward renewals and balancers' reports to the leader; the leader probes
// targets that stopped renewing and commits what it finds.
type HealthMonitor struct {
	options         HealthOptions
	mailbox         *protocol.Mailbox
	group           Group
	directory       *directory.Directory
	renewalTable    *RenewalTable
	renewalMessages *board.Queue[protocol.Envelope]
	healthReports   *board.Queue[protocol.Envelope]
	outcomeReports  *board.Queue[protocol.Envelope]
	ejector         *outcome.Ejector
	prober          *probe.Prober
	logger          *zap.Logger

	// targets are those of the latest checkTargets. The slice is reused to avoid allocations.
	targets      []directory.Target
	observations map[directory.Token]*observation
	// now is the time of the current Reconcile.
	now time.Time
	// leadingSince is when this member became leader; zero when it doesn't lead.
	leadingSince      time.Time
	term              uint64
	renewalsDrainedAt time.Time
	outliersCheckedAt time.Time
}

// NewHealthMonitor returns the health monitor of one member.
func NewHealthMonitor(options HealthOptions, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group Group,
	directory *directory.Directory, renewalTable *RenewalTable, prober *probe.Prober, logger *zap.Logger) *HealthMonitor {
	return &HealthMonitor{
		options:         options,
		mailbox:         mailbox,
		group:           group,
		directory:       directory,
		renewalTable:    renewalTable,
		renewalMessages: dispatcher.Handle(Renewals{}),
		healthReports:   dispatcher.Handle(feed.HealthReport{}),
		outcomeReports:  dispatcher.Handle(feed.OutcomeReport{}),
		ejector:         outcome.NewEjector(),
		prober:          prober,
		logger:          logger,
		observations:    newObservations(),
	}
}

func newObservations() map[directory.Token]*observation {
	return make(map[directory.Token]*observation)
}

// Name implements board.Controller.
func (health *HealthMonitor) Name() string { return "target health" }

// Sources returns the channels whose notifications trigger a Reconcile.
func (health *HealthMonitor) Sources() []<-chan struct{} {
	return []<-chan struct{}{health.healthReports.Watch(), health.prober.Results.Watch()}
}

// Reconcile implements board.Controller.
func (health *HealthMonitor) Reconcile(now time.Time) {
	health.now = now
	status := health.group.StatusAt(now)
	renewals := health.collectRenewals(now)
	if !status.Leading {
		health.forwardToLeader(status.Leader, renewals)
		health.observations = newObservations()
		health.leadingSince = time.Time{}
		health.prober.Results.Drain()
		return
	}
	if health.leadingSince.IsZero() || health.term != status.Term {
		health.leadingSince = now
		health.term = status.Term
		health.observations = newObservations()
		health.ejector = outcome.NewEjector()
	}
	health.recordRenewals(now, renewals)
	health.handleHealthReports(now)
	health.handleProbeResults(now)
	health.checkTargets(now)
	health.ejectOutliers(now)
}

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

// HealthOptions are the bounds of failure detection.
type HealthOptions struct {
	// SilentAfter is how long a target may send no renewal before it is
	// probed.
	SilentAfter time.Duration
	// MissedAfter is how long after a renewal the next one counts as missed.
	MissedAfter time.Duration
	// ProbePause is the least time between two probes of one target.
	ProbePause time.Duration
	// ForgetAfter is how long a failed target's token is kept: the longest
	// life of a flow and a margin.
	ForgetAfter time.Duration
}

// Health is the controller that finds dead targets. Members pass renewals and
// reports of balancers to the leader; the leader probes what is silent and
// commits what it finds.
type Health struct {
	options   HealthOptions
	mailbox   *protocol.Mailbox
	group     Group
	directory *directory.Directory
	renewed   *Renewed
	renewals  *board.Queue[protocol.Envelope]
	reports   *board.Queue[protocol.Envelope]
	outcomes  *board.Queue[protocol.Envelope]
	judge     *outcome.Ejector
	prober    *probe.Prober
	logger    *zap.Logger

	// looked is kept between looks at the targets, to spare its memory.
	looked   []directory.Target
	observed map[directory.Token]*observation
	// now is the time of the present Reconcile.
	now time.Time
	// since is when this member began to lead.
	since    time.Time
	term     uint64
	toldAt   time.Time
	judgedAt time.Time
}

// NewHealth returns the failure detector of one member.
func NewHealth(options HealthOptions, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group Group,
	directory *directory.Directory, renewed *Renewed, prober *probe.Prober, logger *zap.Logger) *Health {
	return &Health{
		options:   options,
		mailbox:   mailbox,
		group:     group,
		directory: directory,
		renewed:   renewed,
		renewals:  dispatcher.Handle(Renewals{}),
		reports:   dispatcher.Handle(feed.HealthReport{}),
		outcomes:  dispatcher.Handle(feed.OutcomeReport{}),
		judge:     outcome.NewEjector(),
		prober:    prober,
		logger:    logger,
		observed:  newObserved(),
	}
}

func newObserved() map[directory.Token]*observation {
	return make(map[directory.Token]*observation)
}

// Name implements board.Controller.
func (health *Health) Name() string { return "target health" }

// Sources returns the channels whose notices call for a Reconcile.
func (health *Health) Sources() []<-chan struct{} {
	return []<-chan struct{}{health.reports.Watch(), health.prober.Results.Watch()}
}

// Reconcile implements board.Controller.
func (health *Health) Reconcile(now time.Time) {
	health.now = now
	status := health.group.StatusAt(now)
	renewals := health.takeRenewals(now)
	if !status.Leading {
		health.passOn(status.Leader, renewals)
		health.observed = newObserved()
		health.since = time.Time{}
		health.prober.Results.Drain()
		return
	}
	if health.since.IsZero() || health.term != status.Term {
		health.since = now
		health.term = status.Term
		health.observed = newObserved()
		health.judge = outcome.NewEjector()
	}
	health.note(now, renewals)
	health.takeReports(now)
	health.takeResults(now)
	health.inspect(now)
	health.judgeOutcomes(now)
}

// Package outcome detects targets that accept requests but do not answer them, or answer them with
// errors, although their port and their health check are fine. It uses what balancers see of open
// flows. Balancers do not see the content of answers, so errors are recognized by their time and
// size: an error takes no work, so it comes much sooner than the usual answer of its route and is
// much shorter. Such answers are called hasty.
//
// Tracker counts the requests of a balancer's flows by outcome (package requests). Ejector runs at
// the leader of the control group and ejects targets that do far worse than the rest of their
// service.
package outcome

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// reportInterval is the time between two reports.
const reportInterval = 500 * time.Millisecond

// Tracker is the controller that counts the answered, unanswered and hastily answered requests of a
// balancer's flows. It reports them while the balancer sees all packets of its flows. It implements
// requests.Listener and requests.AnswerObserver.
type Tracker struct {
	mailbox    *protocol.Mailbox
	reportTo   func() model.NodeName
	continuity requests.Continuity

	lock       sync.Mutex
	counts     map[directory.Token]feed.OutcomeCount
	baselines  baselines
	reportedAt time.Time
}

var (
	_ requests.Listener       = (*Tracker)(nil)
	_ requests.AnswerObserver = (*Tracker)(nil)
)

// NewTracker returns a Tracker. reportTo returns the node that receives the reports, or the empty
// name if there is none.
func NewTracker(mailbox *protocol.Mailbox, reportTo func() model.NodeName) *Tracker {
	return &Tracker{
		mailbox:   mailbox,
		reportTo:  reportTo,
		counts:    make(map[directory.Token]feed.OutcomeCount),
		baselines: make(baselines),
	}
}

// Began implements requests.Listener.
func (tracker *Tracker) Began(requests.Target, time.Time) {}

// Ended implements requests.Listener.
func (tracker *Tracker) Ended(target requests.Target, ending requests.Ending, _ time.Duration) {
	if ending == requests.Withdrawn {
		return
	}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	counted := tracker.counts[target.Token]
	counted.Token = target.Token
	if ending == requests.Answered {
		counted.Answered++
	} else {
		counted.Unanswered++
	}
	tracker.counts[target.Token] = counted
}

// AnswerStarted implements requests.AnswerObserver.
func (tracker *Tracker) AnswerStarted(answer requests.Answer) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if !tracker.baselines.observe(answer) {
		return
	}
	counted := tracker.counts[answer.Target.Token]
	counted.Token = answer.Target.Token
	counted.Hasty++
	tracker.counts[answer.Target.Token] = counted
}

// Receiving implements requests.Listener.
func (tracker *Tracker) Receiving(requests.Target, bool) {}

// Waiting implements requests.Listener.
func (tracker *Tracker) Waiting(requests.Target, bool) {}

// SequenceChecked implements requests.Listener.
func (tracker *Tracker) SequenceChecked(contiguous bool) { tracker.continuity.Note(contiguous) }

// Name implements board.Controller.
func (tracker *Tracker) Name() string { return "outcomes" }

// Reconcile implements board.Controller.
func (tracker *Tracker) Reconcile(now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if now.Sub(tracker.reportedAt) < reportInterval {
		return
	}
	tracker.reportedAt = now
	if report, noteworthy := tracker.report(); noteworthy && tracker.continuity.Complete() {
		if node := tracker.reportTo(); node != "" {
			tracker.mailbox.Send(node, report)
		}
	}
	clear(tracker.counts)
}

// report returns the counts, and whether they are worth sending: while all requests are answered as
// usual, no report is sent.
func (tracker *Tracker) report() (feed.OutcomeReport, bool) {
	var report feed.OutcomeReport
	noteworthy := false
	for _, counted := range tracker.counts {
		report.Counts = append(report.Counts, counted)
		noteworthy = noteworthy || counted.Unanswered > 0 || counted.Hasty > 0
	}
	slices.SortFunc(report.Counts, func(left, right feed.OutcomeCount) int { return cmp.Compare(left.Token, right.Token) })
	return report, noteworthy
}

// Package outcome finds targets that take requests and do not answer them, or answer
// them with errors, although their port and their health check are well, from what
// balancers see of open flows. An error is no work: it comes far sooner than other
// answers of its route, and is far shorter.
//
// Tracker counts the requests of a balancer's flows by how they ended (package
// requests), and Judge, at the leader of the control group, sets targets aside
// that are far worse than the rest of their service.
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

// Tracker is the controller that counts answered and unanswered requests of a
// balancer's flows and reports them, while the balancer sees its flows whole. It
// is a requests.Listener.
type Tracker struct {
	mailbox *protocol.Mailbox
	follows func() model.NodeName
	flows   requests.Continuity

	lock   sync.Mutex
	counts map[directory.Token]feed.OutcomeCount
	usual  usualAnswers
	toldAt time.Time
}

var (
	_ requests.Listener       = (*Tracker)(nil)
	_ requests.AnswerObserver = (*Tracker)(nil)
)

// NewTracker returns the controller. follows returns the node that gets the
// reports.
func NewTracker(mailbox *protocol.Mailbox, follows func() model.NodeName) *Tracker {
	return &Tracker{
		mailbox: mailbox,
		follows: follows,
		counts:  make(map[directory.Token]feed.OutcomeCount),
		usual:   make(usualAnswers),
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

// Came implements requests.AnswerObserver.
func (tracker *Tracker) AnswerStarted(answer requests.Answer) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if !tracker.usual.learn(answer) {
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

// Continued implements requests.Listener.
func (tracker *Tracker) SequenceChecked(whole bool) { tracker.flows.Note(whole) }

// Name implements board.Controller.
func (tracker *Tracker) Name() string { return "outcomes" }

// Reconcile implements board.Controller.
func (tracker *Tracker) Reconcile(now time.Time) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if now.Sub(tracker.toldAt) < reportInterval {
		return
	}
	tracker.toldAt = now
	if report, worth := tracker.report(); worth && tracker.flows.Complete() {
		if node := tracker.follows(); node != "" {
			tracker.mailbox.Send(node, report)
		}
	}
	clear(tracker.counts)
}

// report returns the counts, and whether they say anything: while every request
// is answered as usual, nothing is told.
func (tracker *Tracker) report() (feed.OutcomeReport, bool) {
	var report feed.OutcomeReport
	worth := false
	for _, counted := range tracker.counts {
		report.Counts = append(report.Counts, counted)
		worth = worth || counted.Unanswered > 0 || counted.Hasty > 0
	}
	slices.SortFunc(report.Counts, func(left, right feed.OutcomeCount) int { return cmp.Compare(left.Token, right.Token) })
	return report, worth
}

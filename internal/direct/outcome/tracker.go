// Package outcome finds targets that take requests and do not answer them,
// although their port and their health check are well, from what balancers see
// of open flows.
//
// A balancer sees the packets of callers alone. A caller that sent data and then
// acknowledges data of the target was answered; one that sends nothing for long,
// or ends the flow, was not. Tracker counts both on a balancer, and Judge, at the
// leader of the control group, sets targets aside that are far worse than the
// rest of their service.
package outcome

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// flowsKept bounds the flows that are watched at a time; others are not
	// counted.
	flowsKept = 2048
	// hangAfter is how long a request may go unanswered before it counts so. It
	// is far above the time of a request on a busy target.
	hangAfter = time.Second
	// reportInterval is the time between two reports.
	reportInterval = 500 * time.Millisecond
)

// flowKey names a flow by its two ends.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

// request is the open request of a watched flow.
type request struct {
	target directory.TargetID
	// acknowledged is the caller's acknowledgement when it asked.
	acknowledged uint32
	// sequence is the highest number of data that was sent. Data that is sent
	// again does not move askedAt: it was not taken.
	sequence uint32
	askedAt  time.Time
}

// Tracker is the controller that counts answered and unanswered requests of a
// balancer's flows. Note may be called from any goroutine.
type Tracker struct {
	mailbox *protocol.Mailbox
	follows func() model.NodeName

	lock     sync.Mutex
	requests map[flowKey]request
	counts   map[directory.TargetID]feed.OutcomeCount
	toldAt   time.Time
}

// NewTracker returns the controller. follows returns the node that gets the
// reports.
func NewTracker(mailbox *protocol.Mailbox, follows func() model.NodeName) *Tracker {
	return &Tracker{
		mailbox:  mailbox,
		follows:  follows,
		requests: make(map[flowKey]request),
		counts:   make(map[directory.TargetID]feed.OutcomeCount),
	}
}

// Note takes a packet in that was sent on to the target of an open flow.
func (tracker *Tracker) Note(segment steer.Segment, target directory.TargetID, now time.Time) {
	key := flowKey{caller: segment.Caller, service: segment.Service}
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	open, asked := tracker.requests[key]
	if asked && open.target != target {
		delete(tracker.requests, key)
		asked = false
	}
	switch {
	case asked && int32(segment.Acknowledgement-open.acknowledged) > 0:
		tracker.count(target, 1, 0)
		delete(tracker.requests, key)
		asked = false
	case asked && (segment.Abort || segment.Closing):
		tracker.count(target, 0, 1)
		delete(tracker.requests, key)
		return
	}
	if segment.HasData && !segment.Abort {
		if !asked {
			open = request{target: target, acknowledged: segment.Acknowledgement, sequence: segment.Sequence - 1}
		}
		tracker.ask(key, open, segment.Sequence, now)
	}
}

// ask notes data of a request. Data that is sent again changes nothing.
func (tracker *Tracker) ask(key flowKey, open request, sequence uint32, now time.Time) {
	_, asked := tracker.requests[key]
	if int32(sequence-open.sequence) <= 0 || !asked && len(tracker.requests) >= flowsKept {
		return
	}
	open.sequence = sequence
	open.askedAt = now
	tracker.requests[key] = open
}

func (tracker *Tracker) count(target directory.TargetID, answered, unanswered uint32) {
	counted := tracker.counts[target]
	counted.ID = target
	counted.Answered += answered
	counted.Unanswered += unanswered
	tracker.counts[target] = counted
}

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
	tracker.dropHung(now)
	if report, worth := tracker.report(); worth {
		if node := tracker.follows(); node != "" {
			tracker.mailbox.Send(node, report)
		}
	}
	clear(tracker.counts)
}

// dropHung counts requests that went unanswered for long.
func (tracker *Tracker) dropHung(now time.Time) {
	for key, open := range tracker.requests {
		if now.Sub(open.askedAt) >= hangAfter {
			tracker.count(open.target, 0, 1)
			delete(tracker.requests, key)
		}
	}
}

// report returns the counts, and whether they say anything: while every request
// is answered, nothing is told.
func (tracker *Tracker) report() (feed.OutcomeReport, bool) {
	var report feed.OutcomeReport
	worth := false
	for _, counted := range tracker.counts {
		report.Counts = append(report.Counts, counted)
		worth = worth || counted.Unanswered > 0
	}
	slices.SortFunc(report.Counts, func(left, right feed.OutcomeCount) int { return cmp.Compare(left.ID, right.ID) })
	return report, worth
}

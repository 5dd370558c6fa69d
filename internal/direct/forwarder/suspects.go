package forwarder

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// maxQueuedSuspects bounds the suspected targets that wait to be probed.
	maxQueuedSuspects = 256
	// minProbeInterval is the least time between two probes of one target by this balancer.
	minProbeInterval = 500 * time.Millisecond
	// maxProbedTargets bounds the targets whose last probe time is kept. When it is reached, all of
	// these times are discarded.
	maxProbedTargets = 4096
)

// Suspects is the controller that probes targets which did not answer an opening packet in time,
// keeps new flows off those that have failed, and reports them to the node that this balancer follows:
// a member or another balancer. An opening packet without an answer is not sufficient evidence: an
// overloaded target does not answer either.
type Suspects struct {
	queue        *board.Queue[directory.Token]
	table        *steer.Table
	prober       *probe.Prober
	mailbox      *protocol.Mailbox
	followedNode func() model.NodeName
	logger       *zap.Logger
	probedAt     map[directory.Token]time.Time
}

// NewSuspects returns the controller. followedNode returns the node that receives the reports, or the
// empty name if there is none.
func NewSuspects(table *steer.Table, prober *probe.Prober, mailbox *protocol.Mailbox, followedNode func() model.NodeName, logger *zap.Logger) *Suspects {
	return &Suspects{
		queue:        board.NewQueue[directory.Token]("suspects", maxQueuedSuspects),
		table:        table,
		prober:       prober,
		mailbox:      mailbox,
		followedNode: followedNode,
		logger:       logger,
		probedAt:     make(map[directory.Token]time.Time),
	}
}

// Note records that a target did not answer in time. It may be called from any goroutine.
func (suspects *Suspects) Note(token directory.Token) { suspects.queue.Put(token) }

// Name implements board.Controller.
func (suspects *Suspects) Name() string { return "suspects" }

// Sources returns the channels that signal when Reconcile should run.
func (suspects *Suspects) Sources() []<-chan struct{} {
	return []<-chan struct{}{suspects.queue.Watch(), suspects.prober.Results.Watch()}
}

// Reconcile implements board.Controller.
func (suspects *Suspects) Reconcile(now time.Time) {
	for _, token := range suspects.queue.Drain() {
		suspects.probe(now, token)
	}
	for _, result := range suspects.prober.Results.Drain() {
		suspects.handleResult(now, result)
	}
}

// probe starts a probe of a suspected target, unless the target is unknown, has failed already or was
// probed less than minProbeInterval ago.
func (suspects *Suspects) probe(now time.Time, token directory.Token) {
	target, known := suspects.table.Lookup(token)
	if !known || target.State == directory.TargetFailed || now.Sub(suspects.probedAt[token]) < minProbeInterval {
		return
	}
	if len(suspects.probedAt) >= maxProbedTargets {
		clear(suspects.probedAt)
	}
	suspects.probedAt[token] = now
	suspects.prober.Start(uint64(token), target.Address)
}

// handleResult logs the result of a probe. If the target did not answer the probe, it keeps new flows
// off the target and reports it to the followed node.
func (suspects *Suspects) handleResult(now time.Time, result probe.Result) {
	token := directory.Token(result.Key)
	target, known := suspects.table.Lookup(token)
	if !known {
		return
	}
	node := suspects.followedNode()
	suspects.logger.Info("suspected target probed",
		zap.Uint64("target", uint64(target.ID)),
		zap.Uint32("token", uint32(token)),
		zap.Stringer("state", target.State),
		zap.Stringer("outcome", result.Outcome),
		zap.String("reported_to", string(node)))
	if result.Outcome == probe.Answered {
		return
	}
	suspects.table.Avoid(token, now)
	verdict := feed.VerdictSilent
	if result.Outcome == probe.Refused {
		verdict = feed.VerdictRefused
	}
	if node != "" {
		suspects.mailbox.Send(node, feed.HealthReport{Token: token, Verdict: verdict, Balancer: suspects.mailbox.Self})
	}
}

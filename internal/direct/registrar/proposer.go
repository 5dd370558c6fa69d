package registrar

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
)

// Group is the part of the control group's consensus that the registrar uses.
// replica.Controller implements it.
type Group interface {
	// Submit proposes a command and calls done exactly once with its result.
	Submit(command []byte, done func(result []byte, err error))
	// ReadBarrier calls done once this member has applied every change that was committed
	// before the call.
	ReadBarrier(done func(err error))
	// StatusAt returns the member's status as of now.
	StatusAt(now time.Time) replica.Status
}

const (
	// retryDelay is the wait before retrying a request that certainly was not proposed.
	retryDelay = 30 * time.Millisecond
	// maxQueuedCalls bounds the calls, and the registrations, that are queued for the next
	// Reconcile.
	maxQueuedCalls = 4096
)

// call is a proposal, or a confirmed read when command is nil.
type call struct {
	command  []byte
	begunAt  time.Time
	deadline time.Time
	done     func(Reply, error)
	// attempt numbers the current attempt; results of earlier attempts are ignored.
	attempt uint64
	// retryAt is when the next attempt is due; zero while one is in flight.
	retryAt time.Time
	// awaitedRevision is the revision that this member must apply before a read is answered;
	// zero while it is unknown.
	awaitedRevision model.Revision
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt uint64
	reply   Reply
	err     error
}

// Proposer commits commands and confirms reads, at this member when it leads and through the
// leader otherwise. Its Reconcile also serves the requests that other members forward. Every
// call ends by its deadline.
type Proposer struct {
	mailbox   *protocol.Mailbox
	proposals *board.Queue[protocol.Envelope]
	reads     *board.Queue[protocol.Envelope]
	replies   *board.Queue[protocol.Envelope]
	calls     *board.Queue[*call]
	// registrations are those received since the last Reconcile, and batches has them afterwards.
	registrations *board.Queue[*registration]
	batches       batchQueue
	localResults  *board.Queue[attemptResult]
	group         Group
	directory     *directory.Directory

	// onCallEnd is called with the outcome of each call.
	onCallEnd func(outcome CallOutcome)

	lastAttempt uint64
	// inFlight has the unfinished calls by their current attempt. attemptOrder lists those
	// attempts in the order in which they were started; it may include finished ones.
	inFlight     map[uint64]*call
	attemptOrder []uint64
}

// CallOutcome describes how a call ended.
type CallOutcome struct {
	// IsRead is true for a read and false for a proposal.
	IsRead bool
	// Elapsed is the time from the first attempt of the call to its end.
	Elapsed time.Duration
	// Err is nil on success.
	Err error
}

// OnCallEnd sets the function that is called with the outcome of each call. It must be set
// before the first Reconcile, and the function must not block.
func (proposer *Proposer) OnCallEnd(onCallEnd func(outcome CallOutcome)) {
	proposer.onCallEnd = onCallEnd
}

// NewProposer returns the proposer of one member. Attempts are numbered from attemptSeed, which
// must differ between runs of the process so that replies to an earlier run match no attempt.
func NewProposer(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group Group, directory *directory.Directory, attemptSeed uint64) *Proposer {
	return &Proposer{
		mailbox:       mailbox,
		proposals:     dispatcher.Handle(ProposeRequest{}),
		reads:         dispatcher.Handle(ReadRequest{}),
		replies:       dispatcher.Handle(Reply{}),
		calls:         board.NewQueue[*call]("direct calls", maxQueuedCalls),
		registrations: board.NewQueue[*registration]("direct registrations", maxQueuedCalls),
		localResults:  board.NewQueue[attemptResult]("direct outcomes", 2*maxQueuedCalls),
		group:         group,
		directory:     directory,
		lastAttempt:   attemptSeed,
		inFlight:      make(map[uint64]*call),
		onCallEnd:     func(CallOutcome) {},
	}
}

// Name implements board.Controller.
func (proposer *Proposer) Name() string { return "direct proposer" }

// Sources returns the channels whose notifications trigger a Reconcile.
func (proposer *Proposer) Sources() []<-chan struct{} {
	return []<-chan struct{}{
		proposer.proposals.Watch(), proposer.reads.Watch(), proposer.replies.Watch(),
		proposer.calls.Watch(), proposer.localResults.Watch(), proposer.registrations.Watch(),
	}
}

// Propose commits command and calls done once with its result, by deadline at the latest. It
// retries only while the command certainly was not proposed; an unknown outcome is returned as
// an error.
func (proposer *Proposer) Propose(command directory.Command, deadline time.Time, done func(directory.Result, error)) {
	data, err := directory.EncodeCommand(command)
	if err != nil {
		done(directory.Result{}, err)
		return
	}
	proposer.enqueue(newProposal(data, time.Time{}, deadline, done))
}

// Register commits a target's registration and calls done once with its token, by deadline at
// the latest. Queued registrations are committed together.
func (proposer *Proposer) Register(target directory.Target, deadline time.Time, done func(directory.Token, error)) {
	added := &registration{target: target, deadline: deadline, done: done}
	if !proposer.registrations.Put(added) {
		added.complete(0, faults.New(faults.ProposalsFull, "%d registrations are already queued at this member", maxQueuedCalls))
	}
}

// proposeBatches queues new registrations, expires old ones and proposes the batches that are
// due.
func (proposer *Proposer) proposeBatches(now time.Time) {
	for _, added := range proposer.registrations.Drain() {
		proposer.batches.add(added)
	}
	proposer.batches.expire(now)
	for next := proposer.batches.next(now); next != nil; next = proposer.batches.next(now) {
		proposer.proposeBatch(now, next)
	}
}

// proposeBatch proposes one batch.
func (proposer *Proposer) proposeBatch(now time.Time, proposed *batch) {
	complete := func(result directory.Result, err error) {
		proposer.batches.remove(proposed)
		proposed.complete(result, err)
	}
	data, err := directory.EncodeCommand(proposed.command())
	if err != nil {
		complete(directory.Result{}, err)
		return
	}
	proposer.startAttempt(now, newProposal(data, now, proposed.deadline(), complete))
}

// newProposal returns a call that commits an encoded command and calls done with the decoded
// result.
func newProposal(data []byte, begunAt, deadline time.Time, done func(directory.Result, error)) *call {
	return &call{command: data, begunAt: begunAt, deadline: deadline, done: func(reply Reply, err error) {
		if err != nil {
			done(directory.Result{}, err)
			return
		}
		done(directory.DecodeResult(reply.Result))
	}}
}

// Read calls done once this member's directory has every change that was committed before the
// call, by deadline at the latest.
func (proposer *Proposer) Read(deadline time.Time, done func(error)) {
	proposer.enqueue(&call{deadline: deadline, done: func(_ Reply, err error) { done(err) }})
}

// enqueue queues a call for the next Reconcile.
func (proposer *Proposer) enqueue(call *call) {
	if !proposer.calls.Put(call) {
		call.done(Reply{}, faults.New(faults.ProposalsFull, "%d calls are already queued at this member", maxQueuedCalls))
	}
}

// Reconcile implements board.Controller.
func (proposer *Proposer) Reconcile(now time.Time) {
	proposer.serveForwarded()
	for _, call := range proposer.calls.Drain() {
		call.begunAt = now
		proposer.startAttempt(now, call)
	}
	for _, received := range protocol.Receive[Reply](proposer.replies) {
		reply := received.Message
		result := attemptResult{attempt: reply.Correlation, reply: reply}
		if reply.Code != 0 {
			result.err = faults.New(reply.Code, "%s", reply.Text)
		}
		proposer.handleResult(now, result)
	}
	for _, result := range proposer.localResults.Drain() {
		proposer.handleResult(now, result)
	}
	proposer.checkInFlight(now)
	proposer.proposeBatches(now)
}

// serveForwarded handles the requests that other members forwarded to this one.
func (proposer *Proposer) serveForwarded() {
	for _, received := range protocol.Receive[ProposeRequest](proposer.proposals) {
		request := received.Message
		proposer.group.Submit(request.Command, func(result []byte, err error) {
			proposer.reply(received.From, request.Correlation, result, err)
		})
	}
	for _, received := range protocol.Receive[ReadRequest](proposer.reads) {
		request := received.Message
		proposer.group.ReadBarrier(func(err error) {
			proposer.reply(received.From, request.Correlation, nil, err)
		})
	}
}

// reply sends the result of a forwarded request back to its sender.
func (proposer *Proposer) reply(to model.NodeName, correlation uint64, result []byte, err error) {
	reply := Reply{Correlation: correlation, Result: result, Revision: proposer.directory.Revision()}
	if err != nil {
		reply.Code = faults.CodeOf(err)
		reply.Text = err.Error()
	}
	proposer.mailbox.Send(to, reply)
}

// errExpiredUnproposed is the error of a call whose deadline passed before the member started
// it, for example because the process was stalled. The caller has gone to another member, so
// the call must no longer take effect.
var errExpiredUnproposed = faults.New(faults.QuorumUnconfirmed, "the call's deadline passed before it was attempted; nothing was proposed")

// errLeaderTimeout is the error of a call that was proposed and not answered in time.
var errLeaderTimeout = faults.New(faults.ForwardTimeout, "the leader did not answer in time")

// startAttempt starts an attempt of a call, at this member or at the leader.
func (proposer *Proposer) startAttempt(now time.Time, call *call) {
	if !now.Before(call.deadline) {
		proposer.onCallEnd(CallOutcome{IsRead: call.command == nil, Elapsed: now.Sub(call.begunAt), Err: errExpiredUnproposed})
		call.done(Reply{}, errExpiredUnproposed)
		return
	}
	proposer.lastAttempt++
	call.attempt = proposer.lastAttempt
	call.retryAt = time.Time{}
	proposer.inFlight[call.attempt] = call
	proposer.attemptOrder = append(proposer.attemptOrder, call.attempt)
	attempt := call.attempt
	leader := proposer.group.StatusAt(now).Leader
	switch {
	case leader == "":
		proposer.handleResult(now, attemptResult{attempt: attempt, err: faults.New(faults.QuorumUnconfirmed, "no leader is known at this member")})
	case leader != proposer.mailbox.Self && call.command != nil:
		proposer.mailbox.Send(leader, ProposeRequest{Correlation: attempt, Command: call.command})
	case leader != proposer.mailbox.Self:
		proposer.mailbox.Send(leader, ReadRequest{Correlation: attempt})
	case call.command != nil:
		proposer.group.Submit(call.command, func(result []byte, err error) {
			proposer.localResults.Put(attemptResult{attempt: attempt, reply: Reply{Result: result}, err: err})
		})
	default:
		proposer.group.ReadBarrier(func(err error) {
			proposer.localResults.Put(attemptResult{attempt: attempt, err: err})
		})
	}
}

// handleResult handles the result of an attempt: it ends the call, schedules a retry, or lets a
// read wait until this member has applied the leader's revision.
func (proposer *Proposer) handleResult(now time.Time, result attemptResult) {
	call, exists := proposer.inFlight[result.attempt]
	switch {
	case !exists || !call.retryAt.IsZero():
	case result.err != nil && certainlyNotProposed(result.err):
		call.retryAt = now.Add(retryDelay)
	case result.err == nil && call.command == nil && proposer.directory.Revision() < result.reply.Revision:
		call.awaitedRevision = result.reply.Revision
	default:
		proposer.finish(now, call, result.reply, result.err)
	}
}

// finish ends a call that is in flight.
func (proposer *Proposer) finish(now time.Time, call *call, reply Reply, err error) {
	delete(proposer.inFlight, call.attempt)
	proposer.onCallEnd(CallOutcome{IsRead: call.command == nil, Elapsed: now.Sub(call.begunAt), Err: err})
	call.done(reply, err)
}

// certainlyNotProposed reports whether an error rules out that the command is or will be
// committed, so that the call can be retried.
func certainlyNotProposed(err error) bool {
	switch faults.CodeOf(err) {
	case faults.NotLeader, faults.ProposalReplaced, faults.LeadershipUnconfirmed, faults.QuorumUnconfirmed:
		return true
	default:
		return false
	}
}

// checkInFlight ends calls whose deadline has passed, finishes reads whose revision is applied,
// and starts the retries that are due.
func (proposer *Proposer) checkInFlight(now time.Time) {
	order := proposer.attemptOrder
	proposer.attemptOrder = nil
	for _, attempt := range order {
		call, exists := proposer.inFlight[attempt]
		if !exists {
			continue
		}
		switch {
		case !now.Before(call.deadline):
			proposer.finish(now, call, Reply{}, deadlineError(call))
		case call.awaitedRevision > 0 && proposer.directory.Revision() >= call.awaitedRevision:
			proposer.finish(now, call, Reply{}, nil)
		case !call.retryAt.IsZero() && !now.Before(call.retryAt):
			delete(proposer.inFlight, attempt)
			proposer.startAttempt(now, call)
		default:
			proposer.attemptOrder = append(proposer.attemptOrder, attempt)
		}
	}
}

// deadlineError returns the error of a call whose deadline has passed.
func deadlineError(call *call) error {
	switch {
	case call.command == nil:
		return faults.New(faults.LeadershipUnconfirmed, "the read was not confirmed in time")
	case !call.retryAt.IsZero():
		return faults.New(faults.QuorumUnconfirmed, "no leader accepted the change in time; it was not proposed")
	default:
		return errLeaderTimeout
	}
}

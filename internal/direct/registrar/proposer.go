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

// Group is what the registrar needs of the member's place in the control
// group; replica.Controller implements it.
type Group interface {
	// Submit proposes a command and calls done once with its result.
	Submit(command []byte, done func(result []byte, err error))
	// ReadBarrier calls done once this member's state has every change that
	// was committed before the call.
	ReadBarrier(done func(err error))
	// StatusAt returns the member's status as of now.
	StatusAt(now time.Time) replica.Status
}

const (
	// retryPause is the wait before a request is tried again that certainly
	// was not proposed.
	retryPause = 30 * time.Millisecond
	// callsKept bounds the calls that wait to be taken.
	callsKept = 4096
)

// call is one proposal, or one read when command is nil.
type call struct {
	command  []byte
	begunAt  time.Time
	deadline time.Time
	done     func(Reply, error)
	// attempt numbers the tries; an outcome of an earlier one is ignored.
	attempt uint64
	// retryAt is when the next try is due; zero while one is under way.
	retryAt time.Time
	// awaited is the revision that this member must reach to answer a read.
	awaited model.Revision
}

// attemptEnd is the end of one try.
type attemptEnd struct {
	attempt uint64
	reply   Reply
	err     error
}

// Proposer commits commands and confirms reads, at this member when it leads
// and through the leader otherwise. As a controller it also serves the
// requests that other members forward. Every call ends by its deadline.
type Proposer struct {
	mailbox   *protocol.Mailbox
	proposals *board.Queue[protocol.Envelope]
	reads     *board.Queue[protocol.Envelope]
	replies   *board.Queue[protocol.Envelope]
	calls     *board.Queue[*call]
	// registrations are those that came since the last Reconcile, and batches has them
	// from then on.
	registrations *board.Queue[*registration]
	batches       batches
	outcomes      *board.Queue[attemptEnd]
	group         Group
	directory     *directory.Directory

	// observe is told how each call ended.
	observe func(ended CallOutcome)

	last uint64
	// pending has the calls under way by their present attempt, and order
	// their attempts in the order in which they began.
	pending map[uint64]*call
	order   []uint64
}

// CallOutcome tells how a call ended.
type CallOutcome struct {
	// IsRead tells a read from a proposal.
	IsRead bool
	// Elapsed is the time from the call to its end.
	Elapsed time.Duration
	// Err is nil for a success.
	Err error
}

// OnCallEnd makes observe be told how each call ended. It is set before the
// first Reconcile and must return at once.
func (proposer *Proposer) OnCallEnd(observe func(ended CallOutcome)) { proposer.observe = observe }

// NewProposer returns the proposer of one member. Attempts are numbered from
// seed, so that replies to a former life of the process match nothing.
func NewProposer(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group Group, directory *directory.Directory, seed uint64) *Proposer {
	return &Proposer{
		mailbox:       mailbox,
		proposals:     dispatcher.Handle(ProposeRequest{}),
		reads:         dispatcher.Handle(ReadRequest{}),
		replies:       dispatcher.Handle(Reply{}),
		calls:         board.NewQueue[*call]("direct calls", callsKept),
		registrations: board.NewQueue[*registration]("direct registrations", callsKept),
		outcomes:      board.NewQueue[attemptEnd]("direct outcomes", 2*callsKept),
		group:         group,
		directory:     directory,
		last:          seed,
		pending:       make(map[uint64]*call),
		observe:       func(CallOutcome) {},
	}
}

// Name implements board.Controller.
func (proposer *Proposer) Name() string { return "direct proposer" }

// Sources returns the channels whose notices call for a Reconcile.
func (proposer *Proposer) Sources() []<-chan struct{} {
	return []<-chan struct{}{
		proposer.proposals.Watch(), proposer.reads.Watch(), proposer.replies.Watch(),
		proposer.calls.Watch(), proposer.outcomes.Watch(), proposer.registrations.Watch(),
	}
}

// Propose commits command and calls done once with its result, by deadline at
// the latest. What certainly was not proposed is tried again; an unknown
// outcome is told as such.
func (proposer *Proposer) Propose(command directory.Command, deadline time.Time, done func(directory.Result, error)) {
	data, err := directory.EncodeCommand(command)
	if err != nil {
		done(directory.Result{}, err)
		return
	}
	proposer.begin(newProposal(data, time.Time{}, deadline, done))
}

// Register commits a target's registration and calls done once with its token, by deadline
// at the latest. Registrations that wait are committed together.
func (proposer *Proposer) Register(stated directory.Target, deadline time.Time, done func(directory.Token, error)) {
	added := &registration{stated: stated, deadline: deadline, done: done}
	if !proposer.registrations.Put(added) {
		added.end(0, faults.New(faults.ProposalsFull, "%d registrations wait at this member", callsKept))
	}
}

// proposeBatches proposes the registrations that wait, as far as they may go now.
func (proposer *Proposer) proposeBatches(now time.Time) {
	for _, added := range proposer.registrations.Drain() {
		proposer.batches.add(added)
	}
	proposer.batches.expire(now)
	for begun := proposer.batches.next(now); begun != nil; begun = proposer.batches.next(now) {
		proposer.proposeBatch(now, begun)
	}
}

// proposeBatch proposes one batch.
func (proposer *Proposer) proposeBatch(now time.Time, begun *batch) {
	end := func(result directory.Result, err error) {
		proposer.batches.settle(begun)
		begun.end(result, err)
	}
	data, err := directory.EncodeCommand(begun.command())
	if err != nil {
		end(directory.Result{}, err)
		return
	}
	proposer.try(now, newProposal(data, now, begun.deadline(), end))
}

// newProposal returns a call that commits an encoded command and ends with done.
func newProposal(data []byte, begunAt, deadline time.Time, done func(directory.Result, error)) *call {
	return &call{command: data, begunAt: begunAt, deadline: deadline, done: func(reply Reply, err error) {
		if err != nil {
			done(directory.Result{}, err)
			return
		}
		done(directory.DecodeResult(reply.Result))
	}}
}

// Read calls done once this member's directory has every change that was
// committed before the call, by deadline at the latest.
func (proposer *Proposer) Read(deadline time.Time, done func(error)) {
	proposer.begin(&call{deadline: deadline, done: func(_ Reply, err error) { done(err) }})
}

func (proposer *Proposer) begin(begun *call) {
	if !proposer.calls.Put(begun) {
		begun.done(Reply{}, faults.New(faults.ProposalsFull, "%d calls wait at this member", callsKept))
	}
}

// Reconcile implements board.Controller.
func (proposer *Proposer) Reconcile(now time.Time) {
	proposer.serve()
	for _, begun := range proposer.calls.Drain() {
		begun.begunAt = now
		proposer.try(now, begun)
	}
	for _, received := range protocol.Receive[Reply](proposer.replies) {
		reply := received.Message
		ended := attemptEnd{attempt: reply.Correlation, reply: reply}
		if reply.Code != 0 {
			ended.err = faults.New(reply.Code, "%s", reply.Text)
		}
		proposer.settle(now, ended)
	}
	for _, ended := range proposer.outcomes.Drain() {
		proposer.settle(now, ended)
	}
	proposer.review(now)
	proposer.proposeBatches(now)
}

// serve handles the requests of other members.
func (proposer *Proposer) serve() {
	for _, received := range protocol.Receive[ProposeRequest](proposer.proposals) {
		asked := received.Message
		proposer.group.Submit(asked.Command, func(result []byte, err error) {
			proposer.answer(received.From, asked.Correlation, result, err)
		})
	}
	for _, received := range protocol.Receive[ReadRequest](proposer.reads) {
		asked := received.Message
		proposer.group.ReadBarrier(func(err error) {
			proposer.answer(received.From, asked.Correlation, nil, err)
		})
	}
}

func (proposer *Proposer) answer(to model.NodeName, correlation uint64, result []byte, err error) {
	reply := Reply{Correlation: correlation, Result: result, Revision: proposer.directory.Revision()}
	if err != nil {
		reply.Code = faults.CodeOf(err)
		reply.Text = err.Error()
	}
	proposer.mailbox.Send(to, reply)
}

// errNotTried is the error of a call whose time was over before this member, which
// stood still meanwhile, came to it. Its caller has gone elsewhere, so that it must
// not take effect any more.
var errNotTried = faults.New(faults.QuorumUnconfirmed, "the time of the call was over before it was tried; nothing was proposed")

// errNoAnswer is the error of a call that was proposed and not answered in time.
var errNoAnswer = faults.New(faults.ForwardTimeout, "the leader did not answer in time")

// try begins one attempt of a call, at this member or at the leader.
func (proposer *Proposer) try(now time.Time, begun *call) {
	if !now.Before(begun.deadline) {
		proposer.observe(CallOutcome{IsRead: begun.command == nil, Elapsed: now.Sub(begun.begunAt), Err: errNotTried})
		begun.done(Reply{}, errNotTried)
		return
	}
	proposer.last++
	begun.attempt = proposer.last
	begun.retryAt = time.Time{}
	proposer.pending[begun.attempt] = begun
	proposer.order = append(proposer.order, begun.attempt)
	attempt := begun.attempt
	leader := proposer.group.StatusAt(now).Leader
	switch {
	case leader == "":
		proposer.settle(now, attemptEnd{attempt: attempt, err: faults.New(faults.QuorumUnconfirmed, "this member knows no leader")})
	case leader != proposer.mailbox.Self && begun.command != nil:
		proposer.mailbox.Send(leader, ProposeRequest{Correlation: attempt, Command: begun.command})
	case leader != proposer.mailbox.Self:
		proposer.mailbox.Send(leader, ReadRequest{Correlation: attempt})
	case begun.command != nil:
		proposer.group.Submit(begun.command, func(result []byte, err error) {
			proposer.outcomes.Put(attemptEnd{attempt: attempt, reply: Reply{Result: result}, err: err})
		})
	default:
		proposer.group.ReadBarrier(func(err error) {
			proposer.outcomes.Put(attemptEnd{attempt: attempt, err: err})
		})
	}
}

// settle ends an attempt: the call ends, or waits to be tried again, or waits
// for this member's state.
func (proposer *Proposer) settle(now time.Time, ended attemptEnd) {
	waiting, exists := proposer.pending[ended.attempt]
	switch {
	case !exists || !waiting.retryAt.IsZero():
	case ended.err != nil && unproposed(ended.err):
		waiting.retryAt = now.Add(retryPause)
	case ended.err == nil && waiting.command == nil && proposer.directory.Revision() < ended.reply.Revision:
		waiting.awaited = ended.reply.Revision
	default:
		proposer.finish(now, waiting, ended.reply, ended.err)
	}
}

func (proposer *Proposer) finish(now time.Time, ended *call, reply Reply, err error) {
	delete(proposer.pending, ended.attempt)
	proposer.observe(CallOutcome{IsRead: ended.command == nil, Elapsed: now.Sub(ended.begunAt), Err: err})
	ended.done(reply, err)
}

func unproposed(err error) bool {
	switch faults.CodeOf(err) {
	case faults.NotLeader, faults.ProposalReplaced, faults.LeadershipUnconfirmed, faults.QuorumUnconfirmed:
		return true
	default:
		return false
	}
}

// review ends calls whose time is over and continues those that wait.
func (proposer *Proposer) review(now time.Time) {
	order := proposer.order
	proposer.order = nil
	for _, attempt := range order {
		waiting, exists := proposer.pending[attempt]
		if !exists {
			continue
		}
		switch {
		case !now.Before(waiting.deadline):
			proposer.finish(now, waiting, Reply{}, overdue(waiting))
		case waiting.awaited > 0 && proposer.directory.Revision() >= waiting.awaited:
			proposer.finish(now, waiting, Reply{}, nil)
		case !waiting.retryAt.IsZero() && !now.Before(waiting.retryAt):
			delete(proposer.pending, attempt)
			proposer.try(now, waiting)
		default:
			proposer.order = append(proposer.order, attempt)
		}
	}
}

// overdue is the error of a call whose time is over.
func overdue(waiting *call) error {
	switch {
	case waiting.command == nil:
		return faults.New(faults.LeadershipUnconfirmed, "the read was not confirmed in time")
	case !waiting.retryAt.IsZero():
		return faults.New(faults.QuorumUnconfirmed, "no leader took the change in time; it was not proposed")
	default:
		return errNoAnswer
	}
}

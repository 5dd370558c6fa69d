package registrar

import (
	"context"
	"sync"
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
	// forwardedKept bounds the forwarded requests that wait for an answer.
	forwardedKept = 4096
)

// Proposer commits commands and confirms reads, at this member when it leads
// and through the leader otherwise. As a controller it serves the requests
// that other members forward.
type Proposer struct {
	mailbox   *protocol.Mailbox
	proposals *board.Queue[protocol.Envelope]
	reads     *board.Queue[protocol.Envelope]
	replies   *board.Queue[protocol.Envelope]
	group     Group
	directory *directory.Directory

	lock    sync.Mutex
	last    uint64
	pending map[uint64]chan Reply
}

// NewProposer returns the proposer of one member.
func NewProposer(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group Group, directory *directory.Directory, seed uint64) *Proposer {
	return &Proposer{
		mailbox:   mailbox,
		proposals: dispatcher.Handle(ProposeRequest{}),
		reads:     dispatcher.Handle(ReadRequest{}),
		replies:   dispatcher.Handle(Reply{}),
		group:     group,
		directory: directory,
		last:      seed,
		pending:   make(map[uint64]chan Reply),
	}
}

// Name implements board.Controller.
func (proposer *Proposer) Name() string { return "direct proposer" }

// Sources returns the channels whose notices call for a Reconcile.
func (proposer *Proposer) Sources() []<-chan struct{} {
	return []<-chan struct{}{proposer.proposals.Watch(), proposer.reads.Watch(), proposer.replies.Watch()}
}

// Reconcile implements board.Controller.
func (proposer *Proposer) Reconcile(time.Time) {
	for _, envelope := range proposer.proposals.Drain() {
		asked, _ := envelope.Message.(ProposeRequest)
		proposer.group.Submit(asked.Command, func(result []byte, err error) {
			proposer.answer(envelope.From, asked.Correlation, result, err)
		})
	}
	for _, envelope := range proposer.reads.Drain() {
		asked, _ := envelope.Message.(ReadRequest)
		proposer.group.ReadBarrier(func(err error) {
			proposer.answer(envelope.From, asked.Correlation, nil, err)
		})
	}
	for _, envelope := range proposer.replies.Drain() {
		reply, _ := envelope.Message.(Reply)
		proposer.settle(reply)
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

func (proposer *Proposer) settle(reply Reply) {
	proposer.lock.Lock()
	defer proposer.lock.Unlock()
	if answers, waits := proposer.pending[reply.Correlation]; waits {
		delete(proposer.pending, reply.Correlation)
		answers <- reply
	}
}

// Propose commits command and returns its result. It tries again, within ctx,
// what certainly was not proposed; an unknown outcome is returned as such.
func (proposer *Proposer) Propose(ctx context.Context, command directory.Command) (directory.Result, error) {
	data, err := directory.EncodeCommand(command)
	if err != nil {
		return directory.Result{}, err
	}
	reply, err := proposer.retry(ctx, func() (Reply, error) { return proposer.proposeOnce(ctx, data) })
	if err != nil {
		return directory.Result{}, err
	}
	return directory.DecodeResult(reply.Result)
}

// Read returns once this member's directory has every change that was
// committed before the call.
func (proposer *Proposer) Read(ctx context.Context) error {
	reply, err := proposer.retry(ctx, func() (Reply, error) { return proposer.readOnce(ctx) })
	if err != nil {
		return err
	}
	for proposer.directory.Revision() < reply.Revision {
		if !pause(ctx) {
			return faults.New(faults.LeadershipUnconfirmed, "this member has not caught up with the leader in time")
		}
	}
	return nil
}

// retry repeats attempts that changed nothing.
func (proposer *Proposer) retry(ctx context.Context, attempt func() (Reply, error)) (Reply, error) {
	for {
		reply, err := attempt()
		if err == nil || !unproposed(err) || !pause(ctx) {
			return reply, err
		}
	}
}

func unproposed(err error) bool {
	switch faults.CodeOf(err) {
	case faults.NotLeader, faults.ProposalReplaced, faults.LeadershipUnconfirmed, faults.QuorumUnconfirmed:
		return true
	default:
		return false
	}
}

func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (proposer *Proposer) proposeOnce(ctx context.Context, command []byte) (Reply, error) {
	leader, local, err := proposer.leader()
	switch {
	case err != nil:
		return Reply{}, err
	case !local:
		return proposer.forward(ctx, leader, func(correlation uint64) any {
			return ProposeRequest{Correlation: correlation, Command: command}
		})
	}
	return wait(ctx, func(done func(Reply, error)) {
		proposer.group.Submit(command, func(result []byte, err error) { done(Reply{Result: result}, err) })
	})
}

func (proposer *Proposer) readOnce(ctx context.Context) (Reply, error) {
	leader, local, err := proposer.leader()
	switch {
	case err != nil:
		return Reply{}, err
	case !local:
		return proposer.forward(ctx, leader, func(correlation uint64) any {
			return ReadRequest{Correlation: correlation}
		})
	}
	return wait(ctx, func(done func(Reply, error)) {
		proposer.group.ReadBarrier(func(err error) { done(Reply{}, err) })
	})
}

// leader returns who leads now and whether it is this member.
func (proposer *Proposer) leader() (model.NodeName, bool, error) {
	status := proposer.group.StatusAt(time.Now())
	if status.Leader == "" {
		return "", false, faults.New(faults.QuorumUnconfirmed, "this member knows no leader")
	}
	return status.Leader, status.Leader == proposer.mailbox.Self, nil
}

// forward sends a request to the leader and waits for its reply.
func (proposer *Proposer) forward(ctx context.Context, leader model.NodeName, message func(correlation uint64) any) (Reply, error) {
	answers := make(chan Reply, 1)
	correlation, err := proposer.enlist(answers)
	if err != nil {
		return Reply{}, err
	}
	defer proposer.dismiss(correlation)
	proposer.mailbox.Send(leader, message(correlation))
	select {
	case reply := <-answers:
		if reply.Code != 0 {
			return Reply{}, faults.New(reply.Code, "%s", reply.Text)
		}
		return reply, nil
	case <-ctx.Done():
		return Reply{}, faults.New(faults.ForwardTimeout, "leader %s did not answer in time", leader)
	}
}

func (proposer *Proposer) enlist(answers chan Reply) (uint64, error) {
	proposer.lock.Lock()
	defer proposer.lock.Unlock()
	if len(proposer.pending) >= forwardedKept {
		return 0, faults.New(faults.ProposalsFull, "%d requests wait for the leader", len(proposer.pending))
	}
	proposer.last++
	proposer.pending[proposer.last] = answers
	return proposer.last, nil
}

func (proposer *Proposer) dismiss(correlation uint64) {
	proposer.lock.Lock()
	defer proposer.lock.Unlock()
	delete(proposer.pending, correlation)
}

// answerOrError is the outcome of a local request.
type answerOrError struct {
	reply Reply
	err   error
}

func wait(ctx context.Context, start func(done func(Reply, error))) (Reply, error) {
	answers := make(chan answerOrError, 1)
	start(func(reply Reply, err error) { answers <- answerOrError{reply, err} })
	select {
	case answer := <-answers:
		return answer.reply, answer.err
	case <-ctx.Done():
		return Reply{}, faults.New(faults.OutcomeUnknown, "the caller's time ended before the answer came")
	}
}

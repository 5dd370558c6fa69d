package replica

import (
	"errors"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

// requestKind is the type of a request.
type requestKind uint8

const (
	requestPropose requestKind = iota
	requestRead
	requestAddLearner
	requestPromote
	requestRemove
	requestTransfer
	requestDemote
	requestLeave
	requestRelease
	requestPeerEnded
)

// request is one call that is queued for the controller.
type request struct {
	kind    requestKind
	command []byte
	// learners are the members that a requestAddLearner adds.
	learners []raft.NewLearner
	member   MemberID
	// node is the node whose process has ended, of a requestPeerEnded.
	node model.NodeName
	done func(outcome)
}

// outcome is the answer to a request.
type outcome struct {
	result []byte
	member MemberID
	err    error
}

// pendingProposal is a proposed entry whose outcome is not known yet.
type pendingProposal struct {
	term   uint64
	member MemberID
	done   func(outcome)
	// expires is set when this member no longer leads, since the outcome may
	// never become known here.
	expires time.Time
}

// pendingTransfer is a leadership transfer in progress.
type pendingTransfer struct {
	done    func(outcome)
	expires time.Time
}

// Submit proposes command. done is called exactly once: from Reconcile, from
// Stop or, when the request cannot be queued or the member has stopped, from
// Submit. See Group.Propose for the errors.
func (controller *Controller) Submit(command []byte, done func(result []byte, err error)) {
	controller.enqueue(request{
		kind:    requestPropose,
		command: command,
		done:    func(outcome outcome) { done(outcome.result, outcome.err) },
	})
}

// ReadBarrier calls done once this member's state includes every change that was
// committed before the call, or with an error. See Group.ReadBarrier.
func (controller *Controller) ReadBarrier(done func(err error)) {
	controller.enqueue(request{kind: requestRead, done: errorOnly(done)})
}

// AddLearner proposes a new member without a vote and calls done with its ID.
func (controller *Controller) AddLearner(name model.NodeName, done func(id MemberID, err error)) {
	controller.enqueue(request{
		kind:     requestAddLearner,
		learners: []raft.NewLearner{{Name: name}},
		done:     func(outcome outcome) { done(outcome.member, outcome.err) },
	})
}

// Admit proposes to add all candidates as learners in one membership change, each
// bound to the disk in its request.
func (controller *Controller) Admit(candidates []Candidate, done func(err error)) {
	learners := make([]raft.NewLearner, 0, len(candidates))
	for _, candidate := range candidates {
		learners = append(learners, raft.NewLearner{Name: candidate.Name, Zone: candidate.Zone, Disk: candidate.Disk})
	}
	controller.enqueue(request{kind: requestAddLearner, learners: learners, done: errorOnly(done)})
}

// Promote proposes to make a learner a voter.
func (controller *Controller) Promote(id MemberID, done func(err error)) {
	controller.enqueue(request{kind: requestPromote, member: id, done: errorOnly(done)})
}

// Demote proposes to make a voter a learner.
func (controller *Controller) Demote(id MemberID, done func(err error)) {
	controller.enqueue(request{kind: requestDemote, member: id, done: errorOnly(done)})
}

// RemoveMember proposes to remove a member from the group.
func (controller *Controller) RemoveMember(id MemberID, done func(err error)) {
	controller.enqueue(request{kind: requestRemove, member: id, done: errorOnly(done)})
}

// TransferLeadership transfers leadership to another voter.
func (controller *Controller) TransferLeadership(done func(err error)) {
	controller.enqueue(request{kind: requestTransfer, done: errorOnly(done)})
}

func errorOnly(done func(err error)) func(outcome) {
	return func(outcome outcome) { done(outcome.err) }
}

func (controller *Controller) enqueue(request request) {
	if controller.stopped.Load() {
		request.done(outcome{err: controller.stoppedFault()})
		return
	}
	if !controller.requests.Put(request) {
		request.done(outcome{err: faults.New(faults.ProposalsFull, "too many requests wait at this member; this one was not proposed")})
		return
	}
	if controller.stopped.Load() {
		controller.refuseQueued()
	}
}

// coreFault returns an error of the core with its fault code. When the core
// returns an error, nothing was proposed.
func (controller *Controller) coreFault(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring):
		return faults.New(faults.NotLeader, "%v; the leader is %q; nothing was proposed", err, controller.leaderName())
	case errors.Is(err, raft.ErrTooManyUncommitted):
		return faults.New(faults.ProposalsFull, "%v; this change was not proposed", err)
	case errors.Is(err, raft.ErrChangePending):
		return faults.New(faults.MembershipChangePending, "%v", err)
	case errors.Is(err, raft.ErrNotCaughtUp):
		return faults.New(faults.LearnerBehind, "%v", err)
	case errors.Is(err, raft.ErrUnknownMember):
		return faults.New(faults.UnknownMember, "%v", err)
	case errors.Is(err, raft.ErrLastVoter):
		return faults.New(faults.LastVoter, "%v", err)
	case errors.Is(err, raft.ErrNoSuccessor):
		return faults.New(faults.NoSuccessor, "%v", err)
	default:
		return err
	}
}

func unknownOutcomeError(cause string) error {
	return faults.New(faults.ProposalOutcomeUnknown, "the change was proposed and its outcome is unknown: %s", cause)
}

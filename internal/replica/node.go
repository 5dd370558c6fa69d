package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

// Node implements Group for concurrent callers on top of a Controller. Its calls
// are answered only while Run is running.
type Node struct {
	controller *Controller
	runner     *board.Runner
}

var _ Group = (*Node)(nil)

// reconcilesPerHeartbeat is the number of timer-driven Reconcile calls per
// heartbeat interval. Notifications cause additional calls.
const reconcilesPerHeartbeat = 3

// NewNode returns a node that runs controller.
func NewNode(controller *Controller) *Node {
	interval := controller.options.HeartbeatInterval / reconcilesPerHeartbeat
	return &Node{
		controller: controller,
		runner:     board.NewRunner(controller, interval, controller.Sources()...),
	}
}

// Run runs the member until ctx ends or the member stops because of a failure,
// such as one of its storage. It returns that failure, or nil.
func (node *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-node.controller.Done():
			cancel()
		}
	}()
	node.runner.Run(ctx)
	node.controller.Stop()
	return node.controller.Err()
}

// HandOverLeadership transfers leadership to another member before a planned
// stop, so that the group does not have to wait for an election timeout. It
// takes at most limit.
func (node *Node) HandOverLeadership(ctx context.Context, limit time.Duration, logger *zap.Logger) {
	status := node.Status()
	if !status.Leading || len(status.Members) < 2 {
		return
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := node.TransferLeadership(limited); err != nil {
		logger.Warn("leadership was not handed over", zap.Int("code", int(faults.CodeOf(err))), zap.Error(err))
	}
}

// LeaveLimits bound the wait of a planned stop.
type LeaveLimits struct {
	// VoteMoves is the limit while the vote of the member can be withdrawn: a learner can take it
	// over, or the group has more than WantedVoters.
	VoteMoves    time.Duration
	WantedVoters int
	// Otherwise is the limit if only leadership has to be handed over.
	Otherwise time.Duration
}

// of returns the limit in a group of the members.
func (limits LeaveLimits) of(members []Member) time.Duration {
	if (raft.Configuration{Members: members}).VoterCount() > limits.WantedVoters || hasLearner(members) {
		return limits.VoteMoves
	}
	return limits.Otherwise
}

// Leave prepares a planned stop. A leader hands over its leadership, and a voter waits until its vote
// is withdrawn, if it can be: otherwise the group counts the stopped member in its quorum until the
// member has been silent for long.
func (node *Node) Leave(ctx context.Context, limits LeaveLimits, logger *zap.Logger) {
	status := node.Status()
	limited, cancel := context.WithTimeout(ctx, limits.of(status.Members))
	defer cancel()
	started := time.Now()
	ended := faults.New(faults.NoSuccessor, "no leader released this member before the limit of a planned stop")
	err := awaitOutcome(limited, ended, func(done func(outcome)) {
		node.controller.enqueue(request{kind: requestLeave, done: done})
	}).err
	fields := []zap.Field{zap.Duration("waited", time.Since(started)), zap.Bool("led", status.Leading), zap.Bool("voter", node.votes())}
	if err != nil {
		fields = append(fields, zap.Int("code", int(faults.CodeOf(err))), zap.Error(err))
		logger.Warn("member stops before it was released", fields...)
		return
	}
	logger.Info("member is released", fields...)
}

// votes reports whether this member has a vote in the committed membership that it knows.
func (node *Node) votes() bool {
	status := node.Status()
	for _, member := range status.Members {
		if member.ID == status.Self {
			return !member.Learner
		}
	}
	return false
}

// Watch registers and returns a channel that is notified after entries were applied.
func (node *Node) Watch() <-chan struct{} { return node.controller.Watch() }

// Refused reports whether the group has no place for this member's empty disk.
func (node *Node) Refused() bool { return node.controller.Refused() }

// Status implements Group.
func (node *Node) Status() Status { return node.controller.StatusAt(time.Now()) }

// awaitOutcome calls start and returns the outcome with which done is called, or an
// outcome whose error is ended if ctx ends first.
func awaitOutcome(ctx context.Context, ended error, start func(done func(outcome))) outcome {
	answers := make(chan outcome, 1)
	start(func(answer outcome) { answers <- answer })
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return outcome{err: ended}
	}
}

func contextEndedError() error {
	return unknownOutcomeError("the caller's context ended before the outcome was known")
}

// Propose implements Group.
func (node *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	answer := awaitOutcome(ctx, contextEndedError(), func(done func(outcome)) {
		node.controller.enqueue(request{kind: requestPropose, command: command, done: done})
	})
	return answer.result, answer.err
}

// ReadBarrier implements Group.
func (node *Node) ReadBarrier(ctx context.Context) error {
	ended := faults.New(faults.LeadershipUnconfirmed, "leadership was not confirmed before the caller's context ended")
	return awaitOutcome(ctx, ended, func(done func(outcome)) {
		node.controller.enqueue(request{kind: requestRead, done: done})
	}).err
}

// AddLearner implements Group.
func (node *Node) AddLearner(ctx context.Context, name model.NodeName) (MemberID, error) {
	answer := awaitOutcome(ctx, contextEndedError(), func(done func(outcome)) {
		node.controller.enqueue(request{kind: requestAddLearner, learners: []raft.NewLearner{{Name: name}}, done: done})
	})
	return answer.member, answer.err
}

// Promote implements Group.
func (node *Node) Promote(ctx context.Context, id MemberID) error {
	return awaitOutcome(ctx, contextEndedError(), func(done func(outcome)) {
		node.controller.enqueue(request{kind: requestPromote, member: id, done: done})
	}).err
}

// RemoveMember implements Group.
func (node *Node) RemoveMember(ctx context.Context, id MemberID) error {
	return awaitOutcome(ctx, contextEndedError(), func(done func(outcome)) {
		node.controller.enqueue(request{kind: requestRemove, member: id, done: done})
	}).err
}

// TransferLeadership implements Group.
func (node *Node) TransferLeadership(ctx context.Context) error {
	ended := faults.New(faults.NoSuccessor, "leadership was not handed over before the caller's context ended")
	return awaitOutcome(ctx, ended, func(done func(outcome)) {
		node.controller.enqueue(request{kind: requestTransfer, done: done})
	}).err
}

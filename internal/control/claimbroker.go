package control

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/state"
)

// maximumPendingClaims limits the claim messages that are proposed and not yet answered. Messages
// beyond it are dropped, and agents repeat them.
const maximumPendingClaims = 8192

// ClaimBroker is the controller that proposes the claims of agents to the control group and answers
// them with the result of the committed command. It answers protocol.ClaimUnavailable only when the
// command certainly will not be applied. When the outcome is unknown it does not answer, and the
// agent repeats the request.
type ClaimBroker struct {
	mailbox  *protocol.Mailbox
	group    Group
	requests *board.Queue[protocol.Envelope]
	outcomes *board.Queue[protocol.Envelope]
	answers  *board.Queue[claimAnswer]
	pending  map[claimID]struct{}
}

// claimID identifies one claim message of one agent process.
type claimID struct {
	agent       model.NodeName
	incarnation model.Incarnation
	correlation uint64
	isOutcome   bool
}

// claimAnswer is the result of proposing one claim message.
type claimAnswer struct {
	id     claimID
	relay  model.NodeName
	result []byte
	err    error
}

func newClaimBroker(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, group Group) *ClaimBroker {
	return &ClaimBroker{
		mailbox:  mailbox,
		group:    group,
		requests: dispatcher.Handle(protocol.ClaimRequest{}),
		outcomes: dispatcher.Handle(protocol.ClaimOutcome{}),
		answers:  board.NewQueue[claimAnswer]("claim answers", 2*maximumPendingClaims),
		pending:  make(map[claimID]struct{}),
	}
}

// Name implements board.Controller.
func (broker *ClaimBroker) Name() string { return "claim broker" }

// Sources returns the channels whose notices should run the controller without waiting for its
// interval.
func (broker *ClaimBroker) Sources() []<-chan struct{} {
	return []<-chan struct{}{broker.requests.Watch(), broker.outcomes.Watch(), broker.answers.Watch()}
}

// Reconcile implements board.Controller.
func (broker *ClaimBroker) Reconcile(time.Time) {
	for _, envelope := range broker.requests.Drain() {
		if request, isRequest := envelope.Message.(protocol.ClaimRequest); isRequest {
			id := claimID{agent: request.Agent, incarnation: request.Incarnation, correlation: request.Correlation}
			broker.propose(id, envelope.From, state.Claim{Request: request})
		}
	}
	for _, envelope := range broker.outcomes.Drain() {
		if outcome, isOutcome := envelope.Message.(protocol.ClaimOutcome); isOutcome {
			id := claimID{agent: outcome.Agent, incarnation: outcome.Incarnation, correlation: outcome.Correlation, isOutcome: true}
			broker.propose(id, envelope.From, state.CompleteClaim{Outcome: outcome})
		}
	}
	for _, answer := range broker.answers.Drain() {
		delete(broker.pending, answer.id)
		broker.answer(answer)
	}
}

// propose submits the command unless the same message is already pending or too many are.
func (broker *ClaimBroker) propose(id claimID, relay model.NodeName, command state.Command) {
	if _, isPending := broker.pending[id]; isPending || len(broker.pending) >= maximumPendingClaims {
		return
	}
	encoded, err := state.EncodeCommand(command)
	if err != nil {
		return
	}
	broker.pending[id] = struct{}{}
	answers := broker.answers
	broker.group.Submit(encoded, func(result []byte, err error) {
		answers.Put(claimAnswer{id: id, relay: relay, result: result, err: err})
	})
}

// answer sends the result to the relay that forwarded the claim.
func (broker *ClaimBroker) answer(answer claimAnswer) {
	if answer.err != nil {
		broker.answerFailure(answer)
		return
	}
	result, err := state.DecodeResult(answer.result)
	if err != nil || result.Claim == nil {
		return
	}
	broker.mailbox.Send(answer.relay, *result.Claim)
}

// answerFailure answers protocol.ClaimUnavailable to a request that certainly will not be applied.
// It does not answer outcomes.
func (broker *ClaimBroker) answerFailure(answer claimAnswer) {
	if answer.id.isOutcome || !willNeverBeApplied(answer.err) {
		return
	}
	broker.mailbox.Send(answer.relay, protocol.ClaimReply{
		Correlation: answer.id.correlation,
		Agent:       answer.id.agent,
		State:       protocol.ClaimUnavailable,
	})
}

// willNeverBeApplied reports whether the error means that the proposed command has not been and
// will not be applied.
func willNeverBeApplied(err error) bool {
	switch faults.CodeOf(err) {
	case faults.NotLeader, faults.ProposalsFull, faults.ProposalReplaced, faults.CommandTooLarge:
		return true
	}
	return false
}

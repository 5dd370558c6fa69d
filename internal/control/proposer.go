package control

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/membership"
	"merlinpaddle/internal/state"
)

// proposalQueueCapacity limits the queued membership proposals. Proposals that do not fit are
// dropped, and membership makes them again.
const proposalQueueCapacity = 256

// Proposer is the controller that submits the decisions of membership as commands to the control
// group. The commands are idempotent, and membership repeats them, so lost or duplicated commands
// do no harm.
type Proposer struct {
	group     Group
	proposals *board.Queue[membership.Proposal]
}

func newProposer(group Group) *Proposer {
	return &Proposer{group: group, proposals: board.NewQueue[membership.Proposal]("membership proposals", proposalQueueCapacity)}
}

// Name implements board.Controller.
func (proposer *Proposer) Name() string { return "membership proposer" }

// Reconcile implements board.Controller.
func (proposer *Proposer) Reconcile(time.Time) {
	for _, proposal := range proposer.proposals.Drain() {
		if len(proposal.Observations) > 0 {
			proposer.submit(observeTargets(proposal.Observations))
		}
		if len(proposal.EmptyBuckets) > 0 {
			proposer.submit(state.ReportEmpty{Reports: proposal.EmptyBuckets})
		}
	}
}

func observeTargets(observations []membership.Observation) state.ObserveTargets {
	command := state.ObserveTargets{Observations: make([]state.TargetObservation, 0, len(observations))}
	for _, observation := range observations {
		command.Observations = append(command.Observations, state.TargetObservation{
			Target:      observation.Target,
			Incarnation: observation.Incarnation,
			Alive:       observation.Alive,
		})
	}
	return command
}

func (proposer *Proposer) submit(command state.Command) {
	encoded, err := state.EncodeCommand(command)
	if err != nil {
		return
	}
	proposer.group.Submit(encoded, func([]byte, error) {})
}

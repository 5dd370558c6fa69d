package control

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/membership"
	"merlinpaddle/internal/state"
)

// proposalCapacity bounds the membership proposals that wait. Membership
// makes those again that were lost.
const proposalCapacity = 256

// Proposer is the controller that turns what membership decided into commands.
// Its commands are idempotent: one that is lost or doubled does no harm.
type Proposer struct {
	group     Group
	proposals *board.Queue[membership.Proposal]
}

func newProposer(group Group) *Proposer {
	return &Proposer{group: group, proposals: board.NewQueue[membership.Proposal]("membership proposals", proposalCapacity)}
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

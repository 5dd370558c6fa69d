package control

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/membership"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/state"
)

// MachineList is the platform's list of machines. It lags behind the machines' real state, so it is
// only a hint.
type MachineList interface {
	// ListedLive reports whether the list shows the machine as live. known is false when there is
	// no usable list.
	ListedLive(node model.NodeName) (live, known bool)
}

// Dependencies are what NewMember needs.
type Dependencies struct {
	Mailbox    *protocol.Mailbox
	Dispatcher *protocol.Dispatcher
	Group      Group
	Machine    *state.Machine
	// DeadAfter is how long an agent may be silent before its target is declared dead.
	DeadAfter time.Duration
	// Machines is nil when no platform list is configured.
	Machines MachineList
}

// Member has the controllers of one control member, except consensus. The same controllers run in
// processes and in simulations.
type Member struct {
	Distributor *Distributor
	Claims      *ClaimBroker
	Liveness    *membership.Liveness
	Proposer    *Proposer

	registry   *membership.Registry
	leadership *leadershipTracker
	machine    *state.Machine
	machines   MachineList
}

// NewMember returns the controllers of one member and registers the messages that they handle with
// the dispatcher.
func NewMember(dependencies Dependencies) *Member {
	registry := membership.NewRegistry()
	leadership := newLeadershipTracker(dependencies.Group)
	member := &Member{
		Distributor: newDistributor(dependencies.Mailbox, dependencies.Dispatcher, machineSource{machine: dependencies.Machine}, registry, leadership),
		Claims:      newClaimBroker(dependencies.Mailbox, dependencies.Dispatcher, dependencies.Group),
		Proposer:    newProposer(dependencies.Group),
		registry:    registry,
		leadership:  leadership,
		machine:     dependencies.Machine,
		machines:    dependencies.Machines,
	}
	member.Liveness = membership.NewLiveness(registry, member, dependencies.DeadAfter, member.Proposer.proposals)
	return member
}

// Controllers returns all controllers in the order in which a single loop runs them.
func (member *Member) Controllers() []board.Controller {
	return []board.Controller{member.Distributor, member.Claims, member.Liveness, member.Proposer}
}

// Leadership implements membership.Environment.
func (member *Member) Leadership() membership.Leadership { return member.leadership.Leadership() }

// Configuration implements membership.Environment.
func (member *Member) Configuration() *model.Configuration { return member.machine.Configuration() }

// ListedLive implements membership.Environment.
func (member *Member) ListedLive(node model.NodeName) (live, known bool) {
	if member.machines == nil {
		return false, false
	}
	return member.machines.ListedLive(node)
}

// RolloutAt returns how far the configuration has been rolled out as of now. Only the leader knows
// the nodes and the revision in force.
func (member *Member) RolloutAt(now time.Time) model.RolloutStatus {
	committed := member.machine.Configuration().Revision
	return member.registry.RolloutStatus(now, member.leadership.Leadership(), committed)
}

// machineSource provides the replicated state as the source of a rollout.Publisher.
type machineSource struct {
	machine *state.Machine
}

var _ rollout.Source = machineSource{}

// Current implements rollout.Source.
func (source machineSource) Current() *model.Configuration { return source.machine.Configuration() }

// DeltasSince implements rollout.Source.
func (source machineSource) DeltasSince(revision model.Revision) ([]model.Delta, bool) {
	return source.machine.DeltasSince(revision)
}

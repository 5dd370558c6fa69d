// Package steering decides, at a target's agent, what happens to a packet that
// a balancer sent: the agent delivers it, forwards it along the chain, resets
// its flow, or drops it. The package is pure.
//
// # How a flow opens at one target only
//
// Balancers and agents may run different revisions at any moment. For each
// bucket the head of the newest known row decides where a flow opens:
//
//  1. An opening packet goes to the head. An agent that knows a newer row than
//     the packet replaces the packet's chain by it.
//  2. While the row has earlier targets, and in a few other cases (see
//     needsSearch), the head first sends the packet through every other target
//     of the chain (StageSearch). The owner, if there is one, delivers the
//     packet. Each other target raises its fence:
//     from then on it opens no flow of the bucket by an older row, and forwards
//     such packets along the newer chain. So of two heads of different
//     revisions, the newer one either finds the flow at the older one, or the
//     older one no longer opens it.
//  3. The head opens the flow, or assigns it to the alternate (StageAssign) and
//     records the assignment, so that copies of the packet are sent there too.
//     The alternate opens the flow, or records its refusal and returns the
//     packet (StageReturn).
//
// A target that is not in the newest chain is dead, or has reported the bucket
// empty at a revision at or after its move; that report raised its fence as
// well.
//
// This relies on two assumptions: a packet is not in transit between two agents
// for longer than flow.OwnedFlowsOptions.AssignmentLifetime, and a caller does
// not retransmit an opening packet after that time.
package steering

import (
	"time"

	"golang.org/x/time/rate"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// MaximumPasses is the number of times that agents forward one packet before it is dropped. A chain
// needs at most six and a search as many; the rest is for chains that are replaced by newer ones
// on the way.
const MaximumPasses = 24

// maximumAttempts is the number of attempts to decide about one packet. An attempt fails when the
// bucket's fence is raised meanwhile.
const maximumAttempts = 4

// Configurations returns the configuration that the agent runs. *rollout.Store implements it.
type Configurations interface {
	Current() *model.Configuration
}

// Options configures Steering.
type Options struct {
	// Target is the agent's own target.
	Target         model.TargetID
	Configurations Configurations
	OwnedFlows     *flow.OwnedFlows
	// Load returns the current load of the agent's own target. Its Flows are ignored; the number of
	// flows is taken from OwnedFlows. Nil means healthy and without requests.
	Load func() model.TargetLoad
	// Draining reports whether the agent opens no new flows, whatever the configuration says; nil
	// means never.
	Draining func() bool
	// MayOpen reports whether the agent's knowledge is recent enough to open flows at now. It is false
	// after the process was paused, until the agent is up to date again. Nil means always.
	MayOpen func(now time.Time) bool
	// Started is when the agent started. For AssignmentLifetime after it the head searches for an
	// owner of every new flow, because assignments made before the start are lost.
	Started time.Time
	// AssignmentLifetime is that of OwnedFlows; zero means the default.
	AssignmentLifetime time.Duration
}

// Steering makes the decisions of one agent. Its methods may be called concurrently.
type Steering struct {
	options   Options
	limiter   *rate.Limiter
	responses *responseMonitor
	requests  requestAverage
}

// New returns the steering of one agent.
func New(options Options) *Steering {
	if options.AssignmentLifetime <= 0 {
		options.AssignmentLifetime = flow.DefaultAssignmentLifetime
	}
	if options.MayOpen == nil {
		options.MayOpen = func(time.Time) bool { return true }
	}
	return &Steering{
		options:   options,
		limiter:   rate.NewLimiter(model.DefaultNewFlowsPerSecond, model.DefaultNewFlowBurst),
		responses: newResponseMonitor(),
	}
}

// packetState is one packet with the parts of the configuration that a decision about it needs.
type packetState struct {
	now           time.Time
	input         Input
	configuration *model.Configuration
	service       model.Service
	phase         model.TargetPhase
	table         *model.BucketTable
	bucket        model.BucketIndex
	// chain is the packet's chain in the order head, alternate, earlier targets.
	chain []model.TargetID
}

// Decide returns what to do with one packet.
//
// Invariant: a packet is delivered or forwarded only if its service, its destination address and its
// protocol are those of the agent's own target. A service that takes over an address has another ID,
// so a packet for the previous service never reaches it, nor the other way round.
func (steering *Steering) Decide(now time.Time, input Input) Decision {
	packet := packetState{now: now, input: input}
	if !steering.resolveService(&packet) {
		return drop(ReasonForeign)
	}
	if steering.options.OwnedFlows.Touch(now, packet.bucket, input.Flow) {
		return Decision{Action: ActionDeliver, Hint: input.Passes > 0}
	}
	if input.Passes >= MaximumPasses {
		return drop(ReasonTooManyPasses)
	}
	packet.chain = canonicalChain(input.Stage, input.Chain)
	if input.Opening {
		return steering.decideOpening(&packet)
	}
	return steering.lookUp(&packet)
}

// resolveService reports whether the packet belongs to the service of the agent's own target, and
// sets the fields of packet that come from the configuration.
func (steering *Steering) resolveService(packet *packetState) bool {
	packet.configuration = steering.options.Configurations.Current()
	target, exists := packet.configuration.Targets[steering.options.Target]
	if !exists || target.Service != packet.input.Service {
		return false
	}
	service, exists := packet.configuration.Services[target.Service]
	if !exists || service.Address != packet.input.Flow.Destination || service.Protocol != packet.input.Flow.Protocol {
		return false
	}
	packet.service = service
	packet.phase = target.Phase
	packet.table = packet.configuration.Buckets[service.ID]
	if packet.table == nil || packet.table.Count() == 0 {
		return false
	}
	packet.bucket = routing.BucketOf(routing.FlowHash(packet.input.Flow), packet.table.Count())
	return true
}

// lookUp forwards a packet that opens no flow to the next target that may own its flow. After the last
// one the flow is reset: no target owns it, for example because its owner restarted and lost it.
func (steering *Steering) lookUp(packet *packetState) Decision {
	newest := steering.newestRow(packet)
	position := 0
	startedAtCachedOwner := packet.input.Passes == 0 && packet.input.Position > 0
	if equalChains(newest.chain, packet.chain) && !startedAtCachedOwner {
		position = packet.input.Position + 1
	}
	if position < len(newest.chain) && newest.chain[position] == steering.options.Target {
		position++
	}
	if position >= len(newest.chain) {
		return Decision{Action: ActionReset, Reason: ReasonNoOwner}
	}
	return steering.forward(packet, newest, newest.chain, position, model.StageLookup, packet.input.PasserLoad)
}

// forward returns the decision to send the packet to the target at position in chain.
func (steering *Steering) forward(
	packet *packetState, newest row, chain []model.TargetID, position int, stage model.Stage, load uint16,
) Decision {
	return Decision{
		Action:     ActionForward,
		Next:       chain[position],
		Chain:      chain,
		Position:   position,
		Revision:   newest.revision,
		Stage:      stage,
		Passes:     packet.input.Passes + 1,
		PasserLoad: load,
	}
}

func drop(reason Reason) Decision { return Decision{Action: ActionDrop, Reason: reason} }

// Empty returns reports for the buckets of which the target is an earlier target and in which it has
// neither flows nor assignments, as of revision at or the running one if that is older. It fences
// these buckets. It implements a part of rollout.Reporter.
func (steering *Steering) Empty(at model.Revision) []model.BucketEmpty {
	configuration := steering.options.Configurations.Current()
	at = min(at, configuration.Revision)
	target, exists := configuration.Targets[steering.options.Target]
	if !exists {
		return nil
	}
	table := configuration.Buckets[target.Service]
	if table == nil {
		return nil
	}
	return steering.options.OwnedFlows.FenceEmpty(at, routing.BucketsMovedFrom(table, steering.options.Target, at))
}

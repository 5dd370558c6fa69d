package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/steering"
)

const (
	testService = model.ServiceID(7)
	testTenant  = model.TenantName("riga")
)

var (
	start       = time.Date(2030, time.March, 1, 12, 0, 0, 0, time.UTC)
	testAddress = netip.MustParseAddrPort("127.2.0.1:443")
)

// configurationHolder is a Configurations whose configuration a test can replace.
type configurationHolder struct{ current *model.Configuration }

func (holder *configurationHolder) Current() *model.Configuration { return holder.current }

// newService returns testService with default limits.
func newService(protocol model.Protocol) model.Service {
	return model.Service{
		ID:       testService,
		Tenant:   testTenant,
		Protocol: protocol,
		Address:  testAddress,
		Limits:   model.DefaultLimits(),
	}
}

// newConfiguration returns a configuration with the targets 1 to 9 in which every bucket has the given
// row. Targets that are not in phases are serving.
func newConfiguration(revision model.Revision, row model.Bucket, phases map[model.TargetID]model.TargetPhase) *model.Configuration {
	configuration := model.NewConfiguration()
	configuration.Revision = revision
	configuration.Services[testService] = newService(model.ProtocolTCP)
	for id := model.TargetID(1); id <= 9; id++ {
		phase := phases[id]
		if phase == 0 {
			phase = model.PhaseServing
		}
		configuration.Targets[id] = model.Target{ID: id, Service: testService, Phase: phase}
	}
	table := &model.BucketTable{
		Service:    testService,
		Heads:      make([]model.TargetID, routing.MinimumBuckets),
		Alternates: make([]model.TargetID, routing.MinimumBuckets),
	}
	for index := range table.Heads {
		row.Index = model.BucketIndex(index)
		table.Set(row)
	}
	configuration.Buckets[testService] = table
	return configuration
}

// testFlow returns a TCP flow to testAddress from the given source port.
func testFlow(port uint16) model.FiveTuple {
	return model.FiveTuple{
		Protocol:    model.ProtocolTCP,
		Source:      netip.AddrPortFrom(netip.MustParseAddr("127.1.0.1"), port),
		Destination: testAddress,
	}
}

// agentFixture is an agent under test. Tests may change its load, draining and paused.
type agentFixture struct {
	holder   *configurationHolder
	owned    *flow.OwnedFlows
	load     model.TargetLoad
	draining bool
	paused   bool
	steering *steering.Steering
}

func newAgent(target model.TargetID, configuration *model.Configuration) *agentFixture {
	return newAgentWithMaximumFlows(target, configuration, flow.DefaultMaximumFlows)
}

// newAgentWithMaximumFlows returns an agent with room for maximumFlows flows, and as many
// assignments.
func newAgentWithMaximumFlows(target model.TargetID, configuration *model.Configuration, maximumFlows int) *agentFixture {
	fixture := &agentFixture{
		holder: &configurationHolder{current: configuration},
		owned:  flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: testService, Target: target, MaximumFlows: maximumFlows}),
	}
	fixture.steering = steering.New(steering.Options{
		Target:         target,
		Configurations: fixture.holder,
		OwnedFlows:     fixture.owned,
		Load:           func() model.TargetLoad { return fixture.load },
		Draining:       func() bool { return fixture.draining },
		MayOpen:        func(time.Time) bool { return !fixture.paused },
	})
	return fixture
}

// packetAt returns the packet that a balancer sends by configuration.
func packetAt(configuration *model.Configuration, flow model.FiveTuple, opening bool) steering.Input {
	table := configuration.Buckets[testService]
	bucket := routing.BucketOf(routing.FlowHash(flow), table.Count())
	return steering.Input{
		Flow:     flow,
		Service:  testService,
		Revision: configuration.Revision,
		Opening:  opening,
		Chain:    routing.Chain(table.Bucket(bucket)),
	}
}

// forwarded returns the packet that an agent forwards by decision.
func forwarded(input steering.Input, decision steering.Decision) steering.Input {
	input.Chain = decision.Chain
	input.Position = decision.Position
	input.Revision = decision.Revision
	input.Stage = decision.Stage
	input.Passes = decision.Passes
	input.PasserLoad = decision.PasserLoad
	return input
}

func TestDecideOpensAtTheHeadAndDeliversLaterPackets(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1}, nil)
	agent := newAgent(1, configuration)
	opening := packetAt(configuration, testFlow(1), true)
	decision := agent.steering.Decide(start, opening)
	require.Equal(t, steering.Decision{Action: steering.ActionDeliver, Opened: true}, decision)
	decision = agent.steering.Decide(start, opening)
	require.Equal(t, steering.Decision{Action: steering.ActionDeliver}, decision, "a copy opens nothing")
	decision = agent.steering.Decide(start, packetAt(configuration, testFlow(1), false))
	require.Equal(t, steering.Decision{Action: steering.ActionDeliver}, decision)
}

func TestDecideOpensAtTheHeadWhenTheAlternateIsBusier(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	agents := map[model.TargetID]*agentFixture{1: newAgent(1, configuration), 2: newAgent(2, configuration)}
	agents[2].load = model.TargetLoad{Cold: true}
	opening := packetAt(configuration, testFlow(1), true)
	for range 3 {
		require.EqualValues(t, 1, deliveringTarget(agents, start, opening), "copies reach the same target")
	}
	agents[1].load, agents[2].load = agents[2].load, agents[1].load
	require.EqualValues(t, 1, deliveringTarget(agents, start, opening), "also after the loads have changed")
	require.Equal(t, 1, agents[1].owned.Len())
	require.Zero(t, agents[2].owned.Len())
	decision := agents[1].steering.Decide(start, packetAt(configuration, testFlow(1), false))
	require.Equal(t, steering.Decision{Action: steering.ActionDeliver}, decision)
}

func TestDecideLooksUpAlongTheChainAndResets(t *testing.T) {
	row := model.Bucket{Head: 1, Alternate: 2, Earlier: []model.EarlierTarget{{Target: 3, MovedAt: 5}}}
	configuration := newConfiguration(10, row, nil)
	input := packetAt(configuration, testFlow(1), false)
	for position, target := range []model.TargetID{1, 2} {
		decision := newAgent(target, configuration).steering.Decide(start, input)
		require.Equal(t, steering.ActionForward, decision.Action)
		require.Equal(t, position+1, decision.Position)
		input = forwarded(input, decision)
	}
	decision := newAgent(3, configuration).steering.Decide(start, input)
	require.Equal(t, steering.ActionReset, decision.Action, "no target owns the flow: it is reset and not dropped")
}

func TestDecideRestartsLookupThatStartedAtACachedOwner(t *testing.T) {
	row := model.Bucket{Head: 1, Alternate: 2, Earlier: []model.EarlierTarget{{Target: 3, MovedAt: 5}}}
	configuration := newConfiguration(10, row, nil)
	input := packetAt(configuration, testFlow(1), false)
	input.Position = 2
	decision := newAgent(3, configuration).steering.Decide(start, input)
	require.Equal(t, steering.ActionForward, decision.Action)
	require.EqualValues(t, 1, decision.Next)
	require.Zero(t, decision.Position)
}

// assignToAlternate makes the head assign a flow to the alternate, and returns the forwarded packet.
func assignToAlternate(t *testing.T, head *agentFixture, alternate model.TargetID, port uint16) steering.Input {
	t.Helper()
	head.load = model.TargetLoad{Running: 2, Waiting: 40, Slots: 2}
	opening := packetAt(head.holder.current, testFlow(port), true)
	decision := head.steering.Decide(start, opening)
	require.Equal(t, steering.ActionForward, decision.Action)
	require.Equal(t, model.StageAssign, decision.Stage)
	require.Equal(t, alternate, decision.Next)
	return forwarded(opening, decision)
}

func TestEarlierTargetOpensNoFlowAfterReportingTheBucketEmpty(t *testing.T) {
	before := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	head := newAgent(1, before)
	assignToAlternate(t, head, 2, 1)
	// The bucket moves, the caller retransmits its opening packet, and the head still has the
	// assignment.
	moved := model.Bucket{Head: 1, Alternate: 3, Earlier: []model.EarlierTarget{{Target: 2, MovedAt: 20}}}
	after := newConfiguration(20, moved, nil)
	head.holder.current = after
	earlier := newAgent(2, after)
	require.NotEmpty(t, earlier.steering.Empty(20))
	agents := map[model.TargetID]*agentFixture{1: head, 2: earlier, 3: newAgent(3, after)}
	agents[3].draining = true
	visited, decision := forwardUntilFinal(agents, 1, packetAt(after, testFlow(1), true))
	require.Contains(t, visited, model.TargetID(2), "the head still has the assignment")
	require.Zero(t, earlier.owned.Len(), "control removes the target from the chain because of its report")
	require.True(t, decision.Opened)
	require.Equal(t, model.TargetID(1), visited[len(visited)-1])
}

// forwardUntilFinal forwards a packet from agent to agent, and returns the visited targets and the
// last decision.
func forwardUntilFinal(agents map[model.TargetID]*agentFixture, first model.TargetID, input steering.Input) ([]model.TargetID, steering.Decision) {
	visited := []model.TargetID{first}
	for {
		decision := agents[visited[len(visited)-1]].steering.Decide(start, input)
		if decision.Action != steering.ActionForward {
			return visited, decision
		}
		input = forwarded(input, decision)
		visited = append(visited, decision.Next)
	}
}

func TestAssignmentToATargetRemovedFromTheChainIsReplaced(t *testing.T) {
	before := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	head := newAgent(1, before)
	assignToAlternate(t, head, 2, 1)
	head.holder.current = newConfiguration(30, model.Bucket{Head: 1, Alternate: 3}, nil)
	again := packetAt(head.holder.current, testFlow(1), true)
	for range 2 {
		decision := head.steering.Decide(start, again)
		require.Equal(t, steering.ActionForward, decision.Action)
		require.Equal(t, model.StageAssign, decision.Stage)
		require.Equal(t, model.TargetID(3), decision.Next)
	}
	require.Equal(t, 1, head.owned.AssignmentCount())
}

func TestAssignmentToADeadTargetIsReplaced(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	agent := newAgent(1, configuration)
	agent.load = model.TargetLoad{Running: 2, Waiting: 20, Slots: 2}
	afterStart := start.Add(2 * flow.DefaultAssignmentLifetime)
	decision := agent.steering.Decide(afterStart, packetAt(configuration, testFlow(1), true))
	require.EqualValues(t, 2, decision.Next)

	later := newConfiguration(11, model.Bucket{Head: 1, Alternate: 3}, map[model.TargetID]model.TargetPhase{2: model.PhaseDead})
	agent.holder.current = later
	decision = agent.steering.Decide(afterStart, packetAt(later, testFlow(1), true))
	require.Equal(t, steering.ActionForward, decision.Action)
	require.EqualValues(t, 3, decision.Next, "the dead target can no longer open the flow")
	require.Equal(t, 1, agent.owned.AssignmentCount())
}

// deliveringTarget forwards a packet from agent to agent, and returns the target that delivers it, or
// zero.
func deliveringTarget(agents map[model.TargetID]*agentFixture, now time.Time, input steering.Input) model.TargetID {
	at := input.Chain[input.Position]
	for {
		decision := agents[at].steering.Decide(now, input)
		switch decision.Action {
		case steering.ActionDeliver:
			return at
		case steering.ActionForward:
			at = decision.Next
			input = forwarded(input, decision)
		default:
			return 0
		}
	}
}

func TestNewFlowsGoToTheLessLoadedOfTwoTargets(t *testing.T) {
	afterStart := start.Add(2 * flow.DefaultAssignmentLifetime)
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	agents := map[model.TargetID]*agentFixture{1: newAgent(1, configuration), 2: newAgent(2, configuration)}
	for port := range uint16(1000) {
		require.NotZero(t, deliveringTarget(agents, afterStart, packetAt(configuration, testFlow(port), true)))
		difference := agents[1].owned.Len() - agents[2].owned.Len()
		require.LessOrEqual(t, max(difference, -difference), 1, "after %d flows", port+1)
	}
}

func TestAlternateThatCannotRecordARefusalOpensTheFlow(t *testing.T) {
	afterStart := start.Add(2 * flow.DefaultAssignmentLifetime)
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	agent := newAgentWithMaximumFlows(2, configuration, 1)
	input := packetAt(configuration, testFlow(1), true)
	input.Stage, input.Position, input.Passes, input.PasserLoad = model.StageAssign, 1, 1, 1
	agent.load = model.TargetLoad{Running: 2, Waiting: 9, Slots: 2, Cold: true}
	decision := agent.steering.Decide(afterStart, input)
	require.Equal(t, model.StageReturn, decision.Stage, "busier than the head: the refusal is recorded and the packet returned")

	input.Flow = testFlow(2)
	decision = agent.steering.Decide(afterStart, input)
	require.Equal(t, steering.ActionDeliver, decision.Action, "no room to record a second refusal")
}

// A target returned a flow as the alternate and later becomes the head. The head of a row in between
// may have opened the flow, so the target must search for an owner.
func TestNewHeadSearchesForAFlowThatItReturnedBefore(t *testing.T) {
	before := newConfiguration(10, model.Bucket{Head: 2, Alternate: 1}, nil)
	agent := newAgent(1, before)
	agent.draining = true
	assigned := packetAt(before, testFlow(1), true)
	assigned.Position = 1
	assigned.Stage = model.StageAssign
	assigned.Passes = 1
	require.Equal(t, model.StageReturn, agent.steering.Decide(start, assigned).Stage)
	agent.draining = false
	earlier := []model.EarlierTarget{{Target: 4, MovedAt: 40}, {Target: 2, MovedAt: 20}}
	agent.holder.current = newConfiguration(40, model.Bucket{Head: 1, Alternate: 3, Earlier: earlier}, nil)
	decision := agent.steering.Decide(start, packetAt(agent.holder.current, testFlow(1), true))
	require.Equal(t, steering.ActionForward, decision.Action)
	require.Equal(t, model.StageSearch, decision.Stage, "target 4 may own the flow")
	require.Equal(t, []model.TargetID{3, 4, 2, 1}, decision.Chain)
}

package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	testDeadAfter = 5 * time.Second
	testAgent     = model.NodeName("agent-1")
	testTarget    = model.TargetID(1)
)

var testStart = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

// fixedWorld is a World with one target and without a list of machines.
type fixedWorld struct {
	leadership    Leadership
	configuration *model.Configuration
}

func (world *fixedWorld) Leadership() Leadership                 { return world.leadership }
func (world *fixedWorld) Configuration() *model.Configuration    { return world.configuration }
func (world *fixedWorld) ListedLive(model.NodeName) (bool, bool) { return false, false }

// livenessFixture is the liveness of one leader.
type livenessFixture struct {
	registry  *Registry
	liveness  *Liveness
	proposals *board.Queue[Proposal]
	sequence  uint64
}

func newLivenessFixture() *livenessFixture {
	configuration := model.NewConfiguration()
	configuration.Targets[testTarget] = model.Target{
		ID: testTarget, Name: string(testAgent), Zone: "a", Phase: model.PhaseServing, Incarnation: 1,
	}
	fixture := &livenessFixture{registry: NewRegistry(), proposals: board.NewQueue[Proposal]("proposals", 16)}
	world := &fixedWorld{leadership: Leadership{Leading: true, Term: 3, Since: testStart}, configuration: configuration}
	fixture.liveness = NewLiveness(fixture.registry, world, testDeadAfter, fixture.proposals)
	return fixture
}

// report folds a full report of relay that heard the agent age ago.
func (fixture *livenessFixture) report(at time.Duration, relay model.NodeName, age time.Duration) {
	fixture.sequence++
	fixture.registry.ApplyReport(testStart.Add(at), relay, protocol.Report{
		Zone: "a", Sequence: fixture.sequence, Full: true, Incarnation: 1,
		Nodes: []protocol.NodeReport{{
			Node: testAgent, Age: age,
			Heartbeat: protocol.Heartbeat{Role: model.RoleAgent, Zone: "a", Incarnation: 1, Sequence: fixture.sequence},
		}},
	})
}

// anyDead tells whether a target is proposed as dead at a time.
func (fixture *livenessFixture) anyDead(at time.Duration) bool {
	fixture.liveness.Reconcile(testStart.Add(at))
	for _, proposal := range fixture.proposals.Drain() {
		for _, observation := range proposal.Observations {
			if !observation.Alive {
				return true
			}
		}
	}
	return false
}

func TestANewLeaderWaitsForTheRelayThatHoldsTheNode(t *testing.T) {
	fixture := newLivenessFixture()
	// The node moved away from relay-1 long ago; relay-2 has not reported yet.
	fixture.report(100*time.Millisecond, "relay-1", 20*time.Second)
	require.False(t, fixture.anyDead(200*time.Millisecond))
	fixture.report(300*time.Millisecond, "relay-2", 0)
	require.False(t, fixture.anyDead(600*time.Millisecond))
}

func TestANewLeaderFindsANodeDeadThatNobodyHears(t *testing.T) {
	fixture := newLivenessFixture()
	for at := time.Duration(0); at <= testDeadAfter; at += time.Second {
		fixture.report(at, "relay-1", 20*time.Second+at)
		require.False(t, fixture.anyDead(at))
	}
	fixture.report(testDeadAfter+time.Second, "relay-1", 26*time.Second)
	require.True(t, fixture.anyDead(testDeadAfter+time.Second+time.Millisecond))
}

func TestARelayThatANodeLeftIsNoWitnessOfItsSilence(t *testing.T) {
	fixture := newLivenessFixture()
	for at := time.Duration(0); at <= 10*time.Second; at += time.Second {
		fixture.report(at, "relay-1", 20*time.Second+at)
		fixture.report(at, "relay-2", 0)
		require.False(t, fixture.anyDead(at))
	}
	// relay-2 dies; the node needs time to come to another relay.
	for at := 11 * time.Second; at <= 17*time.Second; at += time.Second {
		fixture.report(at, "relay-1", 20*time.Second+at)
		require.False(t, fixture.anyDead(at), "at %s", at)
	}
	fixture.report(19*time.Second, "relay-1", 39*time.Second)
	require.True(t, fixture.anyDead(19*time.Second))
}

// TestAZoneThatComesBackOneByOneLosesNoTarget heals a cut: the agents' first
// heartbeats do not all come in the same moment.
func TestAZoneThatComesBackOneByOneLosesNoTarget(t *testing.T) {
	const agents = 4
	fixture := newLivenessFixture()
	configuration := fixture.liveness.world.Configuration()
	report := func(at time.Duration, heard int, silentSince time.Duration) {
		fixture.sequence++
		var nodes []protocol.NodeReport
		for number := 1; number <= agents; number++ {
			age := time.Duration(0)
			if number > heard {
				age = at - silentSince
			}
			nodes = append(nodes, protocol.NodeReport{
				Node: model.NodeName(fmt.Sprintf("agent-%d", number)), Age: age,
				Heartbeat: protocol.Heartbeat{Role: model.RoleAgent, Zone: "a", Incarnation: 1, Sequence: fixture.sequence},
			})
		}
		fixture.registry.ApplyReport(testStart.Add(at), "relay-1", protocol.Report{
			Zone: "a", Sequence: fixture.sequence, Full: true, Incarnation: 1, Nodes: nodes,
		})
	}
	for number := 1; number <= agents; number++ {
		id := model.TargetID(number)
		configuration.Targets[id] = model.Target{
			ID: id, Name: fmt.Sprintf("agent-%d", number), Zone: "a", Phase: model.PhaseServing, Incarnation: 1,
		}
	}
	report(0, agents, 0)
	for at := time.Second; at <= 20*time.Second; at += time.Second {
		report(at, 0, 0)
		require.False(t, fixture.anyDead(at), "the zone looks cut off")
	}
	healed := 21 * time.Second
	for heard := 1; heard < agents; heard++ {
		report(healed, heard, 0)
		require.False(t, fixture.anyDead(healed), "%d agents are back", heard)
		healed += 500 * time.Millisecond
	}
	// The last one never comes: it died during the cut.
	for at := healed; at <= healed+testDeadAfter; at += time.Second {
		report(at, agents-1, 0)
		require.False(t, fixture.anyDead(at), "at %s", at)
	}
	at := healed + testDeadAfter + 2*moveTime
	report(at, agents-1, 0)
	require.True(t, fixture.anyDead(at))
}

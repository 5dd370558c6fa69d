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

// fixedEnvironment is an Environment with fixed answers and without a platform list.
type fixedEnvironment struct {
	leadership    Leadership
	configuration *model.Configuration
}

func (environment *fixedEnvironment) Leadership() Leadership { return environment.leadership }
func (environment *fixedEnvironment) Configuration() *model.Configuration {
	return environment.configuration
}
func (environment *fixedEnvironment) ListedLive(model.NodeName) (bool, bool) { return false, false }

// livenessFixture runs the Liveness of one leader over a registry that the test fills.
type livenessFixture struct {
	registry  *Registry
	liveness  *Liveness
	proposals *board.Queue[Proposal]
	sequence  uint64
}

// newLivenessFixture returns the fixture for a leader since testStart, with testTarget serving.
func newLivenessFixture() *livenessFixture {
	configuration := model.NewConfiguration()
	configuration.Targets[testTarget] = model.Target{
		ID: testTarget, Name: string(testAgent), Zone: "a", Phase: model.PhaseServing, Incarnation: 1,
	}
	fixture := &livenessFixture{registry: NewRegistry(), proposals: board.NewQueue[Proposal]("proposals", 16)}
	environment := &fixedEnvironment{leadership: Leadership{Leading: true, Term: 3, Since: testStart}, configuration: configuration}
	fixture.liveness = NewLiveness(fixture.registry, environment, testDeadAfter, fixture.proposals)
	return fixture
}

// report applies a full report of the relay, whose last heartbeat of testAgent is age old.
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

// proposesDead runs the controller at the given time since testStart and reports whether it
// proposes a target as dead.
func (fixture *livenessFixture) proposesDead(at time.Duration) bool {
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

// TestNewLeaderWaitsForReportsOfTheNodesCurrentRelay checks that the report of a relay that the
// node left long ago does not make its target dead before the node's current relay has reported.
func TestNewLeaderWaitsForReportsOfTheNodesCurrentRelay(t *testing.T) {
	fixture := newLivenessFixture()
	// The node moved from relay-1 to relay-2, which has not reported yet.
	fixture.report(100*time.Millisecond, "relay-1", 20*time.Second)
	require.False(t, fixture.proposesDead(200*time.Millisecond))
	fixture.report(300*time.Millisecond, "relay-2", 0)
	require.False(t, fixture.proposesDead(600*time.Millisecond))
}

// TestNewLeaderDeclaresTargetOfSilentNodeDead checks that a new leader counts a node's silence from
// the start of its leadership and declares the target dead after the timeout.
func TestNewLeaderDeclaresTargetOfSilentNodeDead(t *testing.T) {
	fixture := newLivenessFixture()
	for at := time.Duration(0); at <= testDeadAfter; at += time.Second {
		fixture.report(at, "relay-1", 20*time.Second+at)
		require.False(t, fixture.proposesDead(at))
	}
	fixture.report(testDeadAfter+time.Second, "relay-1", 26*time.Second)
	require.True(t, fixture.proposesDead(testDeadAfter+time.Second+time.Millisecond))
}

// TestPreviousRelayDoesNotShortenTheTimeout checks that a node whose relay failed gets
// relayFailoverTime in addition to the timeout, although the relay that it used before still
// reports it as silent.
func TestPreviousRelayDoesNotShortenTheTimeout(t *testing.T) {
	fixture := newLivenessFixture()
	for at := time.Duration(0); at <= 10*time.Second; at += time.Second {
		fixture.report(at, "relay-1", 20*time.Second+at)
		fixture.report(at, "relay-2", 0)
		require.False(t, fixture.proposesDead(at))
	}
	// relay-2 fails; the node needs time to connect to another relay.
	for at := 11 * time.Second; at <= 17*time.Second; at += time.Second {
		fixture.report(at, "relay-1", 20*time.Second+at)
		require.False(t, fixture.proposesDead(at), "at %s", at)
	}
	fixture.report(19*time.Second, "relay-1", 39*time.Second)
	require.True(t, fixture.proposesDead(19*time.Second))
}

// TestTargetsSurviveAGradualRecoveryOfTheirZone heals a partition of a zone. The agents' first
// heartbeats arrive one after the other, and the targets that are still missing must not be
// declared dead at once. A target whose agent never returns is declared dead later.
func TestTargetsSurviveAGradualRecoveryOfTheirZone(t *testing.T) {
	const agents = 4
	fixture := newLivenessFixture()
	configuration := fixture.liveness.environment.Configuration()
	report := func(at time.Duration, returned int, silentSince time.Duration) {
		fixture.sequence++
		var nodes []protocol.NodeReport
		for number := 1; number <= agents; number++ {
			age := time.Duration(0)
			if number > returned {
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
		require.False(t, fixture.proposesDead(at), "the zone appears partitioned")
	}
	healed := 21 * time.Second
	for returned := 1; returned < agents; returned++ {
		report(healed, returned, 0)
		require.False(t, fixture.proposesDead(healed), "%d agents are back", returned)
		healed += 500 * time.Millisecond
	}
	// The last agent never returns: it failed during the partition.
	for at := healed; at <= healed+testDeadAfter; at += time.Second {
		report(at, agents-1, 0)
		require.False(t, fixture.proposesDead(at), "at %s", at)
	}
	at := healed + testDeadAfter + 2*relayFailoverTime
	report(at, agents-1, 0)
	require.True(t, fixture.proposesDead(at))
}

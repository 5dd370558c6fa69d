package steering_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/steering"
)

const maximumFlows = model.DefaultMaximumConnections

func TestScoreOrdersTargets(t *testing.T) {
	healthy := func(flows uint32) model.TargetLoad { return model.TargetLoad{Flows: flows, Healthy: true} }
	cold := healthy(100)
	cold.Cold = true
	unhealthy := healthy(100)
	unhealthy.Healthy = false
	score := func(load model.TargetLoad, requestsPerSlot float64) uint16 {
		return steering.Score(load, requestsPerSlot, maximumFlows)
	}
	require.NotZero(t, score(healthy(0), 0), "zero means that no load is known")
	require.Less(t, score(healthy(100), 0), score(healthy(101), 0), "one more flow")
	require.Less(t, score(healthy(100), 0.5), score(healthy(100), 1), "more requests")
	require.Less(t, score(healthy(0), 0), score(healthy(0), 1), "requests at a target without flows")
	require.Less(t, score(healthy(100), 1000), score(healthy(132), 0), "requests outweigh only a bounded share of flows")
	require.Less(t, score(healthy(450), 9), score(cold, 0), "a cold target ranks behind a warm one with many more flows")
	require.Less(t, score(healthy(maximumFlows), 9), score(unhealthy, 0), "an unhealthy target ranks behind a full one")
}

func TestAverageOfRecentRequestsDecidesBetweenEqualTargets(t *testing.T) {
	afterStart := start.Add(2 * flow.DefaultAssignmentLifetime)
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	agents := map[model.TargetID]*agentFixture{1: newAgent(1, configuration), 2: newAgent(2, configuration)}
	agents[1].load = model.TargetLoad{Slots: 2, Running: 2, Waiting: 4, Healthy: true}
	agents[2].load = model.TargetLoad{Slots: 2, Healthy: true}
	now := afterStart
	for range 60 {
		now = now.Add(time.Second)
		agents[1].steering.ObserveLoad(now)
		agents[2].steering.ObserveLoad(now)
	}
	agents[1].load, agents[2].load = agents[2].load, agents[1].load
	target := deliveringTarget(agents, now.Add(time.Millisecond), packetAt(configuration, testFlow(1), true))
	require.EqualValues(t, 2, target, "a single observation does not outweigh the average")
}

func TestUnhealthyTargetGetsNoFlowWhileAnotherTargetMayOpenIt(t *testing.T) {
	afterStart := start.Add(2 * flow.DefaultAssignmentLifetime)
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	agents := map[model.TargetID]*agentFixture{1: newAgent(1, configuration), 2: newAgent(2, configuration)}
	agents[1].load = model.TargetLoad{Slots: 2}
	agents[2].load = model.TargetLoad{Slots: 2, Healthy: true}
	for port := range uint16(50) {
		require.EqualValues(t, 2, deliveringTarget(agents, afterStart, packetAt(configuration, testFlow(port), true)))
	}
	agents[2].draining = true
	require.EqualValues(t, 1, deliveringTarget(agents, afterStart, packetAt(configuration, testFlow(99), true)), "an unhealthy target is used when there is no other")
}

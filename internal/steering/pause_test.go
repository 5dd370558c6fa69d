package steering_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/steering"
)

// Control may have declared an agent dead while its process was paused. Until the agent is up to date
// again it must not open flows by its old configuration, in any stage of a packet.
func TestPausedAgentOpensNoFlow(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	tests := []struct {
		name   string
		target model.TargetID
		stage  model.Stage
		action steering.Action
	}{
		{"head", 1, model.StageLookup, steering.ActionDrop},
		{"head to which the alternate returned the packet", 1, model.StageReturn, steering.ActionDrop},
		{"alternate to which the flow is assigned", 2, model.StageAssign, steering.ActionDrop},
		{"another target of the chain forwards the packet", 2, model.StageLookup, steering.ActionForward},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			agent := newAgent(test.target, configuration)
			agent.paused = true
			opening := packetAt(configuration, testFlow(1), true)
			opening.Stage = test.stage
			decision := agent.steering.Decide(start, opening)
			require.Equal(t, test.action, decision.Action)
			require.False(t, decision.Opened)
			require.Zero(t, agent.owned.Len())
		})
	}
}

func TestPausedAgentDeliversPacketsOfItsOpenFlows(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1}, nil)
	agent := newAgent(1, configuration)
	require.True(t, agent.steering.Decide(start, packetAt(configuration, testFlow(1), true)).Opened)
	agent.paused = true
	require.Equal(t, steering.ActionDeliver, agent.steering.Decide(start, packetAt(configuration, testFlow(1), false)).Action)
}

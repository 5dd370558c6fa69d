package steering_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/steering"
)

// An agent that stood still may have been taken for dead meanwhile; it must not
// open flows by what it knew before, whatever way the packet took.
func TestAPausedAgentOpensNoFlow(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	tests := []struct {
		name   string
		target model.TargetID
		stage  model.Stage
		action steering.Action
	}{
		{"head", 1, model.StageLookup, steering.ActionDrop},
		{"head whose alternate refused", 1, model.StageReturn, steering.ActionDrop},
		{"alternate that a flow is assigned to", 2, model.StageAssign, steering.ActionDrop},
		{"another target of the chain passes on", 2, model.StageLookup, steering.ActionForward},
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
			require.Zero(t, agent.owners.Len())
		})
	}
}

func TestAPausedAgentKeepsItsFlows(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1}, nil)
	agent := newAgent(1, configuration)
	require.True(t, agent.steering.Decide(start, packetAt(configuration, testFlow(1), true)).Opened)
	agent.paused = true
	require.Equal(t, steering.ActionDeliver, agent.steering.Decide(start, packetAt(configuration, testFlow(1), false)).Action)
}

package steering_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/steering"
)

// Callers repeat an opening packet after this time.
const callerPatience = time.Second

// A dead alternate, or one behind a cut, must not take every new flow of the
// bucket with it until control notices.
func TestHeadOpensFlowsItselfWhileTheAlternateDoesNotAnswer(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	head := newAgent(1, configuration)
	now := start.Add(time.Minute)
	givenToAlternate := func(port uint16) bool {
		decision := head.steering.Decide(now, packetAt(configuration, testFlow(port), true))
		return decision.Action == steering.ActionForward && decision.Next == 2
	}
	require.True(t, givenToAlternate(1))
	require.True(t, givenToAlternate(2))
	now = now.Add(callerPatience)
	require.True(t, givenToAlternate(1), "the alternate may have opened it, so the choice stays")
	require.True(t, givenToAlternate(3), "one repeated packet can be a lost one")
	require.True(t, givenToAlternate(2))
	require.False(t, givenToAlternate(4), "nothing is heard of the alternate")

	now = now.Add(10 * time.Second)
	require.True(t, givenToAlternate(5), "it is asked again after a while")
}

func TestCopiesAndAnswersDoNotMakeTheAlternateSuspect(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	tests := []struct {
		name     string
		patience time.Duration
		answers  bool
	}{
		{"copies come at once", time.Millisecond, false},
		{"the alternate returns other packets", callerPatience, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			head := newAgent(1, configuration)
			now := start.Add(time.Minute)
			for port := uint16(1); port < 9; port++ {
				opening := packetAt(configuration, testFlow(port), true)
				given := head.steering.Decide(now, opening)
				require.Equal(t, steering.ActionForward, given.Action, "flow %d", port)
				now = now.Add(test.patience)
				head.steering.Decide(now, opening)
				if test.answers {
					returned := passed(opening, given)
					returned.Stage = model.StageReturn
					head.steering.Decide(now, returned)
				}
			}
		})
	}
}

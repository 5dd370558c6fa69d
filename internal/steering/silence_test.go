package steering_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/steering"
)

// retransmissionDelay is the time after which callers retransmit an opening packet.
const retransmissionDelay = time.Second

// Without detection, all new flows that the head assigns to an alternate which is dead or cut off by
// a network partition would fail until control removes it.
func TestHeadOpensFlowsItselfWhileTheAlternateIsUnresponsive(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	head := newAgent(1, configuration)
	now := start.Add(time.Minute)
	assignsToAlternate := func(port uint16) bool {
		decision := head.steering.Decide(now, packetAt(configuration, testFlow(port), true))
		return decision.Action == steering.ActionForward && decision.Next == 2
	}
	require.True(t, assignsToAlternate(1))
	require.True(t, assignsToAlternate(2))
	now = now.Add(retransmissionDelay)
	require.True(t, assignsToAlternate(1), "the alternate may have opened it, so the assignment stays")
	require.True(t, assignsToAlternate(3), "one retransmission may be due to a lost packet")
	require.True(t, assignsToAlternate(2))
	require.False(t, assignsToAlternate(4), "the alternate is suspect after two retransmissions")

	now = now.Add(10 * time.Second)
	require.True(t, assignsToAlternate(5), "it is no longer suspect after a while")
}

func TestCopiesAndReturnedPacketsDoNotMakeTheAlternateSuspect(t *testing.T) {
	configuration := newConfiguration(10, model.Bucket{Head: 1, Alternate: 2}, nil)
	tests := []struct {
		name    string
		delay   time.Duration
		returns bool
	}{
		{"copies arrive at once", time.Millisecond, false},
		{"the alternate returns other packets", retransmissionDelay, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			head := newAgent(1, configuration)
			now := start.Add(time.Minute)
			for port := uint16(1); port < 9; port++ {
				opening := packetAt(configuration, testFlow(port), true)
				assigned := head.steering.Decide(now, opening)
				require.Equal(t, steering.ActionForward, assigned.Action, "flow %d", port)
				now = now.Add(test.delay)
				head.steering.Decide(now, opening)
				if test.returns {
					returned := forwarded(opening, assigned)
					returned.Stage = model.StageReturn
					head.steering.Decide(now, returned)
				}
			}
		})
	}
}

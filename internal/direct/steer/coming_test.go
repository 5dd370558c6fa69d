package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// onTheWay has requests that wait in front of the balancer's link, by target, and none that
// are at targets.
type onTheWay struct {
	busy
	coming map[directory.Token]int
}

// Coming implements Loads.
func (loads *onTheWay) Pending(token directory.Token) int { return loads.coming[token] }

// TestFlowsThatWaitForTheLinkDoNotPileUp: flows that come while others wait in front of the
// link go to other targets, although none of those has reached its target.
func TestFlowsThatWaitForTheLinkDoNotPileUp(t *testing.T) {
	const targets, flows = 3, 30
	loads := &onTheWay{coming: make(map[directory.Token]int)}
	options := DefaultOptions()
	options.Loads = loads
	table := NewTable(options)
	require.True(t, table.Apply(whole(targets), start))
	table.Confirm(start)
	for port := range flows {
		decision := table.Decide(opening(port+1), start)
		require.Equal(t, Forward, decision.Action)
		loads.coming[decision.Token]++
	}
	for token := directory.Token(1); token <= targets; token++ {
		require.InDelta(t, flows/targets, loads.coming[token], 1)
	}
}

// TestFlowsAreNotRefusedForWhatWaitsForTheLink: the link brings what waits one after the other,
// to targets that are idle.
func TestFlowsAreNotRefusedForWhatWaitsForTheLink(t *testing.T) {
	loads := &onTheWay{busy: busy{open: 1, serving: 50 * time.Millisecond}, coming: map[directory.Token]int{1: 20, 2: 20, 3: 20}}
	table := admissionTable(t, &loads.busy, func(options *Options) { options.Loads = loads })
	decision := press(table, start, 3*congestionTimeConstant, opening(9))
	require.Equal(t, ReasonChosen, decision.Reason)
	loads.open = 21
	decision = press(table, start.Add(time.Minute), 3*congestionTimeConstant, opening(9))
	require.Equal(t, ReasonOverloaded, decision.Reason)
}

package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// pendingLoads implements Loads with a number of pending requests for each target, in addition to
// uniformLoads.
type pendingLoads struct {
	uniformLoads
	pending map[directory.Token]int
}

// Pending implements Loads.
func (loads *pendingLoads) Pending(token directory.Token) int { return loads.pending[token] }

// TestPendingFlowsSpreadOverTargets: flows that arrive while others wait in front of the link must
// go to other targets, although no target has an open request yet.
func TestPendingFlowsSpreadOverTargets(t *testing.T) {
	const targets, flows = 3, 30
	loads := &pendingLoads{pending: make(map[directory.Token]int)}
	options := DefaultOptions()
	options.Loads = loads
	table := NewTable(options)
	require.True(t, table.Apply(fullSnapshot(targets), start))
	table.Confirm(start)
	for port := range flows {
		decision := table.Decide(openingPacket(port+1), start)
		require.Equal(t, Forward, decision.Action)
		loads.pending[decision.Token]++
	}
	for token := directory.Token(1); token <= targets; token++ {
		require.InDelta(t, flows/targets, loads.pending[token], 1)
	}
}

// TestPendingRequestsDoNotCauseRefusals: the link delivers pending requests one after the other, to
// targets that are idle. Only open requests may cause a refusal.
func TestPendingRequestsDoNotCauseRefusals(t *testing.T) {
	loads := &pendingLoads{uniformLoads: uniformLoads{open: 1, serviceTime: 50 * time.Millisecond}, pending: map[directory.Token]int{1: 20, 2: 20, 3: 20}}
	table := admissionTable(t, &loads.uniformLoads, func(options *Options) { options.Loads = loads })
	decision := sendRepeatedly(table, start, 3*congestionTimeConstant, openingPacket(9))
	require.Equal(t, ReasonChosen, decision.Reason)
	loads.open = 21
	decision = sendRepeatedly(table, start.Add(time.Minute), 3*congestionTimeConstant, openingPacket(9))
	require.Equal(t, ReasonOverloaded, decision.Reason)
}

package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
)

func TestRankCountsActivePriorities(t *testing.T) {
	var tracker priorityTracker
	require.Zero(t, tracker.rank(2, start), "no more urgent priority is active")
	require.Zero(t, tracker.rank(1, start))
	require.Equal(t, 1, tracker.rank(2, start))
	require.Zero(t, tracker.rank(1, start.Add(time.Second)))
	require.Equal(t, 1, tracker.rank(2, start.Add(priorityActiveFor)))
	require.Zero(t, tracker.rank(2, start.Add(priorityActiveFor+time.Second)), "the more urgent priority is no longer active")
	for priority := range 3 * maxTrackedPriorities {
		require.LessOrEqual(t, tracker.rank(priority, start.Add(priorityActiveFor)), maxTrackedPriorities)
	}
}

// TestUnusedRoutesDoNotLowerTheRankOfOthers: declared routes without traffic must not make the only
// callers of a service less urgent.
func TestUnusedRoutesDoNotLowerTheRankOfOthers(t *testing.T) {
	options := DefaultOptions()
	options.Loads = &uniformLoads{open: 8, serviceTime: 10 * time.Millisecond}
	table := NewTable(options)
	changes := fullSnapshot(3)
	pool := []declared.PoolPart{{Service: "feed", Weight: 1}}
	changes.Routes = []directory.RouteEntry{
		{Address: feedRoute, Pool: pool, Objective: objective, Priority: 2},
		{Address: otherRoute, Pool: pool, Objective: objective, Priority: 0},
		{Address: lowPriorityRoute, Pool: pool, Objective: objective, Priority: 1},
	}
	require.True(t, table.Apply(changes, start))
	require.Equal(t, ReasonChosen, sendRepeatedly(table, start, 3*congestionTimeConstant, openingPacket(9)).Reason)
	urgent := openingPacket(9)
	urgent.Service = otherRoute
	_ = table.Decide(urgent, start.Add(3*congestionTimeConstant))
	require.Equal(t, ReasonOverloaded, sendRepeatedly(table, start.Add(3*congestionTimeConstant), 3*congestionTimeConstant, openingPacket(9)).Reason)
}

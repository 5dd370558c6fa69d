package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
)

func TestRankCountsPrioritiesInUse(t *testing.T) {
	var urgency priorityTracker
	require.Zero(t, urgency.rank(2, start), "nothing more urgent is known")
	require.Zero(t, urgency.rank(1, start))
	require.Equal(t, 1, urgency.rank(2, start))
	require.Zero(t, urgency.rank(1, start.Add(time.Second)))
	require.Equal(t, 1, urgency.rank(2, start.Add(priorityActiveFor)))
	require.Zero(t, urgency.rank(2, start.Add(priorityActiveFor+time.Second)), "the more urgent callers are gone")
	for priority := range 3 * maxTrackedPriorities {
		require.LessOrEqual(t, urgency.rank(priority, start.Add(priorityActiveFor)), maxTrackedPriorities)
	}
}

// TestDeclaredRoutesThatNobodyUsesMakeNoneLessUrgent: the only callers of a service are as
// urgent as any, whatever else is declared.
func TestDeclaredRoutesThatNobodyUsesMakeNoneLessUrgent(t *testing.T) {
	options := DefaultOptions()
	options.Loads = &busy{open: 8, serving: 10 * time.Millisecond}
	table := NewTable(options)
	changes := whole(3)
	pool := []declared.PoolPart{{Service: "feed", Weight: 1}}
	changes.Routes = []directory.RouteEntry{
		{Address: feedRoute, Pool: pool, Objective: objective, Priority: 2},
		{Address: noRoute, Pool: pool, Objective: objective, Priority: 0},
		{Address: lateRoute, Pool: pool, Objective: objective, Priority: 1},
	}
	require.True(t, table.Apply(changes, start))
	require.Equal(t, ReasonChosen, press(table, start, 3*congestionTimeConstant, opening(9)).Reason)
	urgent := opening(9)
	urgent.Service = noRoute
	_ = table.Decide(urgent, start.Add(3*congestionTimeConstant))
	require.Equal(t, ReasonOverloaded, press(table, start.Add(3*congestionTimeConstant), 3*congestionTimeConstant, opening(9)).Reason)
}

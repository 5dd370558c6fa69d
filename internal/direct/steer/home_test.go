package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// homeTable returns a table with a target in each of the zones n1, n2 and s1, and the
// feed's route bound to the regions.
func homeTable(t *testing.T, changes directory.Changes, regions ...string) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Regions = map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	changes.Routes[0].Regions = regions
	table := NewTable(options)
	require.True(t, table.Apply(changes, start))
	table.Confirm(start)
	return table
}

func TestRoutesReachTargetsOfTheirRegionsAlone(t *testing.T) {
	zones := func() directory.Changes { return zoned("n1", "n2", "s1", "unknown") }
	require.ElementsMatch(t, []directory.Token{1, 2, 3, 4}, reached(t, homeTable(t, zones())))
	require.ElementsMatch(t, []directory.Token{1, 2}, reached(t, homeTable(t, zones(), "north")))
	require.ElementsMatch(t, []directory.Token{1, 2, 3}, reached(t, homeTable(t, zones(), "north", "south")))
}

func TestRouteWithoutATargetInItsRegions(t *testing.T) {
	cases := []struct {
		name   string
		table  directory.Changes
		at     time.Duration
		action Action
		reason Reason
	}{
		{"is refused at once", zoned("s1"), 0, Reset, ReasonNoHome},
		{"is not refused by an old table", zoned("s1"), time.Minute, Drop, ReasonNoHome},
		{"waits where the service has no target at all", zoned(), 0, Drop, ReasonNoTarget},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decision := homeTable(t, test.table, "north").Decide(opening(1), start.Add(test.at))
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, test.reason, decision.Reason)
		})
	}
}

// TestEverythingTellsRegions: a balancer that follows another one obeys them.
func TestEverythingTellsRegions(t *testing.T) {
	table := homeTable(t, zoned("n1", "s1"), "south")
	follower := homeTable(t, table.Snapshot(), table.Snapshot().Routes[0].Regions...)
	require.Equal(t, []directory.Token{2}, reached(t, follower))
}

// TestRegionsOfARouteMayChange with a later version of the configuration.
func TestRegionsOfARouteMayChange(t *testing.T) {
	table := homeTable(t, zoned("n1", "s1"), "south")
	moved := zoned("n1", "s1").Routes[0]
	moved.Regions = []string{"north"}
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 4, Routes: []directory.RouteEntry{moved}}, start))
	require.Equal(t, []directory.Token{1}, reached(t, table))
}

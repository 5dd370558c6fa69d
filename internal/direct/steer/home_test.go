package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// regionTable returns a table with the changes applied, in which feedRoute is restricted to the
// regions. Zones n1 and n2 are in region north, and s1 is in region south.
func regionTable(t *testing.T, changes directory.Changes, regions ...string) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Regions = map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	changes.Routes[0].Regions = regions
	table := NewTable(options)
	require.True(t, table.Apply(changes, start))
	table.Confirm(start)
	return table
}

func TestRoutesReachOnlyTargetsInTheirRegions(t *testing.T) {
	zones := func() directory.Changes { return zonedSnapshot("n1", "n2", "s1", "unknown") }
	require.ElementsMatch(t, []directory.Token{1, 2, 3, 4}, reachedTargets(t, regionTable(t, zones())))
	require.ElementsMatch(t, []directory.Token{1, 2}, reachedTargets(t, regionTable(t, zones(), "north")))
	require.ElementsMatch(t, []directory.Token{1, 2, 3}, reachedTargets(t, regionTable(t, zones(), "north", "south")))
}

func TestRouteWithoutATargetInItsRegions(t *testing.T) {
	cases := []struct {
		name   string
		table  directory.Changes
		at     time.Duration
		action Action
		reason Reason
	}{
		{"is refused at once", zonedSnapshot("s1"), 0, Reset, ReasonNoHome},
		{"is not refused by a stale table", zonedSnapshot("s1"), time.Minute, Drop, ReasonNoHome},
		{"is dropped when the service has no target at all", zonedSnapshot(), 0, Drop, ReasonNoTarget},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decision := regionTable(t, test.table, "north").Decide(openingPacket(1), start.Add(test.at))
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, test.reason, decision.Reason)
		})
	}
}

// TestSnapshotIncludesRegions: a balancer that follows another one applies the regions of its
// routes.
func TestSnapshotIncludesRegions(t *testing.T) {
	table := regionTable(t, zonedSnapshot("n1", "s1"), "south")
	follower := regionTable(t, table.Snapshot(), table.Snapshot().Routes[0].Regions...)
	require.Equal(t, []directory.Token{2}, reachedTargets(t, follower))
}

// TestRegionsOfARouteMayChange: a later version of the configuration may change a route's regions.
func TestRegionsOfARouteMayChange(t *testing.T) {
	table := regionTable(t, zonedSnapshot("n1", "s1"), "south")
	moved := zonedSnapshot("n1", "s1").Routes[0]
	moved.Regions = []string{"north"}
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 4, Routes: []directory.RouteEntry{moved}}, start))
	require.Equal(t, []directory.Token{1}, reachedTargets(t, table))
}

package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// zoned returns a first table of ready targets, one for each of the zones in order.
func zoned(zones ...string) directory.Changes {
	changes := whole(len(zones))
	for place, zone := range zones {
		changes.Targets[place].Zone = zone
	}
	return changes
}

// ordered returns the changes that follow a table when zones are evacuated.
func ordered(after model.Revision, evacuated ...string) directory.Changes {
	zones := &directory.Zones{}
	for _, zone := range evacuated {
		zones.Evacuated = append(zones.Evacuated, directory.Evacuation{Zone: zone, Since: after + 1})
	}
	return directory.Changes{From: after, To: after + 1, Version: 3, Zones: zones}
}

// reached returns the tokens of the targets that many opening packets, and copies of
// them, are sent to.
func reached(t *testing.T, table *Table) []directory.Token {
	t.Helper()
	var tokens []directory.Token
	seen := make(map[directory.Token]bool)
	for port := 1; port <= 400; port++ {
		for attempt := range 3 {
			segment := opening(port)
			segment.Attempt = attempt
			decision := table.Decide(segment, start.Add(time.Second))
			require.Equal(t, Forward, decision.Action)
			if !seen[decision.Token] {
				seen[decision.Token] = true
				tokens = append(tokens, decision.Token)
			}
		}
	}
	return tokens
}

func TestTargetsOfAnEvacuatedZoneGetNoNewFlows(t *testing.T) {
	table := tableOf(t, zoned("a", "a", "b", "c"))
	require.ElementsMatch(t, []directory.Token{1, 2, 3, 4}, reached(t, table))
	require.True(t, table.Apply(ordered(10, "a"), start))
	require.ElementsMatch(t, []directory.Token{3, 4}, reached(t, table))
	service, capacity := table.ServiceCapacity(1)
	require.Equal(t, "feed", service)
	require.Equal(t, 4, capacity, "load is compared with what is in use")
	require.Equal(t, 1, table.EvacuatedZones())

	require.True(t, table.Apply(ordered(11), start))
	require.ElementsMatch(t, []directory.Token{1, 2, 3, 4}, reached(t, table))
	require.Zero(t, table.EvacuatedZones())
}

func TestOpenFlowsOfAnEvacuatedZoneGoOn(t *testing.T) {
	table := tableOf(t, zoned("a", "b"))
	require.True(t, table.Apply(ordered(10, "a"), start))
	segment := opening(5)
	segment.Opening = false
	segment.Token = 1
	decision := table.Decide(segment, start)
	require.Equal(t, Forward, decision.Action)
	require.Equal(t, directory.Token(1), decision.Token)
}

// TestTargetsThatRegisterInAnEvacuatedZoneGetNothing: the order names the zone, not
// the targets that were there.
func TestTargetsThatRegisterInAnEvacuatedZoneGetNothing(t *testing.T) {
	table := tableOf(t, zoned("a", "b"))
	require.True(t, table.Apply(ordered(10, "a"), start))
	added := entry(3, "feed", directory.TargetReady)
	added.Zone = "a"
	require.True(t, table.Apply(directory.Changes{From: 11, To: 12, Version: 3, Targets: []directory.TargetEntry{added}}, start))
	require.Equal(t, []directory.Token{2}, reached(t, table))
}

func TestServiceWithoutTargetsOutsideEvacuatedZones(t *testing.T) {
	seen := opening(9)
	seen.Attempt = 1
	seen.AlreadyForwarded = true
	cases := []struct {
		name    string
		segment Segment
		at      time.Duration
		action  Action
	}{
		{"is refused at once", opening(9), 0, Reset},
		{"is not refused by an old table", opening(9), time.Minute, Drop},
		{"is not refused when the flow may have opened", seen, 0, Drop},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := tableOf(t, zoned("a", "b"))
			require.True(t, table.Apply(ordered(10, "a", "b"), start))
			decision := table.Decide(test.segment, start.Add(test.at))
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, ReasonEvacuated, decision.Reason)
			require.Equal(t, model.Revision(11), decision.EvacuatedSince)
		})
	}
}

// TestEverythingTellsEvacuatedZones: a balancer that follows another one learns the
// orders that came before it.
func TestEverythingTellsEvacuatedZones(t *testing.T) {
	table := tableOf(t, zoned("a", "b", "c"))
	require.True(t, table.Apply(ordered(10, "c", "a"), start))
	follower := tableOf(t, table.Snapshot())
	require.Equal(t, []directory.Token{2}, reached(t, follower))
	require.Equal(t, table.Snapshot(), follower.Snapshot())
}

package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// zonedSnapshot returns a snapshot of ready targets, one in each of the zones in order.
func zonedSnapshot(zones ...string) directory.Changes {
	changes := fullSnapshot(len(zones))
	for index, zone := range zones {
		changes.Targets[index].Zone = zone
	}
	return changes
}

// evacuationDelta returns the change from the revision after to the next one, in which the given
// zones are evacuated and no others.
func evacuationDelta(after model.Revision, evacuated ...string) directory.Changes {
	zones := &directory.Zones{}
	for _, zone := range evacuated {
		zones.Evacuated = append(zones.Evacuated, directory.Evacuation{Zone: zone, Since: after + 1})
	}
	return directory.Changes{From: after, To: after + 1, Version: 3, Zones: zones}
}

// reachedTargets returns the tokens of the targets that 400 opening packets and their
// retransmissions are forwarded to.
func reachedTargets(t *testing.T, table *Table) []directory.Token {
	t.Helper()
	var tokens []directory.Token
	seen := make(map[directory.Token]bool)
	for port := 1; port <= 400; port++ {
		for attempt := range 3 {
			segment := openingPacket(port)
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
	table := tableOf(t, zonedSnapshot("a", "a", "b", "c"))
	require.ElementsMatch(t, []directory.Token{1, 2, 3, 4}, reachedTargets(t, table))
	require.True(t, table.Apply(evacuationDelta(10, "a"), start))
	require.ElementsMatch(t, []directory.Token{3, 4}, reachedTargets(t, table))
	service, capacity := table.ServiceCapacity(1)
	require.Equal(t, "feed", service)
	require.Equal(t, 4, capacity, "the capacity of evacuated targets does not count")
	require.Equal(t, 1, table.EvacuatedZones())

	require.True(t, table.Apply(evacuationDelta(11), start))
	require.ElementsMatch(t, []directory.Token{1, 2, 3, 4}, reachedTargets(t, table))
	require.Zero(t, table.EvacuatedZones())
}

func TestOpenFlowsOfAnEvacuatedZoneGoOn(t *testing.T) {
	table := tableOf(t, zonedSnapshot("a", "b"))
	require.True(t, table.Apply(evacuationDelta(10, "a"), start))
	segment := openingPacket(5)
	segment.Opening = false
	segment.Token = 1
	decision := table.Decide(segment, start)
	require.Equal(t, Forward, decision.Action)
	require.Equal(t, directory.Token(1), decision.Token)
}

// TestTargetsThatRegisterInAnEvacuatedZoneGetNoFlows: an evacuation applies to the zone, not only
// to the targets that were in it when it began.
func TestTargetsThatRegisterInAnEvacuatedZoneGetNoFlows(t *testing.T) {
	table := tableOf(t, zonedSnapshot("a", "b"))
	require.True(t, table.Apply(evacuationDelta(10, "a"), start))
	added := targetEntry(3, "feed", directory.TargetReady)
	added.Zone = "a"
	require.True(t, table.Apply(directory.Changes{From: 11, To: 12, Version: 3, Targets: []directory.TargetEntry{added}}, start))
	require.Equal(t, []directory.Token{2}, reachedTargets(t, table))
}

func TestServiceWithoutTargetsOutsideEvacuatedZones(t *testing.T) {
	forwarded := openingPacket(9)
	forwarded.Attempt = 1
	forwarded.AlreadyForwarded = true
	cases := []struct {
		name    string
		segment Segment
		at      time.Duration
		action  Action
	}{
		{"is refused at once", openingPacket(9), 0, Reset},
		{"is not refused by a stale table", openingPacket(9), time.Minute, Drop},
		{"is not refused when the flow may have opened", forwarded, 0, Drop},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := tableOf(t, zonedSnapshot("a", "b"))
			require.True(t, table.Apply(evacuationDelta(10, "a", "b"), start))
			decision := table.Decide(test.segment, start.Add(test.at))
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, ReasonEvacuated, decision.Reason)
			require.Equal(t, model.Revision(11), decision.EvacuatedSince)
		})
	}
}

// TestSnapshotIncludesEvacuatedZones: a balancer that follows another one applies the evacuations
// that began before.
func TestSnapshotIncludesEvacuatedZones(t *testing.T) {
	table := tableOf(t, zonedSnapshot("a", "b", "c"))
	require.True(t, table.Apply(evacuationDelta(10, "c", "a"), start))
	follower := tableOf(t, table.Snapshot())
	require.Equal(t, []directory.Token{2}, reachedTargets(t, follower))
	require.Equal(t, table.Snapshot(), follower.Snapshot())
}

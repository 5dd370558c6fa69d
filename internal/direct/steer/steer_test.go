package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// feedRoute is the address of the route to service feed in fullSnapshot.
	feedRoute = netip.MustParseAddrPort("198.18.0.1:443")
	// otherRoute is another address. fullSnapshot has no route for it.
	otherRoute = netip.MustParseAddrPort("198.18.0.9:443")
)

// feedRouteAt returns the address of a route at another port.
func feedRouteAt(port int) netip.AddrPort { return netip.AddrPortFrom(feedRoute.Addr(), uint16(port)) }

// targetEntry returns an entry of a target with two slots.
func targetEntry(token directory.Token, service string, state directory.TargetState) directory.TargetEntry {
	return directory.TargetEntry{
		Token: token, ID: directory.TargetID(token) + 1000, Service: service, Capacity: 2, State: state,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(token)}), 8080),
	}
}

// fullSnapshot returns a snapshot with count ready targets of service feed.
func fullSnapshot(count int) directory.Changes {
	changes := directory.Changes{
		Whole: true, To: 10, Version: 3,
		Routes: []directory.RouteEntry{{Address: feedRoute, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}}}},
	}
	for token := 1; token <= count; token++ {
		changes.Targets = append(changes.Targets, targetEntry(directory.Token(token), "feed", directory.TargetReady))
	}
	return changes
}

// tableOf returns a table with the changes applied, confirmed at start.
func tableOf(t testing.TB, changes directory.Changes) *Table {
	t.Helper()
	table := NewTable(DefaultOptions())
	require.True(t, table.Apply(changes, start))
	table.Confirm(start)
	return table
}

// openingPacket returns an opening packet to feedRoute from a port of the caller.
func openingPacket(port int) Segment {
	return Segment{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)),
		Service: feedRoute, Opening: true,
	}
}

func TestDecide(t *testing.T) {
	changes := fullSnapshot(0)
	changes.Targets = []directory.TargetEntry{
		targetEntry(1, "feed", directory.TargetReady),
		targetEntry(2, "feed", directory.TargetDraining),
		targetEntry(3, "feed", directory.TargetLeft),
		targetEntry(4, "feed", directory.TargetFailed),
	}
	data := func(token directory.Token) Segment {
		segment := openingPacket(5)
		segment.Opening = false
		segment.Token = token
		return segment
	}
	unknownRoute := openingPacket(5)
	unknownRoute.Service = otherRoute
	aborted := data(4)
	aborted.Abort = true
	cases := []struct {
		name    string
		segment Segment
		at      time.Duration
		action  Action
		reason  Reason
		token   directory.Token
	}{
		{"new flow", openingPacket(5), 0, Forward, ReasonChosen, 1},
		{"flow of a ready target", data(1), 0, Forward, ReasonOwner, 1},
		{"flow of a draining target", data(2), 0, Forward, ReasonOwner, 2},
		{"flow of a target that left", data(3), 0, Forward, ReasonOwner, 3},
		{"flow of a failed target", data(4), 0, Reset, ReasonTargetFailed, 0},
		{"abort of a flow of a failed target", aborted, 0, Drop, ReasonTargetFailed, 0},
		{"unknown token", data(99), 0, Drop, ReasonUnknownToken, 0},
		{"no token", data(0), 0, Drop, ReasonMissingToken, 0},
		{"no route in a current table", unknownRoute, 0, Reset, ReasonNoRoute, 0},
		{"no route in a stale table", unknownRoute, time.Minute, Drop, ReasonNoRouteStale, 0},
		{"flow in a stale table", data(1), time.Minute, Forward, ReasonOwner, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decision := tableOf(t, changes).Decide(test.segment, start.Add(test.at))
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, test.reason, decision.Reason)
			require.Equal(t, test.token, decision.Token)
		})
	}
}

func TestPacketsAreDroppedWithoutATable(t *testing.T) {
	table := NewTable(DefaultOptions())
	require.Equal(t, Drop, table.Decide(openingPacket(1), start).Action)
	require.Equal(t, ReasonNoTable, table.Decide(openingPacket(1), start).Reason)
}

func TestRetransmissionsGoToOtherTargetsAndNameTheUnresponsiveOne(t *testing.T) {
	table := tableOf(t, fullSnapshot(5))
	var tried []directory.Token
	for attempt := range 3 {
		segment := openingPacket(9)
		segment.Attempt = attempt
		decision := table.Decide(segment, start.Add(2*retransmissionSpan))
		require.NotContains(t, tried, decision.Token)
		if attempt > 0 {
			require.Equal(t, tried[attempt-1], decision.Suspect)
		} else {
			require.Zero(t, decision.Suspect)
		}
		tried = append(tried, decision.Token)
	}
}

// TestRetransmissionsAfterAStartNameNoSuspect: the earlier attempts may have arrived when this
// balancer had no table yet, and then were not forwarded by it.
func TestRetransmissionsAfterAStartNameNoSuspect(t *testing.T) {
	table := tableOf(t, fullSnapshot(5))
	segment := openingPacket(9)
	segment.Attempt = 2
	require.Zero(t, table.Decide(segment, start.Add(retransmissionSpan)).Suspect)
	require.NotZero(t, table.Decide(segment, start.Add(retransmissionSpan+time.Millisecond)).Suspect)
}

func TestUnconfirmedTableHasNoAge(t *testing.T) {
	table := NewTable(DefaultOptions())
	require.True(t, table.Apply(fullSnapshot(1), start))
	require.Equal(t, NeverConfirmed, table.Decide(openingPacket(1), start).ConfirmedAgo)
	table.Confirm(start)
	require.Equal(t, time.Second, table.Decide(openingPacket(1), start.Add(time.Second)).ConfirmedAgo)
}

func TestAllBalancersChooseTheSameTarget(t *testing.T) {
	one, other := tableOf(t, fullSnapshot(14)), tableOf(t, fullSnapshot(14))
	for port := range 2000 {
		require.Equal(t, one.Decide(openingPacket(port), start).Token, other.Decide(openingPacket(port), start).Token)
	}
}

func TestNewFlowsSpreadByWeight(t *testing.T) {
	changes := fullSnapshot(10)
	changes.Targets[0].Capacity = 6
	table := tableOf(t, changes)
	counts := make(map[directory.Token]int)
	const flows = 24_000
	for index := range flows {
		segment := openingPacket(index % 60000)
		segment.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(index >> 8), byte(index)}), uint16(index))
		counts[table.Decide(segment, start).Token]++
	}
	for token, count := range counts {
		want := float64(flows) * 2 / 24
		if token == 1 {
			want = float64(flows) * 6 / 24
		}
		require.InDelta(t, want, count, want*0.1, "token %d", token)
	}
}

// TestTargetsOfTheLocalZoneGetMoreFlows: zone near has four targets, and zone far has eight.
func TestTargetsOfTheLocalZoneGetMoreFlows(t *testing.T) {
	changes := fullSnapshot(12)
	for index := range changes.Targets {
		changes.Targets[index].Zone = "far"
		if index < 4 {
			changes.Targets[index].Zone = "near"
		}
	}
	share := func(zone string) float64 {
		options := DefaultOptions()
		options.Zone = zone
		table, other := NewTable(options), NewTable(options)
		require.True(t, table.Apply(changes, start))
		require.True(t, other.Apply(changes, start))
		inNearZone := 0
		const flows = 20_000
		for port := range flows {
			segment := openingPacket(port + 1)
			decision := table.Decide(segment, start)
			require.Equal(t, decision, other.Decide(segment, start), "balancers of one zone make the same choice")
			if decision.Token <= 4 {
				inNearZone++
			}
		}
		return float64(inNearZone) / flows
	}
	require.InDelta(t, 16.0/24, share("near"), 0.02)
	require.InDelta(t, 4.0/36, share("far"), 0.02)
	require.InDelta(t, 4.0/12, share("elsewhere"), 0.02)
	require.InDelta(t, 4.0/12, share(""), 0.02)
}

func TestPoolPartsGetFlowsByWeight(t *testing.T) {
	changes := fullSnapshot(3)
	changes.Targets = append(changes.Targets, targetEntry(8, "ledger", directory.TargetReady))
	changes.Routes[0].Pool = []declared.PoolPart{{Service: "feed", Weight: 90}, {Service: "ledger", Weight: 10}, {Service: "none", Weight: 0}}
	table := tableOf(t, changes)
	ledger := 0
	for port := range 10_000 {
		if table.Decide(openingPacket(port+1), start).Token == 8 {
			ledger++
		}
	}
	require.InDelta(t, 1000, ledger, 120)
}

// deltaAfter returns a change of the targets from a revision to the next one.
func deltaAfter(from model.Revision, targets ...directory.TargetEntry) directory.Changes {
	return directory.Changes{From: from, To: from + 1, Version: 3, Targets: targets}
}

// TestNewTargetIsUsedAtOnce: new flows may go to a target as soon as one balancer knows it.
// Balancers that do not know it yet park packets of its flows until they do (package forwarder).
func TestNewTargetIsUsedAtOnce(t *testing.T) {
	table := tableOf(t, fullSnapshot(1))
	require.True(t, table.Apply(deltaAfter(10, targetEntry(2, "feed", directory.TargetReady)), start))
	getsFlows := func(at time.Duration) bool {
		for port := range 200 {
			if table.Decide(openingPacket(port+1), start.Add(at)).Token == 2 {
				return true
			}
		}
		return false
	}
	require.True(t, getsFlows(0))
	segment := Segment{Caller: openingPacket(1).Caller, Service: feedRoute, Token: 2}
	require.Equal(t, Forward, table.Decide(segment, start).Action, "packets of its flows are forwarded at once")
}

func TestFirstTargetOfAServiceIsUsedAtOnce(t *testing.T) {
	table := tableOf(t, fullSnapshot(0))
	require.Equal(t, ReasonNoTarget, table.Decide(openingPacket(1), start).Reason)
	require.True(t, table.Apply(deltaAfter(10, targetEntry(2, "feed", directory.TargetReady)), start))
	require.Equal(t, directory.Token(2), table.Decide(openingPacket(1), start).Token)
}

func TestAvoidedTargetGetsNoNewFlows(t *testing.T) {
	table := tableOf(t, fullSnapshot(3))
	table.Avoid(2, start)
	for port := range 300 {
		require.NotEqual(t, directory.Token(2), table.Decide(openingPacket(port+1), start).Token)
	}
	later := start.Add(DefaultOptions().AvoidFor)
	found := false
	for port := range 300 {
		found = found || table.Decide(openingPacket(port+1), later).Token == 2
	}
	require.True(t, found)
}

func TestTableIgnoresOlderChangesAndGaps(t *testing.T) {
	table := tableOf(t, fullSnapshot(2))
	older := fullSnapshot(5)
	older.To = 9
	older.Version = 2
	require.False(t, table.Apply(older, start), "an older snapshot is not applied")
	require.False(t, table.Apply(directory.Changes{From: 12, To: 13, Version: 9}, start), "a change that leaves a gap is not applied")
	require.True(t, table.Apply(directory.Changes{From: 4, To: 10, Version: 3}, start), "a change to the present revision needs no application")
	require.Equal(t, model.Revision(10), table.Revision())
	require.Equal(t, uint64(3), table.Version())
}

func TestRemovedRoutesAndTargetsAreDeleted(t *testing.T) {
	table := tableOf(t, fullSnapshot(2))
	changes := deltaAfter(10)
	changes.Removed = []netip.AddrPort{feedRoute}
	changes.Forgotten = []directory.Token{1}
	require.True(t, table.Apply(changes, start))
	require.Equal(t, ReasonNoRoute, table.Decide(openingPacket(1), start).Reason)
	_, known := table.Lookup(1)
	require.False(t, known)
}

func TestDecisionsAllocateNothing(t *testing.T) {
	table := loadedTable(t, 14, 3, openCounts{1: 3, 2: 5})
	evacuated := tableOf(t, coldAndEvacuableSnapshot(14))
	require.True(t, evacuated.Apply(evacuationDelta(10, "a"), start))
	require.Zero(t, testing.AllocsPerRun(200, func() {
		_ = table.Decide(openingPacket(77), start)
		_ = evacuated.Decide(openingPacket(77), start)
		_ = table.Decide(Segment{Caller: openingPacket(1).Caller, Service: feedRoute, Token: 3}, start)
	}))
}

// coldAndEvacuableSnapshot returns a snapshot with count targets of a service with a cold limit. A
// third of the targets is cold, and another third is in zone a.
func coldAndEvacuableSnapshot(count int) directory.Changes {
	changes := fullSnapshot(count)
	changes.ColdLimits = &directory.ColdLimits{PerSecond: map[string]float64{"feed": coldLimit}}
	for index := range changes.Targets {
		switch index % 3 {
		case 0:
			changes.Targets[index].Zone = "a"
		case 1:
			changes.Targets[index].Cold = time.Second
		}
	}
	return changes
}

// BenchmarkDecide compares a decision for a direct service with computing the chain of a bucket,
// which is what services with agents use.
func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{14, 120, 480} {
		table := tableOf(b, fullSnapshot(count))
		b.Run(fmt.Sprintf("open/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				_ = table.Decide(openingPacket(index%60000), start)
			}
		})
		loaded := loadedTable(b, count, 3, openCounts{1: 3, 2: 5})
		b.Run(fmt.Sprintf("open by load/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				_ = loaded.Decide(openingPacket(index%60000), start)
			}
		})
		evacuated := tableOf(b, coldAndEvacuableSnapshot(count))
		require.True(b, evacuated.Apply(evacuationDelta(10, "a"), start))
		b.Run(fmt.Sprintf("open, a third evacuated, a third cold/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				_ = evacuated.Decide(openingPacket(index%60000), start)
			}
		})
		b.Run(fmt.Sprintf("owner/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			segment := Segment{Caller: openingPacket(1).Caller, Service: feedRoute, Token: 3}
			for b.Loop() {
				_ = table.Decide(segment, start)
			}
		})
	}
	b.Run("chain", func(b *testing.B) {
		b.ReportAllocs()
		bucket := model.Bucket{Head: 1, Alternate: 2, Earlier: []model.EarlierTarget{{Target: 3}, {Target: 4}}}
		for b.Loop() {
			_ = routing.Chain(bucket)
		}
	})
}

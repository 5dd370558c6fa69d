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
	start     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	feedRoute = netip.MustParseAddrPort("198.18.0.1:443")
	noRoute   = netip.MustParseAddrPort("198.18.0.9:443")
)

// feedRouteAt returns the address of a route at another port.
func feedRouteAt(port int) netip.AddrPort { return netip.AddrPortFrom(feedRoute.Addr(), uint16(port)) }

func entry(token directory.Token, service string, state directory.TargetState) directory.TargetEntry {
	return directory.TargetEntry{
		Token: token, ID: directory.TargetID(token) + 1000, Service: service, Capacity: 2, State: state,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(token)}), 8080),
	}
}

// whole returns a first table with count ready targets of service feed.
func whole(count int) directory.Changes {
	changes := directory.Changes{
		Whole: true, To: 10, Version: 3,
		Routes: []directory.RouteEntry{{Address: feedRoute, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}}}},
	}
	for token := 1; token <= count; token++ {
		changes.Targets = append(changes.Targets, entry(directory.Token(token), "feed", directory.TargetReady))
	}
	return changes
}

func tableOf(t testing.TB, changes directory.Changes) *Table {
	t.Helper()
	table := NewTable(DefaultOptions())
	require.True(t, table.Apply(changes, start))
	table.Confirm(start)
	return table
}

func opening(port int) Segment {
	return Segment{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)),
		Service: feedRoute, Opening: true,
	}
}

func TestDecide(t *testing.T) {
	changes := whole(0)
	changes.Targets = []directory.TargetEntry{
		entry(1, "feed", directory.TargetReady),
		entry(2, "feed", directory.TargetDraining),
		entry(3, "feed", directory.TargetLeft),
		entry(4, "feed", directory.TargetFailed),
	}
	data := func(token directory.Token) Segment {
		segment := opening(5)
		segment.Opening = false
		segment.Token = token
		return segment
	}
	elsewhere := opening(5)
	elsewhere.Service = noRoute
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
		{"new flow", opening(5), 0, Forward, ReasonChosen, 1},
		{"flow of a ready target", data(1), 0, Forward, ReasonOwner, 1},
		{"flow of a draining target", data(2), 0, Forward, ReasonOwner, 2},
		{"flow of a target that left", data(3), 0, Forward, ReasonOwner, 3},
		{"flow of a dead target", data(4), 0, Reset, ReasonTargetFailed, 0},
		{"abort of a flow of a dead target", aborted, 0, Drop, ReasonTargetFailed, 0},
		{"unknown token", data(99), 0, Drop, ReasonUnknownToken, 0},
		{"no token", data(0), 0, Drop, ReasonMissingToken, 0},
		{"no route in a current table", elsewhere, 0, Reset, ReasonNoRoute, 0},
		{"no route in an old table", elsewhere, time.Minute, Drop, ReasonNoRouteStale, 0},
		{"flow in an old table", data(1), time.Minute, Forward, ReasonOwner, 1},
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

func TestWithoutATableNothingIsDecided(t *testing.T) {
	table := NewTable(DefaultOptions())
	require.Equal(t, Drop, table.Decide(opening(1), start).Action)
	require.Equal(t, ReasonNoTable, table.Decide(opening(1), start).Reason)
}

func TestCopiesGoToFurtherChoicesAndNameTheSilentOne(t *testing.T) {
	table := tableOf(t, whole(5))
	var seen []directory.Token
	for attempt := range 3 {
		segment := opening(9)
		segment.Attempt = attempt
		decision := table.Decide(segment, start.Add(2*retransmissionSpan))
		require.NotContains(t, seen, decision.Token)
		if attempt > 0 {
			require.Equal(t, seen[attempt-1], decision.Suspect)
		} else {
			require.Zero(t, decision.Suspect)
		}
		seen = append(seen, decision.Token)
	}
}

// TestCopiesAfterAStartSuspectNobody: the former copies came while this balancer
// had no table.
func TestCopiesAfterAStartSuspectNobody(t *testing.T) {
	table := tableOf(t, whole(5))
	segment := opening(9)
	segment.Attempt = 2
	require.Zero(t, table.Decide(segment, start.Add(retransmissionSpan)).Suspect)
	require.NotZero(t, table.Decide(segment, start.Add(retransmissionSpan+time.Millisecond)).Suspect)
}

func TestTableThatNobodyConfirmedHasNoAge(t *testing.T) {
	table := NewTable(DefaultOptions())
	require.True(t, table.Apply(whole(1), start))
	require.Equal(t, NeverConfirmed, table.Decide(opening(1), start).ConfirmedAgo)
	table.Confirm(start)
	require.Equal(t, time.Second, table.Decide(opening(1), start.Add(time.Second)).ConfirmedAgo)
}

func TestEveryBalancerChoosesAlike(t *testing.T) {
	one, other := tableOf(t, whole(14)), tableOf(t, whole(14))
	for port := range 2000 {
		require.Equal(t, one.Decide(opening(port), start).Token, other.Decide(opening(port), start).Token)
	}
}

func TestNewFlowsSpreadByWeight(t *testing.T) {
	changes := whole(10)
	changes.Targets[0].Capacity = 6
	table := tableOf(t, changes)
	counts := make(map[directory.Token]int)
	const flows = 24_000
	for index := range flows {
		segment := opening(index % 60000)
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

// TestNearTargetsGetMore: four targets of the balancer's own zone and eight
// others.
func TestNearTargetsGetMore(t *testing.T) {
	changes := whole(12)
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
		near := 0
		const flows = 20_000
		for port := range flows {
			segment := opening(port + 1)
			decision := table.Decide(segment, start)
			require.Equal(t, decision, other.Decide(segment, start), "balancers of one zone choose alike")
			if decision.Token <= 4 {
				near++
			}
		}
		return float64(near) / flows
	}
	require.InDelta(t, 16.0/24, share("near"), 0.02)
	require.InDelta(t, 4.0/36, share("far"), 0.02)
	require.InDelta(t, 4.0/12, share("elsewhere"), 0.02)
	require.InDelta(t, 4.0/12, share(""), 0.02)
}

func TestPoolPartsGetTheirWeight(t *testing.T) {
	changes := whole(3)
	changes.Targets = append(changes.Targets, entry(8, "ledger", directory.TargetReady))
	changes.Routes[0].Pool = []declared.PoolPart{{Service: "feed", Weight: 90}, {Service: "ledger", Weight: 10}, {Service: "none", Weight: 0}}
	table := tableOf(t, changes)
	ledger := 0
	for port := range 10_000 {
		if table.Decide(opening(port+1), start).Token == 8 {
			ledger++
		}
	}
	require.InDelta(t, 1000, ledger, 120)
}

// next returns the changes of one later revision.
func next(from model.Revision, targets ...directory.TargetEntry) directory.Changes {
	return directory.Changes{From: from, To: from + 1, Version: 3, Targets: targets}
}

// TestNewTargetIsUsedAtOnce: balancers that do not know it yet keep the packets of
// its flows until they do (package forwarder).
func TestNewTargetIsUsedAtOnce(t *testing.T) {
	table := tableOf(t, whole(1))
	require.True(t, table.Apply(next(10, entry(2, "feed", directory.TargetReady)), start))
	reached := func(at time.Duration) bool {
		for port := range 200 {
			if table.Decide(opening(port+1), start.Add(at)).Token == 2 {
				return true
			}
		}
		return false
	}
	require.True(t, reached(0))
	segment := Segment{Caller: opening(1).Caller, Service: feedRoute, Token: 2}
	require.Equal(t, Forward, table.Decide(segment, start).Action, "its flows are carried from the first moment")
}

func TestOnlyNewTargetsAreBetterThanNone(t *testing.T) {
	table := tableOf(t, whole(0))
	require.Equal(t, ReasonNoTarget, table.Decide(opening(1), start).Reason)
	require.True(t, table.Apply(next(10, entry(2, "feed", directory.TargetReady)), start))
	require.Equal(t, directory.Token(2), table.Decide(opening(1), start).Token)
}

func TestAvoidedTargetGetsNoNewFlows(t *testing.T) {
	table := tableOf(t, whole(3))
	table.Avoid(2, start)
	for port := range 300 {
		require.NotEqual(t, directory.Token(2), table.Decide(opening(port+1), start).Token)
	}
	later := start.Add(DefaultOptions().AvoidFor)
	found := false
	for port := range 300 {
		found = found || table.Decide(opening(port+1), later).Token == 2
	}
	require.True(t, found)
}

func TestTableNeverGoesBack(t *testing.T) {
	table := tableOf(t, whole(2))
	older := whole(5)
	older.To = 9
	older.Version = 2
	require.False(t, table.Apply(older, start), "an older whole table is not taken")
	require.False(t, table.Apply(directory.Changes{From: 12, To: 13, Version: 9}, start), "a gap is not taken")
	require.True(t, table.Apply(directory.Changes{From: 4, To: 10, Version: 3}, start), "the same revision is current")
	require.Equal(t, model.Revision(10), table.Revision())
	require.Equal(t, uint64(3), table.Version())
}

func TestRemovedRoutesAndForgottenTargetsGo(t *testing.T) {
	table := tableOf(t, whole(2))
	changes := next(10)
	changes.Removed = []netip.AddrPort{feedRoute}
	changes.Forgotten = []directory.Token{1}
	require.True(t, table.Apply(changes, start))
	require.Equal(t, ReasonNoRoute, table.Decide(opening(1), start).Reason)
	_, known := table.Lookup(1)
	require.False(t, known)
}

func TestDecisionsAllocateNothing(t *testing.T) {
	table := loadedTable(t, 14, 3, loads{1: 3, 2: 5})
	emptied := tableOf(t, thirds(14))
	require.True(t, emptied.Apply(ordered(10, "a"), start))
	require.Zero(t, testing.AllocsPerRun(200, func() {
		_ = table.Decide(opening(77), start)
		_ = emptied.Decide(opening(77), start)
		_ = table.Decide(Segment{Caller: opening(1).Caller, Service: feedRoute, Token: 3}, start)
	}))
}

// thirds returns a first table of a service whose cold targets are bounded: a third of
// its targets is cold, a third in zone a.
func thirds(count int) directory.Changes {
	changes := whole(count)
	changes.ColdLimits = &directory.ColdLimits{PerSecond: map[string]float64{"feed": coldRate}}
	for place := range changes.Targets {
		switch place % 3 {
		case 0:
			changes.Targets[place].Zone = "a"
		case 1:
			changes.Targets[place].Cold = time.Second
		}
	}
	return changes
}

// BenchmarkDecide compares a decision for a direct service with the chain of a
// bucket, which services with agents use.
func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{14, 120, 480} {
		table := tableOf(b, whole(count))
		b.Run(fmt.Sprintf("open/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				_ = table.Decide(opening(index%60000), start)
			}
		})
		loaded := loadedTable(b, count, 3, loads{1: 3, 2: 5})
		b.Run(fmt.Sprintf("open by load/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				_ = loaded.Decide(opening(index%60000), start)
			}
		})
		emptied := tableOf(b, thirds(count))
		require.True(b, emptied.Apply(ordered(10, "a"), start))
		b.Run(fmt.Sprintf("open, a third evacuated, a third cold/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				_ = emptied.Decide(opening(index%60000), start)
			}
		})
		b.Run(fmt.Sprintf("owner/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			segment := Segment{Caller: opening(1).Caller, Service: feedRoute, Token: 3}
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

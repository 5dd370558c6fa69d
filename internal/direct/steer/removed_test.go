package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
)

// flowPacket returns a packet of an open flow on a route.
func flowPacket(route netip.AddrPort, token directory.Token) Segment {
	segment := openingPacket(5)
	segment.Opening = false
	segment.Service = route
	segment.Token = token
	return segment
}

func routeTo(address netip.AddrPort) directory.RouteEntry {
	return directory.RouteEntry{Address: address, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}}}
}

// TestFlowOnRouteNotKnownYetIsKept guards against the reset of open flows by a balancer that has not
// received their new route yet.
func TestFlowOnRouteNotKnownYetIsKept(t *testing.T) {
	changes := fullSnapshot(2)
	changes.Targets[1].State = directory.TargetFailed
	table := tableOf(t, changes)
	cases := []struct {
		name   string
		token  directory.Token
		at     time.Duration
		action Action
		reason Reason
	}{
		{"known owner", 1, 0, Forward, ReasonOwner},
		{"known owner, stale table", 1, time.Minute, Forward, ReasonOwner},
		{"failed owner", 2, 0, Reset, ReasonTargetFailed},
		{"owner that is not known either", 3, 0, Drop, ReasonUnknownToken},
		{"no token", 0, 0, Reset, ReasonNoRoute},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decision := table.Decide(flowPacket(otherRoute, test.token), start.Add(test.at))
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, test.reason, decision.Reason)
		})
	}
}

// TestFlowOnRemovedRouteIsResetOnceConfirmed checks that a flow whose route was removed is reset, but
// not before the table was confirmed after its packet arrived.
func TestFlowOnRemovedRouteIsResetOnceConfirmed(t *testing.T) {
	withoutRoute := fullSnapshot(2)
	withoutRoute.To = 11
	withoutRoute.Routes = nil
	removals := map[string]directory.Changes{"by a change": deltaAfter(10), "by a snapshot": withoutRoute}
	for name, removal := range removals {
		t.Run(name, func(t *testing.T) {
			if !removal.Whole {
				removal.Removed = []netip.AddrPort{feedRoute}
			}
			table := tableOf(t, fullSnapshot(2))
			require.True(t, table.Apply(removal, start))
			arrivedAt := start.Add(100 * time.Millisecond)
			packet := flowPacket(feedRoute, 1)
			require.Equal(t, Decision{Reason: ReasonRouteRemoved, Revision: 11, Version: 3, ConfirmedAgo: 100 * time.Millisecond}, table.Decide(packet, arrivedAt))
			table.Confirm(arrivedAt.Add(-time.Millisecond))
			packet.WaitingSince = arrivedAt
			require.Equal(t, ReasonRouteRemoved, table.Decide(packet, arrivedAt.Add(time.Millisecond)).Reason)
			table.Confirm(arrivedAt.Add(time.Millisecond))
			decision := table.Decide(packet, arrivedAt.Add(2*time.Millisecond))
			require.Equal(t, Reset, decision.Action)
			require.Equal(t, ReasonNoRoute, decision.Reason)
		})
	}
}

// TestFlowOnRouteDeclaredAgainIsKept checks that a route that was removed and declared again serves its
// flows, also in a snapshot.
func TestFlowOnRouteDeclaredAgainIsKept(t *testing.T) {
	table := tableOf(t, fullSnapshot(2))
	removal := deltaAfter(10)
	removal.Removed = []netip.AddrPort{feedRoute}
	require.True(t, table.Apply(removal, start))
	again := deltaAfter(11)
	again.Routes = []directory.RouteEntry{routeTo(feedRoute)}
	require.True(t, table.Apply(again, start))
	require.Equal(t, ReasonOwner, table.Decide(flowPacket(feedRoute, 1), start).Reason)
	snapshot := fullSnapshot(2)
	snapshot.To = 13
	require.True(t, table.Apply(snapshot, start))
	require.False(t, table.removedRoutes.contains(feedRoute))
	require.Equal(t, ReasonOwner, table.Decide(flowPacket(feedRoute, 1), start).Reason)
}

// TestRemovedRoutesAreBounded checks that the oldest removed routes are forgotten, and that present and
// order agree.
func TestRemovedRoutesAreBounded(t *testing.T) {
	var removed removedRoutes
	for port := range maxRemovedRoutes + 10 {
		removed.add(feedRouteAt(port + 1))
		removed.add(feedRouteAt(port + 1))
	}
	require.Len(t, removed.order, maxRemovedRoutes)
	require.Len(t, removed.present, maxRemovedRoutes)
	require.False(t, removed.contains(feedRouteAt(10)))
	require.True(t, removed.contains(feedRouteAt(11)))
	removed.delete(feedRouteAt(11))
	removed.delete(feedRouteAt(11))
	require.Len(t, removed.order, maxRemovedRoutes-1)
	require.Len(t, removed.present, maxRemovedRoutes-1)
	require.False(t, removed.contains(feedRouteAt(11)))
}

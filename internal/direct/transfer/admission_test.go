package transfer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

var (
	uploads = netip.MustParseAddrPort("198.18.0.2:443")
	calls   = netip.MustParseAddrPort("198.18.0.1:443")
	other   = netip.MustParseAddrPort("198.18.0.3:443")
)

// start is when the open requests of the tests sent their latest packet.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rate is what the link of the tests carries, in bytes a second.
const rate = 100_000

// objective is in which an upload alone takes two fifths of what is allowed.
const objective = 2 * time.Second

func learned() *Sizes {
	sizes := NewSizes()
	sizes.Whole(uploads, 40_000)
	sizes.Whole(calls, 900)
	return sizes
}

// linkState is what waits in front of a link.
type linkState struct {
	idle      bool
	shortWait time.Duration
}

// Idle implements Link.
func (state linkState) Idle() bool { return state.idle }

// ShortWait implements Link.
func (state linkState) ShortWait() time.Duration { return state.shortWait }

// visiting returns an Open that visits the requests.
func visiting(open ...requests.Progress) Open {
	return func(visit func(progress requests.Progress)) {
		for _, progress := range open {
			if progress.LastAt.IsZero() {
				progress.LastAt = start
			}
			visit(progress)
		}
	}
}

func TestConsider(t *testing.T) {
	begun := requests.Progress{Route: uploads}
	half := requests.Progress{Route: uploads, Brought: 20_000}
	long := requests.Progress{Route: uploads, Brought: 200_000}
	whole := requests.Progress{Route: uploads, Brought: 40_000, Complete: true}
	unknown := requests.Progress{Route: other, Brought: 30_000}
	call := requests.Progress{Route: calls, Brought: 900}
	cases := []struct {
		name      string
		open      []requests.Progress
		route     netip.AddrPort
		objective time.Duration
		ahead     int
		refused   bool
	}{
		{"a free link", nil, uploads, objective, 0, false},
		{"room for both", []requests.Progress{half}, uploads, objective, 20_000, false},
		{"room for both, to the byte", []requests.Progress{begun, half}, uploads, objective, 60_000, false},
		{"one too many", []requests.Progress{begun, begun}, uploads, objective, 80_000, true},
		{"those that came whole do not count", []requests.Progress{whole, whole, whole, half}, uploads, objective, 20_000, false},
		{"longer than usual", []requests.Progress{long}, uploads, objective, leastRemaining, false},
		{"long on a route whose size is not known", []requests.Progress{unknown}, uploads, objective, leastRemaining, false},
		{"short requests do not count", []requests.Progress{call, call, call}, uploads, objective, 0, false},
		{"a short request passes", []requests.Progress{begun, begun, begun}, calls, objective, 0, false},
		{"a request of unknown size passes", []requests.Progress{begun, begun, begun}, other, objective, 0, false},
		{"a route without an objective", []requests.Progress{begun, begun, begun}, uploads, 0, 0, false},
		{"a long request that is late by itself", nil, uploads, objective / 4, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			admission := New(Options{BytesPerSecond: rate, Share: 0.5}, learned(), visiting(test.open...))
			verdict := admission.Consider(test.route, test.objective, start)
			require.Equal(t, test.refused, verdict.Refused)
			require.Equal(t, test.ahead, verdict.Ahead)
		})
	}
}

func TestConsiderTellsWhatDecided(t *testing.T) {
	admission := New(Options{BytesPerSecond: rate, Share: 0.5}, learned(), visiting(requests.Progress{Route: uploads, Brought: 10_000}))
	require.Equal(t, Verdict{Size: 40_000, Ahead: 30_000, Expected: 700 * time.Millisecond}, admission.Consider(uploads, objective, start))
}

// TestReviewRefusesNewFlowsAlone: packets of open flows, copies of opening packets
// and what the table refused stay as they were decided.
func TestReviewRefusesNewFlowsAlone(t *testing.T) {
	begun := requests.Progress{Route: uploads}
	admission := New(Options{BytesPerSecond: rate, Share: 0.5}, learned(), visiting(begun, begun))
	chosen := steer.Decision{Action: steer.Forward, Reason: steer.ReasonChosen, Token: 7, Objective: objective, Revision: 5, Version: 3}
	opening := steer.Segment{Service: uploads, Opening: true}
	refused := steer.Decision{Action: steer.Reset, Reason: steer.ReasonLinkFull, Expected: 1200 * time.Millisecond, Revision: 5, Version: 3}
	require.Equal(t, refused, admission.Review(opening, chosen, start))
	repeated := opening
	repeated.Attempt = 1
	require.Equal(t, refused, admission.Review(repeated, chosen, start), "its former copy was lost in front of the link")
	repeated.AlreadyForwarded = true
	require.Equal(t, chosen, admission.Review(repeated, chosen, start), "its former copy was sent on")
	owner := steer.Decision{Action: steer.Forward, Reason: steer.ReasonOwner, Token: 7}
	require.Equal(t, owner, admission.Review(steer.Segment{Service: uploads, Token: 7}, owner, start))
	unknown := steer.Decision{Action: steer.Reset, Reason: steer.ReasonNoRoute}
	require.Equal(t, unknown, admission.Review(opening, unknown, start))
}

func TestAdmissionSwitchedOff(t *testing.T) {
	full := visiting(requests.Progress{Route: uploads}, requests.Progress{Route: uploads}, requests.Progress{Route: uploads})
	require.True(t, New(Options{BytesPerSecond: rate, Share: 0.5}, learned(), full).Consider(uploads, objective, start).Refused)
	require.False(t, New(Options{BytesPerSecond: rate}, learned(), full).Consider(uploads, objective, start).Refused)
	require.False(t, New(Options{Share: 0.5}, learned(), full).Consider(uploads, objective, start).Refused, "a link without a bound")
}

// TestMoreAreRefusedWhereMostAre: with few refusals a link takes what the objective
// allows, with many only what it has room for. A free link takes any.
func TestMoreAreRefusedWhereMostAre(t *testing.T) {
	begun := requests.Progress{Route: uploads}
	nearlyDone := requests.Progress{Route: uploads, Brought: 40_000 - int(rate*roomFrom.Seconds())}
	nearlyDone.Brought = min(nearlyDone.Brought, 40_000-leastRemaining)
	var open []requests.Progress
	admission := New(Options{BytesPerSecond: 2 * rate, Share: 0.5}, learned(), func(visit func(requests.Progress)) { visiting(open...)(visit) })
	refused := func(now ...requests.Progress) bool {
		open = now
		return admission.Consider(uploads, objective, start).Refused
	}
	require.False(t, refused(begun, begun))
	for range 10 {
		require.True(t, refused(begun, begun, begun, begun, begun), "more than the objective allows")
	}
	require.True(t, refused(begun), "others are refused, too, so that one is enough")
	require.False(t, refused(nearlyDone), "the link has room")
	require.False(t, refused(), "a free link")
	for range 20 {
		refused()
	}
	require.False(t, refused(begun, begun), "few are refused again")
}

// TestRequestsThatUseTheLinkNoMore: a request that is quiet counts while data waits in
// front of the link, perhaps its own, and no more once none does.
func TestRequestsThatUseTheLinkNoMore(t *testing.T) {
	cases := []struct {
		name    string
		idle    bool
		quiet   time.Duration
		refused bool
	}{
		{"busy link", false, 2 * quietAfter, true},
		{"idle link, its data may be on the way", true, quietAfter, true},
		{"idle link, and quiet for long", true, quietAfter + time.Millisecond, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			begun := requests.Progress{Route: uploads}
			admission := New(Options{BytesPerSecond: rate, Share: 0.5}, learned(), visiting(begun, begun))
			admission.ObserveLink(linkState{idle: test.idle})
			require.Equal(t, test.refused, admission.Consider(uploads, objective, start.Add(test.quiet)).Refused)
		})
	}
}

func TestSizesAreLearnedByRoute(t *testing.T) {
	sizes := NewSizes()
	require.Zero(t, sizes.Typical(uploads))
	sizes.Whole(uploads, 30_000)
	sizes.Whole(uploads, 50_000)
	require.Equal(t, 40_000, sizes.Typical(uploads), "the first ones weigh alike")
	require.Zero(t, sizes.Typical(calls))
	for range 200 {
		sizes.Whole(uploads, 1000)
	}
	require.InDelta(t, 1000, sizes.Typical(uploads), 10, "sizes that change are followed")
}

// TestSizesAreGuessedUntilOneCameWhole: a link that is full from its start on lets no
// request through for long.
func TestSizesAreGuessedUntilOneCameWhole(t *testing.T) {
	sizes := NewSizes()
	sizes.Growing(uploads, 10_000)
	require.Equal(t, 20_000, sizes.Typical(uploads))
	sizes.Growing(uploads, 8000)
	require.Equal(t, 20_000, sizes.Typical(uploads))
	sizes.Growing(uploads, 30_000)
	require.Equal(t, 60_000, sizes.Typical(uploads))
	sizes.Whole(uploads, 40_000)
	require.Equal(t, 40_000, sizes.Typical(uploads), "what is known replaces the guess")
	sizes.Growing(uploads, 90_000)
	require.Equal(t, 40_000, sizes.Typical(uploads))
}

func TestSizesAreBounded(t *testing.T) {
	sizes := NewSizes()
	for port := range routesKept + 100 {
		sizes.Whole(netip.AddrPortFrom(uploads.Addr(), uint16(port+1)), 500)
	}
	require.Len(t, sizes.averages, routesKept)
	sizes.Whole(netip.AddrPortFrom(uploads.Addr(), 1), 700)
	require.Equal(t, 600, sizes.Typical(netip.AddrPortFrom(uploads.Addr(), 1)), "known routes go on")
}

// BenchmarkConsider decides about an upload while a watcher follows as many requests
// as a busy balancer has open: the most expensive decision.
func BenchmarkConsider(b *testing.B) {
	const openRequests = 256
	watcher := requests.NewWatcher()
	for port := range uint16(openRequests) {
		segment := steer.Segment{
			Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port+1024),
			Service: calls, HasData: true, Length: 900, Sequence: 1,
		}
		watcher.Note(segment, requests.Target{Token: 7}, start)
	}
	admission := New(Options{BytesPerSecond: rate, Share: 0.5}, learned(), watcher.EachOpen)
	b.ReportAllocs()
	for b.Loop() {
		admission.Consider(uploads, objective, start)
	}
}

// TestNewFlowsAreRefusedBeforeOpenOnesSuffer is a link that short datagrams alone keep full:
// from half of the time on after which senders repeat, each new flow would make the link
// carry more of it twice.
func TestNewFlowsAreRefusedBeforeOpenOnesSuffer(t *testing.T) {
	chosen := steer.Decision{Action: steer.Forward, Reason: steer.ReasonChosen, Objective: objective}
	owner := steer.Decision{Action: steer.Forward, Reason: steer.ReasonOwner}
	cases := []struct {
		name    string
		wait    time.Duration
		segment steer.Segment
		given   steer.Decision
		share   float64
		refused bool
	}{
		{"a short queue", shortWaitMost, steer.Segment{Service: calls, Opening: true}, chosen, 0.5, false},
		{"a long queue", shortWaitMost + 1, steer.Segment{Service: calls, Opening: true}, chosen, 0.5, true},
		{"an open flow", time.Second, steer.Segment{Service: calls}, owner, 0.5, false},
		{"a copy of what was sent on", time.Second, steer.Segment{Service: calls, Opening: true, AlreadyForwarded: true}, chosen, 0.5, false},
		{"switched off", time.Second, steer.Segment{Service: calls, Opening: true}, chosen, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			admission := New(Options{BytesPerSecond: rate, Share: test.share}, learned(), visiting())
			admission.ObserveLink(linkState{shortWait: test.wait})
			decision := admission.Review(test.segment, test.given, start)
			require.Equal(t, test.refused, decision.Reason == steer.ReasonLinkFull)
		})
	}
}

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

// start is when the open requests of the tests sent their latest packet, unless stated otherwise.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rate is the capacity of the link in the tests, in bytes per second.
const rate = 100_000

// objective is chosen so that a single upload takes two fifths of the time that is allowed for it.
const objective = 2 * time.Second

// learnedSizes returns the sizes of an upload (40,000 bytes) and of a short call (900 bytes).
func learnedSizes() *Sizes {
	sizes := NewSizes()
	sizes.RequestCompleted(uploads, 40_000)
	sizes.RequestCompleted(calls, 900)
	return sizes
}

// linkState is the state of the queue in front of a link.
type linkState struct {
	idle      bool
	shortWait time.Duration
}

// Idle implements Link.
func (state linkState) Idle() bool { return state.idle }

// ShortWait implements Link.
func (state linkState) ShortWait() time.Duration { return state.shortWait }

// visiting returns a VisitOpen that visits the given requests.
func visiting(open ...requests.Progress) VisitOpen {
	return func(visit func(progress requests.Progress)) {
		for _, progress := range open {
			if progress.LastAt.IsZero() {
				progress.LastAt = start
			}
			visit(progress)
		}
	}
}

func TestDecide(t *testing.T) {
	begun := requests.Progress{Route: uploads}
	half := requests.Progress{Route: uploads, ReceivedBytes: 20_000}
	long := requests.Progress{Route: uploads, ReceivedBytes: 200_000}
	complete := requests.Progress{Route: uploads, ReceivedBytes: 40_000, Complete: true}
	unknown := requests.Progress{Route: other, ReceivedBytes: 30_000}
	call := requests.Progress{Route: calls, ReceivedBytes: 900}
	cases := []struct {
		name      string
		open      []requests.Progress
		route     netip.AddrPort
		objective time.Duration
		ahead     int
		refused   bool
	}{
		{"idle link", nil, uploads, objective, 0, false},
		{"capacity for both", []requests.Progress{half}, uploads, objective, 20_000, false},
		{"exactly enough capacity", []requests.Progress{begun, half}, uploads, objective, 60_000, false},
		{"one too many", []requests.Progress{begun, begun}, uploads, objective, 80_000, true},
		{"complete requests do not count", []requests.Progress{complete, complete, complete, half}, uploads, objective, 20_000, false},
		{"open request longer than usual", []requests.Progress{long}, uploads, objective, minRemaining, false},
		{"long open request on a route of unknown size", []requests.Progress{unknown}, uploads, objective, minRemaining, false},
		{"short requests do not count", []requests.Progress{call, call, call}, uploads, objective, 0, false},
		{"a short request is accepted", []requests.Progress{begun, begun, begun}, calls, objective, 0, false},
		{"a request of unknown size is accepted", []requests.Progress{begun, begun, begun}, other, objective, 0, false},
		{"a route without an objective", []requests.Progress{begun, begun, begun}, uploads, 0, 0, false},
		{"a long request that misses its objective on an idle link", nil, uploads, objective / 4, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			admission := NewAdmission(Options{BytesPerSecond: rate, ObjectiveShare: 0.5}, learnedSizes(), visiting(test.open...))
			verdict := admission.Decide(test.route, test.objective, start)
			require.Equal(t, test.refused, verdict.Refused)
			require.Equal(t, test.ahead, verdict.BytesAhead)
		})
	}
}

func TestVerdictContainsItsReasons(t *testing.T) {
	admission := NewAdmission(Options{BytesPerSecond: rate, ObjectiveShare: 0.5}, learnedSizes(), visiting(requests.Progress{Route: uploads, ReceivedBytes: 10_000}))
	require.Equal(t, Verdict{TypicalSize: 40_000, BytesAhead: 30_000, ExpectedTime: 700 * time.Millisecond}, admission.Decide(uploads, objective, start))
}

// TestReviewRefusesOnlyNewFlows: packets of open flows, retransmissions of forwarded opening
// packets and packets that the table refused keep their decision.
func TestReviewRefusesOnlyNewFlows(t *testing.T) {
	begun := requests.Progress{Route: uploads}
	admission := NewAdmission(Options{BytesPerSecond: rate, ObjectiveShare: 0.5}, learnedSizes(), visiting(begun, begun))
	chosen := steer.Decision{Action: steer.Forward, Reason: steer.ReasonChosen, Token: 7, Objective: objective, Revision: 5, Version: 3}
	opening := steer.Segment{Service: uploads, Opening: true}
	refused := steer.Decision{Action: steer.Reset, Reason: steer.ReasonLinkFull, Expected: 1200 * time.Millisecond, Revision: 5, Version: 3}
	require.Equal(t, refused, admission.Review(opening, chosen, start))
	repeated := opening
	repeated.Attempt = 1
	require.Equal(t, refused, admission.Review(repeated, chosen, start), "its previous copy was lost in front of the link")
	repeated.AlreadyForwarded = true
	require.Equal(t, chosen, admission.Review(repeated, chosen, start), "its previous copy was forwarded")
	owner := steer.Decision{Action: steer.Forward, Reason: steer.ReasonOwner, Token: 7}
	require.Equal(t, owner, admission.Review(steer.Segment{Service: uploads, Token: 7}, owner, start))
	unknown := steer.Decision{Action: steer.Reset, Reason: steer.ReasonNoRoute}
	require.Equal(t, unknown, admission.Review(opening, unknown, start))
}

func TestAdmissionDisabled(t *testing.T) {
	full := visiting(requests.Progress{Route: uploads}, requests.Progress{Route: uploads}, requests.Progress{Route: uploads})
	require.True(t, NewAdmission(Options{BytesPerSecond: rate, ObjectiveShare: 0.5}, learnedSizes(), full).Decide(uploads, objective, start).Refused)
	require.False(t, NewAdmission(Options{BytesPerSecond: rate}, learnedSizes(), full).Decide(uploads, objective, start).Refused)
	require.False(t, NewAdmission(Options{ObjectiveShare: 0.5}, learnedSizes(), full).Decide(uploads, objective, start).Refused, "a link of unlimited capacity")
}

// TestHighRefusedShareShortensAllowedWait: while few requests are refused, one may wait as long as
// the objective allows; while many are, only for minAllowedWait. An idle link accepts any.
func TestHighRefusedShareShortensAllowedWait(t *testing.T) {
	begun := requests.Progress{Route: uploads}
	nearlyDone := requests.Progress{Route: uploads, ReceivedBytes: 40_000 - int(rate*minAllowedWait.Seconds())}
	nearlyDone.ReceivedBytes = min(nearlyDone.ReceivedBytes, 40_000-minRemaining)
	var open []requests.Progress
	admission := NewAdmission(Options{BytesPerSecond: 2 * rate, ObjectiveShare: 0.5}, learnedSizes(), func(visit func(requests.Progress)) { visiting(open...)(visit) })
	refused := func(current ...requests.Progress) bool {
		open = current
		return admission.Decide(uploads, objective, start).Refused
	}
	require.False(t, refused(begun, begun))
	for range 10 {
		require.True(t, refused(begun, begun, begun, begun, begun), "more than the objective allows")
	}
	require.True(t, refused(begun), "the refused share is high, so one open request is enough to refuse")
	require.False(t, refused(nearlyDone), "the wait is at most minAllowedWait")
	require.False(t, refused(), "idle link")
	for range 20 {
		refused()
	}
	require.False(t, refused(begun, begun), "the refused share is low again")
}

// TestInactiveRequestsAreNotCountedOnIdleLink: a request without recent packets counts while the
// queue in front of the link has data, which may be its own, but not on an idle link.
func TestInactiveRequestsAreNotCountedOnIdleLink(t *testing.T) {
	cases := []struct {
		name     string
		idle     bool
		inactive time.Duration
		refused  bool
	}{
		{"busy link", false, 2 * inactiveAfter, true},
		{"idle link, the data may be under way", true, inactiveAfter, true},
		{"idle link, inactive too long", true, inactiveAfter + time.Millisecond, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			begun := requests.Progress{Route: uploads}
			admission := NewAdmission(Options{BytesPerSecond: rate, ObjectiveShare: 0.5}, learnedSizes(), visiting(begun, begun))
			admission.ObserveLink(linkState{idle: test.idle})
			require.Equal(t, test.refused, admission.Decide(uploads, objective, start.Add(test.inactive)).Refused)
		})
	}
}

func TestSizesAreLearnedByRoute(t *testing.T) {
	sizes := NewSizes()
	require.Zero(t, sizes.Typical(uploads))
	sizes.RequestCompleted(uploads, 30_000)
	sizes.RequestCompleted(uploads, 50_000)
	require.Equal(t, 40_000, sizes.Typical(uploads), "the first requests have equal weight")
	require.Zero(t, sizes.Typical(calls))
	for range 200 {
		sizes.RequestCompleted(uploads, 1000)
	}
	require.InDelta(t, 1000, sizes.Typical(uploads), 10, "the average follows a change of sizes")
}

// TestSizesAreEstimatedUntilOneRequestCompletes: on a link that is saturated from its start, it
// takes long until a request completes.
func TestSizesAreEstimatedUntilOneRequestCompletes(t *testing.T) {
	sizes := NewSizes()
	sizes.RequestGrowing(uploads, 10_000)
	require.Equal(t, 20_000, sizes.Typical(uploads))
	sizes.RequestGrowing(uploads, 8000)
	require.Equal(t, 20_000, sizes.Typical(uploads))
	sizes.RequestGrowing(uploads, 30_000)
	require.Equal(t, 60_000, sizes.Typical(uploads))
	sizes.RequestCompleted(uploads, 40_000)
	require.Equal(t, 40_000, sizes.Typical(uploads), "the known size replaces the estimate")
	sizes.RequestGrowing(uploads, 90_000)
	require.Equal(t, 40_000, sizes.Typical(uploads))
}

func TestSizesAreBounded(t *testing.T) {
	sizes := NewSizes()
	for port := range maxRoutes + 100 {
		sizes.RequestCompleted(netip.AddrPortFrom(uploads.Addr(), uint16(port+1)), 500)
	}
	require.Len(t, sizes.averages, maxRoutes)
	sizes.RequestCompleted(netip.AddrPortFrom(uploads.Addr(), 1), 700)
	require.Equal(t, 600, sizes.Typical(netip.AddrPortFrom(uploads.Addr(), 1)), "recorded routes are still updated")
}

// BenchmarkDecide measures the most expensive decision: about an upload, while a watcher follows as
// many requests as a busy balancer has open.
func BenchmarkDecide(b *testing.B) {
	const openRequests = 256
	watcher := requests.NewWatcher()
	for port := range uint16(openRequests) {
		segment := steer.Segment{
			Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port+1024),
			Service: calls, HasData: true, Length: 900, Sequence: 1,
		}
		watcher.PacketForwarded(segment, requests.Target{Token: 7}, start)
	}
	admission := NewAdmission(Options{BytesPerSecond: rate, ObjectiveShare: 0.5}, learnedSizes(), watcher.EachOpen)
	b.ReportAllocs()
	for b.Loop() {
		admission.Decide(uploads, objective, start)
	}
}

// TestNewFlowsAreRefusedWhenShortFlowsSaturateTheLink: from half of the senders' retransmission
// timeout on, each new flow would make the link transmit more of its data twice.
func TestNewFlowsAreRefusedWhenShortFlowsSaturateTheLink(t *testing.T) {
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
		{"a short queue", maxShortWait, steer.Segment{Service: calls, Opening: true}, chosen, 0.5, false},
		{"a long queue", maxShortWait + 1, steer.Segment{Service: calls, Opening: true}, chosen, 0.5, true},
		{"an open flow", time.Second, steer.Segment{Service: calls}, owner, 0.5, false},
		{"a retransmission of a forwarded packet", time.Second, steer.Segment{Service: calls, Opening: true, AlreadyForwarded: true}, chosen, 0.5, false},
		{"admission control disabled", time.Second, steer.Segment{Service: calls, Opening: true}, chosen, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			admission := NewAdmission(Options{BytesPerSecond: rate, ObjectiveShare: test.share}, learnedSizes(), visiting())
			admission.ObserveLink(linkState{shortWait: test.wait})
			decision := admission.Review(test.segment, test.given, start)
			require.Equal(t, test.refused, decision.Reason == steer.ReasonLinkFull)
		})
	}
}

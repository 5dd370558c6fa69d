package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
)

// uniformLoads implements Loads with the same load at every target.
type uniformLoads struct {
	open        int
	serviceTime time.Duration
	// typicalServiceTime is the service time of a typical target of the service.
	typicalServiceTime time.Duration
	// insufficient reports that there is not enough evidence to refuse flows.
	insufficient bool
}

// Reliable implements Loads.
func (loads *uniformLoads) Reliable() bool { return true }

// Pending implements Loads.
func (loads *uniformLoads) Pending(directory.Token) int { return 0 }

// SufficientForRefusal implements Loads.
func (loads *uniformLoads) SufficientForRefusal(time.Time) bool { return !loads.insufficient }

// Evidence implements Loads.
func (loads *uniformLoads) Evidence(directory.Token, time.Time) Evidence {
	return Evidence{ReportedAgo: NeverReported}
}

// Load implements Loads.
func (loads *uniformLoads) Load(directory.Token) (int, time.Duration) {
	return loads.open, loads.serviceTime
}

// TypicalServiceTime implements Loads.
func (loads *uniformLoads) TypicalServiceTime(string) time.Duration { return loads.typicalServiceTime }

// objective is the latency objective of the test routes.
const objective = 200 * time.Millisecond

// admissionTable returns a table of three targets with two slots each. The routes are feedRoute,
// the less urgent lowPriorityRoute, and otherRoute, which has no objective. change may change the
// options; it may be nil.
func admissionTable(t *testing.T, load *uniformLoads, change func(options *Options)) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Loads = load
	if change != nil {
		change(&options)
	}
	changes := fullSnapshot(3)
	pool := []declared.PoolPart{{Service: "feed", Weight: 1}}
	changes.Routes = []directory.RouteEntry{
		{Address: feedRoute, Pool: pool, Objective: objective, Priority: 1},
		{Address: lowPriorityRoute, Pool: pool, Objective: objective, Priority: 2},
		{Address: otherRoute, Pool: pool, Priority: 1},
	}
	table := NewTable(options)
	require.True(t, table.Apply(changes, start))
	return table
}

// lowPriorityRoute is the address of a route of a lower priority than feedRoute.
var lowPriorityRoute = feedRouteAt(444)

// sendRepeatedly sends an opening packet every 10 ms for the duration and returns the last
// decision.
func sendRepeatedly(table *Table, from time.Time, duration time.Duration, segment Segment) Decision {
	var decision Decision
	for passed := time.Duration(0); passed <= duration; passed += 10 * time.Millisecond {
		decision = table.Decide(segment, from.Add(passed))
	}
	return decision
}

func TestFlowsAreRefusedWhileAServiceStaysCongested(t *testing.T) {
	to := func(route int) Segment {
		segment := openingPacket(9)
		segment.Service = feedRouteAt(route)
		return segment
	}
	// The allowed share is 0.6 of 200 ms. In two slots and with 50 ms each, four requests fit.
	long := 3 * congestionTimeConstant
	cases := []struct {
		name     string
		load     uniformLoads
		duration time.Duration
		segment  Segment
		change   func(options *Options)
		reason   Reason
	}{
		{"more requests than the objective allows", uniformLoads{open: 5, serviceTime: 50 * time.Millisecond}, long, to(443), nil, ReasonOverloaded},
		{"a short backlog", uniformLoads{open: 5, serviceTime: 50 * time.Millisecond}, congestionTimeConstant / 2, to(443), nil, ReasonChosen},
		{"as many requests as the objective allows", uniformLoads{open: 3, serviceTime: 50 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"a fast service", uniformLoads{open: 5, serviceTime: 30 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"an unknown service time", uniformLoads{open: 5, serviceTime: 0}, long, to(443), nil, ReasonOverloaded},
		{"a fast service, the target's service time is unknown", uniformLoads{open: 5, typicalServiceTime: 30 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"a slow service, the target's service time is unknown", uniformLoads{open: 5, typicalServiceTime: 50 * time.Millisecond}, long, to(443), nil, ReasonOverloaded},
		{"a slow service with an idle target", uniformLoads{open: 1, serviceTime: time.Minute}, long, to(443), nil, ReasonChosen},
		{"a less urgent route, as many requests as the objective allows an urgent one", uniformLoads{open: 3, serviceTime: 50 * time.Millisecond}, long, to(444), nil, ReasonOverloaded},
		{"more requests than a target may hold", uniformLoads{open: 10, serviceTime: 10 * time.Millisecond}, long, to(443), nil, ReasonOverloaded},
		{"as many requests as a target may hold", uniformLoads{open: 9, serviceTime: 10 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"a less urgent route, as many requests as a target may hold for it", uniformLoads{open: 6, serviceTime: 10 * time.Millisecond}, long, to(444), nil, ReasonChosen},
		{"a less urgent route, more requests than a target may hold for it", uniformLoads{open: 7, serviceTime: 10 * time.Millisecond}, long, to(444), nil, ReasonOverloaded},
		{"no limit on the requests that a target may hold", uniformLoads{open: 11, serviceTime: 10 * time.Millisecond}, long, to(443), func(options *Options) { options.MaxOccupancy = 0 }, ReasonChosen},
		{"not enough evidence for the counts", uniformLoads{open: 50, serviceTime: 50 * time.Millisecond, insufficient: true}, long, to(443), nil, ReasonChosen},
		{"a route without an objective", uniformLoads{open: 50, serviceTime: 50 * time.Millisecond}, long, Segment{Caller: openingPacket(9).Caller, Service: otherRoute, Opening: true}, nil, ReasonChosen},
		{"admission control disabled", uniformLoads{open: 50, serviceTime: time.Second}, long, to(443), func(options *Options) { options.MaxObjectiveShare = 0 }, ReasonChosen},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := admissionTable(t, &test.load, test.change)
			_ = table.Decide(to(443), start)
			decision := sendRepeatedly(table, start, test.duration, test.segment)
			require.Equal(t, test.reason, decision.Reason)
			want := Forward
			if test.reason == ReasonOverloaded {
				want = Reset
			}
			require.Equal(t, want, decision.Action, "a refused caller is answered at once")
		})
	}
}

// TestLessUrgentFlowsAreRefusedFirst: callers of two priorities together ask for more than the
// targets can handle. The number of open requests rises until the flows of one route are refused.
// Flows of the less urgent route must be refused at a lower number than urgent ones.
func TestLessUrgentFlowsAreRefusedFirst(t *testing.T) {
	load := &uniformLoads{serviceTime: 30 * time.Millisecond}
	table := admissionTable(t, load, nil)
	urgent, lessUrgent := openingPacket(9), openingPacket(9)
	lessUrgent.Service = lowPriorityRoute
	refusedAt := func(segment Segment) int {
		for load.open = 0; load.open < 40; load.open++ {
			from := start.Add(time.Duration(load.open) * 3 * congestionTimeConstant)
			sendAll := func(at time.Time) Decision {
				_ = table.Decide(urgent, at)
				_ = table.Decide(lessUrgent, at)
				return table.Decide(segment, at)
			}
			var last Decision
			for passed := time.Duration(0); passed < 3*congestionTimeConstant; passed += 10 * time.Millisecond {
				last = sendAll(from.Add(passed))
			}
			if last.Reason == ReasonOverloaded {
				return load.open
			}
		}
		return 0
	}
	first := refusedAt(lessUrgent)
	require.Equal(t, 5, first, "six requests of 30 ms in two slots take 90 ms, more than 0.39 of 200 ms")
	table = admissionTable(t, load, nil)
	require.Equal(t, 8, refusedAt(urgent), "nine take 135 ms, more than 0.6 of 200 ms")
}

func TestCongestionEndsWhenLoadFalls(t *testing.T) {
	load := &uniformLoads{open: 20, serviceTime: 50 * time.Millisecond}
	table := admissionTable(t, load, nil)
	require.Equal(t, ReasonOverloaded, sendRepeatedly(table, start, 3*congestionTimeConstant, openingPacket(9)).Reason)
	load.open = 1
	later := start.Add(3 * congestionTimeConstant)
	sendRepeatedly(table, later, congestionTimeConstant, openingPacket(9))
	load.open = 20
	require.Equal(t, ReasonChosen, table.Decide(openingPacket(9), later.Add(congestionTimeConstant+time.Millisecond)).Reason)
}

// TestRetransmissionsOfForwardedPacketsAreNotRefused: the answer to the earlier attempt may be on
// its way, and a refusal would break a flow that is opening. A retransmission whose earlier attempt
// did not pass this balancer is refused like any other packet.
func TestRetransmissionsOfForwardedPacketsAreNotRefused(t *testing.T) {
	table := admissionTable(t, &uniformLoads{open: 50, serviceTime: time.Second}, nil)
	end := start.Add(3 * congestionTimeConstant)
	sendRepeatedly(table, start, 3*congestionTimeConstant, openingPacket(9))
	repeated := openingPacket(9)
	repeated.Attempt = 1
	require.Equal(t, ReasonOverloaded, table.Decide(repeated, end).Reason)
	repeated.AlreadyForwarded = true
	require.Equal(t, Forward, table.Decide(repeated, end).Action)
}

// TestOpenFlowsAreNeverRefused: overload causes the refusal of new flows only.
func TestOpenFlowsAreNeverRefused(t *testing.T) {
	table := admissionTable(t, &uniformLoads{open: 50, serviceTime: time.Second}, nil)
	require.Equal(t, ReasonOverloaded, sendRepeatedly(table, start, 3*congestionTimeConstant, openingPacket(9)).Reason)
	segment := Segment{Caller: openingPacket(9).Caller, Service: feedRoute, Token: 2, HasData: true}
	require.Equal(t, Forward, table.Decide(segment, start.Add(3*congestionTimeConstant)).Action)
}

// TestCongestionPersistsAcrossTableChanges: a change of targets must not reset the congestion
// state.
func TestCongestionPersistsAcrossTableChanges(t *testing.T) {
	table := admissionTable(t, &uniformLoads{open: 20, serviceTime: 50 * time.Millisecond}, nil)
	end := start.Add(3 * congestionTimeConstant)
	sendRepeatedly(table, start, 3*congestionTimeConstant, openingPacket(9))
	require.True(t, table.Apply(deltaAfter(10, targetEntry(4, "feed", directory.TargetReady)), end))
	require.Equal(t, ReasonOverloaded, table.Decide(openingPacket(9), end).Reason)
}

package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
)

// busy has the same load at every target.
type busy struct {
	open    int
	serving time.Duration
	// typical is the serving time of the service.
	typical time.Duration
	// unproven tells that too little was seen to refuse by.
	unproven bool
}

// Known implements Loads.
func (busy *busy) Reliable() bool { return true }

// Coming implements Loads.
func (busy *busy) Pending(directory.Token) int { return 0 }

// Proven implements Loads.
func (busy *busy) SufficientForRefusal(time.Time) bool { return !busy.unproven }

// Evidence implements Loads.
func (busy *busy) Evidence(directory.Token, time.Time) Evidence {
	return Evidence{ReportedAgo: NeverReported}
}

// Load implements Loads.
func (busy *busy) Load(directory.Token) (int, time.Duration) { return busy.open, busy.serving }

// Typical implements Loads.
func (busy *busy) TypicalServiceTime(string) time.Duration { return busy.typical }

// objective is that of the test's urgent route.
const objective = 200 * time.Millisecond

// admissionTable returns a table of three targets of capacity two. The routes
// are an urgent one, a less urgent one, and one without an objective.
func admissionTable(t *testing.T, load *busy, change func(options *Options)) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Loads = load
	if change != nil {
		change(&options)
	}
	changes := whole(3)
	pool := []declared.PoolPart{{Service: "feed", Weight: 1}}
	changes.Routes = []directory.RouteEntry{
		{Address: feedRoute, Pool: pool, Objective: objective, Priority: 1},
		{Address: lateRoute, Pool: pool, Objective: objective, Priority: 2},
		{Address: noRoute, Pool: pool, Priority: 1},
	}
	table := NewTable(options)
	require.True(t, table.Apply(changes, start))
	return table
}

// lateRoute is a route of a lower priority.
var lateRoute = feedRouteAt(444)

// press sends an opening packet each 10 ms for a while and returns the last
// decision.
func press(table *Table, from time.Time, duration time.Duration, segment Segment) Decision {
	var decision Decision
	for passed := time.Duration(0); passed <= duration; passed += 10 * time.Millisecond {
		decision = table.Decide(segment, from.Add(passed))
	}
	return decision
}

func TestFlowsAreRefusedWhileAServiceStaysCongested(t *testing.T) {
	to := func(route int) Segment {
		segment := opening(9)
		segment.Service = feedRouteAt(route)
		return segment
	}
	// Share 0.6 of 200 ms, in two slots: 50 ms each leave room for four.
	long := 3 * congestionTimeConstant
	cases := []struct {
		name     string
		load     busy
		duration time.Duration
		segment  Segment
		change   func(options *Options)
		reason   Reason
	}{
		{"more than the objective allows", busy{open: 5, serving: 50 * time.Millisecond}, long, to(443), nil, ReasonOverloaded},
		{"a passing backlog", busy{open: 5, serving: 50 * time.Millisecond}, congestionTimeConstant / 2, to(443), nil, ReasonChosen},
		{"as much as the objective allows", busy{open: 3, serving: 50 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"a quick service", busy{open: 5, serving: 30 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"a serving time that nobody knows", busy{open: 5, serving: 0}, long, to(443), nil, ReasonOverloaded},
		{"a quick service whose target is not known", busy{open: 5, typical: 30 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"a slow service whose target is not known", busy{open: 5, typical: 50 * time.Millisecond}, long, to(443), nil, ReasonOverloaded},
		{"a slow service with an idle target", busy{open: 1, serving: time.Minute}, long, to(443), nil, ReasonChosen},
		{"less urgent", busy{open: 3, serving: 50 * time.Millisecond}, long, to(444), nil, ReasonOverloaded},
		{"more than targets hold", busy{open: 10, serving: 10 * time.Millisecond}, long, to(443), nil, ReasonOverloaded},
		{"as much as targets hold", busy{open: 9, serving: 10 * time.Millisecond}, long, to(443), nil, ReasonChosen},
		{"less urgent, as much as they hold for it", busy{open: 6, serving: 10 * time.Millisecond}, long, to(444), nil, ReasonChosen},
		{"less urgent, more than they hold for it", busy{open: 7, serving: 10 * time.Millisecond}, long, to(444), nil, ReasonOverloaded},
		{"no bound on what targets hold", busy{open: 11, serving: 10 * time.Millisecond}, long, to(443), func(options *Options) { options.MaxOccupancy = 0 }, ReasonChosen},
		{"counts that are not proven", busy{open: 50, serving: 50 * time.Millisecond, unproven: true}, long, to(443), nil, ReasonChosen},
		{"no objective", busy{open: 50, serving: 50 * time.Millisecond}, long, Segment{Caller: opening(9).Caller, Service: noRoute, Opening: true}, nil, ReasonChosen},
		{"admission switched off", busy{open: 50, serving: time.Second}, long, to(443), func(options *Options) { options.MaxObjectiveShare = 0 }, ReasonChosen},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := admissionTable(t, &test.load, test.change)
			_ = table.Decide(to(443), start)
			decision := press(table, start, test.duration, test.segment)
			require.Equal(t, test.reason, decision.Reason)
			want := Forward
			if test.reason == ReasonOverloaded {
				want = Reset
			}
			require.Equal(t, want, decision.Action, "who is refused learns it at once")
		})
	}
}

// TestTheLessUrgentAreRefusedBeforeTheUrgent is the load of callers of two priorities who
// together ask for more than the targets bear. What is open rises until the less urgent are
// refused wholly; up to there no urgent one is.
func TestTheLessUrgentAreRefusedBeforeTheUrgent(t *testing.T) {
	load := &busy{serving: 30 * time.Millisecond}
	table := admissionTable(t, load, nil)
	urgent, lessUrgent := opening(9), opening(9)
	lessUrgent.Service = lateRoute
	refusedAt := func(segment Segment) int {
		for load.open = 0; load.open < 40; load.open++ {
			from := start.Add(time.Duration(load.open) * 3 * congestionTimeConstant)
			both := func(at time.Time) Decision {
				_ = table.Decide(urgent, at)
				_ = table.Decide(lessUrgent, at)
				return table.Decide(segment, at)
			}
			var last Decision
			for passed := time.Duration(0); passed < 3*congestionTimeConstant; passed += 10 * time.Millisecond {
				last = both(from.Add(passed))
			}
			if last.Reason == ReasonOverloaded {
				return load.open
			}
		}
		return 0
	}
	first := refusedAt(lessUrgent)
	require.Equal(t, 5, first, "six requests in two slots of 30 ms take 90 ms, over 0.39 of 200 ms")
	table = admissionTable(t, load, nil)
	require.Equal(t, 8, refusedAt(urgent), "nine take 135 ms, over 0.6 of 200 ms")
}

func TestCongestionEndsWithItsCause(t *testing.T) {
	load := &busy{open: 20, serving: 50 * time.Millisecond}
	table := admissionTable(t, load, nil)
	require.Equal(t, ReasonOverloaded, press(table, start, 3*congestionTimeConstant, opening(9)).Reason)
	load.open = 1
	later := start.Add(3 * congestionTimeConstant)
	press(table, later, congestionTimeConstant, opening(9))
	load.open = 20
	require.Equal(t, ReasonChosen, table.Decide(opening(9), later.Add(congestionTimeConstant+time.Millisecond)).Reason)
}

// TestCopiesOfWhatWasSentOnAreNeverRefused: the answer to the former copy may be under
// way, and a refusal would break a flow that opens. A copy whose former one never came
// here is refused like any other.
func TestCopiesOfWhatWasSentOnAreNeverRefused(t *testing.T) {
	table := admissionTable(t, &busy{open: 50, serving: time.Second}, nil)
	end := start.Add(3 * congestionTimeConstant)
	press(table, start, 3*congestionTimeConstant, opening(9))
	repeated := opening(9)
	repeated.Attempt = 1
	require.Equal(t, ReasonOverloaded, table.Decide(repeated, end).Reason)
	repeated.AlreadyForwarded = true
	require.Equal(t, Forward, table.Decide(repeated, end).Action)
}

// TestOpenFlowsAreNeverRefused: only new flows are.
func TestOpenFlowsAreNeverRefused(t *testing.T) {
	table := admissionTable(t, &busy{open: 50, serving: time.Second}, nil)
	require.Equal(t, ReasonOverloaded, press(table, start, 3*congestionTimeConstant, opening(9)).Reason)
	segment := Segment{Caller: opening(9).Caller, Service: feedRoute, Token: 2, HasData: true}
	require.Equal(t, Forward, table.Decide(segment, start.Add(3*congestionTimeConstant)).Action)
}

// TestCongestionOutlivesChangesOfTheTable: a change of targets is no relief.
func TestCongestionOutlivesChangesOfTheTable(t *testing.T) {
	table := admissionTable(t, &busy{open: 20, serving: 50 * time.Millisecond}, nil)
	end := start.Add(3 * congestionTimeConstant)
	press(table, start, 3*congestionTimeConstant, opening(9))
	require.True(t, table.Apply(next(10, entry(4, "feed", directory.TargetReady)), end))
	require.Equal(t, ReasonOverloaded, table.Decide(opening(9), end).Reason)
}

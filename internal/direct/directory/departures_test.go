package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRegistrationAfterDepartureChangesNothing guards against new flows to a target that has left: its
// departure was acknowledged before the first of its registrations arrived, and was forgotten.
func TestRegistrationAfterDepartureChangesNothing(t *testing.T) {
	cases := []struct {
		name      string
		departure Departure
		reported  StartTime
		registers bool
	}{
		{"no start is known", Departure{ID: 1}, 0, false},
		{"the same start", Departure{ID: 1, Started: 100}, 100, false},
		{"an earlier start", Departure{ID: 1, Started: 100}, 50, false},
		{"a later start", Departure{ID: 1, Started: 100}, 200, true},
		{"only the departure tells its start", Departure{ID: 1, Started: 100}, 0, false},
		{"only the registration tells its start", Departure{ID: 1}, 100, true},
		{"another target", Departure{ID: 2}, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := newRunner(t)
			runner.register(targetAt(7, 1, 1, TargetReady))
			runner.apply(Command{Leave: &test.departure})
			late := withStart(test.reported, targetAt(1, 3, 1, TargetReady))
			require.Equal(t, !test.registers, runner.directory.HasLeft(late))
			restored := New()
			snapshot, err := runner.directory.Snapshot()
			require.NoError(t, err)
			require.NoError(t, restored.Restore(snapshot))
			require.Equal(t, runner.directory.Digest(), restored.Digest())
			runner.register(late)
			_, known := runner.directory.Target(1)
			require.Equal(t, test.registers, known)
			require.Equal(t, TargetReady, runner.state(7), "the target at the address keeps it")
		})
	}
}

// TestDepartureOfALaterStartIsKept guards against new flows to a target that has left: it restarted, and
// the departure of its later start was dropped while the record of the earlier one had not failed.
func TestDepartureOfALaterStartIsKept(t *testing.T) {
	for _, failed := range []bool{false, true} {
		runner := newRunner(t)
		first := runner.register(withStart(100, targetAt(1, 1, 1, TargetReady))).Token
		if failed {
			runner.reportFailed(1)
		}
		runner.apply(Command{Leave: &Departure{ID: 1, Started: 200}})
		require.True(t, runner.directory.HasLeft(withStart(200, targetAt(1, 1, 1, TargetReady))))
		runner.reportRecovered(1)
		require.Equal(t, TargetLeft, runner.state(1), "the earlier start has ended")
		require.Equal(t, first, runner.register(withStart(200, targetAt(1, 1, 1, TargetReady))).Token)
		require.Equal(t, TargetLeft, runner.state(1))
		runner.register(withStart(300, targetAt(1, 1, 1, TargetReady)))
		require.Equal(t, TargetReady, runner.state(1))
	}
}

// TestDepartureWithoutAStartCoversEarlierStarts guards against new flows to a target that has left: its
// departure told no start, its late registration told one, and the departure did not cover it. A target
// that starts again takes flows at once, or after lateCallWindow if its clock is behind.
func TestDepartureWithoutAStartCoversEarlierStarts(t *testing.T) {
	kept := newDepartures()
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	kept.addNotice(&Departure{ID: 1}, at)
	covers := func(startedAfter, reportedAfter time.Duration) bool {
		return kept.covers(Target{ID: 1, Started: StartTime(at.Add(startedAfter).UnixMilli())}, at.Add(reportedAfter))
	}
	require.True(t, covers(-time.Second, time.Second))
	require.True(t, covers(startClockTolerance, time.Second), "a clock that is ahead")
	require.False(t, covers(startClockTolerance+time.Millisecond, 3*time.Second), "a later start")
	require.True(t, covers(-time.Hour, lateCallWindow))
	require.False(t, covers(-time.Hour, lateCallWindow+time.Millisecond), "a later start whose clock is behind")
	kept.addNotice(&Departure{ID: 1, Started: StartTime(at.Add(time.Minute).UnixMilli())}, at.Add(time.Minute))
	kept.addNotice(&Departure{ID: 1, Started: StartTime(at.UnixMilli())}, at.Add(time.Minute))
	require.True(t, covers(time.Minute, time.Minute), "a repeated notice of an earlier start comes late")
}

// TestDeparturesAreBounded checks that departures are dropped after departureTTL, and above their
// number.
func TestDeparturesAreBounded(t *testing.T) {
	kept := newDepartures()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	kept.addNotice(&Departure{ID: 1}, start)
	require.True(t, kept.covers(Target{ID: 1}, start.Add(departureTTL)))
	require.False(t, kept.covers(Target{ID: 1}, start.Add(departureTTL+time.Second)))
	kept.addNotice(&Departure{ID: 2}, start.Add(departureTTL+time.Second))
	require.Len(t, kept.byID, 1)
	for id := range TargetID(maxDepartures + 5) {
		kept.addNotice(&Departure{ID: 10 + id}, start.Add(departureTTL+time.Second))
	}
	require.Len(t, kept.byID, maxDepartures)
	require.Len(t, kept.order, maxDepartures)
	require.False(t, kept.covers(Target{ID: 2}, start.Add(departureTTL+time.Second)))
}

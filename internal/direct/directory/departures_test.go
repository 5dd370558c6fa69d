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

// TestDepartureOfALaterStartIsKept checks that the departure of a start that was never registered
// covers its late registration also if an earlier start is known, but only if that one has failed.
func TestDepartureOfALaterStartIsKept(t *testing.T) {
	runner := newRunner(t)
	first := runner.register(withStart(100, targetAt(1, 1, 1, TargetReady))).Token
	runner.apply(Command{Leave: &Departure{ID: 1, Started: 200}})
	require.False(t, runner.directory.HasLeft(withStart(200, targetAt(1, 1, 1, TargetReady))), "the earlier start is alive")
	runner.reportFailed(1)
	runner.apply(Command{Leave: &Departure{ID: 1, Started: 200}})
	require.Equal(t, first, runner.register(withStart(200, targetAt(1, 1, 1, TargetReady))).Token)
	require.Equal(t, TargetFailed, runner.state(1))
	runner.register(withStart(300, targetAt(1, 1, 1, TargetReady)))
	require.Equal(t, TargetReady, runner.state(1))
}

// TestDeparturesAreBounded checks that departures are dropped after departureTTL, and above their
// number.
func TestDeparturesAreBounded(t *testing.T) {
	kept := newDepartures()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	kept.add(&Departure{ID: 1}, start)
	require.True(t, kept.covers(Target{ID: 1}, start.Add(departureTTL)))
	require.False(t, kept.covers(Target{ID: 1}, start.Add(departureTTL+time.Second)))
	kept.add(&Departure{ID: 2}, start.Add(departureTTL+time.Second))
	require.Len(t, kept.byID, 1)
	for id := range TargetID(maxDepartures + 5) {
		kept.add(&Departure{ID: 10 + id}, start.Add(departureTTL+time.Second))
	}
	require.Len(t, kept.byID, maxDepartures)
	require.Len(t, kept.order, maxDepartures)
	require.False(t, kept.covers(Target{ID: 2}, start.Add(departureTTL+time.Second)))
}

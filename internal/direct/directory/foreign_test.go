package directory

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
)

// ofService returns the target with another service.
func ofService(name string, target Target) Target {
	target.Service = name
	return target
}

// TestEarlierStartDoesNotReplaceLiveTarget guards against the loss of open flows when a call arrives
// late whose sender ended before the target at its address started. A target that drains or has left has
// open flows too.
func TestEarlierStartDoesNotReplaceLiveTarget(t *testing.T) {
	cases := []struct {
		name               string
		occupant, newcomer StartTime
		service            string
		replaced           bool
	}{
		{"no start is known", 0, 0, "feed", false},
		{"the newcomer started earlier", 200, 100, "feed", false},
		{"the newcomer does not tell its start", 200, 0, "feed", false},
		{"the occupant does not tell its start", 0, 200, "feed", false},
		{"the newcomer started later", 100, 200, "feed", true},
		{"a service that is not declared", 100, 200, "nobody", false},
	}
	states := map[TargetState]Command{
		TargetReady:    {},
		TargetDraining: {Register: &Registration{Target: targetAt(1, 1, 2, TargetDraining)}},
		TargetLeft:     {Leave: &Departure{ID: 1}},
	}
	for _, test := range cases {
		for state, change := range states {
			t.Run(test.name+" and the occupant is "+state.String(), func(t *testing.T) {
				runner := newRunner(t)
				runner.declare(&declared.Configuration{}, configurationWithPorts(1, 443))
				runner.register(withStart(test.occupant, targetAt(1, 1, 1, TargetReady)))
				if change.Register != nil {
					change.Register.Target.Started = test.occupant
				}
				runner.apply(change)
				runner.register(withStart(test.newcomer, ofService(test.service, targetAt(2, 1, 1, TargetReady))))
				occupant, contested := runner.directory.Occupant(runner.token(2))
				require.Equal(t, !test.replaced, contested)
				if test.replaced {
					require.Equal(t, TargetFailed, runner.state(1))
					require.Equal(t, TargetReady, runner.state(2))
					return
				}
				require.Equal(t, state, runner.state(1))
				require.Equal(t, TargetFailed, runner.state(2))
				require.Equal(t, TargetID(1), occupant.ID)
			})
		}
	}
}

// TestForeignCallsChangeNothing guards against calls of other writers that carry a target's identifier:
// they made the target fail, and its own calls were refused from then on.
func TestForeignCallsChangeNothing(t *testing.T) {
	cases := []struct {
		name string
		call Target
	}{
		{"later start", withStart(900, targetAt(1, 1, 1, TargetReady))},
		{"later start at another address", withStart(900, targetAt(1, 9, 1, TargetReady))},
		{"same start and draining", withStart(100, targetAt(1, 1, 90, TargetDraining))},
		{"no start", targetAt(1, 9, 90, TargetReady)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := newRunner(t)
			runner.declare(&declared.Configuration{}, configurationWithPorts(1, 443))
			runner.register(withStart(100, targetAt(1, 1, 5, TargetReady)))
			before, _ := runner.directory.Target(1)
			foreign := ofService("nobody", test.call)
			require.True(t, runner.directory.IsForeign(foreign))
			require.Equal(t, before.Token, runner.register(foreign).Token)
			after, _ := runner.directory.Target(1)
			require.Equal(t, before, after)
		})
	}
}

// TestTargetReplacesRecordOfAnotherWriter checks that a record whose service is not declared does not
// keep the target with its identifier out.
func TestTargetReplacesRecordOfAnotherWriter(t *testing.T) {
	runner := newRunner(t)
	runner.declare(&declared.Configuration{}, configurationWithPorts(1, 443))
	runner.register(ofService("nobody", targetAt(1, 9, 5, TargetReady)))
	own := withStart(100, targetAt(1, 1, 1, TargetReady))
	require.False(t, runner.directory.IsForeign(own))
	runner.register(own)
	recorded, _ := runner.directory.Target(1)
	require.Equal(t, "feed", recorded.Service)
	require.Equal(t, TargetReady, recorded.State)
}

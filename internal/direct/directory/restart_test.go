package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLaterStartIsANewIncarnation checks that a target that restarts under its identifier gets a
// new token and may begin its sequence numbers again. Its earlier start remains only as a failed
// entry, from which balancers know whose flows are lost.
func TestLaterStartIsANewIncarnation(t *testing.T) {
	cases := []struct {
		name         string
		earlierState func(runner *runner)
		host         byte
	}{
		{"while it was ready", func(*runner) {}, 1},
		{"at another address", func(*runner) {}, 2},
		{"after it failed", func(runner *runner) { runner.reportFailed(1) }, 1},
		{"while it drained", func(runner *runner) { runner.register(withStart(100, targetAt(1, 1, 51, TargetDraining))) }, 1},
		{"after it left", func(runner *runner) { runner.apply(Command{Leave: &Departure{ID: 1}}) }, 1},
		{"while it was ejected", func(runner *runner) {
			runner.apply(Command{TargetHealth: &HealthChange{Aside: []Token{runner.token(1)}}})
		}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := newRunner(t)
			earlier := runner.register(withStart(100, targetAt(1, 1, 50, TargetReady)))
			test.earlierState(runner)
			before := runner.directory.Revision()
			latest := runner.register(withStart(200, targetAt(1, test.host, 1, TargetReady)))
			require.Greater(t, latest.Token, earlier.Token)
			recorded, _ := runner.directory.Target(1)
			require.Equal(t, latest.Token, recorded.Token)
			require.Equal(t, TargetReady, recorded.State)
			require.Equal(t, uint64(1), recorded.Sequence)
			require.False(t, recorded.Aside)
			replaced, known := runner.directory.Incarnation(earlier.Token)
			require.True(t, known, "its token stays, so that its flows are not attributed to another incarnation")
			require.Equal(t, TargetFailed, replaced.State)
			published := runner.directory.ChangesSince(before).Targets
			require.Equal(t, latest.Token, published[len(published)-1].Token)
			require.Equal(t, StartTime(200), published[len(published)-1].Started)
		})
	}
}

// runnerWithRestartedTarget returns a runner with target 1 after its second start, and the tokens
// of both incarnations.
func runnerWithRestartedTarget(t *testing.T) (runner *runner, earlier, latest Token) {
	t.Helper()
	runner = newRunner(t)
	earlier = runner.register(withStart(100, targetAt(1, 1, 50, TargetReady))).Token
	latest = runner.register(withStart(200, targetAt(1, 1, 1, TargetReady))).Token
	return runner, earlier, latest
}

func TestCallsOfAnEarlierStartChangeNothing(t *testing.T) {
	cases := []struct {
		name string
		call Command
	}{
		{"renewal", Command{Register: &Registration{Target: withStart(100, targetAt(1, 1, 51, TargetReady))}}},
		{"draining", Command{Register: &Registration{Target: withStart(100, targetAt(1, 1, 51, TargetDraining))}}},
		{"another address", Command{Register: &Registration{Target: withStart(100, targetAt(1, 9, 51, TargetReady))}}},
		{"without a start", Command{Register: &Registration{Target: targetAt(1, 9, 51, TargetDraining)}}},
		{"notice that it leaves", Command{Leave: &Departure{ID: 1, Started: 100}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner, earlier, latest := runnerWithRestartedTarget(t)
			before := runner.directory.Targets()
			runner.apply(test.call)
			require.Equal(t, before, runner.directory.Targets())
			runner.apply(Command{TargetHealth: &HealthChange{Recovered: []Token{earlier}}})
			require.Equal(t, before, runner.directory.Targets(), "an earlier start never recovers")
			require.Equal(t, latest, runner.token(1))
		})
	}
}

// TestReportsOnAnEarlierStartDoNotAffectTheLatest checks that reports are matched by token.
// Balancers may report an earlier incarnation after the restart.
func TestReportsOnAnEarlierStartDoNotAffectTheLatest(t *testing.T) {
	runner, earlier, latest := runnerWithRestartedTarget(t)
	runner.apply(Command{TargetHealth: &HealthChange{Failed: []Token{earlier}, Aside: []Token{earlier}}})
	recorded, _ := runner.directory.Target(1)
	require.Equal(t, TargetReady, recorded.State)
	require.False(t, recorded.Aside)
	runner.apply(Command{ForgetTargets: &Forgetting{Tokens: []Token{earlier}}})
	_, known := runner.directory.Incarnation(earlier)
	require.False(t, known)
	require.Equal(t, latest, runner.token(1))
	require.Contains(t, runner.directory.ChangesSince(1).Forgotten, earlier)
}

func TestLatestStartLeaves(t *testing.T) {
	for _, started := range []StartTime{0, 200} {
		runner, _, _ := runnerWithRestartedTarget(t)
		runner.apply(Command{Leave: &Departure{ID: 1, Started: started}})
		require.Equal(t, TargetLeft, runner.state(1))
	}
}

func TestStartsAreRestored(t *testing.T) {
	runner, earlier, latest := runnerWithRestartedTarget(t)
	snapshot, err := runner.directory.Snapshot()
	require.NoError(t, err)
	runner.directory = New()
	require.NoError(t, runner.directory.Restore(snapshot))
	require.Equal(t, latest, runner.token(1))
	replaced, known := runner.directory.Incarnation(earlier)
	require.True(t, known)
	require.Equal(t, TargetFailed, replaced.State)
	require.Equal(t, latest, runner.register(withStart(100, targetAt(1, 1, 99, TargetReady))).Token)
	require.Greater(t, runner.register(withStart(300, targetAt(1, 1, 1, TargetReady))).Token, latest)
}

// TestRegistrationWithoutStartIsReplaced checks that a registration without a start, which another
// writer made under a target's identifier, does not block the target.
func TestRegistrationWithoutStartIsReplaced(t *testing.T) {
	runner := newRunner(t)
	foreign := runner.register(targetAt(1, 9, 999999, TargetDraining))
	latest := runner.register(withStart(100, targetAt(1, 1, 1, TargetReady)))
	require.NotEqual(t, foreign.Token, latest.Token)
	recorded, _ := runner.directory.Target(1)
	require.Equal(t, TargetReady, recorded.State)
	require.Equal(t, uint64(1), recorded.Sequence)
}

// TestStartIsAddedToARecordWithoutOne checks that a target continues a record without a start. The
// record may be from a version of the program that kept no starts, or from when the target did not
// report its start.
func TestStartIsAddedToARecordWithoutOne(t *testing.T) {
	runner := newRunner(t)
	first := runner.register(targetAt(1, 1, 5, TargetReady))
	require.Equal(t, first.Token, runner.register(withStart(100, targetAt(1, 1, 6, TargetReady))).Token)
	recorded, _ := runner.directory.Target(1)
	require.Equal(t, StartTime(100), recorded.Started)
	require.NotEqual(t, first.Token, runner.register(withStart(200, targetAt(1, 1, 1, TargetReady))).Token)
}

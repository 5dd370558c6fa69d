package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNewStartIsAnotherIncarnation: a target that starts again under its identifier counts
// its calls anew, and nothing of its former start is left but a failed entry, which tells
// balancers of its flows.
func TestNewStartIsAnotherIncarnation(t *testing.T) {
	cases := []struct {
		name   string
		former func(runner *runner)
		host   byte
	}{
		{"while it was ready", func(*runner) {}, 1},
		{"at another address", func(*runner) {}, 2},
		{"after it was found dead", func(runner *runner) { runner.fail(1) }, 1},
		{"while it drained", func(runner *runner) { runner.register(startedAt(100, targetAt(1, 1, 51, TargetDraining))) }, 1},
		{"after it left", func(runner *runner) { runner.apply(Command{Leave: &Departure{ID: 1}}) }, 1},
		{"while it was set aside", func(runner *runner) {
			runner.apply(Command{TargetHealth: &HealthChange{Aside: []Token{runner.token(1)}}})
		}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := newRunner(t)
			former := runner.register(startedAt(100, targetAt(1, 1, 50, TargetReady)))
			test.former(runner)
			before := runner.directory.Revision()
			latest := runner.register(startedAt(200, targetAt(1, test.host, 1, TargetReady)))
			require.Greater(t, latest.Token, former.Token)
			held, _ := runner.directory.Target(1)
			require.Equal(t, latest.Token, held.Token)
			require.Equal(t, TargetReady, held.State)
			require.Equal(t, uint64(1), held.Sequence)
			require.False(t, held.Aside)
			gone, known := runner.directory.Incarnation(former.Token)
			require.True(t, known, "its token stays, so that its flows are not taken for another's")
			require.Equal(t, TargetFailed, gone.State)
			told := runner.directory.ChangesSince(before).Targets
			require.Equal(t, latest.Token, told[len(told)-1].Token)
			require.Equal(t, StartTime(200), told[len(told)-1].Started)
		})
	}
}

// restarted returns a runner with target 1 in its second start, and the tokens of both.
func restarted(t *testing.T) (runner *runner, former, latest Token) {
	t.Helper()
	runner = newRunner(t)
	former = runner.register(startedAt(100, targetAt(1, 1, 50, TargetReady))).Token
	latest = runner.register(startedAt(200, targetAt(1, 1, 1, TargetReady))).Token
	return runner, former, latest
}

func TestCallsOfAFormerStartChangeNothing(t *testing.T) {
	cases := []struct {
		name string
		call Command
	}{
		{"renewal", Command{Register: &Registration{Target: startedAt(100, targetAt(1, 1, 51, TargetReady))}}},
		{"draining", Command{Register: &Registration{Target: startedAt(100, targetAt(1, 1, 51, TargetDraining))}}},
		{"another address", Command{Register: &Registration{Target: startedAt(100, targetAt(1, 9, 51, TargetReady))}}},
		{"without a start", Command{Register: &Registration{Target: targetAt(1, 9, 51, TargetDraining)}}},
		{"notice that it leaves", Command{Leave: &Departure{ID: 1, Started: 100}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner, former, latest := restarted(t)
			before := runner.directory.Targets()
			runner.apply(test.call)
			require.Equal(t, before, runner.directory.Targets())
			runner.apply(Command{TargetHealth: &HealthChange{Recovered: []Token{former}}})
			require.Equal(t, before, runner.directory.Targets(), "a former start never comes back")
			require.Equal(t, latest, runner.token(1))
		})
	}
}

// TestFindingsAboutAFormerStartLeaveTheLatestAlone: balancers report by token, and their
// reports may come after the new start.
func TestFindingsAboutAFormerStartLeaveTheLatestAlone(t *testing.T) {
	runner, former, latest := restarted(t)
	runner.apply(Command{TargetHealth: &HealthChange{Failed: []Token{former}, Aside: []Token{former}}})
	held, _ := runner.directory.Target(1)
	require.Equal(t, TargetReady, held.State)
	require.False(t, held.Aside)
	runner.apply(Command{ForgetTargets: &Forgetting{Tokens: []Token{former}}})
	_, known := runner.directory.Incarnation(former)
	require.False(t, known)
	require.Equal(t, latest, runner.token(1))
	require.Contains(t, runner.directory.ChangesSince(1).Forgotten, former)
}

func TestLatestStartLeavesByItsNotice(t *testing.T) {
	for _, started := range []StartTime{0, 200} {
		runner, _, _ := restarted(t)
		runner.apply(Command{Leave: &Departure{ID: 1, Started: started}})
		require.Equal(t, TargetLeft, runner.state(1))
	}
}

func TestStartsOutliveASnapshot(t *testing.T) {
	runner, former, latest := restarted(t)
	snapshot, err := runner.directory.Snapshot()
	require.NoError(t, err)
	runner.directory = New()
	require.NoError(t, runner.directory.Restore(snapshot))
	require.Equal(t, latest, runner.token(1))
	gone, known := runner.directory.Incarnation(former)
	require.True(t, known)
	require.Equal(t, TargetFailed, gone.State)
	require.Equal(t, latest, runner.register(startedAt(100, targetAt(1, 1, 99, TargetReady))).Token)
	require.Greater(t, runner.register(startedAt(300, targetAt(1, 1, 1, TargetReady))).Token, latest)
}

// TestRecordOfAnotherWriterGivesWay: what another writer registered under a target's
// identifier, without a start, does not keep the target out.
func TestRecordOfAnotherWriterGivesWay(t *testing.T) {
	runner := newRunner(t)
	foreign := runner.register(targetAt(1, 9, 999999, TargetDraining))
	latest := runner.register(startedAt(100, targetAt(1, 1, 1, TargetReady)))
	require.NotEqual(t, foreign.Token, latest.Token)
	held, _ := runner.directory.Target(1)
	require.Equal(t, TargetReady, held.State)
	require.Equal(t, uint64(1), held.Sequence)
}

// TestStartIsTakenOverFromARecordWithoutOne: the record may be of a program that kept no
// starts, or of a target that said nothing of its own.
func TestStartIsTakenOverFromARecordWithoutOne(t *testing.T) {
	runner := newRunner(t)
	first := runner.register(targetAt(1, 1, 5, TargetReady))
	require.Equal(t, first.Token, runner.register(startedAt(100, targetAt(1, 1, 6, TargetReady))).Token)
	held, _ := runner.directory.Target(1)
	require.Equal(t, StartTime(100), held.Started)
	require.NotEqual(t, first.Token, runner.register(startedAt(200, targetAt(1, 1, 1, TargetReady))).Token)
}

package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/faults"
)

func startedAt(started directory.StartTime, target directory.Target) directory.Target {
	target.Started = started
	return target
}

// TestTargetThatStartsAgainIsCommitted, though it counts its calls anew and states nothing
// else that changed.
func TestTargetThatStartsAgainIsCommitted(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.register(startedAt(100, ready(1, 50))))
	former, _ := bench.group.directory.TokenOf(1)
	proposed := bench.group.proposed
	require.NoError(t, bench.register(startedAt(200, ready(1, 1))))
	require.Equal(t, proposed+1, bench.group.proposed)
	latest, _ := bench.group.directory.TokenOf(1)
	require.NotEqual(t, former, latest)
	require.NoError(t, bench.register(startedAt(200, ready(1, 2))))
	require.Equal(t, proposed+1, bench.group.proposed, "its renewals need no commit")
}

func TestCallsOfAFormerStartAreRefused(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.register(startedAt(200, ready(1, 1))))
	for _, started := range []directory.StartTime{0, 100} {
		err := bench.register(startedAt(started, ready(1, 90)))
		require.Equal(t, faults.RegistrationInvalid, faults.CodeOf(err))
	}
	require.Equal(t, 1, bench.group.proposed)
}

// TestReportsAboutAFormerStart: a balancer that was refused by a target's former start
// reports that after the target started again.
func TestReportsAboutAFormerStart(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.register(startedAt(100, ready(1, 50))))
	former, _ := bench.group.directory.TokenOf(1)
	require.NoError(t, bench.register(startedAt(200, ready(1, 1))))
	bench.reportToken("one", former, feed.VerdictRefused)
	bench.run(time.Second)
	require.Equal(t, directory.TargetReady, bench.state(1))
	latest, _ := bench.group.directory.TokenOf(1)
	bench.reportToken("one", latest, feed.VerdictRefused)
	bench.run(time.Second)
	require.Equal(t, directory.TargetFailed, bench.state(1))
}

// TestFormerStartIsForgottenAfterItsFlows, while the latest one renews.
func TestFormerStartIsForgottenAfterItsFlows(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.register(startedAt(100, ready(1, 50))))
	former, _ := bench.group.directory.TokenOf(1)
	require.NoError(t, bench.register(startedAt(200, ready(1, 1))))
	bench.renewTargetFor(90*time.Second, startedAt(200, ready(1, 2)))
	_, known := bench.group.directory.Incarnation(former)
	require.False(t, known)
	require.Equal(t, directory.TargetReady, bench.state(1))
}

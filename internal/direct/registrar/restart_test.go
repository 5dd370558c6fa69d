package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/faults"
)

func withStart(started directory.StartTime, target directory.Target) directory.Target {
	target.Started = started
	return target
}

// TestRestartedTargetIsCommitted: a restart is committed although only the start time changed and
// the sequence numbers begin again.
func TestRestartedTargetIsCommitted(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.register(withStart(100, readyTarget(1, 50))))
	previous, _ := harness.group.directory.TokenOf(1)
	before := harness.group.proposals
	require.NoError(t, harness.register(withStart(200, readyTarget(1, 1))))
	require.Equal(t, before+1, harness.group.proposals)
	latest, _ := harness.group.directory.TokenOf(1)
	require.NotEqual(t, previous, latest)
	require.NoError(t, harness.register(withStart(200, readyTarget(1, 2))))
	require.Equal(t, before+1, harness.group.proposals, "renewals of the new incarnation need no commit")
}

func TestCallsOfAnEarlierIncarnationAreRefused(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.register(withStart(200, readyTarget(1, 1))))
	for _, started := range []directory.StartTime{0, 100} {
		err := harness.register(withStart(started, readyTarget(1, 90)))
		require.Equal(t, faults.RegistrationInvalid, faults.CodeOf(err))
	}
	require.Equal(t, 1, harness.group.proposals)
}

// TestReportsAboutAnEarlierIncarnationAreIgnored: a balancer whose connection was refused by the
// earlier incarnation of a target reports it after the target restarted.
func TestReportsAboutAnEarlierIncarnationAreIgnored(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.register(withStart(100, readyTarget(1, 50))))
	previous, _ := harness.group.directory.TokenOf(1)
	require.NoError(t, harness.register(withStart(200, readyTarget(1, 1))))
	harness.reportTokenVerdict("one", previous, feed.VerdictRefused)
	harness.run(time.Second)
	require.Equal(t, directory.TargetReady, harness.targetState(1))
	latest, _ := harness.group.directory.TokenOf(1)
	harness.reportTokenVerdict("one", latest, feed.VerdictRefused)
	harness.run(time.Second)
	require.Equal(t, directory.TargetFailed, harness.targetState(1))
}

// TestEarlierIncarnationIsRemovedAfterTheLongestFlow: the token of the earlier incarnation is
// removed while the later incarnation keeps renewing.
func TestEarlierIncarnationIsRemovedAfterTheLongestFlow(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.register(withStart(100, readyTarget(1, 50))))
	previous, _ := harness.group.directory.TokenOf(1)
	require.NoError(t, harness.register(withStart(200, readyTarget(1, 1))))
	harness.renewTargetFor(90*time.Second, withStart(200, readyTarget(1, 2)))
	_, exists := harness.group.directory.Incarnation(previous)
	require.False(t, exists)
	require.Equal(t, directory.TargetReady, harness.targetState(1))
}

// TestForeignCallsAreRefused guards against calls of other writers under a target's identifier, which
// must neither change the target nor count as its renewals.
func TestForeignCallsAreRefused(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.declare(testConfiguration(1, 443)))
	own := readyTarget(1, 5)
	own.Started = 100
	require.NoError(t, harness.register(own))
	foreign := readyTarget(1, 7)
	foreign.Service, foreign.Started = "nobody", 900
	proposals := harness.group.proposals
	err := harness.register(foreign)
	require.Equal(t, faults.RegistrationInvalid, faults.CodeOf(err))
	require.ErrorContains(t, err, "service")
	require.Equal(t, proposals, harness.group.proposals)
	own.Sequence++
	require.NoError(t, harness.register(own), "the target's own calls are still accepted")
	harness.probeOutcome = probe.Refused
	for range 9 {
		require.Error(t, harness.register(foreign))
	}
	require.Equal(t, directory.TargetFailed, harness.targetState(1), "foreign calls do not count as renewals")
}

// TestLateCallsOfDepartedTargetsAreRefused checks that a registration which arrives after the departure
// of a target without a record is refused, and that a later start is accepted.
func TestLateCallsOfDepartedTargetsAreRefused(t *testing.T) {
	harness := newHarness(t)
	late := readyTarget(1, 1)
	late.Started = 100
	harness.registrar.Leave(harness.now, directory.Departure{ID: 1, Started: 100}, harness.now.Add(time.Second), func(err error) { require.NoError(t, err) })
	harness.run(time.Second)
	require.Equal(t, faults.RegistrationInvalid, faults.CodeOf(harness.register(late)))
	require.Empty(t, harness.group.directory.Targets())
	late.Started = 200
	require.NoError(t, harness.register(late))
	require.Equal(t, directory.TargetReady, harness.targetState(1))
}

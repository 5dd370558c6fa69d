package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// boundedRunner returns a runner whose service feed bounds cold targets.
func boundedRunner(t *testing.T) *runner {
	runner := newRunner(t)
	next := configurationOf(7, 1)
	next.Services[0].Cold = declared.ColdLimit{Stated: true, Start: 2 * time.Second, PerSecond: 4}
	runner.declare(runner.directory.Configuration(), next)
	return runner
}

// renew registers or renews target 1 of zone a.
func (runner *runner) renew(sequence uint64, cold time.Duration, holder model.NodeName) Target {
	runner.t.Helper()
	stated := targetAt(1, 1, sequence, TargetReady)
	stated.Zone, stated.Cold, stated.Holder = "a", cold, holder
	runner.register(stated)
	held, _ := runner.directory.Target(1)
	return held
}

func TestRenewalsChangeColdnessInBothDirections(t *testing.T) {
	runner := boundedRunner(t)
	require.Equal(t, time.Second, runner.renew(1, time.Second, "b1").Cold)
	before := runner.directory.Revision()
	require.Zero(t, runner.renew(2, 0, "").Cold)
	require.Len(t, runner.directory.ChangesSince(before).Targets, 1, "balancers learn that it is warm")
	before = runner.directory.Revision()
	require.Equal(t, 2*time.Second, runner.renew(4, 2*time.Second, "").Cold)
	require.Len(t, runner.directory.ChangesSince(before).Targets, 1, "balancers learn that it turned cold")
	require.Equal(t, 2*time.Second, runner.renew(3, 0, "").Cold, "a late renewal changes nothing")
}

// TestAnIncarnationKeepsItsHolder: two balancers with tables of different age must not
// both hold the target's rate.
func TestAnIncarnationKeepsItsHolder(t *testing.T) {
	runner := boundedRunner(t)
	require.Equal(t, model.NodeName("b1"), runner.renew(1, time.Second, "b1").Holder)
	runner.renew(2, 0, "")
	require.Equal(t, model.NodeName("b1"), runner.renew(3, time.Second, "b2").Holder)
}

func TestTargetThatTurnsColdLaterGetsAHolder(t *testing.T) {
	runner := boundedRunner(t)
	require.Empty(t, runner.renew(1, 0, "").Holder)
	before := runner.directory.Revision()
	require.Equal(t, model.NodeName("b2"), runner.renew(2, time.Second, "b2").Holder)
	require.Equal(t, model.NodeName("b2"), runner.directory.ChangesSince(before).Targets[0].Holder)
}

// TestTargetsOfAZoneThatIsTakenBackCountAsCold until they say twice that they are warm:
// the first word may be from before they turned cold.
func TestTargetsOfAZoneThatIsTakenBackCountAsCold(t *testing.T) {
	runner := boundedRunner(t)
	runner.renew(1, 0, "")
	other := targetAt(2, 2, 1, TargetReady)
	other.Zone = "b"
	runner.register(other)
	runner.order("a", false, runner.latestOrder())
	before := runner.directory.Revision()
	runner.order("a", true, runner.latestOrder())
	changed := runner.directory.ChangesSince(before).Targets
	require.Len(t, changed, 1, "targets of other zones stay as they are")
	require.Equal(t, 2*time.Second, changed[0].Cold)

	require.NotZero(t, runner.renew(2, 0, "").Cold)
	require.Zero(t, runner.renew(3, 0, "").Cold)

	runner.order("a", true, runner.latestOrder())
	held, _ := runner.directory.Target(1)
	require.Zero(t, held.Cold, "an order that changes nothing makes nothing cold")
}

func TestTargetOfATakenBackZoneThatSaysItIsCold(t *testing.T) {
	runner := boundedRunner(t)
	runner.renew(1, 0, "")
	runner.order("a", false, runner.latestOrder())
	runner.order("a", true, runner.latestOrder())
	require.NotZero(t, runner.renew(2, time.Second, "b1").Cold)
	require.NotZero(t, runner.renew(3, 0, "").Cold)
	require.Zero(t, runner.renew(4, 0, "").Cold)
}

func TestZoneOfServicesWithoutAColdLimitReturnsWarm(t *testing.T) {
	runner := newRunner(t)
	runner.renew(1, 0, "")
	runner.order("a", false, runner.latestOrder())
	runner.order("a", true, runner.latestOrder())
	held, _ := runner.directory.Target(1)
	require.Zero(t, held.Cold)
}

func TestColdLimitsOutliveASnapshotAndAreTold(t *testing.T) {
	runner := boundedRunner(t)
	snapshot, err := runner.directory.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	limit, bounded := restored.ColdLimit("feed")
	require.True(t, bounded)
	require.Equal(t, 4.0, limit.PerSecond)
	require.Equal(t, map[string]float64{"feed": 4}, restored.ChangesSince(0).ColdLimits.PerSecond)

	before := runner.directory.Revision()
	unbounded := configurationOf(8, 1)
	runner.declare(runner.directory.Configuration(), unbounded)
	told := runner.directory.ChangesSince(before).ColdLimits
	require.NotNil(t, told)
	require.Empty(t, told.PerSecond)
}

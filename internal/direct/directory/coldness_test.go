package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// newRunnerWithColdLimit returns a runner whose service "feed" has a cold limit.
func newRunnerWithColdLimit(t *testing.T) *runner {
	runner := newRunner(t)
	next := configurationWithPorts(7, 1)
	next.Services[0].Cold = declared.ColdLimit{Stated: true, Start: 2 * time.Second, PerSecond: 4}
	runner.declare(runner.directory.Configuration(), next)
	return runner
}

// renew registers or renews target 1 of zone a and returns its record.
func (runner *runner) renew(sequence uint64, cold time.Duration, holder model.NodeName) Target {
	runner.t.Helper()
	reported := targetAt(1, 1, sequence, TargetReady)
	reported.Zone, reported.Cold, reported.Holder = "a", cold, holder
	runner.register(reported)
	recorded, _ := runner.directory.Target(1)
	return recorded
}

func TestRenewalsChangeColdnessInBothDirections(t *testing.T) {
	runner := newRunnerWithColdLimit(t)
	require.Equal(t, time.Second, runner.renew(1, time.Second, "b1").Cold)
	before := runner.directory.Revision()
	require.Zero(t, runner.renew(2, 0, "").Cold)
	require.Len(t, runner.directory.ChangesSince(before).Targets, 1, "balancers get the warm target")
	before = runner.directory.Revision()
	require.Equal(t, 2*time.Second, runner.renew(4, 2*time.Second, "").Cold)
	require.Len(t, runner.directory.ChangesSince(before).Targets, 1, "balancers get the cold target")
	require.Equal(t, 2*time.Second, runner.renew(3, 0, "").Cold, "a renewal with an older sequence number changes nothing")
}

// TestIncarnationKeepsItsHolder guards against two balancers with tables of different revisions
// that both send a cold target new flows at its full rate.
func TestIncarnationKeepsItsHolder(t *testing.T) {
	runner := newRunnerWithColdLimit(t)
	require.Equal(t, model.NodeName("b1"), runner.renew(1, time.Second, "b1").Holder)
	runner.renew(2, 0, "")
	require.Equal(t, model.NodeName("b1"), runner.renew(3, time.Second, "b2").Holder)
}

func TestTargetThatBecomesColdLaterGetsAHolder(t *testing.T) {
	runner := newRunnerWithColdLimit(t)
	require.Empty(t, runner.renew(1, 0, "").Holder)
	before := runner.directory.Revision()
	require.Equal(t, model.NodeName("b2"), runner.renew(2, time.Second, "b2").Holder)
	require.Equal(t, model.NodeName("b2"), runner.directory.ChangesSince(before).Targets[0].Holder)
}

// TestTargetsCountAsColdAfterTheirEvacuationEnds checks that the targets of a zone count as cold
// until they report twice that they are warm. The first report may have been sent before they
// became cold.
func TestTargetsCountAsColdAfterTheirEvacuationEnds(t *testing.T) {
	runner := newRunnerWithColdLimit(t)
	runner.renew(1, 0, "")
	other := targetAt(2, 2, 1, TargetReady)
	other.Zone = "b"
	runner.register(other)
	runner.orderEvacuation("a", false, runner.lastOrderRevision())
	before := runner.directory.Revision()
	runner.orderEvacuation("a", true, runner.lastOrderRevision())
	changed := runner.directory.ChangesSince(before).Targets
	require.Len(t, changed, 1, "targets of other zones do not change")
	require.Equal(t, 2*time.Second, changed[0].Cold)

	require.NotZero(t, runner.renew(2, 0, "").Cold)
	require.Zero(t, runner.renew(3, 0, "").Cold)

	runner.orderEvacuation("a", true, runner.lastOrderRevision())
	recorded, _ := runner.directory.Target(1)
	require.Zero(t, recorded.Cold, "an order that is already fulfilled marks no target as cold")
}

func TestTargetReportsColdAfterItsEvacuationEnds(t *testing.T) {
	runner := newRunnerWithColdLimit(t)
	runner.renew(1, 0, "")
	runner.orderEvacuation("a", false, runner.lastOrderRevision())
	runner.orderEvacuation("a", true, runner.lastOrderRevision())
	require.NotZero(t, runner.renew(2, time.Second, "b1").Cold)
	require.NotZero(t, runner.renew(3, 0, "").Cold)
	require.Zero(t, runner.renew(4, 0, "").Cold)
}

func TestTargetsWithoutAColdLimitStayWarmAfterTheirEvacuationEnds(t *testing.T) {
	runner := newRunner(t)
	runner.renew(1, 0, "")
	runner.orderEvacuation("a", false, runner.lastOrderRevision())
	runner.orderEvacuation("a", true, runner.lastOrderRevision())
	recorded, _ := runner.directory.Target(1)
	require.Zero(t, recorded.Cold)
}

func TestColdLimitsAreRestoredAndPublished(t *testing.T) {
	runner := newRunnerWithColdLimit(t)
	snapshot, err := runner.directory.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	limit, exists := restored.ColdLimit("feed")
	require.True(t, exists)
	require.Equal(t, 4.0, limit.PerSecond)
	require.Equal(t, map[string]float64{"feed": 4}, restored.ChangesSince(0).ColdLimits.PerSecond)

	before := runner.directory.Revision()
	unlimited := configurationWithPorts(8, 1)
	runner.declare(runner.directory.Configuration(), unlimited)
	published := runner.directory.ChangesSince(before).ColdLimits
	require.NotNil(t, published)
	require.Empty(t, published.PerSecond)
}

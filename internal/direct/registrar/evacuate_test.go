package registrar

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/replica"
)

func callerWaiting() bool { return true }

// beginOrder starts a zone order and returns the list to which its outcome will be appended.
func (harness *harness) beginOrder(order ZoneOrder) *[]error {
	outcomes := &[]error{}
	harness.registrar.Evacuate(harness.now, order, harness.now.Add(800*time.Millisecond), func(err error) { *outcomes = append(*outcomes, err) })
	return outcomes
}

func (harness *harness) evacuate(order ZoneOrder) error {
	harness.t.Helper()
	outcomes := harness.beginOrder(order)
	harness.run(time.Second)
	require.Len(harness.t, *outcomes, 1, "a call must end exactly once")
	return (*outcomes)[0]
}

func (harness *harness) evacuatedZones() []string {
	zones := []string{}
	evacuations, _ := harness.group.directory.Evacuations()
	for _, evacuation := range evacuations {
		zones = append(zones, evacuation.Zone)
	}
	return zones
}

func TestRepeatedZoneOrdersAreAcknowledged(t *testing.T) {
	harness := newHarness(t)
	begin, end := ZoneOrder{Zone: "a", CallerWaiting: callerWaiting}, ZoneOrder{Zone: "a", End: true, CallerWaiting: callerWaiting}
	for _, step := range []struct {
		order ZoneOrder
		want  []string
	}{
		{end, []string{}}, {begin, []string{"a"}}, {begin, []string{"a"}}, {end, []string{}}, {end, []string{}}, {begin, []string{"a"}},
	} {
		require.NoError(t, harness.evacuate(step.order))
		require.Equal(t, step.want, harness.evacuatedZones())
	}
}

func TestConcurrentOrdersForSeveralZonesSucceed(t *testing.T) {
	harness := newHarness(t)
	var outcomes []*[]error
	for _, zone := range []string{"a", "b", "c", "d"} {
		outcomes = append(outcomes, harness.beginOrder(ZoneOrder{Zone: zone, CallerWaiting: callerWaiting}))
	}
	harness.run(time.Second)
	for _, outcome := range outcomes {
		require.Equal(t, []error{nil}, *outcome)
	}
	require.Equal(t, []string{"a", "b", "c", "d"}, harness.evacuatedZones())
}

func TestInvalidOrdersAreRefused(t *testing.T) {
	for _, zone := range []string{"", strings.Repeat("z", maxZoneNameBytes+1)} {
		harness := newHarness(t)
		require.Equal(t, faults.ZoneOrderInvalid, faults.CodeOf(harness.evacuate(ZoneOrder{Zone: zone, CallerWaiting: callerWaiting})))
		require.Zero(t, harness.group.proposals)
	}
}

func TestZoneOrderNeedsAQuorum(t *testing.T) {
	harness := newHarness(t)
	harness.group.status = replica.Status{Leader: "other", CurrentAt: startTime.Add(-maxStaleness)}
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(harness.evacuate(ZoneOrder{Zone: "a", CallerWaiting: callerWaiting})))

	harness = newHarness(t)
	harness.group.unresponsive = true
	err := harness.evacuate(ZoneOrder{Zone: "a", CallerWaiting: callerWaiting})
	require.Equal(t, faults.LeadershipUnconfirmed, faults.CodeOf(err))
	require.Zero(t, harness.group.proposals)
}

func TestOrderWhoseCallerLeftChangesNothing(t *testing.T) {
	harness := newHarness(t)
	require.Error(t, harness.evacuate(ZoneOrder{Zone: "a", CallerWaiting: func() bool { return false }}))
	require.Empty(t, harness.evacuatedZones())
}

// TestStalledMemberDoesNotProposeAnExpiredOrder: a stalled member starts an order after its
// deadline, when the operator may have got the opposite order acknowledged by another member.
func TestStalledMemberDoesNotProposeAnExpiredOrder(t *testing.T) {
	harness := newHarness(t)
	outcomes := harness.beginOrder(ZoneOrder{Zone: "a", CallerWaiting: callerWaiting})
	harness.now = harness.now.Add(5 * time.Second)
	harness.run(time.Second)
	require.Len(t, *outcomes, 1)
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf((*outcomes)[0]))
	require.Zero(t, harness.group.proposals)
}

// TestOrderWithAnOutdatedBaseChangesNothing: an order that was proposed in time enters the log
// after a later, opposite order.
func TestOrderWithAnOutdatedBaseChangesNothing(t *testing.T) {
	harness := newHarness(t)
	delayed, err := directory.EncodeCommand(directory.Command{Evacuate: &directory.EvacuationOrder{Zone: "a"}})
	require.NoError(t, err)
	require.NoError(t, harness.evacuate(ZoneOrder{Zone: "a", CallerWaiting: callerWaiting}))
	require.NoError(t, harness.evacuate(ZoneOrder{Zone: "a", End: true, CallerWaiting: callerWaiting}))
	harness.group.Submit(delayed, func([]byte, error) {})
	require.Empty(t, harness.evacuatedZones())
}

// TestColdnessChangeIsCommittedOnlyWithAColdLimit: with a cold limit, balancers must learn that
// a target is no longer cold; without one, the renewal must not cost a commit.
func TestColdnessChangeIsCommittedOnlyWithAColdLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 4} {
		harness := newHarness(t)
		next := testConfiguration(1, 443)
		next.Services[0].Cold = declared.ColdLimit{Stated: true, Start: time.Second, PerSecond: perSecond}
		require.NoError(t, harness.declare(next))
		cold := readyTarget(1, 1)
		cold.Cold = time.Second
		require.NoError(t, harness.register(cold))
		before := harness.group.proposals
		require.NoError(t, harness.register(readyTarget(1, 2)))
		committed := harness.group.proposals - before
		if perSecond > 0 {
			require.Equal(t, 1, committed)
		} else {
			require.Zero(t, committed)
		}
	}
}

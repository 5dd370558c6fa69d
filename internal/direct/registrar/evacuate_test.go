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

func wanted() bool { return true }

// orderAt begins an order and returns where its outcome is put.
func (bench *bench) orderAt(order ZoneOrder) *[]error {
	outcomes := &[]error{}
	bench.registrar.Evacuate(bench.now, order, bench.now.Add(800*time.Millisecond), func(err error) { *outcomes = append(*outcomes, err) })
	return outcomes
}

func (bench *bench) order(order ZoneOrder) error {
	bench.t.Helper()
	outcomes := bench.orderAt(order)
	bench.run(time.Second)
	require.Len(bench.t, *outcomes, 1, "a call ends once")
	return (*outcomes)[0]
}

func (bench *bench) evacuated() []string {
	zones := []string{}
	held, _ := bench.group.directory.Evacuations()
	for _, evacuation := range held {
		zones = append(zones, evacuation.Zone)
	}
	return zones
}

func TestOrdersAreAcknowledgedAgainInAnyOrder(t *testing.T) {
	bench := newBench(t)
	begin, end := ZoneOrder{Zone: "a", CallerWaiting: wanted}, ZoneOrder{Zone: "a", End: true, CallerWaiting: wanted}
	for _, step := range []struct {
		order ZoneOrder
		want  []string
	}{
		{end, []string{}}, {begin, []string{"a"}}, {begin, []string{"a"}}, {end, []string{}}, {end, []string{}}, {begin, []string{"a"}},
	} {
		require.NoError(t, bench.order(step.order))
		require.Equal(t, step.want, bench.evacuated())
	}
}

func TestOrdersForSeveralZonesAtOnceAreAllTaken(t *testing.T) {
	bench := newBench(t)
	var outcomes []*[]error
	for _, zone := range []string{"a", "b", "c", "d"} {
		outcomes = append(outcomes, bench.orderAt(ZoneOrder{Zone: zone, CallerWaiting: wanted}))
	}
	bench.run(time.Second)
	for _, outcome := range outcomes {
		require.Equal(t, []error{nil}, *outcome)
	}
	require.Equal(t, []string{"a", "b", "c", "d"}, bench.evacuated())
}

func TestInvalidOrdersAreRefused(t *testing.T) {
	for _, zone := range []string{"", strings.Repeat("z", longestZoneName+1)} {
		bench := newBench(t)
		require.Equal(t, faults.ZoneOrderInvalid, faults.CodeOf(bench.order(ZoneOrder{Zone: zone, CallerWaiting: wanted})))
		require.Zero(t, bench.group.proposed)
	}
}

func TestMemberThatCannotCommitTakesNoOrder(t *testing.T) {
	bench := newBench(t)
	bench.group.status = replica.Status{Leader: "other", CurrentAt: start.Add(-freshFor)}
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(bench.order(ZoneOrder{Zone: "a", CallerWaiting: wanted})))

	bench = newBench(t)
	bench.group.silent = true
	err := bench.order(ZoneOrder{Zone: "a", CallerWaiting: wanted})
	require.Equal(t, faults.LeadershipUnconfirmed, faults.CodeOf(err))
	require.Zero(t, bench.group.proposed)
}

func TestOrderWhoseCallerLeftChangesNothing(t *testing.T) {
	bench := newBench(t)
	require.Error(t, bench.order(ZoneOrder{Zone: "a", CallerWaiting: func() bool { return false }}))
	require.Empty(t, bench.evacuated())
}

// TestMemberThatStoodStillProposesNoOldOrder: the member comes to the order after
// its time is over; the operator has had the opposite one acknowledged elsewhere.
func TestMemberThatStoodStillProposesNoOldOrder(t *testing.T) {
	bench := newBench(t)
	outcomes := bench.orderAt(ZoneOrder{Zone: "a", CallerWaiting: wanted})
	bench.now = bench.now.Add(5 * time.Second)
	bench.run(time.Second)
	require.Len(t, *outcomes, 1)
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf((*outcomes)[0]))
	require.Zero(t, bench.group.proposed)
}

// TestProposalThatArrivesLateChangesNothing: the order was proposed in time and
// reaches the log after a later, opposite one.
func TestProposalThatArrivesLateChangesNothing(t *testing.T) {
	bench := newBench(t)
	late, err := directory.EncodeCommand(directory.Command{Evacuate: &directory.EvacuationOrder{Zone: "a"}})
	require.NoError(t, err)
	require.NoError(t, bench.order(ZoneOrder{Zone: "a", CallerWaiting: wanted}))
	require.NoError(t, bench.order(ZoneOrder{Zone: "a", End: true, CallerWaiting: wanted}))
	bench.group.Submit(late, func([]byte, error) {})
	require.Empty(t, bench.evacuated())
}

// TestColdnessIsCommittedWhereItIsBounded: balancers have to know it there; elsewhere a
// renewal costs no commit.
func TestColdnessIsCommittedWhereItIsBounded(t *testing.T) {
	for _, perSecond := range []float64{0, 4} {
		bench := newBench(t)
		next := configurationOf(1, 443)
		next.Services[0].Cold = declared.ColdLimit{Stated: true, Start: time.Second, PerSecond: perSecond}
		require.NoError(t, bench.declare(next))
		cold := ready(1, 1)
		cold.Cold = time.Second
		require.NoError(t, bench.register(cold))
		before := bench.group.proposed
		require.NoError(t, bench.register(ready(1, 2)))
		committed := bench.group.proposed - before
		if perSecond > 0 {
			require.Equal(t, 1, committed)
		} else {
			require.Zero(t, committed)
		}
	}
}

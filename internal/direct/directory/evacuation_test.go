package directory

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

// order applies an order on top of base.
func (runner *runner) order(zone string, end bool, base model.Revision) Result {
	runner.t.Helper()
	return runner.apply(Command{Evacuate: &EvacuationOrder{Zone: zone, End: end, Base: base}})
}

func (runner *runner) evacuated() []string {
	held, _ := runner.directory.Evacuations()
	zones := []string{}
	for _, evacuation := range held {
		zones = append(zones, evacuation.Zone)
	}
	return zones
}

func (runner *runner) latestOrder() model.Revision {
	_, at := runner.directory.Evacuations()
	return at
}

// TestOrdersForZones plays orders, each with the base that its member knew; the
// orders of a case are one operator's, acknowledged in turn, but for late ones.
func TestOrdersForZones(t *testing.T) {
	cases := []struct {
		name string
		play func(r *runner)
		want []string
	}{
		{"begun", func(r *runner) { require.Zero(t, r.order("a", false, r.latestOrder())) }, []string{"a"}},
		{"begun again by a member that is behind", func(r *runner) {
			r.order("a", false, r.latestOrder())
			require.Zero(t, r.order("a", false, 0), "a fulfilled order is acknowledged")
		}, []string{"a"}},
		{"ended", func(r *runner) {
			r.order("a", false, r.latestOrder())
			require.Zero(t, r.order("a", true, r.latestOrder()))
		}, []string{}},
		{"ended without a beginning", func(r *runner) { require.Zero(t, r.order("a", true, 0)) }, []string{}},
		{"two zones, one ended", func(r *runner) {
			r.order("b", false, r.latestOrder())
			r.order("a", false, r.latestOrder())
			r.order("b", true, r.latestOrder())
		}, []string{"a"}},
		{"a beginning that comes after its end", func(r *runner) {
			before := r.latestOrder()
			r.order("a", false, before)
			r.order("a", true, r.latestOrder())
			require.True(t, r.order("a", false, before).Conflict)
		}, []string{}},
		{"a beginning that comes after an end which changed nothing", func(r *runner) {
			before := r.latestOrder()
			require.Zero(t, r.order("a", true, before))
			require.True(t, r.order("a", false, before).Conflict)
		}, []string{}},
		{"a beginning that comes after an end by a member that is behind", func(r *runner) {
			r.order("b", false, r.latestOrder())
			before := r.latestOrder()
			require.Zero(t, r.order("a", true, 0))
			require.True(t, r.order("a", false, before).Conflict)
		}, []string{"b"}},
		{"an end that comes after a later beginning", func(r *runner) {
			r.order("a", false, r.latestOrder())
			before := r.latestOrder()
			r.order("a", true, before)
			r.order("a", false, r.latestOrder())
			require.True(t, r.order("a", true, before).Conflict)
		}, []string{"a"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := newRunner(t)
			test.play(runner)
			require.Equal(t, test.want, runner.evacuated())
		})
	}
}

func TestEvacuatedZonesAreBounded(t *testing.T) {
	runner := newRunner(t)
	for place := range evacuationsKept {
		require.Zero(t, runner.order(fmt.Sprintf("zone-%d", place), false, runner.latestOrder()))
	}
	require.True(t, runner.order("one-more", false, runner.latestOrder()).Full)
	require.Zero(t, runner.order("zone-7", false, runner.latestOrder()), "one that is evacuated stays so")
	require.Zero(t, runner.order("zone-7", true, runner.latestOrder()))
	require.Zero(t, runner.order("one-more", false, runner.latestOrder()))
	require.Len(t, runner.evacuated(), evacuationsKept)
}

// TestEvacuationsOutliveASnapshot: members that restart from a snapshot hold the
// same orders and the same base for the next one.
func TestEvacuationsOutliveASnapshot(t *testing.T) {
	runner := newRunner(t)
	runner.order("a", false, 0)
	runner.order("b", false, runner.latestOrder())
	snapshot, err := runner.directory.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	require.Equal(t, runner.directory.Digest(), restored.Digest())
	late := runner.latestOrder()
	runner.directory = restored
	require.Equal(t, []string{"a", "b"}, runner.evacuated())
	require.Zero(t, runner.order("a", true, late))
	require.Equal(t, []string{"b"}, runner.evacuated())
}

// TestSnapshotOfAnEarlierProgramLoads reads a stored snapshot that was written
// before zones could be evacuated.
func TestSnapshotOfAnEarlierProgramLoads(t *testing.T) {
	stored, err := os.ReadFile("testdata/snapshot-without-evacuations.gob")
	require.NoError(t, err)
	runner := newRunner(t)
	require.NoError(t, runner.directory.Restore(stored))
	require.Equal(t, model.Revision(3), runner.directory.Revision())
	require.Equal(t, uint64(7), runner.directory.Configuration().Version)
	require.Equal(t, TargetReady, runner.state(1))
	require.Empty(t, runner.evacuated())
	runner.index = 3
	require.Zero(t, runner.order("zone-a", false, 0))
	require.Equal(t, []string{"zone-a"}, runner.evacuated())
}

// TestReadersLearnWhichZonesAreEvacuated: a reader that follows by changes, alone or
// combined, and one that reads everything know the same zones.
func TestReadersLearnWhichZonesAreEvacuated(t *testing.T) {
	runner := newRunner(t)
	random := rand.New(rand.NewPCG(5, 1))
	followed, combined := []Evacuation(nil), []Evacuation(nil)
	var parts []Changes
	revision := model.Revision(0)
	for round := range 300 {
		switch random.IntN(4) {
		case 0:
			runner.register(targetAt(TargetID(1+random.IntN(6)), byte(random.IntN(6)), uint64(round), TargetReady))
		default:
			zone := string(rune('a' + random.IntN(4)))
			runner.order(zone, random.IntN(2) == 0, runner.latestOrder())
		}
		if random.IntN(3) > 0 {
			continue
		}
		part := runner.directory.ChangesSince(revision)
		revision = part.To
		if part.Zones != nil {
			followed = part.Zones.Evacuated
		}
		parts = append(parts, part)
		whole := runner.directory.ChangesSince(0)
		require.NotNil(t, whole.Zones, "a whole table always tells the zones")
		require.ElementsMatch(t, whole.Zones.Evacuated, followed)
		if len(parts) == 4 {
			if told := Combine(parts...).Zones; told != nil {
				combined = told.Evacuated
			}
			require.ElementsMatch(t, whole.Zones.Evacuated, combined)
			parts = nil
		}
	}
}

func TestCapacityOfEvacuatedZonesCountsForNothing(t *testing.T) {
	runner := newRunner(t)
	near, far := targetAt(1, 1, 1, TargetReady), targetAt(2, 2, 1, TargetReady)
	near.Zone, far.Zone = "a", "b"
	token := runner.register(near).Token
	runner.register(far)
	index := NewCapacityIndex(runner.directory)
	_, capacity := index.ServiceCapacity(token)
	require.Equal(t, 4, capacity)
	pool, capacity := index.PoolCapacity(token)
	require.Equal(t, "a", pool.Zone)
	require.Equal(t, 2, capacity)
	runner.order("a", false, 0)
	_, capacity = index.ServiceCapacity(token)
	require.Equal(t, 2, capacity)
	_, capacity = index.PoolCapacity(token)
	require.Zero(t, capacity)
}

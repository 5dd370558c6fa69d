package directory

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

// orderEvacuation applies an order that was made at the revision base.
func (runner *runner) orderEvacuation(zone string, end bool, base model.Revision) Result {
	runner.t.Helper()
	return runner.apply(Command{Evacuate: &EvacuationOrder{Zone: zone, End: end, Base: base}})
}

func (runner *runner) evacuatedZones() []string {
	evacuations, _ := runner.directory.Evacuations()
	zones := []string{}
	for _, evacuation := range evacuations {
		zones = append(zones, evacuation.Zone)
	}
	return zones
}

// lastOrderRevision returns the base for the next order.
func (runner *runner) lastOrderRevision() model.Revision {
	_, revision := runner.directory.Evacuations()
	return revision
}

// TestEvacuationOrders applies orders, each with the base that its member knew. The orders of a
// case are from one operator, who waits for each acknowledgement; only orders that conflict arrive
// late.
func TestEvacuationOrders(t *testing.T) {
	cases := []struct {
		name string
		run  func(r *runner)
		want []string
	}{
		{"begun", func(r *runner) { require.Zero(t, r.orderEvacuation("a", false, r.lastOrderRevision())) }, []string{"a"}},
		{"begun twice, the second time by a member that is behind", func(r *runner) {
			r.orderEvacuation("a", false, r.lastOrderRevision())
			require.Zero(t, r.orderEvacuation("a", false, 0), "a fulfilled order is acknowledged")
		}, []string{"a"}},
		{"ended", func(r *runner) {
			r.orderEvacuation("a", false, r.lastOrderRevision())
			require.Zero(t, r.orderEvacuation("a", true, r.lastOrderRevision()))
		}, []string{}},
		{"ended without being evacuated", func(r *runner) { require.Zero(t, r.orderEvacuation("a", true, 0)) }, []string{}},
		{"two zones, one ended", func(r *runner) {
			r.orderEvacuation("b", false, r.lastOrderRevision())
			r.orderEvacuation("a", false, r.lastOrderRevision())
			r.orderEvacuation("b", true, r.lastOrderRevision())
		}, []string{"a"}},
		{"a beginning that arrives after its end", func(r *runner) {
			before := r.lastOrderRevision()
			r.orderEvacuation("a", false, before)
			r.orderEvacuation("a", true, r.lastOrderRevision())
			require.True(t, r.orderEvacuation("a", false, before).Conflict)
		}, []string{}},
		{"a beginning that arrives after an end which changed nothing", func(r *runner) {
			before := r.lastOrderRevision()
			require.Zero(t, r.orderEvacuation("a", true, before))
			require.True(t, r.orderEvacuation("a", false, before).Conflict)
		}, []string{}},
		{"a beginning that arrives after an end by a member that is behind", func(r *runner) {
			r.orderEvacuation("b", false, r.lastOrderRevision())
			before := r.lastOrderRevision()
			require.Zero(t, r.orderEvacuation("a", true, 0))
			require.True(t, r.orderEvacuation("a", false, before).Conflict)
		}, []string{"b"}},
		{"an end that arrives after a later beginning", func(r *runner) {
			r.orderEvacuation("a", false, r.lastOrderRevision())
			before := r.lastOrderRevision()
			r.orderEvacuation("a", true, before)
			r.orderEvacuation("a", false, r.lastOrderRevision())
			require.True(t, r.orderEvacuation("a", true, before).Conflict)
		}, []string{"a"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := newRunner(t)
			test.run(runner)
			require.Equal(t, test.want, runner.evacuatedZones())
		})
	}
}

func TestNumberOfEvacuatedZonesIsBounded(t *testing.T) {
	runner := newRunner(t)
	for index := range maxEvacuatedZones {
		require.Zero(t, runner.orderEvacuation(fmt.Sprintf("zone-%d", index), false, runner.lastOrderRevision()))
	}
	require.True(t, runner.orderEvacuation("one-more", false, runner.lastOrderRevision()).Full)
	require.Zero(t, runner.orderEvacuation("zone-7", false, runner.lastOrderRevision()), "a zone that is already evacuated does not count again")
	require.Zero(t, runner.orderEvacuation("zone-7", true, runner.lastOrderRevision()))
	require.Zero(t, runner.orderEvacuation("one-more", false, runner.lastOrderRevision()))
	require.Len(t, runner.evacuatedZones(), maxEvacuatedZones)
}

// TestEvacuationsAreRestored checks that members which restart from a snapshot have the same
// evacuations and the same base for the next order.
func TestEvacuationsAreRestored(t *testing.T) {
	runner := newRunner(t)
	runner.orderEvacuation("a", false, 0)
	runner.orderEvacuation("b", false, runner.lastOrderRevision())
	snapshot, err := runner.directory.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	require.Equal(t, runner.directory.Digest(), restored.Digest())
	base := runner.lastOrderRevision()
	runner.directory = restored
	require.Equal(t, []string{"a", "b"}, runner.evacuatedZones())
	require.Zero(t, runner.orderEvacuation("a", true, base))
	require.Equal(t, []string{"b"}, runner.evacuatedZones())
}

// TestSnapshotWithoutEvacuationsLoads restores a stored snapshot that was written before zones
// could be evacuated.
func TestSnapshotWithoutEvacuationsLoads(t *testing.T) {
	stored, err := os.ReadFile("testdata/snapshot-without-evacuations.gob")
	require.NoError(t, err)
	runner := newRunner(t)
	require.NoError(t, runner.directory.Restore(stored))
	require.Equal(t, model.Revision(3), runner.directory.Revision())
	require.Equal(t, uint64(7), runner.directory.Configuration().Version)
	require.Equal(t, TargetReady, runner.state(1))
	require.Empty(t, runner.evacuatedZones())
	runner.index = 3
	require.Zero(t, runner.orderEvacuation("zone-a", false, 0))
	require.Equal(t, []string{"zone-a"}, runner.evacuatedZones())
}

// TestChangesCarryEvacuatedZones compares the zones of a reader that applies changes, one by one
// or combined, with those of the full table.
func TestChangesCarryEvacuatedZones(t *testing.T) {
	runner := newRunner(t)
	random := rand.New(rand.NewPCG(5, 1))
	incremental, combined := []Evacuation(nil), []Evacuation(nil)
	var parts []Changes
	revision := model.Revision(0)
	for round := range 300 {
		switch random.IntN(4) {
		case 0:
			runner.register(targetAt(TargetID(1+random.IntN(6)), byte(random.IntN(6)), uint64(round), TargetReady))
		default:
			zone := string(rune('a' + random.IntN(4)))
			runner.orderEvacuation(zone, random.IntN(2) == 0, runner.lastOrderRevision())
		}
		if random.IntN(3) > 0 {
			continue
		}
		part := runner.directory.ChangesSince(revision)
		revision = part.To
		if part.Zones != nil {
			incremental = part.Zones.Evacuated
		}
		parts = append(parts, part)
		full := runner.directory.ChangesSince(0)
		require.NotNil(t, full.Zones, "the full table always has the zones")
		require.ElementsMatch(t, full.Zones.Evacuated, incremental)
		if len(parts) == 4 {
			if zones := Combine(parts...).Zones; zones != nil {
				combined = zones.Evacuated
			}
			require.ElementsMatch(t, full.Zones.Evacuated, combined)
			parts = nil
		}
	}
}

func TestEvacuatedZonesHaveNoCapacity(t *testing.T) {
	runner := newRunner(t)
	inZoneA, inZoneB := targetAt(1, 1, 1, TargetReady), targetAt(2, 2, 1, TargetReady)
	inZoneA.Zone, inZoneB.Zone = "a", "b"
	token := runner.register(inZoneA).Token
	runner.register(inZoneB)
	index := NewCapacityIndex(runner.directory)
	_, capacity := index.ServiceCapacity(token)
	require.Equal(t, 4, capacity)
	pool, capacity := index.PoolCapacity(token)
	require.Equal(t, "a", pool.Zone)
	require.Equal(t, 2, capacity)
	runner.orderEvacuation("a", false, 0)
	_, capacity = index.ServiceCapacity(token)
	require.Equal(t, 2, capacity)
	_, capacity = index.PoolCapacity(token)
	require.Zero(t, capacity)
}

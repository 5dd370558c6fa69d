package state

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// TestReadersSeeConsistentViews reads views and deltas while commands are applied. Each
// view must be consistent, and the race detector must find no unsynchronized access.
func TestReadersSeeConsistentViews(t *testing.T) {
	member := memberWithTenants(t)
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			follower := model.NewConfiguration()
			for {
				select {
				case <-done:
					return
				default:
				}
				view := member.machine.View()
				for _, record := range view.Services() {
					if len(record.Targets) != len(view.Configuration.ServiceTargets(record.ID)) {
						t.Errorf("service %v has %d targets in its record", record.Key, len(record.Targets))
					}
					view.BucketUses(record.ID)
				}
				follower = applyDeltasOrReload(t, member.machine, follower)
			}
		})
	}
	for number := range uint32(400) {
		member.applyHistory(history{number * 2654435761})
	}
	close(done)
	readers.Wait()
}

// applyDeltasOrReload brings follower up to date by deltas, or returns the machine's
// configuration if the delta log does not cover follower's revision.
func applyDeltasOrReload(t *testing.T, machine *Machine, follower *model.Configuration) *model.Configuration {
	deltas, known := machine.DeltasSince(follower.Revision)
	if !known {
		return machine.Configuration()
	}
	for _, delta := range deltas {
		next, err := follower.Apply(delta)
		if err != nil {
			t.Errorf("delta to %d: %v", delta.To, err)
			return machine.Configuration()
		}
		follower = next
	}
	return follower
}

func TestWatchersAreNotifiedOfConfigurationChanges(t *testing.T) {
	member := memberWithTipline(t)
	changes := member.machine.Watch()
	member.must(PutTenant{Name: "new"})
	require.Empty(t, changes, "a tenant is not part of the configuration")
	member.must(putTipline(member.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-1"))
	require.Len(t, changes, 1)
}

func TestDeltaLogIsBounded(t *testing.T) {
	var log deltaLog
	log.reset(10)
	for index := range model.Revision(MaximumDeltas + 5) {
		log.add(model.Delta{From: 10 + index, To: 11 + index})
	}
	_, known := log.since(14)
	require.False(t, known, "the caller must send the full configuration")
	deltas, known := log.since(15)
	require.True(t, known)
	require.Len(t, deltas, MaximumDeltas)
	require.EqualValues(t, 15, deltas[0].From)
}

func TestDeltaLogBoundsItsTotalRows(t *testing.T) {
	var log deltaLog
	for index := range model.Revision(10) {
		rows := make([]model.Bucket, maximumDeltaRows/4)
		log.add(model.Delta{From: index, To: index + 1, Buckets: []model.BucketChange{{Service: 1, Rows: rows}}})
	}
	deltas, known := log.since(6)
	require.True(t, known)
	require.Len(t, deltas, 4)
	_, known = log.since(5)
	require.False(t, known)
}

func TestInvalidSnapshotLeavesStateUnchanged(t *testing.T) {
	member := memberWithTipline(t)
	snapshot, err := member.machine.Snapshot()
	require.NoError(t, err)
	damaged := append([]byte(nil), snapshot...)
	damaged[len(damaged)/2] ^= 1
	digest := member.machine.Digest()
	for name, broken := range map[string][]byte{
		"empty":     nil,
		"other":     []byte("something else"),
		"cut":       snapshot[:len(snapshotMagic)+3],
		"cut later": snapshot[:len(snapshot)-1],
		"damaged":   damaged,
	} {
		require.Equal(t, faults.CodeSnapshotInvalid, faults.CodeOf(member.machine.Restore(broken)), name)
		require.Equal(t, digest, member.machine.Digest(), "an invalid snapshot leaves the state unchanged")
	}
}

func TestRestoreIntoEmptyGroupContinuesRevisionsAndIDs(t *testing.T) {
	source := memberWithTipline(t)
	source.must(putTipline(source.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-1", "tip-4"))
	require.NotNil(t, source.must(claimBy("tip-1", 1, 1, "k")).Claim)
	snapshot, err := source.machine.Snapshot()
	require.NoError(t, err)

	restored := newMember(t)
	restored.machine.Apply(1, testStart, nil)
	restored.index = 1
	restored.must(RestoreState{Change: Change{Key: "restore"}, Snapshot: snapshot})
	require.Equal(t, source.machine.Configuration().Digest(), restored.machine.Configuration().Digest())
	require.True(t, restored.must(RestoreState{Change: Change{Key: "restore"}, Snapshot: snapshot}).Replayed)
	require.Equal(t, faults.CodeGroupNotEmpty, restored.run(RestoreState{Snapshot: snapshot}).Code)
	require.Equal(t, faults.CodeSnapshotInvalid, newMember(t).run(RestoreState{Snapshot: snapshot[:9]}).Code)

	before := restored.machine.Configuration().Revision
	restored.must(putTipline(restored.service(tiplineKey()).Revision, "192.0.2.1:443", "tip-1"))
	require.Greater(t, restored.machine.Configuration().Revision, before)
	created := restored.must(putService("teranga", "resa", 0, "192.0.2.9:443", "resa-1"))
	require.Greater(t, created.Service, source.service(tiplineKey()).ID, "IDs of the backup are not assigned again")
	_, known := restored.machine.DeltasSince(before)
	require.True(t, known)

	secondSnapshot, err := restored.machine.Snapshot()
	require.NoError(t, err)
	copied := NewMachine()
	require.NoError(t, copied.Restore(secondSnapshot))
	require.Equal(t, restored.machine.Digest(), copied.Digest())
}

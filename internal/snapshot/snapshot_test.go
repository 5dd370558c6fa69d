package snapshot

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem/memory"
	"merlinpaddle/internal/raft"
)

const testGroup = 5

// snapshotAt returns a snapshot of term 2 that ends at index.
func snapshotAt(index uint64) raft.Snapshot {
	return raft.Snapshot{
		SnapshotMeta: raft.SnapshotMeta{
			Index:         index,
			Term:          2,
			At:            int64(index),
			Configuration: raft.Configuration{Members: []raft.Member{{ID: 1, Name: "a", Disk: 9}}, NextID: 2},
		},
		Data: fmt.Appendf(nil, "state at %d", index),
	}
}

// storeWithSnapshots saves a snapshot at each index, in the given order.
func storeWithSnapshots(t *testing.T, disk *memory.Disk, indexes ...uint64) *Store {
	t.Helper()
	store := NewStore(disk, "snapshots", testGroup)
	for _, index := range indexes {
		require.NoError(t, store.Save(snapshotAt(index)))
	}
	return store
}

func TestNewestSnapshotIsLoadedAndTwoAreKept(t *testing.T) {
	disk := memory.New(1)
	store := storeWithSnapshots(t, disk, 10, 20, 30)
	disk.Crash()
	loaded, err := store.Load(0)
	require.NoError(t, err)
	require.Equal(t, snapshotAt(30), loaded)
	names, err := store.snapshotNames()
	require.NoError(t, err)
	require.Equal(t, []string{fileName(30, 2), fileName(20, 2)}, names)
}

func TestLoadWithoutSnapshots(t *testing.T) {
	loaded, err := NewStore(memory.New(1), "snapshots", testGroup).Load(0)
	require.NoError(t, err)
	require.Zero(t, loaded.Index)
}

// TestFallback loads from snapshots at 20 and 30, some of them damaged, with logs that start after
// logBase. A code of zero means that the snapshot at index is loaded, or none if index is zero.
func TestFallback(t *testing.T) {
	cases := []struct {
		name    string
		damaged []uint64
		logBase uint64
		index   uint64
		code    faults.Code
	}{
		{name: "newest intact", logBase: 20, index: 30},
		{name: "the log continues from the older one", damaged: []uint64{30}, logBase: 20, index: 20},
		{name: "the log begins after the older one", damaged: []uint64{30}, logBase: 21, code: faults.StorageSnapshotDamaged},
		{name: "none intact and the log is complete", damaged: []uint64{20, 30}, logBase: 0},
		{name: "none intact and the log is compacted", damaged: []uint64{20, 30}, logBase: 1, code: faults.StorageSnapshotDamaged},
		{name: "the log begins after the newest", logBase: 31, code: faults.StorageSnapshotDamaged},
	}
	for _, fallback := range cases {
		t.Run(fallback.name, func(t *testing.T) {
			disk := memory.New(1)
			store := storeWithSnapshots(t, disk, 20, 30)
			for _, index := range fallback.damaged {
				require.NoError(t, disk.Corrupt("snapshots/"+fileName(index, 2), 40))
			}
			loaded, err := store.Load(fallback.logBase)
			require.Equal(t, fallback.code, faults.CodeOf(err))
			if fallback.code == 0 {
				require.Equal(t, fallback.index, loaded.Index)
			}
		})
	}
}

// TestEveryDamagedByteIsDetected flips each byte of a snapshot file.
func TestEveryDamagedByteIsDetected(t *testing.T) {
	disk := memory.New(1)
	store := storeWithSnapshots(t, disk, 10)
	name := "snapshots/" + fileName(10, 2)
	size, err := disk.Size(name)
	require.NoError(t, err)
	for offset := range size {
		require.NoError(t, disk.Corrupt(name, offset))
		all, err := store.LoadAll()
		require.NoError(t, err)
		require.Equal(t, faults.StorageSnapshotDamaged, faults.CodeOf(all[0].Err), "byte %d", offset)
		require.NoError(t, disk.Corrupt(name, offset))
	}
}

func TestForeignSnapshotIsRefused(t *testing.T) {
	disk := memory.New(1)
	storeWithSnapshots(t, disk, 10)
	_, err := NewStore(disk, "snapshots", testGroup+1).Load(0)
	require.Equal(t, faults.StorageForeign, faults.CodeOf(err))
}

// TestInterruptedSaveKeepsThePreviousSnapshot crashes after a save whose sync failed. The previous
// snapshot must load, and a second save of the same snapshot must succeed.
func TestInterruptedSaveKeepsThePreviousSnapshot(t *testing.T) {
	for seed := range uint64(50) {
		disk := memory.New(seed)
		store := storeWithSnapshots(t, disk, 10)
		disk.FailSyncs(1)
		require.Equal(t, faults.StorageWriteFailed, faults.CodeOf(store.Save(snapshotAt(20))))
		disk.Crash()
		loaded, err := store.Load(0)
		require.NoError(t, err)
		require.Equal(t, snapshotAt(10), loaded)
		require.NoError(t, store.Save(snapshotAt(20)))
		disk.Crash()
		loaded, err = store.Load(0)
		require.NoError(t, err)
		require.Equal(t, snapshotAt(20), loaded)
	}
}

func TestFullDiskIsReported(t *testing.T) {
	disk := memory.New(1)
	store := storeWithSnapshots(t, disk, 10)
	disk.SetCapacity(1)
	require.Equal(t, faults.StorageFull, faults.CodeOf(store.Save(snapshotAt(20))))
}

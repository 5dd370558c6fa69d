package wal

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/filesystem/memory"
	"merlinpaddle/internal/raft"
)

// failingSyncs counts the syncs of created files and of folders and fails one of them.
type failingSyncs struct {
	filesystem.FileSystem
	// failAt is the number of the sync that fails, from 1, or zero for none.
	failAt int
	// syncs is the number of syncs so far.
	syncs int
}

// failingFile is a file whose syncs its owner counts and may fail.
type failingFile struct {
	filesystem.File
	owner *failingSyncs
}

var errSync = errors.New("input/output error")

func (files *failingSyncs) sync(run func() error) error {
	files.syncs++
	if files.syncs == files.failAt {
		return errSync
	}
	return run()
}

func (files *failingSyncs) Create(name string) (filesystem.File, error) {
	file, err := files.FileSystem.Create(name)
	return &failingFile{File: file, owner: files}, err
}

func (files *failingSyncs) SyncDir(name string) error {
	return files.sync(func() error { return files.FileSystem.SyncDir(name) })
}

func (file *failingFile) Sync() error { return file.owner.sync(file.File.Sync) }

// batchCount is the number of batches that a run writes, enough for at least three segments.
const batchCount = 40

// writeUntilFailure appends batchCount entries one by one. It returns the entries that were
// acknowledged and the first error, after which it checks that the log refuses writes.
func writeUntilFailure(t *testing.T, log *Log) ([]raft.Entry, error) {
	t.Helper()
	all := entriesFrom(1, batchCount, 1)
	for position := range all {
		if err := log.Append(Batch{Entries: all[position : position+1]}); err != nil {
			require.Equal(t, faults.StorageStopped, faults.CodeOf(log.Append(Batch{Entries: all[position : position+1]})), "a log must refuse writes after a failure")
			return all[:position], err
		}
	}
	return all, nil
}

// requireRecovered crashes the disk and checks that a reopened log has every acknowledged entry and
// accepts new ones.
func requireRecovered(t *testing.T, disk *memory.Disk, acknowledged []raft.Entry) {
	t.Helper()
	disk.Crash()
	log, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(recovered.Entries), len(acknowledged))
	if len(acknowledged) > 0 {
		require.Equal(t, acknowledged, recovered.Entries[:len(acknowledged)])
	}
	next := uint64(len(recovered.Entries)) + 1
	require.NoError(t, log.Append(Batch{Entries: entriesFrom(next, next, 2)}), "a reopened log must accept entries")
}

// TestDiskFullDuringWritesLosesNoAcknowledgedEntry lets the disk fill up at every third byte of a run,
// also in the middle of a segment's header.
func TestDiskFullDuringWritesLosesNoAcknowledgedEntry(t *testing.T) {
	unlimited := memory.New(1)
	_, err := writeUntilFailure(t, createLog(t, unlimited))
	require.NoError(t, err)
	empty := memory.New(1)
	createLog(t, empty)
	smallest, largest := usedBytes(t, empty), usedBytes(t, unlimited)
	require.Greater(t, len(segmentContents(t, unlimited)), 2, "the run must write several segments")
	for capacity := smallest; capacity < largest; capacity += 3 {
		disk := memory.New(uint64(capacity))
		log := createLog(t, disk)
		disk.SetCapacity(capacity)
		acknowledged, err := writeUntilFailure(t, log)
		require.Equal(t, faults.StorageFull, faults.CodeOf(err), "capacity %d", capacity)
		disk.SetCapacity(0)
		requireRecovered(t, disk, acknowledged)
	}
}

// usedBytes returns the size of all segments.
func usedBytes(t *testing.T, disk *memory.Disk) int64 {
	t.Helper()
	total := int64(0)
	for _, content := range segmentContents(t, disk) {
		total += int64(len(content))
	}
	return total
}

// TestAnyFailedSyncStopsTheLogAndLosesNoAcknowledgedEntry fails each sync of a run in turn: of
// batches, of new segments and of the folder.
func TestAnyFailedSyncStopsTheLogAndLosesNoAcknowledgedEntry(t *testing.T) {
	counting := &failingSyncs{FileSystem: memory.New(1)}
	log, err := Create(counting, testOptions)
	require.NoError(t, err)
	afterCreate := counting.syncs
	_, err = writeUntilFailure(t, log)
	require.NoError(t, err)
	require.Greater(t, counting.syncs, afterCreate+batchCount, "the run must sync new segments too")
	for failAt := afterCreate + 1; failAt <= counting.syncs; failAt++ {
		for seed := range uint64(5) {
			disk := memory.New(seed)
			log, err := Create(&failingSyncs{FileSystem: disk, failAt: failAt}, testOptions)
			require.NoError(t, err)
			acknowledged, err := writeUntilFailure(t, log)
			require.Equal(t, faults.StorageWriteFailed, faults.CodeOf(err), "sync %d", failAt)
			requireRecovered(t, disk, acknowledged)
		}
	}
}

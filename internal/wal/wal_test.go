package wal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"path"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/filesystem/memory"
	"merlinpaddle/internal/raft"
)

var testOptions = Options{
	Folder:       "wal",
	Identity:     Identity{Group: 7, Member: 3},
	SegmentBytes: 512,
}

// entriesFrom returns the entries with the indexes from first to last, all of one term.
func entriesFrom(first, last, term uint64) []raft.Entry {
	var entries []raft.Entry
	for index := first; index <= last; index++ {
		entries = append(entries, raft.Entry{Index: index, Term: term, At: int64(index) * 1000, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)})
	}
	return entries
}

func createLog(t *testing.T, disk *memory.Disk) *Log {
	t.Helper()
	log, err := Create(disk, testOptions)
	require.NoError(t, err)
	return log
}

func appendEntries(t *testing.T, log *Log, entries []raft.Entry) {
	t.Helper()
	require.NoError(t, log.Append(Batch{Entries: entries}))
}

// readContent returns the content of a file.
func readContent(t *testing.T, files filesystem.FileSystem, name string) []byte {
	t.Helper()
	file, err := files.Open(name)
	require.NoError(t, err)
	data, err := io.ReadAll(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	return data
}

// segmentContents returns the content of all files in the log's folder by name.
func segmentContents(t *testing.T, files filesystem.FileSystem) map[string][]byte {
	t.Helper()
	content := make(map[string][]byte)
	names, err := files.ReadDir("wal")
	require.NoError(t, err)
	for _, name := range names {
		content[name] = readContent(t, files, path.Join("wal", name))
	}
	return content
}

func TestOpenRecoversHardStateAndEntries(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	state := raft.HardState{Term: 4, Vote: 2, Commit: 1}
	require.NoError(t, log.Append(Batch{HardState: &state, Entries: entriesFrom(1, 40, 4)}))
	appendEntries(t, log, entriesFrom(41, 42, 4))
	require.NoError(t, log.Close())
	disk.Crash()
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, Recovered{HardState: state, Entries: entriesFrom(1, 42, 4)}, recovered)
}

func TestLaterEntriesReplaceEarlierOnes(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	appendEntries(t, log, entriesFrom(1, 10, 1))
	appendEntries(t, log, entriesFrom(6, 7, 2))
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, append(entriesFrom(1, 5, 1), entriesFrom(6, 7, 2)...), recovered.Entries)
}

func TestWriteStatsCountSyncedBatches(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	before := readContent(t, disk, "wal/"+segmentName(1))
	appendEntries(t, log, entriesFrom(1, 3, 1))
	appendEntries(t, log, entriesFrom(4, 4, 1))
	written := uint64(len(readContent(t, disk, "wal/"+segmentName(1))) - len(before))
	require.Equal(t, WriteStats{Batches: 2, Entries: 4, Bytes: written}, log.WriteStats())
	disk.FailSyncs(1)
	require.Error(t, log.Append(Batch{Entries: entriesFrom(5, 5, 1)}))
	require.Equal(t, WriteStats{Batches: 2, Entries: 4, Bytes: written}, log.WriteStats(), "a batch whose sync failed must not count")
}

func TestResetEmptiesTheLog(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	appendEntries(t, log, entriesFrom(1, 10, 1))
	reset := uint64(100)
	require.NoError(t, log.Append(Batch{Reset: &reset}))
	appendEntries(t, log, entriesFrom(101, 103, 2))
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, Recovered{Base: 100, Entries: entriesFrom(101, 103, 2)}, recovered)
}

func TestCompactionKeepsEntriesAfterIndex(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	state := raft.HardState{Term: 9, Vote: 1}
	require.NoError(t, log.Append(Batch{HardState: &state}))
	for index := uint64(1); index <= 100; index++ {
		appendEntries(t, log, entriesFrom(index, index, 9))
	}
	before := len(segmentContents(t, disk))
	require.NoError(t, log.Compact(70))
	require.Less(t, len(segmentContents(t, disk)), before)
	disk.Crash()
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, state, recovered.HardState)
	require.LessOrEqual(t, recovered.Base, uint64(70))
	require.Equal(t, entriesFrom(recovered.Base+1, 100, 9), recovered.Entries)
}

// TestCompactionAfterOverwriteAcrossSegments removes a segment whose last entries are replaced by
// entries in the next one.
func TestCompactionAfterOverwriteAcrossSegments(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	appendEntries(t, log, entriesFrom(1, 20, 1))
	appendEntries(t, log, entriesFrom(16, 40, 2))
	appendEntries(t, log, entriesFrom(41, 42, 2))
	require.NoError(t, log.Compact(30))
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, uint64(15), recovered.Base)
	require.Equal(t, entriesFrom(16, 42, 2), recovered.Entries)
}

// TestTornTailIsTruncated cuts the last record short at every byte. Open keeps the records before it,
// and the log accepts new entries.
func TestTornTailIsTruncated(t *testing.T) {
	options := testOptions
	options.SegmentBytes = 1 << 20
	reference := memory.New(1)
	log, err := Create(reference, options)
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(1, 3, 1))
	intactSize, err := reference.Size("wal/" + segmentName(1))
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(4, 5, 1))
	complete := readContent(t, reference, "wal/"+segmentName(1))

	for length := intactSize; length < int64(len(complete)); length++ {
		disk := memory.New(1)
		require.NoError(t, disk.MkdirAll("wal"))
		file, err := disk.Create("wal/" + segmentName(1))
		require.NoError(t, err)
		_, err = file.Write(complete[:length])
		require.NoError(t, err)
		reopened, recovered, err := Open(disk, options)
		require.NoError(t, err)
		require.Equal(t, entriesFrom(1, 3, 1), recovered.Entries)
		require.Equal(t, length-intactSize, recovered.TornBytes)
		appendEntries(t, reopened, entriesFrom(4, 6, 2))
		_, recovered, err = Open(disk, options)
		require.NoError(t, err)
		require.Equal(t, append(entriesFrom(1, 3, 1), entriesFrom(4, 6, 2)...), recovered.Entries)
	}
}

// TestDamageBeforeTheLastRecordIsRefused flips each byte before the last record. Open must refuse the
// log and leave its files unchanged.
func TestDamageBeforeTheLastRecordIsRefused(t *testing.T) {
	options := testOptions
	options.SegmentBytes = 1 << 20
	disk := memory.New(1)
	log, err := Create(disk, options)
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(1, 3, 1))
	appendEntries(t, log, entriesFrom(4, 5, 1))
	lastRecordStart, err := disk.Size("wal/" + segmentName(1))
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(6, 6, 1))
	for offset := range lastRecordStart {
		require.NoError(t, disk.Corrupt("wal/"+segmentName(1), offset))
		before := segmentContents(t, disk)
		_, _, err := Open(disk, options)
		require.Equal(t, faults.StorageDamaged, faults.CodeOf(err), "byte %d", offset)
		require.Equal(t, before, segmentContents(t, disk))
		require.NoError(t, disk.Corrupt("wal/"+segmentName(1), offset))
	}
	_, _, err = Open(disk, options)
	require.NoError(t, err)
}

func TestDamageInAnEarlierSegmentIsRefused(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	appendEntries(t, log, entriesFrom(1, 30, 1))
	appendEntries(t, log, entriesFrom(31, 32, 1))
	size, err := disk.Size("wal/" + segmentName(1))
	require.NoError(t, err)
	require.NoError(t, disk.Corrupt("wal/"+segmentName(1), size-1))
	_, _, err = Open(disk, testOptions)
	require.Equal(t, faults.StorageDamaged, faults.CodeOf(err))
}

func TestForeignIncompleteAndReorderedLogsAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(*memory.Disk, *Options)
		code   faults.Code
	}{
		{"another group", func(_ *memory.Disk, options *Options) { options.Identity.Group++ }, faults.StorageForeign},
		{"another member", func(_ *memory.Disk, options *Options) { options.Identity.Member++ }, faults.StorageForeign},
		{"missing segment", func(disk *memory.Disk, _ *Options) { _ = disk.Remove("wal/" + segmentName(2)) }, faults.StorageIncomplete},
		{"swapped segments", func(disk *memory.Disk, _ *Options) {
			_ = disk.Rename("wal/"+segmentName(1), "wal/other")
			_ = disk.Rename("wal/"+segmentName(2), "wal/"+segmentName(1))
			_ = disk.Rename("wal/other", "wal/"+segmentName(2))
		}, faults.StorageDamaged},
	}
	for _, refused := range cases {
		t.Run(refused.name, func(t *testing.T) {
			disk := memory.New(1)
			log := createLog(t, disk)
			for index := uint64(1); index <= 60; index++ {
				appendEntries(t, log, entriesFrom(index, index, 1))
			}
			options := testOptions
			refused.change(disk, &options)
			before := segmentContents(t, disk)
			_, _, err := Open(disk, options)
			require.Equal(t, refused.code, faults.CodeOf(err), "%v", err)
			require.Equal(t, before, segmentContents(t, disk))
		})
	}
}

func TestUnknownVersionIsRefused(t *testing.T) {
	disk := memory.New(1)
	require.NoError(t, disk.MkdirAll("wal"))
	file, err := disk.Create("wal/" + segmentName(1))
	require.NoError(t, err)
	header := encodeSegmentHeader(segmentHeader{version: formatVersion + 1, identity: testOptions.Identity, segment: 1})
	_, err = file.Write(appendFrame(nil, header))
	require.NoError(t, err)
	_, _, err = Open(disk, testOptions)
	require.Equal(t, faults.StorageVersion, faults.CodeOf(err))
}

// TestLogStopsAfterFailedSync guards against writing on after a failed sync: the simulated disk, like
// real ones, discards the dirty pages of a failed sync, and a later sync succeeds without them.
func TestLogStopsAfterFailedSync(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	appendEntries(t, log, entriesFrom(1, 2, 1))
	disk.FailSyncs(1)
	require.Equal(t, faults.StorageWriteFailed, faults.CodeOf(log.Append(Batch{Entries: entriesFrom(3, 3, 1)})))
	require.Equal(t, faults.StorageStopped, faults.CodeOf(log.Append(Batch{Entries: entriesFrom(4, 4, 1)})))
	require.Equal(t, faults.StorageStopped, faults.CodeOf(log.Compact(2)))
	disk.Crash()
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, entriesFrom(1, 2, 1), recovered.Entries)
}

// TestReopenedLogSurvivesPowerLoss guards against the loss of an acknowledged entry: the process ended
// between the write and the sync of the last frame, or because the sync failed, and the next one counted the
// frame as durable without a sync. The frame is a batch, or the header of a segment.
func TestReopenedLogSurvivesPowerLoss(t *testing.T) {
	for seed := range uint64(50) {
		for _, entries := range []uint64{3, 20} {
			disk := memory.New(seed)
			log := createLog(t, disk)
			appendEntries(t, log, entriesFrom(1, 2, 1))
			appendEntries(t, log, entriesFrom(3, entries, 1))
			disk.FailSyncs(1)
			require.Equal(t, faults.StorageWriteFailed, faults.CodeOf(log.Append(Batch{Entries: entriesFrom(entries+1, entries+1, 1)})))
			_, recovered, err := Open(disk, testOptions)
			require.NoError(t, err)
			disk.Crash()
			_, again, err := Open(disk, testOptions)
			require.NoError(t, err)
			require.Equal(t, recovered.Entries, again.Entries, "seed %d", seed)
			require.Equal(t, recovered.HardState, again.HardState)
			require.Zero(t, again.TornBytes, "what was read is not torn")
		}
	}
}

// TestLogIsOpenedOnAFullDisk checks that a full disk, which may refuse to write the last frame again, does
// not keep a member from starting.
func TestLogIsOpenedOnAFullDisk(t *testing.T) {
	disk := memory.New(1)
	appendEntries(t, createLog(t, disk), entriesFrom(1, 2, 1))
	disk.SetCapacity(1)
	log, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, entriesFrom(1, 2, 1), recovered.Entries)
	require.Equal(t, faults.StorageFull, faults.CodeOf(log.Append(Batch{Entries: entriesFrom(3, 3, 1)})))
	disk.SetCapacity(0)
	log, _, err = Open(disk, testOptions)
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(3, 4, 1))
	_, recovered, err = Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, entriesFrom(1, 4, 1), recovered.Entries)
}

func TestLogStopsWhenTheDiskIsFull(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	appendEntries(t, log, entriesFrom(1, 2, 1))
	size, err := disk.Size("wal/" + segmentName(1))
	require.NoError(t, err)
	disk.SetCapacity(size + 20)
	require.Equal(t, faults.StorageFull, faults.CodeOf(log.Append(Batch{Entries: entriesFrom(3, 3, 1)})))
	disk.SetCapacity(0)
	require.Equal(t, faults.StorageStopped, faults.CodeOf(log.Append(Batch{Entries: entriesFrom(3, 3, 1)})))
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, entriesFrom(1, 2, 1), recovered.Entries)
}

func TestInspectReportsAndChangesNothing(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	appendEntries(t, log, entriesFrom(1, 4, 1))
	appendEntries(t, log, entriesFrom(5, 6, 3))
	file, err := disk.OpenWrite("wal/" + segmentName(1))
	require.NoError(t, err)
	_, err = file.Seek(0, io.SeekEnd)
	require.NoError(t, err)
	_, err = file.Write([]byte("torn"))
	require.NoError(t, err)
	before := segmentContents(t, disk)
	report, err := Inspect(disk, "wal")
	require.NoError(t, err)
	require.Equal(t, before, segmentContents(t, disk))
	require.Equal(t, int64(4), report.TornBytes)
	require.Equal(t, uint64(6), report.LastIndex)
	require.Equal(t, []TermStart{{Term: 1, Index: 1}, {Term: 3, Index: 5}}, report.Terms)
}

// TestAcknowledgedBatchesSurviveCrashes appends batches of random size and crashes after some of them
// and after a last frame that was not synced. Open must recover every acknowledged batch, and of the
// unsynced frame either all entries or none.
func TestAcknowledgedBatchesSurviveCrashes(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261202))
	properties.Property("acknowledged batches survive", prop.ForAll(
		func(seed uint64, sizes []int) bool {
			disk := memory.New(seed)
			log, err := Create(disk, testOptions)
			if err != nil {
				return false
			}
			last := uint64(0)
			for _, size := range sizes {
				if log.Append(Batch{Entries: entriesFrom(last+1, last+uint64(size), 1)}) != nil {
					return false
				}
				last += uint64(size)
				if size == 3 {
					disk.Crash()
					var recovered Recovered
					log, recovered, err = Open(disk, testOptions)
					if err != nil || uint64(len(recovered.Entries)) != last {
						return false
					}
				}
			}
			writeUnsyncedFrame(log, last)
			disk.Crash()
			_, recovered, err := Open(disk, testOptions)
			return err == nil && recoversAcknowledged(recovered.Entries, entriesFrom(1, last, 1), last+30)
		},
		gen.UInt64(),
		gen.SliceOfN(12, gen.IntRange(1, 8)),
	))
	properties.TestingRun(t)
}

// writeUnsyncedFrame writes a frame with the 30 entries after last, which a crash may lose or tear.
func writeUnsyncedFrame(log *Log, last uint64) {
	frame := appendFrame(nil, encodeBatch(log.lastFrame+1, log.hardState, Batch{Entries: entriesFrom(last+1, last+30, 1)}))
	_, _ = log.file.Write(frame)
}

// recoversAcknowledged reports whether found holds exactly the acknowledged entries, or those and
// the entries of an unsynced frame up to index lastUnsynced.
func recoversAcknowledged(found, acknowledged []raft.Entry, lastUnsynced uint64) bool {
	if len(found) < len(acknowledged) || (len(found) > len(acknowledged) && uint64(len(found)) != lastUnsynced) {
		return false
	}
	for position, entry := range acknowledged {
		if found[position].Index != entry.Index || !bytes.Equal(found[position].Data, entry.Data) {
			return false
		}
	}
	return true
}

func TestBatchEncodingRoundTrip(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261203))
	properties.Property("decode is the inverse of encode", prop.ForAll(
		func(number, term, vote, reset uint64, at int64, data []byte) bool {
			state := raft.HardState{Term: term, Vote: raft.MemberID(vote), Commit: number}
			entry := raft.Entry{Index: number, Term: term, At: at, Kind: raft.EntryMembership, Data: data}
			reset %= 1 << 60
			body := encodeBatch(number, state, Batch{Reset: &reset, Entries: []raft.Entry{entry}})
			decodedBody, length, valid := readFrame(appendFrame(nil, body))
			decodedNumber, decodedState, batch, err := decodeBatch(decodedBody)
			return valid && err == nil && length == len(body)+frameHeaderBytes &&
				decodedNumber == number && decodedState == state && *batch.Reset == reset &&
				batch.Entries[0].At == at && bytes.Equal(batch.Entries[0].Data, data)
		},
		gen.UInt64(), gen.UInt64(), gen.UInt64(), gen.UInt64(), gen.Int64(), gen.SliceOf(gen.UInt8()),
	))
	properties.TestingRun(t)
}

// TestTruncatedBodiesAreRefused cuts a body at every length.
func TestTruncatedBodiesAreRefused(t *testing.T) {
	body := encodeBatch(1, raft.HardState{Term: 300}, Batch{Entries: entriesFrom(1, 2, 300)})
	for length := range body {
		_, _, _, err := decodeBatch(body[:length])
		require.True(t, errors.Is(err, errMalformedBody), "length %d", length)
	}
}

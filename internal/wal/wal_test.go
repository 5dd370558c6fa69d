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

func readWhole(t *testing.T, files filesystem.FileSystem, name string) []byte {
	t.Helper()
	file, err := files.Open(name)
	require.NoError(t, err)
	data, err := io.ReadAll(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	return data
}

// contentOf returns all files of the log.
func contentOf(t *testing.T, files filesystem.FileSystem) map[string][]byte {
	t.Helper()
	content := make(map[string][]byte)
	names, err := files.ReadDir("wal")
	require.NoError(t, err)
	for _, name := range names {
		content[name] = readWhole(t, files, path.Join("wal", name))
	}
	return content
}

func TestReopenedLogHasEverything(t *testing.T) {
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

func TestWorkCountsWhatWasSynced(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	before := readWhole(t, disk, "wal/"+segmentName(1))
	appendEntries(t, log, entriesFrom(1, 3, 1))
	appendEntries(t, log, entriesFrom(4, 4, 1))
	written := uint64(len(readWhole(t, disk, "wal/"+segmentName(1))) - len(before))
	require.Equal(t, WriteStats{Batches: 2, Entries: 4, Bytes: written}, log.WriteStats())
	disk.FailSyncs(1)
	require.Error(t, log.Append(Batch{Entries: entriesFrom(5, 5, 1)}))
	require.Equal(t, WriteStats{Batches: 2, Entries: 4, Bytes: written}, log.WriteStats(), "what is not durable does not count")
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

func TestCompactionKeepsWhatFollows(t *testing.T) {
	disk := memory.New(1)
	log := createLog(t, disk)
	state := raft.HardState{Term: 9, Vote: 1}
	require.NoError(t, log.Append(Batch{HardState: &state}))
	for index := uint64(1); index <= 100; index++ {
		appendEntries(t, log, entriesFrom(index, index, 9))
	}
	before := len(contentOf(t, disk))
	require.NoError(t, log.Compact(70))
	require.Less(t, len(contentOf(t, disk)), before)
	disk.Crash()
	_, recovered, err := Open(disk, testOptions)
	require.NoError(t, err)
	require.Equal(t, state, recovered.HardState)
	require.LessOrEqual(t, recovered.Base, uint64(70))
	require.Equal(t, entriesFrom(recovered.Base+1, 100, 9), recovered.Entries)
}

// TestCompactionAfterOverwriteAcrossSegments removes a segment whose last
// entries were replaced in the next one.
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

// TestTornTailIsCut cuts the last record at every byte; the records before it
// stay, and the log can be continued.
func TestTornTailIsCut(t *testing.T) {
	options := testOptions
	options.SegmentBytes = 1 << 20
	reference := memory.New(1)
	log, err := Create(reference, options)
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(1, 3, 1))
	sound, err := reference.Size("wal/" + segmentName(1))
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(4, 5, 1))
	whole := readWhole(t, reference, "wal/"+segmentName(1))

	for length := sound; length < int64(len(whole)); length++ {
		disk := memory.New(1)
		require.NoError(t, disk.MkdirAll("wal"))
		file, err := disk.Create("wal/" + segmentName(1))
		require.NoError(t, err)
		_, err = file.Write(whole[:length])
		require.NoError(t, err)
		reopened, recovered, err := Open(disk, options)
		require.NoError(t, err)
		require.Equal(t, entriesFrom(1, 3, 1), recovered.Entries)
		require.Equal(t, length-sound, recovered.TornBytes)
		appendEntries(t, reopened, entriesFrom(4, 6, 2))
		_, recovered, err = Open(disk, options)
		require.NoError(t, err)
		require.Equal(t, append(entriesFrom(1, 3, 1), entriesFrom(4, 6, 2)...), recovered.Entries)
	}
}

// TestDamageInTheMiddleIsRefused flips each byte before the last record and
// demands a refusal that leaves the files as they were.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	options := testOptions
	options.SegmentBytes = 1 << 20
	disk := memory.New(1)
	log, err := Create(disk, options)
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(1, 3, 1))
	appendEntries(t, log, entriesFrom(4, 5, 1))
	middle, err := disk.Size("wal/" + segmentName(1))
	require.NoError(t, err)
	appendEntries(t, log, entriesFrom(6, 6, 1))
	for offset := range middle {
		require.NoError(t, disk.Corrupt("wal/"+segmentName(1), offset))
		before := contentOf(t, disk)
		_, _, err := Open(disk, options)
		require.Equal(t, faults.StorageDamaged, faults.CodeOf(err), "byte %d", offset)
		require.Equal(t, before, contentOf(t, disk))
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

func TestRefusedLogs(t *testing.T) {
	cases := []struct {
		name   string
		change func(*memory.Disk, *Options)
		code   faults.Code
	}{
		{"another group", func(_ *memory.Disk, options *Options) { options.Identity.Group++ }, faults.StorageForeign},
		{"another member", func(_ *memory.Disk, options *Options) { options.Identity.Member++ }, faults.StorageForeign},
		{"missing segment", func(disk *memory.Disk, _ *Options) { _ = disk.Remove("wal/" + segmentName(2)) }, faults.StorageIncomplete},
		{"segments out of place", func(disk *memory.Disk, _ *Options) {
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
			before := contentOf(t, disk)
			_, _, err := Open(disk, options)
			require.Equal(t, refused.code, faults.CodeOf(err), "%v", err)
			require.Equal(t, before, contentOf(t, disk))
		})
	}
}

func TestUnknownVersionIsRefused(t *testing.T) {
	disk := memory.New(1)
	require.NoError(t, disk.MkdirAll("wal"))
	file, err := disk.Create("wal/" + segmentName(1))
	require.NoError(t, err)
	header := encodeHeader(segmentHeader{version: formatVersion + 1, identity: testOptions.Identity, segment: 1})
	_, err = file.Write(appendFrame(nil, header))
	require.NoError(t, err)
	_, _, err = Open(disk, testOptions)
	require.Equal(t, faults.StorageVersion, faults.CodeOf(err))
}

// TestLogStopsAfterFailedSync shows the reason: the simulated disk, like real
// ones, forgets the pages of a failed sync, and a later sync succeeds.
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
	before := contentOf(t, disk)
	report, err := Inspect(disk, "wal")
	require.NoError(t, err)
	require.Equal(t, before, contentOf(t, disk))
	require.Equal(t, int64(4), report.TornBytes)
	require.Equal(t, uint64(6), report.LastIndex)
	require.Equal(t, []TermStart{{Term: 1, Index: 1}, {Term: 3, Index: 5}}, report.Terms)
}

// TestAcknowledgedBatchesSurviveCrashes appends random batches, crashes at a
// random moment with lost and torn writes, and demands every batch that was
// acknowledged and none that was not asked for.
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
			writeWithoutSync(log, last)
			disk.Crash()
			_, recovered, err := Open(disk, testOptions)
			return err == nil && startsWith(recovered.Entries, entriesFrom(1, last, 1), last+30)
		},
		gen.UInt64(),
		gen.SliceOfN(12, gen.IntRange(1, 8)),
	))
	properties.TestingRun(t)
}

// writeWithoutSync writes a last frame that a crash may tear.
func writeWithoutSync(log *Log, last uint64) {
	frame := appendFrame(nil, encodeBatch(log.frame+1, log.hardState, Batch{Entries: entriesFrom(last+1, last+30, 1)}))
	_, _ = log.file.Write(frame)
}

func startsWith(found, wanted []raft.Entry, longest uint64) bool {
	if len(found) < len(wanted) || (len(found) > len(wanted) && uint64(len(found)) != longest) {
		return false
	}
	for position, entry := range wanted {
		if found[position].Index != entry.Index || !bytes.Equal(found[position].Data, entry.Data) {
			return false
		}
	}
	return true
}

func TestBatchesSurviveEncoding(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261203))
	properties.Property("decode is the inverse of encode", prop.ForAll(
		func(number, term, vote, reset uint64, at int64, data []byte) bool {
			state := raft.HardState{Term: term, Vote: raft.MemberID(vote), Commit: number}
			entry := raft.Entry{Index: number, Term: term, At: at, Kind: raft.EntryMembership, Data: data}
			reset %= 1 << 60
			body := encodeBatch(number, state, Batch{Reset: &reset, Entries: []raft.Entry{entry}})
			frame, length, sound := readFrame(appendFrame(nil, body))
			foundNumber, foundState, batch, err := decodeBatch(frame)
			return sound && err == nil && length == len(body)+frameHeaderBytes &&
				foundNumber == number && foundState == state && *batch.Reset == reset &&
				batch.Entries[0].At == at && bytes.Equal(batch.Entries[0].Data, data)
		},
		gen.UInt64(), gen.UInt64(), gen.UInt64(), gen.UInt64(), gen.Int64(), gen.SliceOf(gen.UInt8()),
	))
	properties.TestingRun(t)
}

// TestShortBodiesAreRefused cuts a body at every length.
func TestShortBodiesAreRefused(t *testing.T) {
	body := encodeBatch(1, raft.HardState{Term: 300}, Batch{Entries: entriesFrom(1, 2, 300)})
	for length := range body {
		_, _, _, err := decodeBatch(body[:length])
		require.True(t, errors.Is(err, errBody), "length %d", length)
	}
}

// Package wal is the write-ahead log of a Raft member: its hard state and its entries, in segment
// files of checksummed frames.
//
// Each Append writes one frame and syncs it before it returns. The next frame is written only after
// that, so a crash can tear at most the last frame of the last segment. An invalid frame with a valid
// one after it is therefore damage, not a torn tail, and Open refuses the log.
//
// After the first failed write or sync the log refuses all further writes: which bytes reached the
// disk is unknown, and a later sync could succeed without them.
package wal

import (
	"errors"
	"fmt"
	"io"
	"path"
	"syscall"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/raft"
)

// formatVersion is the version of the segment format.
const formatVersion = 1

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 16 << 20

// Identity names the member and the group that a log belongs to. Each segment header repeats it.
type Identity struct {
	Group  uint64
	Member raft.MemberID
}

// Options set the location, owner and segment size of a log.
type Options struct {
	// Folder is the log's folder in the file system.
	Folder   string
	Identity Identity
	// SegmentBytes is the size of a segment, in bytes, at which the next batch starts a new segment.
	// Zero means DefaultSegmentBytes.
	SegmentBytes int64
}

// Batch holds the changes that one Append makes durable. Reset takes effect before Entries.
type Batch struct {
	// HardState, when set, replaces the hard state.
	HardState *raft.HardState
	// Reset, when set, removes all entries. The log continues after this index, up to which a
	// durable snapshot covers it.
	Reset *uint64
	// Entries have consecutive indexes and replace all entries from the first one's index on.
	Entries []raft.Entry
}

// Recovered is the content of a log when it was opened.
type Recovered struct {
	HardState raft.HardState
	// Base is the index before the first entry.
	Base    uint64
	Entries []raft.Entry
	// TornBytes is the size of a torn write that was removed from the end. It was never
	// acknowledged.
	TornBytes int64
}

// segment is one file of the log.
type segment struct {
	number uint64
	// maxIndex is the highest index of any entry in the segment, replaced entries included.
	maxIndex uint64
}

// WriteStats counts what a log wrote durably since it was opened.
type WriteStats struct {
	// Batches is the number of synced batches. Entries divided by Batches is the mean number of
	// entries per sync.
	Batches uint64
	Entries uint64
	// Bytes is the size of the batch frames. Segment headers don't count.
	Bytes uint64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	files   filesystem.FileSystem
	options Options
	// file is the last segment, open for appending, and size its length.
	file filesystem.File
	size int64
	// segments are in ascending order.
	segments []segment
	// lastFrame is the number of the last batch frame.
	lastFrame  uint64
	lastIndex  uint64
	hardState  raft.HardState
	writeStats WriteStats
	// failure is the reason why the log refuses writes, or nil.
	failure error
}

func segmentName(number uint64) string { return fmt.Sprintf("wal-%016d.log", number) }

// Exists reports whether the folder holds a log.
func Exists(files filesystem.FileSystem, folder string) (bool, error) {
	numbers, err := listSegments(files, folder)
	return len(numbers) > 0, err
}

// Create creates an empty log with its first segment. It fails when that segment exists.
func Create(files filesystem.FileSystem, options Options) (*Log, error) {
	log := newLog(files, options)
	if err := files.MkdirAll(options.Folder); err != nil {
		return nil, writeFault(err)
	}
	if err := log.startSegment(1); err != nil {
		return nil, err
	}
	return log, nil
}

func newLog(files filesystem.FileSystem, options Options) *Log {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	return &Log{files: files, options: options}
}

// Open reads an existing log, removes a torn tail, makes what it read durable and prepares the log for
// Append. A log that is damaged, incomplete, of an unknown version or of another member is refused and
// left unchanged.
func Open(files filesystem.FileSystem, options Options) (*Log, Recovered, error) {
	scan, err := scanLog(files, options.Folder)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := scan.checkIdentity(options.Identity); err != nil {
		return nil, Recovered{}, err
	}
	log := newLog(files, options)
	log.segments = scan.segments
	log.lastFrame = scan.lastFrame
	log.hardState = scan.hardState
	log.lastIndex = scan.lastIndex()
	if err := log.reopenTail(scan); err != nil {
		return nil, Recovered{}, err
	}
	return log, scan.recovered(), nil
}

// reopenTail opens the last segment for appending. A last segment whose header is torn is removed
// first; if no other is left, it creates segment 1 again.
func (log *Log) reopenTail(scan *logScan) error {
	if scan.tornSegment != 0 {
		if err := log.removeSegment(scan.tornSegment); err != nil {
			return err
		}
	}
	if len(log.segments) == 0 {
		return log.startSegment(1)
	}
	name := log.path(log.segments[len(log.segments)-1].number)
	file, err := log.files.OpenWrite(name)
	if err != nil {
		return faults.New(faults.StorageUnusable, "log segment %s cannot be opened: %v", name, err)
	}
	log.file = file
	log.size = scan.tailSize
	if err := log.makeTailDurable(scan.tornBytes, scan.tailFrame); err != nil {
		_ = file.Close() // the first error is the cause
		return log.fail(err)
	}
	return nil
}

// makeTailDurable removes a torn frame, makes the last segment and its last frame durable, and leaves the
// file at its end. The process that wrote the frame may have ended before it was synced, or because the
// sync failed. After a failed sync, a later one may succeed without the frame, so it is written again. A
// full disk may refuse that, and the frame is only synced then, so that the member can start. All frames
// before the last one were synced before it was written.
func (log *Log) makeTailDurable(tornBytes int64, lastFrame []byte) error {
	if tornBytes > 0 {
		if err := log.file.Truncate(log.size); err != nil {
			return err
		}
	}
	if _, err := log.file.Seek(log.size-int64(len(lastFrame)), io.SeekStart); err != nil {
		return err
	}
	if _, err := log.file.Write(lastFrame); err != nil && faults.CodeOf(writeFault(err)) != faults.StorageFull {
		return err
	}
	if err := log.file.Sync(); err != nil {
		return err
	}
	if _, err := log.file.Seek(log.size, io.SeekStart); err != nil {
		return err
	}
	return log.files.SyncDir(log.options.Folder)
}

func (log *Log) removeSegment(number uint64) error {
	if err := log.files.Remove(log.path(number)); err != nil {
		return log.fail(err)
	}
	if err := log.files.SyncDir(log.options.Folder); err != nil {
		return log.fail(err)
	}
	return nil
}

func (log *Log) path(number uint64) string {
	return path.Join(log.options.Folder, segmentName(number))
}

// startSegment creates a segment and makes it the one that Append writes to. Its header repeats the
// hard state, so that the segments before it can be removed.
func (log *Log) startSegment(number uint64) error {
	file, err := log.files.Create(log.path(number))
	if err != nil {
		return log.fail(err)
	}
	body := encodeSegmentHeader(segmentHeader{
		version:   formatVersion,
		identity:  log.options.Identity,
		segment:   number,
		lastIndex: log.lastIndex,
		hardState: log.hardState,
	})
	frame := appendFrame(nil, body)
	if err := writeAndSync(file, frame); err != nil {
		_ = file.Close()
		return log.fail(err)
	}
	if err := log.files.SyncDir(log.options.Folder); err != nil {
		_ = file.Close()
		return log.fail(err)
	}
	if log.file != nil {
		_ = log.file.Close()
	}
	log.file = file
	log.size = int64(len(frame))
	log.segments = append(log.segments, segment{number: number})
	return nil
}

func writeAndSync(file filesystem.File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// Append makes batch durable in one sync. After an error the log is stopped and refuses writes.
func (log *Log) Append(batch Batch) error {
	if log.failure != nil {
		return faults.New(faults.StorageStopped, "the log stopped earlier: %v", log.failure)
	}
	if log.size >= log.options.SegmentBytes {
		if err := log.startSegment(log.segments[len(log.segments)-1].number + 1); err != nil {
			return err
		}
	}
	if batch.HardState != nil {
		log.hardState = *batch.HardState
	}
	frame := appendFrame(nil, encodeBatch(log.lastFrame+1, log.hardState, batch))
	if err := writeAndSync(log.file, frame); err != nil {
		return log.fail(err)
	}
	log.lastFrame++
	log.size += int64(len(frame))
	log.writeStats.Batches++
	log.writeStats.Entries += uint64(len(batch.Entries))
	log.writeStats.Bytes += uint64(len(frame))
	log.updateIndexes(batch)
	return nil
}

// updateIndexes updates the last index and the last segment's highest index after a batch.
func (log *Log) updateIndexes(batch Batch) {
	if batch.Reset != nil {
		log.lastIndex = *batch.Reset
	}
	if len(batch.Entries) == 0 {
		return
	}
	log.lastIndex = batch.Entries[len(batch.Entries)-1].Index
	tail := &log.segments[len(log.segments)-1]
	tail.maxIndex = max(tail.maxIndex, log.lastIndex)
}

// Compact removes the oldest segments whose entries all lie at or below index. The last segment
// always stays. The caller holds a durable snapshot at or above index. Each removal is synced before
// the next, so a crash cannot leave a gap between segments.
func (log *Log) Compact(index uint64) error {
	if log.failure != nil {
		return faults.New(faults.StorageStopped, "the log stopped earlier: %v", log.failure)
	}
	for len(log.segments) > 1 && log.segments[0].maxIndex <= index {
		if err := log.removeSegment(log.segments[0].number); err != nil {
			return err
		}
		log.segments = log.segments[1:]
	}
	return nil
}

// fail stops the log for good and returns err as a fault.
func (log *Log) fail(err error) error {
	log.failure = writeFault(err)
	return log.failure
}

// WriteStats returns what the log wrote durably since it was opened.
func (log *Log) WriteStats() WriteStats { return log.writeStats }

// Close closes the log's file. The log refuses writes afterwards.
func (log *Log) Close() error {
	if log.file == nil {
		return nil
	}
	log.failure = errors.New("the log is closed")
	return log.file.Close()
}

// writeFault returns err as a fault: StorageFull when the disk is full, otherwise
// StorageWriteFailed.
func writeFault(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return faults.New(faults.StorageFull, "the disk is full: %v", err)
	}
	return faults.New(faults.StorageWriteFailed, "the log cannot be written: %v", err)
}

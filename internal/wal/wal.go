// Package wal is the write-ahead log of a member of the control group: its
// hard state and its entries, in segments of checksummed frames.
//
// Each Append writes one frame and syncs it before it returns. The next frame
// is written only after that, so at most the last frame of the last segment
// can be torn by a crash. An unsound frame with a sound one after it is
// therefore damage, not a torn tail, and the log refuses to open.
//
// After the first failed write or sync the log takes nothing more: which bytes
// reached the disk is unknown, and a later sync could succeed without them.
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

// DefaultSegmentBytes is the size at which a new segment begins.
const DefaultSegmentBytes = 16 << 20

// Identity ties a log to one member of one group.
type Identity struct {
	Group  uint64
	Member raft.MemberID
}

// Options place and size a log.
type Options struct {
	// Folder is the log's folder in the file system.
	Folder   string
	Identity Identity
	// SegmentBytes is the size at which a new segment begins.
	SegmentBytes int64
}

// Batch is what one Append makes durable.
type Batch struct {
	// HardState, when set, replaces the hard state.
	HardState *raft.HardState
	// Reset, when set, empties the log: it goes on after this index, up to
	// which a durable snapshot holds everything.
	Reset *uint64
	// Entries replace everything from the first one's index on.
	Entries []raft.Entry
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	HardState raft.HardState
	// Base is the index before the first entry.
	Base    uint64
	Entries []raft.Entry
	// TornBytes were cut from the end; they were never acknowledged.
	TornBytes int64
}

// segment is one file of the log.
type segment struct {
	number uint64
	// maxIndex is the highest index of any entry in the segment.
	maxIndex uint64
}

// WriteStats counts what a log wrote durably since it was opened.
type WriteStats struct {
	// Batches is the number of synced batches; Entries divided by it is how
	// many entries shared a sync.
	Batches uint64
	Entries uint64
	// Bytes are those of the batches, with their frames.
	Bytes uint64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	files     filesystem.FileSystem
	options   Options
	file      filesystem.File
	size      int64
	segments  []segment
	frame     uint64
	lastIndex uint64
	hardState raft.HardState
	work      WriteStats
	failure   error
}

func segmentName(number uint64) string { return fmt.Sprintf("wal-%016d.log", number) }

// Exists tells whether the folder holds a log.
func Exists(files filesystem.FileSystem, folder string) (bool, error) {
	numbers, err := listSegments(files, folder)
	return len(numbers) > 0, err
}

// Create begins an empty log.
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

// Open reads an existing log, cuts a torn tail and makes the log ready to be
// continued. It changes nothing when it fails.
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
	log.frame = scan.frame
	log.hardState = scan.hardState
	log.lastIndex = scan.lastIndex()
	if err := log.reopenTail(scan); err != nil {
		return nil, Recovered{}, err
	}
	return log, scan.recovered(), nil
}

// reopenTail continues the last segment, or begins one when the last segment
// was torn in its first frame.
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
	if err := log.cutTail(scan.tornBytes); err != nil {
		return log.fail(err)
	}
	return nil
}

func (log *Log) cutTail(tornBytes int64) error {
	if tornBytes > 0 {
		if err := log.file.Truncate(log.size); err != nil {
			return err
		}
		if err := log.file.Sync(); err != nil {
			return err
		}
	}
	_, err := log.file.Seek(log.size, io.SeekStart)
	return err
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

// startSegment begins a segment whose header repeats the hard state, so that
// the segments before it can be removed.
func (log *Log) startSegment(number uint64) error {
	file, err := log.files.Create(log.path(number))
	if err != nil {
		return log.fail(err)
	}
	body := encodeHeader(segmentHeader{
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

// Append makes batch durable in one sync. After an error the log is stopped.
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
	frame := appendFrame(nil, encodeBatch(log.frame+1, log.hardState, batch))
	if err := writeAndSync(log.file, frame); err != nil {
		return log.fail(err)
	}
	log.frame++
	log.size += int64(len(frame))
	log.work.Batches++
	log.work.Entries += uint64(len(batch.Entries))
	log.work.Bytes += uint64(len(frame))
	log.noteEntries(batch)
	return nil
}

func (log *Log) noteEntries(batch Batch) {
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

// Compact removes the oldest segments whose entries all lie at or below index.
// The caller holds a durable snapshot at or above index. Each removal is synced
// before the next, so a crash cannot leave a gap between segments.
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

// fail stops the log for good.
func (log *Log) fail(err error) error {
	log.failure = writeFault(err)
	return log.failure
}

// WriteStats returns what the log wrote durably since it was opened.
func (log *Log) WriteStats() WriteStats { return log.work }

// Close closes the log's file.
func (log *Log) Close() error {
	if log.file == nil {
		return nil
	}
	log.failure = errors.New("the log is closed")
	return log.file.Close()
}

// writeFault gives a failed write or sync its code.
func writeFault(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return faults.New(faults.StorageFull, "the disk is full: %v", err)
	}
	return faults.New(faults.StorageWriteFailed, "the log cannot be written: %v", err)
}

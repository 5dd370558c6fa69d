package wal

import (
	"errors"
	"io"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/raft"
)

// logScan is the state of a log, rebuilt by reading its segments in ascending order.
type logScan struct {
	identity Identity
	segments []segment
	// lastFrame is the number of the last batch frame, or zero.
	lastFrame uint64
	hardState raft.HardState
	// base is the index before the first entry.
	base    uint64
	entries []raft.Entry
	// records counts the batch frames.
	records int
	// bytes is the size of all segment files, torn bytes included.
	bytes int64
	// tailSize is the length of the valid frames at the start of the last segment.
	tailSize int64
	// tailFrame is the last of these frames.
	tailFrame []byte
	// tornBytes is the length of the torn frame after them, or the size of tornSegment.
	tornBytes int64
	// tornSegment is the number of a last segment whose header frame is torn, or zero. It is not
	// in segments.
	tornSegment uint64
}

func (scan *logScan) lastIndex() uint64 { return scan.base + uint64(len(scan.entries)) }

func (scan *logScan) recovered() Recovered {
	return Recovered{
		HardState: scan.hardState,
		Base:      scan.base,
		Entries:   scan.entries,
		TornBytes: scan.tornBytes,
	}
}

// checkIdentity returns a StorageForeign fault when the log belongs to another member or group.
func (scan *logScan) checkIdentity(expected Identity) error {
	if len(scan.segments) == 0 || scan.identity == expected {
		return nil
	}
	return faults.New(faults.StorageForeign,
		"the log belongs to member %d of group %x, not to member %d of group %x; correct data_folder or put the right disk back",
		scan.identity.Member, scan.identity.Group, expected.Member, expected.Group)
}

// listSegments returns the numbers of the segments in ascending order, none when the folder does
// not exist.
func listSegments(files filesystem.FileSystem, folder string) ([]uint64, error) {
	names, err := files.ReadDir(folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, faults.New(faults.StorageUnusable, "folder %s cannot be read: %v", folder, err)
	}
	var numbers []uint64
	for _, name := range names {
		digits, isSegment := strings.CutPrefix(strings.TrimSuffix(name, ".log"), "wal-")
		number, err := strconv.ParseUint(digits, 10, 64)
		if isSegment && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// scanLog reads and checks all segments without changing them. A torn frame at the end of the last
// segment is reported in the scan; any other damage is an error.
func scanLog(files filesystem.FileSystem, folder string) (*logScan, error) {
	numbers, err := listSegments(files, folder)
	if err != nil {
		return nil, err
	}
	scan := &logScan{}
	for position, number := range numbers {
		if position > 0 && number != numbers[position-1]+1 {
			return nil, faults.New(faults.StorageIncomplete, "log segment %s is missing", segmentName(numbers[position-1]+1))
		}
		data, err := readFile(files, path.Join(folder, segmentName(number)))
		if err != nil {
			return nil, err
		}
		if err := scan.readSegment(number, data, position == len(numbers)-1); err != nil {
			return nil, err
		}
	}
	return scan, nil
}

func readFile(files filesystem.FileSystem, name string) ([]byte, error) {
	file, err := files.Open(name)
	if err != nil {
		return nil, faults.New(faults.StorageUnusable, "%s cannot be opened: %v", name, err)
	}
	data, err := io.ReadAll(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, faults.New(faults.StorageUnusable, "%s cannot be read: %v", name, err)
	}
	return data, nil
}

// readSegment adds the frames of the segment with the given number, whose file holds data.
func (scan *logScan) readSegment(number uint64, data []byte, isLast bool) error {
	scan.bytes += int64(len(data))
	body, length, valid := readFrame(data)
	if !valid {
		return scan.acceptTornHeader(number, data, isLast)
	}
	if err := scan.readSegmentHeader(number, body); err != nil {
		return err
	}
	scan.segments = append(scan.segments, segment{number: number})
	scan.tailFrame = data[:length]
	offset := length
	for offset < len(data) {
		body, length, valid = readFrame(data[offset:])
		if !valid {
			return scan.acceptTornTail(number, data, offset, isLast)
		}
		if err := scan.readBatch(number, offset, body); err != nil {
			return err
		}
		scan.tailFrame = data[offset : offset+length]
		offset += length
	}
	scan.tailSize = int64(offset)
	return nil
}

// acceptTornHeader records an invalid header frame as torn if a crash can explain it: it is in the
// last segment and no valid frame follows it, as nothing is written after a header before the header
// is synced. The segment must also be number 1 or follow another segment. Otherwise acceptTornHeader
// returns an error.
func (scan *logScan) acceptTornHeader(number uint64, data []byte, isLast bool) error {
	if !isLast || validFrameAfter(data, 0) {
		return damaged(number, 0, "its header is damaged")
	}
	if number != 1 && len(scan.segments) == 0 {
		return damaged(number, 0, "its header is damaged and no earlier segment is left")
	}
	scan.tornSegment = number
	scan.tornBytes = int64(len(data))
	return nil
}

// acceptTornTail records an invalid frame as torn if it is in the last segment and no valid frame
// follows it. Otherwise it returns an error.
func (scan *logScan) acceptTornTail(number uint64, data []byte, offset int, isLast bool) error {
	if !isLast || validFrameAfter(data, offset) {
		return damaged(number, offset, "its checksum does not match and sound records follow")
	}
	scan.tailSize = int64(offset)
	scan.tornBytes = int64(len(data) - offset)
	return nil
}

// validFrameAfter reports whether a valid frame starts at any byte after offset. The length of the
// invalid frame at offset cannot be used to find the next one.
func validFrameAfter(data []byte, offset int) bool {
	for start := offset + 1; start+frameHeaderBytes <= len(data); start++ {
		if data[start] != frameMagic[0] {
			continue
		}
		if _, _, valid := readFrame(data[start:]); valid {
			return true
		}
	}
	return false
}

// damaged returns a StorageDamaged fault that names the segment, the offset in bytes and the remedy,
// which is to replace the member.
func damaged(number uint64, offset int, cause string) error {
	return faults.New(faults.StorageDamaged,
		"log segment %s is damaged at byte %d: %s; nothing was changed; replace this member: remove it from the group, empty the folder and add it again",
		segmentName(number), offset, cause)
}

// readSegmentHeader checks a segment's header. The header of the oldest segment also sets the state
// at the start of the log.
func (scan *logScan) readSegmentHeader(number uint64, body []byte) error {
	header, err := decodeSegmentHeader(body)
	if err != nil {
		return damaged(number, 0, err.Error())
	}
	if header.version != formatVersion {
		return faults.New(faults.StorageVersion, "log segment %s has format version %d; this program knows version %d",
			segmentName(number), header.version, formatVersion)
	}
	if header.segment != number {
		return damaged(number, 0, "its header belongs to another segment")
	}
	if len(scan.segments) == 0 {
		scan.identity = header.identity
		scan.base = header.lastIndex
		scan.hardState = header.hardState
		return nil
	}
	if header.identity != scan.identity {
		return faults.New(faults.StorageForeign, "log segment %s belongs to member %d of group %x, the segments before it to member %d of group %x",
			segmentName(number), header.identity.Member, header.identity.Group, scan.identity.Member, scan.identity.Group)
	}
	return nil
}

// readBatch applies the batch frame at offset of a segment.
func (scan *logScan) readBatch(number uint64, offset int, body []byte) error {
	frame, state, batch, err := decodeBatch(body)
	if err != nil {
		return damaged(number, offset, err.Error())
	}
	if scan.lastFrame != 0 && frame != scan.lastFrame+1 {
		return damaged(number, offset, "a record is missing before it")
	}
	scan.lastFrame = frame
	scan.hardState = state
	scan.records++
	if batch.Reset != nil {
		scan.base = *batch.Reset
		scan.entries = nil
	}
	for _, entry := range batch.Entries {
		if !scan.addEntry(entry) {
			return damaged(number, offset, "its entries do not follow the log")
		}
	}
	return nil
}

// addEntry appends an entry, which replaces all entries from its index on. It reports whether the
// entry was added: an entry whose index is zero or would leave a gap is not.
func (scan *logScan) addEntry(entry raft.Entry) bool {
	switch {
	case entry.Index > scan.lastIndex()+1 || entry.Index == 0:
		return false
	case entry.Index <= scan.base:
		scan.base = entry.Index - 1
		scan.entries = nil
	default:
		scan.entries = scan.entries[:entry.Index-scan.base-1]
	}
	scan.entries = append(scan.entries, entry)
	tail := &scan.segments[len(scan.segments)-1]
	tail.maxIndex = max(tail.maxIndex, entry.Index)
	return true
}

// Report is the result of Inspect.
type Report struct {
	Identity Identity
	// Segments does not count a last segment whose header is torn.
	Segments int
	// Records is the number of batches.
	Records int
	// Bytes is the size of all segment files.
	Bytes     int64
	HardState raft.HardState
	// FirstIndex and LastIndex bound the entries; the log is empty when LastIndex is below
	// FirstIndex.
	FirstIndex uint64
	LastIndex  uint64
	// Terms lists the terms of the entries with their first index, in log order.
	Terms []TermStart
	// TornBytes is the size of a torn write at the end, which Open would remove.
	TornBytes int64
}

// TermStart is a term and the index of its first entry.
type TermStart struct {
	Term  uint64
	Index uint64
}

// Inspect reads and checks the log in folder without changing it.
func Inspect(files filesystem.FileSystem, folder string) (Report, error) {
	scan, err := scanLog(files, folder)
	if err != nil {
		return Report{}, err
	}
	report := Report{
		Identity:   scan.identity,
		Segments:   len(scan.segments),
		Records:    scan.records,
		Bytes:      scan.bytes,
		HardState:  scan.hardState,
		FirstIndex: scan.base + 1,
		LastIndex:  scan.lastIndex(),
		TornBytes:  scan.tornBytes,
	}
	for _, entry := range scan.entries {
		if count := len(report.Terms); count == 0 || report.Terms[count-1].Term != entry.Term {
			report.Terms = append(report.Terms, TermStart{Term: entry.Term, Index: entry.Index})
		}
	}
	return report, nil
}

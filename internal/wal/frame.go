package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"merlinpaddle/internal/raft"
)

// A frame is the unit of writing and syncing:
//
//	magic (4 bytes) | body length (4) | CRC-32C of length and body (4) | body
//
// The integers of this header are little-endian. Batch frames carry consecutive numbers, so
// readers detect a missing, duplicated or stale frame.
const (
	frameHeaderBytes = 12
	// maxBodyBytes is the longest body that readers accept. A larger length is corrupt.
	maxBodyBytes = 256 << 20
)

var (
	frameMagic       = [4]byte{'M', 'P', 'W', 'L'}
	crc32cTable      = crc32.MakeTable(crc32.Castagnoli)
	errMalformedBody = errors.New("the frame's body cannot be read")
)

// frameKind is the first byte of a frame's body and says what the rest holds.
type frameKind uint8

const (
	// segmentHeaderFrame is the first frame of each segment.
	segmentHeaderFrame frameKind = iota + 1
	// batchFrame holds one Batch and the hard state after it.
	batchFrame
)

// segmentHeader is the body of a segment's first frame.
type segmentHeader struct {
	version  uint64
	identity Identity
	segment  uint64
	// lastIndex is the index of the last log entry before this segment.
	lastIndex uint64
	// hardState is the hard state at the start of the segment.
	hardState raft.HardState
}

// appendFrame appends body to buffer as a frame.
func appendFrame(buffer []byte, body []byte) []byte {
	var header [frameHeaderBytes]byte
	copy(header[:4], frameMagic[:])
	binary.LittleEndian.PutUint32(header[4:], uint32(len(body)))
	checksum := crc32.Update(crc32.Checksum(header[4:8], crc32cTable), crc32cTable, body)
	binary.LittleEndian.PutUint32(header[8:], checksum)
	buffer = append(buffer, header[:]...)
	return append(buffer, body...)
}

// readFrame returns the body of the frame at the start of data, which shares data's memory, and
// the length of the frame in bytes. Valid reports whether data starts with a complete frame whose
// checksum matches.
func readFrame(data []byte) (body []byte, length int, valid bool) {
	if len(data) < frameHeaderBytes || [4]byte(data[:4]) != frameMagic {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(data[4:]))
	if size > maxBodyBytes || size > len(data)-frameHeaderBytes {
		return nil, 0, false
	}
	body = data[frameHeaderBytes : frameHeaderBytes+size]
	checksum := crc32.Update(crc32.Checksum(data[4:8], crc32cTable), crc32cTable, body)
	if checksum != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return body, frameHeaderBytes + size, true
}

// encodeSegmentHeader returns the body of a segment's first frame: kind, format version, group,
// member, segment number, last index, hard state.
func encodeSegmentHeader(header segmentHeader) []byte {
	body := []byte{byte(segmentHeaderFrame)}
	body = binary.AppendUvarint(body, header.version)
	body = binary.AppendUvarint(body, header.identity.Group)
	body = binary.AppendUvarint(body, uint64(header.identity.Member))
	body = binary.AppendUvarint(body, header.segment)
	body = binary.AppendUvarint(body, header.lastIndex)
	return appendHardState(body, header.hardState)
}

func decodeSegmentHeader(body []byte) (segmentHeader, error) {
	reader := bodyReader{data: body}
	if frameKind(reader.byte()) != segmentHeaderFrame {
		return segmentHeader{}, errMalformedBody
	}
	header := segmentHeader{version: reader.uvarint()}
	header.identity.Group = reader.uvarint()
	header.identity.Member = raft.MemberID(reader.uvarint())
	header.segment = reader.uvarint()
	header.lastIndex = reader.uvarint()
	header.hardState = reader.hardState()
	return header, reader.err
}

func appendHardState(body []byte, state raft.HardState) []byte {
	body = binary.AppendUvarint(body, state.Term)
	body = binary.AppendUvarint(body, uint64(state.Vote))
	return binary.AppendUvarint(body, state.Commit)
}

// encodeBatch returns the body of a batch frame: kind, frame number, hard state, reset index plus
// one (zero for no reset), number of entries, entries. Batch.HardState is ignored; state is the
// hard state after the batch.
func encodeBatch(frame uint64, state raft.HardState, batch Batch) []byte {
	body := []byte{byte(batchFrame)}
	body = binary.AppendUvarint(body, frame)
	body = appendHardState(body, state)
	reset := uint64(0)
	if batch.Reset != nil {
		reset = *batch.Reset + 1
	}
	body = binary.AppendUvarint(body, reset)
	body = binary.AppendUvarint(body, uint64(len(batch.Entries)))
	for _, entry := range batch.Entries {
		body = appendEntry(body, entry)
	}
	return body
}

func appendEntry(body []byte, entry raft.Entry) []byte {
	body = binary.AppendUvarint(body, entry.Index)
	body = binary.AppendUvarint(body, entry.Term)
	body = binary.AppendVarint(body, entry.At)
	body = append(body, byte(entry.Kind))
	body = binary.AppendUvarint(body, uint64(len(entry.Data)))
	return append(body, entry.Data...)
}

func decodeBatch(body []byte) (frame uint64, state raft.HardState, batch Batch, err error) {
	reader := bodyReader{data: body}
	if frameKind(reader.byte()) != batchFrame {
		return 0, state, batch, errMalformedBody
	}
	frame = reader.uvarint()
	state = reader.hardState()
	if reset := reader.uvarint(); reset != 0 {
		index := reset - 1
		batch.Reset = &index
	}
	count := reader.uvarint()
	for range count {
		if reader.err != nil {
			break
		}
		batch.Entries = append(batch.Entries, reader.entry())
	}
	return frame, state, batch, reader.err
}

// bodyReader decodes a body field by field. A field that is missing or malformed sets err and reads
// as zero.
type bodyReader struct {
	data []byte
	err  error
}

func (reader *bodyReader) byte() byte {
	if len(reader.data) == 0 {
		reader.err = errMalformedBody
		return 0
	}
	value := reader.data[0]
	reader.data = reader.data[1:]
	return value
}

func (reader *bodyReader) uvarint() uint64 {
	value, length := binary.Uvarint(reader.data)
	if length <= 0 {
		reader.err = errMalformedBody
		return 0
	}
	reader.data = reader.data[length:]
	return value
}

func (reader *bodyReader) varint() int64 {
	value, length := binary.Varint(reader.data)
	if length <= 0 {
		reader.err = errMalformedBody
		return 0
	}
	reader.data = reader.data[length:]
	return value
}

func (reader *bodyReader) bytes(count uint64) []byte {
	if count > uint64(len(reader.data)) {
		reader.err = errMalformedBody
		return nil
	}
	value := append([]byte(nil), reader.data[:count]...)
	reader.data = reader.data[count:]
	return value
}

func (reader *bodyReader) hardState() raft.HardState {
	state := raft.HardState{Term: reader.uvarint()}
	state.Vote = raft.MemberID(reader.uvarint())
	state.Commit = reader.uvarint()
	return state
}

func (reader *bodyReader) entry() raft.Entry {
	entry := raft.Entry{Index: reader.uvarint(), Term: reader.uvarint()}
	entry.At = reader.varint()
	entry.Kind = raft.EntryKind(reader.byte())
	entry.Data = reader.bytes(reader.uvarint())
	return entry
}

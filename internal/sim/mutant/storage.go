package mutant

import (
	"bytes"
	"encoding/binary"
	"strings"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

// wrappedLogDisk is a file system that wraps the files of the Raft log.
type wrappedLogDisk struct {
	filesystem.FileSystem
	wrap func(file filesystem.File) filesystem.File
}

// Create implements filesystem.FileSystem.
func (disk wrappedLogDisk) Create(name string) (filesystem.File, error) {
	file, err := disk.FileSystem.Create(name)
	return disk.wrapLog(name, file), err
}

// OpenWrite implements filesystem.FileSystem.
func (disk wrappedLogDisk) OpenWrite(name string) (filesystem.File, error) {
	file, err := disk.FileSystem.OpenWrite(name)
	return disk.wrapLog(name, file), err
}

func (disk wrappedLogDisk) wrapLog(name string, file filesystem.File) filesystem.File {
	if file == nil || !strings.Contains(name, "/wal/") {
		return file
	}
	return disk.wrap(file)
}

// withWrappedLog returns a variant that wraps the log files of all members.
func withWrappedLog(wrap func(file filesystem.File) filesystem.File) PartsChange {
	return func(_ *sim.Run, parts *world.Parts) {
		parts.Disk = func(standard filesystem.FileSystem) filesystem.FileSystem {
			return wrappedLogDisk{FileSystem: standard, wrap: wrap}
		}
	}
}

func entriesNotSynced() Mutant {
	return Mutant{
		Name:     "entries-not-synced",
		Breaks:   "log entries are acknowledged before they are written",
		Expect:   []checker.Invariant{checker.InvariantCommittedKept, checker.InvariantLinearizable},
		Scenario: namedScenario("restart-after-500"),
		Variant: withWrappedLog(func(file filesystem.File) filesystem.File {
			return &delayedFile{File: file}
		}),
	}
}

// delayedFile delays the latest frame with entries until the next write or close. A crash before
// that loses the frame, and leaves no torn write to detect.
type delayedFile struct {
	filesystem.File
	// delayed is the frame that is not written yet, or nil.
	delayed []byte
}

// Write implements filesystem.File.
func (file *delayedFile) Write(data []byte) (int, error) {
	if err := file.flushDelayed(); err != nil {
		return 0, err
	}
	if frameHasEntries(data) {
		file.delayed = bytes.Clone(data)
		return len(data), nil
	}
	return file.File.Write(data)
}

// Close implements filesystem.File.
func (file *delayedFile) Close() error {
	if err := file.flushDelayed(); err != nil {
		return err
	}
	return file.File.Close()
}

// flushDelayed writes and syncs the delayed frame.
func (file *delayedFile) flushDelayed() error {
	frame := file.delayed
	file.delayed = nil
	if frame == nil {
		return nil
	}
	if _, err := file.File.Write(frame); err != nil {
		return err
	}
	return file.File.Sync()
}

func voteNotSynced() Mutant {
	return Mutant{
		Name:     "vote-not-synced",
		Breaks:   "a vote is answered before it is durable",
		Expect:   []checker.Invariant{checker.InvariantOneLeader},
		Scenario: forgottenVotes(),
		Variant: withWrappedLog(func(file filesystem.File) filesystem.File {
			return &unsyncedFile{File: file}
		}),
	}
}

// unsyncedFile does not sync frames without entries, which hold only terms and votes.
type unsyncedFile struct {
	filesystem.File
	written []byte
}

// Write implements filesystem.File.
func (file *unsyncedFile) Write(data []byte) (int, error) {
	file.written = data
	return file.File.Write(data)
}

// Sync implements filesystem.File.
func (file *unsyncedFile) Sync() error {
	if !frameHasEntries(file.written) {
		return nil
	}
	return file.File.Sync()
}

// The layout of a frame of the Raft log, up to the number of its entries.
const (
	frameHeaderBytes = 12
	frameKindBatch   = 2
	// numbersBeforeCount is the number of varints before the number of entries: frame number, term,
	// vote, commit and reset.
	numbersBeforeCount = 5
)

// frameHasEntries reports whether a frame of the Raft log has entries.
func frameHasEntries(frame []byte) bool {
	if len(frame) <= frameHeaderBytes || frame[frameHeaderBytes] != frameKindBatch {
		return false
	}
	body := frame[frameHeaderBytes+1:]
	for range numbersBeforeCount {
		_, length := binary.Uvarint(body)
		body = body[max(length, 0):]
	}
	count, _ := binary.Uvarint(body)
	return count > 0
}

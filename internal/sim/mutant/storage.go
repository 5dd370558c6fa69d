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

// brokenLog is a disk whose log files are wrapped.
type brokenLog struct {
	filesystem.FileSystem
	wrap func(file filesystem.File) filesystem.File
}

// Create implements filesystem.FileSystem.
func (disk brokenLog) Create(name string) (filesystem.File, error) {
	file, err := disk.FileSystem.Create(name)
	return disk.wrapLog(name, file), err
}

// OpenWrite implements filesystem.FileSystem.
func (disk brokenLog) OpenWrite(name string) (filesystem.File, error) {
	file, err := disk.FileSystem.OpenWrite(name)
	return disk.wrapLog(name, file), err
}

func (disk brokenLog) wrapLog(name string, file filesystem.File) filesystem.File {
	if file == nil || !strings.Contains(name, "/wal/") {
		return file
	}
	return disk.wrap(file)
}

// withBrokenLog wraps the log files of all members.
func withBrokenLog(wrap func(file filesystem.File) filesystem.File) Change {
	return func(_ *sim.Run, parts *world.Parts) {
		parts.Disk = func(standard filesystem.FileSystem) filesystem.FileSystem {
			return brokenLog{FileSystem: standard, wrap: wrap}
		}
	}
}

func entriesNotSynced() Mutant {
	return Mutant{
		Name:     "entries-not-synced",
		Breaks:   "entries are acknowledged before they are written",
		Expect:   []checker.Invariant{checker.InvariantCommittedKept, checker.InvariantLinearizable},
		Scenario: namedScenario("restart-after-500"),
		Variant: withBrokenLog(func(file filesystem.File) filesystem.File {
			return &delayedFile{File: file}
		}),
	}
}

// delayedFile holds the latest frame with entries back until the next write, so a
// crash loses it without a trace.
type delayedFile struct {
	filesystem.File
	held []byte
}

// Write implements filesystem.File.
func (file *delayedFile) Write(data []byte) (int, error) {
	if err := file.release(); err != nil {
		return 0, err
	}
	if hasEntries(data) {
		file.held = bytes.Clone(data)
		return len(data), nil
	}
	return file.File.Write(data)
}

// Close implements filesystem.File.
func (file *delayedFile) Close() error {
	if err := file.release(); err != nil {
		return err
	}
	return file.File.Close()
}

func (file *delayedFile) release() error {
	held := file.held
	file.held = nil
	if held == nil {
		return nil
	}
	if _, err := file.File.Write(held); err != nil {
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
		Variant: withBrokenLog(func(file filesystem.File) filesystem.File {
			return &unsyncedFile{File: file}
		}),
	}
}

// unsyncedFile does not sync frames without entries: those hold votes alone.
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
	if !hasEntries(file.written) {
		return nil
	}
	return file.File.Sync()
}

// The layout of a frame of the log, up to the number of its entries.
const (
	frameHeaderBytes = 12
	frameKindBatch   = 2
	// numbersBeforeCount are frame number, term, vote, commit and reset.
	numbersBeforeCount = 5
)

// hasEntries tells whether a frame of the log carries entries.
func hasEntries(frame []byte) bool {
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

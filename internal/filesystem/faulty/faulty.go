// Package faulty wraps a data folder so that a test can make it misbehave while
// a process runs: a control file outside of the folder names the fault.
//
// It is for programs of tests; no program of the product uses it.
package faulty

import (
	"os"
	"strings"
	"syscall"
	"time"

	"merlinpaddle/internal/filesystem"
)

// Fault is what a data folder suffers from. Its text is the content of the
// control file.
type Fault string

const (
	// None lets everything pass.
	None Fault = ""
	// Full refuses writes and new files.
	Full Fault = "full"
	// Slow makes writes and syncs take slowFor longer.
	Slow Fault = "slow"
	// Stall lets writes and syncs wait until the fault ends.
	Stall Fault = "stall"
)

const (
	// slowFor is how much longer a write or sync takes with Slow.
	slowFor = 80 * time.Millisecond
	// stallStep is how often a stalled call looks whether the fault ended.
	stallStep = 5 * time.Millisecond
)

// Set makes folders with the control file suffer from a fault from now on.
func Set(control string, fault Fault) error {
	// The file is replaced in one step, so that no reader sees half of it.
	next := control + ".next"
	if err := os.WriteFile(next, []byte(fault), 0o600); err != nil {
		return err
	}
	return os.Rename(next, control)
}

// Folder is a data folder with faults.
type Folder struct {
	filesystem.FileSystem
	control string
}

// New returns files with the faults that the control file names. A missing
// control file means none.
func New(files filesystem.FileSystem, control string) *Folder {
	return &Folder{FileSystem: files, control: control}
}

func (folder *Folder) fault() Fault {
	content, err := os.ReadFile(folder.control)
	if err != nil {
		return None
	}
	return Fault(strings.TrimSpace(string(content)))
}

// suffer takes the time of the present fault, and returns its error for a call
// that needs room.
func (folder *Folder) suffer(needsRoom bool) error {
	fault := folder.fault()
	if fault == Slow {
		time.Sleep(slowFor)
	}
	for ; fault == Stall; fault = folder.fault() {
		time.Sleep(stallStep)
	}
	if fault == Full && needsRoom {
		return &os.PathError{Op: "write", Path: "data folder", Err: syscall.ENOSPC}
	}
	return nil
}

// Create implements filesystem.FileSystem.
func (folder *Folder) Create(name string) (filesystem.File, error) {
	if err := folder.suffer(true); err != nil {
		return nil, err
	}
	return folder.wrap(folder.FileSystem.Create(name))
}

// OpenWrite implements filesystem.FileSystem.
func (folder *Folder) OpenWrite(name string) (filesystem.File, error) {
	return folder.wrap(folder.FileSystem.OpenWrite(name))
}

func (folder *Folder) wrap(opened filesystem.File, err error) (filesystem.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{File: opened, folder: folder}, nil
}

// Rename implements filesystem.FileSystem.
func (folder *Folder) Rename(oldName, newName string) error {
	if err := folder.suffer(false); err != nil {
		return err
	}
	return folder.FileSystem.Rename(oldName, newName)
}

// SyncDir implements filesystem.FileSystem.
func (folder *Folder) SyncDir(name string) error {
	if err := folder.suffer(false); err != nil {
		return err
	}
	return folder.FileSystem.SyncDir(name)
}

// file is an open file of a folder with faults.
type file struct {
	filesystem.File
	folder *Folder
}

// Write implements filesystem.File.
func (file *file) Write(content []byte) (int, error) {
	if err := file.folder.suffer(true); err != nil {
		return 0, err
	}
	return file.File.Write(content)
}

// Sync implements filesystem.File.
func (file *file) Sync() error {
	if err := file.folder.suffer(false); err != nil {
		return err
	}
	return file.File.Sync()
}

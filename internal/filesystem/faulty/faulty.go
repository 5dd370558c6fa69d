// Package faulty wraps a data folder so that a test can inject disk faults while a process runs: a
// control file outside of the folder names the current fault.
//
// Only programs built for tests use it.
package faulty

import (
	"os"
	"strings"
	"syscall"
	"time"

	"merlinpaddle/internal/filesystem"
)

// Fault is a kind of disk fault. Its text is the content of the control file.
type Fault string

const (
	// None is the absence of a fault.
	None Fault = ""
	// Full makes writes and the creation of files fail with syscall.ENOSPC.
	Full Fault = "full"
	// Slow delays writes, syncs, renames and the creation of files by slowDelay each.
	Slow Fault = "slow"
	// Stall blocks writes, syncs, renames and the creation of files until the fault ends.
	Stall Fault = "stall"
)

const (
	// slowDelay is the delay of an operation under Slow.
	slowDelay = 80 * time.Millisecond
	// stallPollInterval is how often a stalled operation reads the control file again.
	stallPollInterval = 5 * time.Millisecond
)

// Set sets the fault of all folders whose control file is control.
func Set(control string, fault Fault) error {
	// The file is replaced atomically, so that no reader sees a part of it.
	next := control + ".next"
	if err := os.WriteFile(next, []byte(fault), 0o600); err != nil {
		return err
	}
	return os.Rename(next, control)
}

// Folder is a data folder with injected faults.
type Folder struct {
	filesystem.FileSystem
	control string
}

// New returns files with the fault that the control file names at the time of each operation. There
// is none while the control file is missing.
func New(files filesystem.FileSystem, control string) *Folder {
	return &Folder{FileSystem: files, control: control}
}

func (folder *Folder) currentFault() Fault {
	content, err := os.ReadFile(folder.control)
	if err != nil {
		return None
	}
	return Fault(strings.TrimSpace(string(content)))
}

// applyFault waits as long as the current fault demands. It returns an error if the disk is full and
// the operation needs space.
func (folder *Folder) applyFault(needsSpace bool) error {
	fault := folder.currentFault()
	if fault == Slow {
		time.Sleep(slowDelay)
	}
	for ; fault == Stall; fault = folder.currentFault() {
		time.Sleep(stallPollInterval)
	}
	if fault == Full && needsSpace {
		return &os.PathError{Op: "write", Path: "data folder", Err: syscall.ENOSPC}
	}
	return nil
}

// Create implements filesystem.FileSystem.
func (folder *Folder) Create(name string) (filesystem.File, error) {
	if err := folder.applyFault(true); err != nil {
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
	if err := folder.applyFault(false); err != nil {
		return err
	}
	return folder.FileSystem.Rename(oldName, newName)
}

// SyncDir implements filesystem.FileSystem.
func (folder *Folder) SyncDir(name string) error {
	if err := folder.applyFault(false); err != nil {
		return err
	}
	return folder.FileSystem.SyncDir(name)
}

// file is a file opened for writing in a folder with injected faults.
type file struct {
	filesystem.File
	folder *Folder
}

// Write implements filesystem.File.
func (file *file) Write(content []byte) (int, error) {
	if err := file.folder.applyFault(true); err != nil {
		return 0, err
	}
	return file.File.Write(content)
}

// Sync implements filesystem.File.
func (file *file) Sync() error {
	if err := file.folder.applyFault(false); err != nil {
		return err
	}
	return file.File.Sync()
}

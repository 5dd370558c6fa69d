// Package measured wraps a data folder and reports the duration of each sync.
package measured

import (
	"time"

	"merlinpaddle/internal/filesystem"
)

// Folder is a data folder whose syncs are measured.
type Folder struct {
	filesystem.FileSystem
	observe func(duration time.Duration)
}

// New returns files with syncs measured. After each sync of a file or folder, also a failed one,
// observe is called with its duration; it must not block.
func New(files filesystem.FileSystem, observe func(duration time.Duration)) *Folder {
	return &Folder{FileSystem: files, observe: observe}
}

// Create implements filesystem.FileSystem.
func (folder *Folder) Create(name string) (filesystem.File, error) {
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

// SyncDir implements filesystem.FileSystem.
func (folder *Folder) SyncDir(name string) error {
	begin := time.Now()
	err := folder.FileSystem.SyncDir(name)
	folder.observe(time.Since(begin))
	return err
}

// file is a file opened for writing whose syncs are measured.
type file struct {
	filesystem.File
	folder *Folder
}

// Sync implements filesystem.File.
func (file *file) Sync() error {
	begin := time.Now()
	err := file.File.Sync()
	file.folder.observe(time.Since(begin))
	return err
}

// Package disk implements filesystem.FileSystem on a folder of the operating system.
package disk

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/gofrs/flock"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
)

// lockName is the file in a folder that a process locks while it uses the folder.
const lockName = "LOCK"

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// Folder is an open data folder.
type Folder struct {
	root string
	// lock is nil when the folder is open for reading only.
	lock *flock.Flock
}

// Open opens the folder at path root for reading and writing. It creates the folder when it is
// missing and locks it. It fails with faults.StorageLocked while another process holds the lock.
func Open(root string) (*Folder, error) {
	if err := os.MkdirAll(root, folderMode); err != nil {
		return nil, faults.New(faults.StorageUnusable, "folder %s cannot be created: %v", root, err)
	}
	lock := flock.New(filepath.Join(root, lockName), flock.SetPermissions(fileMode))
	locked, err := lock.TryLock()
	if err != nil {
		return nil, faults.New(faults.StorageUnusable, "folder %s cannot be locked: %v", root, err)
	}
	if !locked {
		return nil, faults.New(faults.StorageLocked, "folder %s is in use by another process; stop that process or name another data_folder", root)
	}
	return &Folder{root: root, lock: lock}, nil
}

// OpenReadOnly opens an existing folder without locking or changing it, for offline inspection. All
// methods of the result that would write fail.
func OpenReadOnly(root string) (*Folder, error) {
	info, err := os.Stat(root)
	if err != nil {
		return nil, faults.New(faults.StorageUnusable, "folder %s cannot be read: %v", root, err)
	}
	if !info.IsDir() {
		return nil, faults.New(faults.StorageUnusable, "%s is not a folder", root)
	}
	return &Folder{root: root}, nil
}

// Close releases the lock.
func (folder *Folder) Close() error {
	if folder.lock == nil {
		return nil
	}
	return folder.lock.Close()
}

var errReadOnly = errors.New("the folder is open for reading only")

// path returns the path of name on the operating system.
func (folder *Folder) path(name string) string {
	return filepath.Join(folder.root, filepath.FromSlash(name))
}

func (folder *Folder) checkWritable() error {
	if folder.lock == nil {
		return errReadOnly
	}
	return nil
}

// Create implements filesystem.FileSystem.
func (folder *Folder) Create(name string) (filesystem.File, error) {
	return folder.openFile(name, os.O_RDWR|os.O_CREATE|os.O_EXCL)
}

// Open implements filesystem.FileSystem.
func (folder *Folder) Open(name string) (filesystem.File, error) {
	file, err := os.Open(folder.path(name))
	if err != nil {
		return nil, err
	}
	return file, nil
}

// OpenWrite implements filesystem.FileSystem.
func (folder *Folder) OpenWrite(name string) (filesystem.File, error) {
	return folder.openFile(name, os.O_RDWR)
}

func (folder *Folder) openFile(name string, flags int) (filesystem.File, error) {
	if err := folder.checkWritable(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(folder.path(name), flags, fileMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// ReadDir implements filesystem.FileSystem.
func (folder *Folder) ReadDir(name string) ([]string, error) {
	entries, err := os.ReadDir(folder.path(name))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// MkdirAll implements filesystem.FileSystem.
func (folder *Folder) MkdirAll(name string) error {
	if err := folder.checkWritable(); err != nil {
		return err
	}
	return os.MkdirAll(folder.path(name), folderMode)
}

// Rename implements filesystem.FileSystem.
func (folder *Folder) Rename(oldName, newName string) error {
	if err := folder.checkWritable(); err != nil {
		return err
	}
	return os.Rename(folder.path(oldName), folder.path(newName))
}

// Remove implements filesystem.FileSystem.
func (folder *Folder) Remove(name string) error {
	if err := folder.checkWritable(); err != nil {
		return err
	}
	return os.Remove(folder.path(name))
}

// SyncDir implements filesystem.FileSystem.
func (folder *Folder) SyncDir(name string) error {
	if err := folder.checkWritable(); err != nil {
		return err
	}
	directory, err := os.Open(folder.path(name))
	if err != nil {
		return err
	}
	if err := directory.Sync(); err != nil {
		_ = directory.Close()
		return err
	}
	return directory.Close()
}

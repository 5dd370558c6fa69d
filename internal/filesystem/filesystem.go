// Package filesystem defines the file operations that durable storage needs. Package disk implements
// them on the operating system's files and package memory on a simulated disk that loses unsynced
// writes, so the same storage code runs on either.
package filesystem

import "io"

// File is an open file.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Seek sets the offset of the next read or write, as io.Seeker does, and returns it.
	Seek(offset int64, whence int) (int64, error)
	// Truncate sets the file's length to size bytes. The offset stays.
	Truncate(size int64) error
	// Sync makes all writes and truncations durable. After an error it is unknown which are, and a
	// later Sync may succeed without them.
	Sync() error
}

// FileSystem is one data folder. Names are relative to it and separated by slashes.
type FileSystem interface {
	// Create creates a file and opens it for reading and writing. It fails with fs.ErrExist when
	// the file exists. The name is durable only after SyncDir of the folder.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// OpenWrite opens an existing file for reading and writing.
	OpenWrite(name string) (File, error)
	// ReadDir returns the sorted names of the files and folders in a folder.
	ReadDir(name string) ([]string, error)
	// MkdirAll creates a folder and its missing parents.
	MkdirAll(name string) error
	// Rename renames oldName to newName atomically, replacing a file of that name. It is durable
	// only after SyncDir of the folder.
	Rename(oldName, newName string) error
	// Remove deletes a file. It is durable only after SyncDir of the folder.
	Remove(name string) error
	// SyncDir makes creations, renames and removals in a folder durable.
	SyncDir(name string) error
}

// Package memory simulates a disk in memory. It implements filesystem.FileSystem and fails as real
// disks do: a crash loses or tears unsynced writes, the disk may be full, a sync may fail, bytes may
// be corrupted, and the whole disk may be lost. The seed determines which unsynced writes survive a
// crash.
package memory

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"
	"syscall"

	"merlinpaddle/internal/filesystem"
)

// ErrCrashed is the error of a file handle that was opened before the last Crash or Wipe.
var ErrCrashed = errors.New("the simulated machine has crashed")

// errSync is the error of a sync that FailSyncs makes fail.
var errSync = syscall.EIO

// Disk is one simulated disk. It is safe for concurrent use.
type Disk struct {
	lock   sync.Mutex
	random *rand.Rand
	// epoch counts crashes and wipes; handles of an earlier epoch fail.
	epoch   int
	folders map[string]bool
	// names maps file names to files as running processes see them.
	names map[string]*inode
	// durable maps file names to files on the disk, without unsyncedChanges. A crash applies a random
	// number of the oldest of these.
	durable map[string]*inode
	// unsyncedChanges are the changes that lead from durable to names, in order.
	unsyncedChanges []nameChange
	// capacity limits the bytes in all files; zero means no limit.
	capacity int64
	// failingSyncs is how many of the next syncs of files fail.
	failingSyncs int
	// syncs and bytesWritten are statistics: the successful syncs of files, and the bytes written.
	syncs        int
	bytesWritten int64
}

// nameChange is the creation, removal or renaming of a file.
type nameChange struct {
	// folder is the folder of name, whose sync makes the change durable.
	folder string
	name   string
	// file is the file that gets the name; nil removes the name.
	file *inode
	// from is the old name of a rename, or empty.
	from string
}

// New returns an empty disk of unlimited capacity.
func New(seed uint64) *Disk {
	return &Disk{
		random:  rand.New(rand.NewPCG(seed, 0xD15C)),
		folders: map[string]bool{".": true},
		names:   make(map[string]*inode),
		durable: make(map[string]*inode),
	}
}

// SetCapacity limits the bytes in all files; zero means no limit.
func (disk *Disk) SetCapacity(bytes int64) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.capacity = bytes
}

// FailSyncs makes the next count syncs of files fail. The writes that they should have made durable
// are lost at the next crash even if a later sync succeeds, as on systems that drop dirty pages after
// an error.
func (disk *Disk) FailSyncs(count int) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.failingSyncs = count
}

// Crash simulates a crash of the machine: each unsynced write is kept, lost or torn, and of the
// unsynced name changes a random number of the oldest is kept. Open handles fail with ErrCrashed
// from then on.
func (disk *Disk) Crash() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.epoch++
	kept := 0
	if len(disk.unsyncedChanges) > 0 {
		kept = disk.random.IntN(len(disk.unsyncedChanges) + 1)
	}
	for _, change := range disk.unsyncedChanges[:kept] {
		applyChange(disk.durable, change)
	}
	disk.unsyncedChanges = nil
	disk.names = make(map[string]*inode, len(disk.durable))
	for _, name := range sortedNames(disk.durable) {
		file := disk.durable[name]
		file.crash(disk.random)
		disk.names[name] = file
	}
}

// Wipe removes all files and folders. Open handles fail with ErrCrashed from then on.
func (disk *Disk) Wipe() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.epoch++
	disk.unsyncedChanges = nil
	disk.folders = map[string]bool{".": true}
	disk.names = make(map[string]*inode)
	disk.durable = make(map[string]*inode)
}

// Corrupt flips all bits of one byte of a file, in the synced content too. Corrupting the same byte
// again restores it.
func (disk *Disk) Corrupt(name string, offset int64) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	file, exists := disk.names[path.Clean(name)]
	if !exists || offset < 0 || offset >= int64(len(file.current)) {
		return fs.ErrNotExist
	}
	file.current[offset] ^= 0xFF
	if offset < int64(len(file.synced)) {
		file.synced[offset] ^= 0xFF
	}
	return nil
}

// Size returns the length of a file.
func (disk *Disk) Size(name string) (int64, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	file, exists := disk.names[path.Clean(name)]
	if !exists {
		return 0, fs.ErrNotExist
	}
	return int64(len(file.current)), nil
}

// Syncs returns the number of successful syncs of files.
func (disk *Disk) Syncs() int {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.syncs
}

// BytesWritten returns the number of bytes written to files.
func (disk *Disk) BytesWritten() int64 {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.bytesWritten
}

// usedBytes returns the number of bytes in all files.
func (disk *Disk) usedBytes() int64 {
	total := int64(0)
	for _, file := range disk.names {
		total += int64(len(file.current))
	}
	return total
}

func sortedNames(files map[string]*inode) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// applyChange applies change to a map of names.
func applyChange(names map[string]*inode, change nameChange) {
	if change.from != "" {
		delete(names, change.from)
	}
	if change.file == nil {
		delete(names, change.name)
		return
	}
	names[change.name] = change.file
}

// recordChange applies change to the names that processes see and keeps it for the next SyncDir or
// Crash.
func (disk *Disk) recordChange(change nameChange) {
	change.folder = path.Dir(change.name)
	applyChange(disk.names, change)
	disk.unsyncedChanges = append(disk.unsyncedChanges, change)
}

// Create implements filesystem.FileSystem.
func (disk *Disk) Create(name string) (filesystem.File, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	name = path.Clean(name)
	if _, exists := disk.names[name]; exists {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	if !disk.folders[path.Dir(name)] {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrNotExist}
	}
	file := &inode{}
	disk.recordChange(nameChange{name: name, file: file})
	return &handle{disk: disk, file: file, name: name, epoch: disk.epoch, writable: true}, nil
}

// Open implements filesystem.FileSystem.
func (disk *Disk) Open(name string) (filesystem.File, error) { return disk.open(name, false) }

// OpenWrite implements filesystem.FileSystem.
func (disk *Disk) OpenWrite(name string) (filesystem.File, error) { return disk.open(name, true) }

func (disk *Disk) open(name string, writable bool) (filesystem.File, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	name = path.Clean(name)
	file, exists := disk.names[name]
	if !exists {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &handle{disk: disk, file: file, name: name, epoch: disk.epoch, writable: writable}, nil
}

// ReadDir implements filesystem.FileSystem.
func (disk *Disk) ReadDir(name string) ([]string, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	name = path.Clean(name)
	if !disk.folders[name] {
		return nil, &fs.PathError{Op: "readdir", Path: name, Err: fs.ErrNotExist}
	}
	var found []string
	for _, file := range sortedNames(disk.names) {
		if path.Dir(file) == name {
			found = append(found, path.Base(file))
		}
	}
	for folder := range disk.folders {
		if folder != "." && path.Dir(folder) == name {
			found = append(found, path.Base(folder))
		}
	}
	slices.Sort(found)
	return found, nil
}

// MkdirAll implements filesystem.FileSystem. Folders are durable without SyncDir.
func (disk *Disk) MkdirAll(name string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	name = path.Clean(name)
	for name != "." && !strings.HasPrefix(name, "..") && name != "/" {
		disk.folders[name] = true
		name = path.Dir(name)
	}
	return nil
}

// Rename implements filesystem.FileSystem. SyncDir of newName's folder makes it durable.
func (disk *Disk) Rename(oldName, newName string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	oldName, newName = path.Clean(oldName), path.Clean(newName)
	file, exists := disk.names[oldName]
	if !exists {
		return &fs.PathError{Op: "rename", Path: oldName, Err: fs.ErrNotExist}
	}
	disk.recordChange(nameChange{name: newName, file: file, from: oldName})
	return nil
}

// Remove implements filesystem.FileSystem.
func (disk *Disk) Remove(name string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	name = path.Clean(name)
	if _, exists := disk.names[name]; !exists {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	disk.recordChange(nameChange{name: name})
	return nil
}

// SyncDir implements filesystem.FileSystem.
func (disk *Disk) SyncDir(name string) error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	name = path.Clean(name)
	var remaining []nameChange
	for _, change := range disk.unsyncedChanges {
		if change.folder == name {
			applyChange(disk.durable, change)
			continue
		}
		remaining = append(remaining, change)
	}
	disk.unsyncedChanges = remaining
	return nil
}

// Package snapshot stores a Raft member's snapshots as checksummed files. A snapshot is written under
// a temporary name, synced, renamed and made durable by a sync of the folder, so a crash leaves
// either the complete file or none.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path"
	"slices"
	"strings"
	"syscall"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/raft"
)

const (
	formatVersion = 1
	// keepCount is the number of snapshots to keep: the newest, and one to fall back to as long as
	// the log still holds every entry after it.
	keepCount  = 2
	fileSuffix = ".snap"
	// temporarySuffix follows fileSuffix until a snapshot is complete.
	temporarySuffix = ".tmp"
	// checksumBytes is the size of the checksum at the end of a file, a little-endian CRC-32C of
	// all bytes before it.
	checksumBytes = 4
)

var (
	magic       = []byte("MPSN")
	crc32cTable = crc32.MakeTable(crc32.Castagnoli)
)

// content is the part of a snapshot file between magic and checksum, encoded with gob.
type content struct {
	Version  uint32
	Group    uint64
	Snapshot raft.Snapshot
}

// Store saves and loads the snapshots of one member in a folder.
type Store struct {
	files  filesystem.FileSystem
	folder string
	group  uint64
}

// NewStore returns a store in folder for a member of group. The folder is created by the first Save.
// With group zero, snapshots of any group can be loaded.
func NewStore(files filesystem.FileSystem, folder string, group uint64) *Store {
	return &Store{files: files, folder: folder, group: group}
}

// fileName returns the name of a snapshot's file. Names sort by index, then term.
func fileName(index, term uint64) string {
	return fmt.Sprintf("snapshot-%020d-%020d%s", index, term, fileSuffix)
}

// Save makes snapshot durable and then removes all but the newest keepCount snapshots.
func (store *Store) Save(snapshot raft.Snapshot) error {
	data, err := encode(content{Version: formatVersion, Group: store.group, Snapshot: snapshot})
	if err != nil {
		return err
	}
	if err := store.files.MkdirAll(store.folder); err != nil {
		return writeFault(err)
	}
	name := path.Join(store.folder, fileName(snapshot.Index, snapshot.Term))
	if err := store.writeFile(name, data); err != nil {
		return writeFault(err)
	}
	return store.removeOld()
}

// encode returns the bytes of a snapshot file.
func encode(value content) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(magic)
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return nil, err
	}
	checksum := crc32.Checksum(buffer.Bytes(), crc32cTable)
	return binary.LittleEndian.AppendUint32(buffer.Bytes(), checksum), nil
}

// writeFile writes a file durably. It replaces a temporary file left by an interrupted write of the
// same name.
func (store *Store) writeFile(name string, data []byte) error {
	if err := store.files.Remove(name + temporarySuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := store.files.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	if err := writeSyncClose(file, data); err != nil {
		return err
	}
	if err := store.files.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return store.files.SyncDir(store.folder)
}

func writeSyncClose(file filesystem.File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// removeOld removes all but the newest keepCount snapshots. Temporary files of interrupted saves
// stay.
func (store *Store) removeOld() error {
	names, err := store.snapshotNames()
	if err != nil {
		return err
	}
	removed := false
	for _, name := range names[min(keepCount, len(names)):] {
		if err := store.files.Remove(path.Join(store.folder, name)); err != nil {
			return writeFault(err)
		}
		removed = true
	}
	if !removed {
		return nil
	}
	if err := store.files.SyncDir(store.folder); err != nil {
		return writeFault(err)
	}
	return nil
}

// snapshotNames returns the names of the complete snapshot files, highest index first. A missing
// folder has none.
func (store *Store) snapshotNames() ([]string, error) {
	all, err := store.files.ReadDir(store.folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, faults.New(faults.StorageUnusable, "folder %s cannot be read: %v", store.folder, err)
	}
	var names []string
	for _, name := range all {
		if strings.HasSuffix(name, fileSuffix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	slices.Reverse(names)
	return names, nil
}

// Loaded is the result of reading one snapshot file.
type Loaded struct {
	// Name is the file's name in the store's folder.
	Name string
	// Bytes is the file's size, zero when it cannot be read.
	Bytes    int
	Group    uint64
	Snapshot raft.Snapshot
	// Err is set when the file cannot be read, is damaged, has an unknown format version or belongs
	// to another group.
	Err error
}

// LoadAll reads all snapshot files, newest first, without changing them. A file that cannot be used
// is returned with its Err.
func (store *Store) LoadAll() ([]Loaded, error) {
	names, err := store.snapshotNames()
	if err != nil {
		return nil, err
	}
	var all []Loaded
	for _, name := range names {
		all = append(all, store.load(name))
	}
	return all, nil
}

func (store *Store) load(name string) Loaded {
	loaded := Loaded{Name: name}
	data, err := store.read(name)
	if err != nil {
		loaded.Err = faults.New(faults.StorageUnusable, "snapshot %s cannot be read: %v", name, err)
		return loaded
	}
	loaded.Bytes = len(data)
	value, err := decode(data)
	if err != nil {
		loaded.Err = faults.New(faults.StorageSnapshotDamaged, "snapshot %s is damaged: %v", name, err)
		return loaded
	}
	loaded.Group = value.Group
	loaded.Snapshot = value.Snapshot
	loaded.Err = store.checkContent(name, value)
	return loaded
}

// checkContent checks the format version and the group of a decoded file.
func (store *Store) checkContent(name string, value content) error {
	switch {
	case value.Version != formatVersion:
		return faults.New(faults.StorageVersion, "snapshot %s has format version %d; this program knows version %d", name, value.Version, formatVersion)
	case store.group != 0 && value.Group != store.group:
		return faults.New(faults.StorageForeign, "snapshot %s belongs to group %x, not to group %x", name, value.Group, store.group)
	}
	return nil
}

func (store *Store) read(name string) ([]byte, error) {
	file, err := store.files.Open(path.Join(store.folder, name))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return data, err
}

// decode checks and decodes the bytes of a snapshot file.
func decode(data []byte) (content, error) {
	var value content
	if len(data) < len(magic)+checksumBytes || !bytes.HasPrefix(data, magic) {
		return value, errors.New("it is too short or does not begin as a snapshot does")
	}
	end := len(data) - checksumBytes
	if crc32.Checksum(data[:end], crc32cTable) != binary.LittleEndian.Uint32(data[end:]) {
		return value, errors.New("its checksum does not match")
	}
	err := gob.NewDecoder(bytes.NewReader(data[len(magic):end])).Decode(&value)
	return value, err
}

// Load returns the newest intact snapshot, or a zero snapshot without an error when there is none.
// Damaged and unreadable snapshots are skipped, but Load fails if one that is newer than the intact
// one belongs to another group or has an unknown format version.
//
// The log must hold every entry after the returned snapshot; logBase is the index before the log's
// first entry. Otherwise acknowledged entries would be missing, and Load fails with
// StorageSnapshotDamaged.
func (store *Store) Load(logBase uint64) (raft.Snapshot, error) {
	all, err := store.LoadAll()
	if err != nil {
		return raft.Snapshot{}, err
	}
	var newestFault error
	for _, loaded := range all {
		if loaded.Err == nil {
			return loaded.Snapshot, checkNoGap(newestFault, loaded.Snapshot.Index, logBase)
		}
		if code := faults.CodeOf(loaded.Err); code == faults.StorageForeign || code == faults.StorageVersion {
			return raft.Snapshot{}, loaded.Err
		}
		if newestFault == nil {
			newestFault = loaded.Err
		}
	}
	return raft.Snapshot{}, checkNoGap(newestFault, 0, logBase)
}

// checkNoGap returns a fault when entries are missing between index, where the snapshot ends, and
// the start of the log after logBase. newestFault is the error of the newest unusable snapshot, if
// any.
func checkNoGap(newestFault error, index, logBase uint64) error {
	if logBase <= index {
		return nil
	}
	cause := "no newer snapshot exists"
	if newestFault != nil {
		cause = newestFault.Error()
	}
	return faults.New(faults.StorageSnapshotDamaged,
		"the log begins after entry %d but the newest sound snapshot ends at %d (%s); replace this member: remove it from the group, empty the folder and add it again",
		logBase, index, cause)
}

// writeFault returns err as a fault: StorageFull when the disk is full, otherwise
// StorageWriteFailed.
func writeFault(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return faults.New(faults.StorageFull, "the disk is full: %v", err)
	}
	return faults.New(faults.StorageWriteFailed, "the snapshot cannot be written: %v", err)
}

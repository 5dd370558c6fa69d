package replica

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"hash/crc32"
	"io"
	"io/fs"
	"syscall"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

// The paths of a member's files, relative to its data folder.
const (
	stateFolder    = "consensus"
	walFolder      = stateFolder + "/wal"
	snapshotFolder = stateFolder + "/snapshots"
	identityFile   = stateFolder + "/identity"
	temporaryFile  = identityFile + ".tmp"
)

const identityVersion = 1

// Identity binds a data folder to one member of one group. It is written with
// only the name and disk number first, and again when the member gets its place
// in the group.
type Identity struct {
	Version int
	Name    model.NodeName
	// Disk is the random number of this disk.
	Disk uint64
	// Group and Member are zero until the member has its place. Group is the disk
	// number of the group's founder.
	Group  uint64
	Member raft.MemberID
	// Initial is the configuration before the log's first entry.
	Initial raft.Configuration
}

// joined reports whether the member has a place in a group.
func (identity Identity) joined() bool { return identity.Member != 0 }

var identityChecksums = crc32.MakeTable(crc32.Castagnoli)

// readIdentity returns the identity of the data folder, or false when it has none.
func readIdentity(files filesystem.FileSystem) (Identity, bool, error) {
	file, err := files.Open(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, faults.New(faults.StorageUnusable, "%s cannot be opened: %v", identityFile, err)
	}
	data, err := io.ReadAll(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return Identity{}, false, faults.New(faults.StorageUnusable, "%s cannot be read: %v", identityFile, err)
	}
	identity, err := decodeIdentity(data)
	return identity, err == nil, err
}

// decodeIdentity checks and decodes an identity file: a gob followed by its
// CRC-32C checksum.
func decodeIdentity(data []byte) (Identity, error) {
	var identity Identity
	end := len(data) - crc32.Size
	if end < 0 || crc32.Checksum(data[:end], identityChecksums) != binary.LittleEndian.Uint32(data[end:]) {
		return identity, faults.New(faults.StorageDamaged, "%s is damaged; nothing was changed; replace this member", identityFile)
	}
	if err := gob.NewDecoder(bytes.NewReader(data[:end])).Decode(&identity); err != nil {
		return identity, faults.New(faults.StorageDamaged, "%s cannot be read: %v; nothing was changed; replace this member", identityFile, err)
	}
	if identity.Version != identityVersion {
		return identity, faults.New(faults.StorageVersion, "%s has format version %d; this program knows version %d", identityFile, identity.Version, identityVersion)
	}
	return identity, nil
}

// writeIdentity replaces the identity file atomically and durably.
func writeIdentity(files filesystem.FileSystem, identity Identity) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(identity); err != nil {
		return err
	}
	data := binary.LittleEndian.AppendUint32(buffer.Bytes(), crc32.Checksum(buffer.Bytes(), identityChecksums))
	if err := replaceIdentity(files, data); err != nil {
		code := faults.StorageWriteFailed
		if errors.Is(err, syscall.ENOSPC) {
			code = faults.StorageFull
		}
		return faults.New(code, "%s cannot be written: %v", identityFile, err)
	}
	return nil
}

// replaceIdentity writes data to a temporary file and renames it.
func replaceIdentity(files filesystem.FileSystem, data []byte) error {
	if err := files.MkdirAll(stateFolder); err != nil {
		return err
	}
	if err := files.Remove(temporaryFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := files.Create(temporaryFile)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := files.Rename(temporaryFile, identityFile); err != nil {
		return err
	}
	return files.SyncDir(stateFolder)
}

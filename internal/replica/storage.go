package replica

import (
	"path"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/snapshot"
	"merlinpaddle/internal/wal"
)

// storage is the durable state of a member that has a place in the group.
type storage struct {
	identity  Identity
	log       *wal.Log
	snapshots *snapshot.Store
	// previousSnapshotIndex is the index of the snapshot before the latest. The
	// log is kept from there on, so that the member can recover from the previous
	// snapshot if the latest is damaged.
	previousSnapshotIndex uint64
	latestSnapshotIndex   uint64
}

func walOptions(identity Identity, segmentBytes int64) wal.Options {
	return wal.Options{
		Folder:       walFolder,
		Identity:     wal.Identity{Group: identity.Group, Member: identity.Member},
		SegmentBytes: segmentBytes,
	}
}

// checkIdentity returns the identity of the data folder and whether it has one.
// It returns an error for a folder that belongs to another node, for a log
// without an identity and for the identity of a member that has a place but no
// log.
func checkIdentity(files filesystem.FileSystem, self model.NodeName) (Identity, bool, error) {
	identity, found, err := readIdentity(files)
	if err != nil {
		return Identity{}, false, err
	}
	logExists, err := wal.Exists(files, walFolder)
	if err != nil {
		return Identity{}, false, err
	}
	switch {
	case found && identity.Name != self:
		return Identity{}, false, faults.New(faults.StorageForeign, "the data folder belongs to node %s, not to node %s; correct data_folder or node", identity.Name, self)
	case !found && logExists:
		return Identity{}, false, faults.New(faults.StorageIncomplete, "the data folder has a log but no file %s; replace this member", identityFile)
	case found && identity.joined() && !logExists:
		return Identity{}, false, faults.New(faults.StorageIncomplete, "the data folder of member %d has no log; replace this member", identity.Member)
	}
	return identity, found, nil
}

// createStorage creates the durable state of a member that got its place. It
// creates the log first and writes the identity last, so that after a crash in
// between the member requests its place again.
func createStorage(files filesystem.FileSystem, identity Identity, segmentBytes int64) (*storage, error) {
	if err := removeUnusedLog(files); err != nil {
		return nil, err
	}
	log, err := wal.Create(files, walOptions(identity, segmentBytes))
	if err != nil {
		return nil, err
	}
	if err := writeIdentity(files, identity); err != nil {
		return nil, err
	}
	return &storage{
		identity:  identity,
		log:       log,
		snapshots: snapshot.NewStore(files, snapshotFolder, identity.Group),
	}, nil
}

// removeUnusedLog removes the log that an interrupted createStorage left. It has
// never been used.
func removeUnusedLog(files filesystem.FileSystem) error {
	exists, err := wal.Exists(files, walFolder)
	if err != nil || !exists {
		return err
	}
	names, err := files.ReadDir(walFolder)
	if err != nil {
		return faults.New(faults.StorageUnusable, "folder %s cannot be read: %v", walFolder, err)
	}
	for _, name := range names {
		if err := files.Remove(path.Join(walFolder, name)); err != nil {
			return faults.New(faults.StorageWriteFailed, "%s cannot be removed: %v", name, err)
		}
	}
	return files.SyncDir(walFolder)
}

// openStorage opens the durable state of a member that has a place.
func openStorage(files filesystem.FileSystem, identity Identity, segmentBytes int64) (*storage, raft.State, error) {
	log, recovered, err := wal.Open(files, walOptions(identity, segmentBytes))
	if err != nil {
		return nil, raft.State{}, err
	}
	opened := &storage{
		identity:  identity,
		log:       log,
		snapshots: snapshot.NewStore(files, snapshotFolder, identity.Group),
	}
	latest, err := opened.snapshots.Load(recovered.Base)
	if err != nil {
		_ = log.Close()
		return nil, raft.State{}, err
	}
	if latest.Index == 0 {
		latest.Configuration = identity.Initial
	}
	opened.latestSnapshotIndex = latest.Index
	opened.previousSnapshotIndex = latest.Index
	entries, err := opened.reconcileLog(latest, recovered)
	if err != nil {
		_ = log.Close()
		return nil, raft.State{}, err
	}
	return opened, raft.State{HardState: recovered.HardState, Snapshot: latest, Entries: entries}, nil
}

// reconcileLog returns the log entries to use with the snapshot. A crash between
// saving a received snapshot and resetting the log leaves a log that does not
// hold the snapshot's last entry; the log is then reset to the snapshot.
func (storage *storage) reconcileLog(latest raft.Snapshot, recovered wal.Recovered) ([]raft.Entry, error) {
	if latest.Index == recovered.Base {
		return recovered.Entries, nil
	}
	position := latest.Index - recovered.Base - 1
	if position < uint64(len(recovered.Entries)) && recovered.Entries[position].Term == latest.Term {
		return recovered.Entries, nil
	}
	return nil, storage.log.Append(wal.Batch{Reset: &latest.Index})
}

// persist makes the hard state, entries and snapshot of ready durable, with one
// sync of the log.
func (storage *storage) persist(ready raft.Ready) error {
	batch := wal.Batch{HardState: ready.HardState, Entries: ready.Entries}
	if ready.Snapshot != nil {
		if err := storage.snapshots.Save(*ready.Snapshot); err != nil {
			return err
		}
		batch.Reset = &ready.Snapshot.Index
		storage.previousSnapshotIndex = ready.Snapshot.Index
		storage.latestSnapshotIndex = ready.Snapshot.Index
	}
	return storage.log.Append(batch)
}

// saveSnapshot makes a snapshot durable and compacts the log up to the previous
// snapshot. It returns the index after which the log is kept.
func (storage *storage) saveSnapshot(latest raft.Snapshot) (keepAfter uint64, err error) {
	if err := storage.snapshots.Save(latest); err != nil {
		return 0, err
	}
	storage.previousSnapshotIndex = storage.latestSnapshotIndex
	storage.latestSnapshotIndex = latest.Index
	return storage.previousSnapshotIndex, storage.log.Compact(storage.previousSnapshotIndex)
}

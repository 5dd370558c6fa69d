package replica

import (
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/snapshot"
	"merlinpaddle/internal/wal"
)

// Inspection is the result of an offline inspection of a member's data folder.
type Inspection struct {
	Identity  Identity
	Log       wal.Report
	Snapshots []snapshot.Loaded
	// Problems are the errors that would make a start fail or violate safety. Each
	// has a fault code.
	Problems []error
}

// Inspect reads a member's data folder without changing it.
func Inspect(files filesystem.FileSystem) Inspection {
	inspection := Inspection{}
	identity, found, err := readIdentity(files)
	switch {
	case err != nil:
		inspection.addProblem(err)
	case !found:
		inspection.addProblem(faults.New(faults.StorageIncomplete, "the folder has no file %s, so it is not a control member's data folder", identityFile))
	}
	inspection.Identity = identity
	if found && !identity.joined() {
		return inspection
	}
	logReadable := inspection.inspectLog(files)
	inspection.inspectSnapshots(files, logReadable)
	return inspection
}

func (inspection *Inspection) addProblem(err error) {
	if err != nil {
		inspection.Problems = append(inspection.Problems, err)
	}
}

// inspectLog inspects the log and reports whether it can be read.
func (inspection *Inspection) inspectLog(files filesystem.FileSystem) bool {
	report, err := wal.Inspect(files, walFolder)
	if err != nil {
		inspection.addProblem(err)
		return false
	}
	inspection.Log = report
	if report.Segments == 0 {
		inspection.addProblem(faults.New(faults.StorageIncomplete, "the folder has no log"))
		return false
	}
	expected := wal.Identity{Group: inspection.Identity.Group, Member: inspection.Identity.Member}
	if inspection.Identity.joined() && report.Identity != expected {
		inspection.addProblem(faults.New(faults.StorageForeign, "the log belongs to member %d of group %x, the folder to member %d of group %x",
			report.Identity.Member, report.Identity.Group, expected.Member, expected.Group))
	}
	return true
}

// inspectSnapshots inspects all snapshots and, if the log can be read, checks that it
// holds every entry after the newest intact snapshot.
func (inspection *Inspection) inspectSnapshots(files filesystem.FileSystem, logReadable bool) {
	store := snapshot.NewStore(files, snapshotFolder, inspection.Identity.Group)
	loaded, err := store.LoadAll()
	inspection.addProblem(err)
	inspection.Snapshots = loaded
	for _, loadedSnapshot := range loaded {
		inspection.addProblem(loadedSnapshot.Err)
	}
	if !logReadable {
		return
	}
	if _, err := store.Load(inspection.Log.FirstIndex - 1); err != nil {
		inspection.addProblem(err)
	}
}

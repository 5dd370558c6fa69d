package command

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem/disk"
	"merlinpaddle/internal/replica"
)

// newStorageCommand returns the command that inspects data folders offline.
func newStorageCommand() *cobra.Command {
	storage := &cobra.Command{
		Use:   "storage",
		Short: "Inspect the data folder of a control member offline",
	}
	storage.AddCommand(&cobra.Command{
		Use:   "verify FOLDER",
		Short: "Check the log and snapshots of a data folder for damage, without changing them",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return verifyStorage(command.OutOrStdout(), arguments[0])
		},
	})
	return storage
}

// verifyStorage writes a report on the data folder and returns an error if it finds a problem.
func verifyStorage(output io.Writer, folder string) error {
	files, err := disk.OpenReadOnly(folder)
	if err != nil {
		return err
	}
	inspection := replica.Inspect(files)
	writeIdentity(output, inspection)
	writeLog(output, inspection)
	writeSnapshots(output, inspection)
	for _, problem := range inspection.Problems {
		writeProblem(output, problem)
	}
	if count := len(inspection.Problems); count > 0 {
		return faults.New(faults.CodeOf(inspection.Problems[0]), "%s: %d problem(s) found; nothing was changed", folder, count)
	}
	fmt.Fprintln(output, "result: sound")
	return nil
}

func writeIdentity(output io.Writer, inspection replica.Inspection) {
	identity := inspection.Identity
	if identity.Member == 0 {
		fmt.Fprintf(output, "member: node %q is not in a group yet\n", identity.Name)
		return
	}
	fmt.Fprintf(output, "member: node %q, member %d of group %x\n", identity.Name, identity.Member, identity.Group)
}

func writeLog(output io.Writer, inspection replica.Inspection) {
	log := inspection.Log
	if log.Segments == 0 {
		return
	}
	fmt.Fprintf(output, "log: %d segment(s), %d record(s), %d bytes\n", log.Segments, log.Records, log.Bytes)
	fmt.Fprintf(output, "entries: %d to %d; term %d, vote %d, commit at least %d\n",
		log.FirstIndex, log.LastIndex, log.HardState.Term, log.HardState.Vote, log.HardState.Commit)
	for _, start := range log.Terms {
		fmt.Fprintf(output, "  term %d from entry %d\n", start.Term, start.Index)
	}
	if log.TornBytes > 0 {
		fmt.Fprintf(output, "torn tail: %d byte(s) of an incompletely written record; the next start truncates them\n", log.TornBytes)
	}
}

func writeSnapshots(output io.Writer, inspection replica.Inspection) {
	for _, loaded := range inspection.Snapshots {
		if loaded.Err != nil {
			fmt.Fprintf(output, "snapshot: %s, %d bytes, not usable\n", loaded.Name, loaded.Bytes)
			continue
		}
		meta := loaded.Snapshot.SnapshotMeta
		fmt.Fprintf(output, "snapshot: %s, %d bytes, up to entry %d of term %d at %s, %d member(s)\n",
			loaded.Name, loaded.Bytes, meta.Index, meta.Term, time.Unix(0, meta.At).UTC().Format(time.RFC3339), len(meta.Configuration.Members))
	}
}

func writeProblem(output io.Writer, problem error) {
	definition, _ := faults.Lookup(faults.CodeOf(problem))
	fmt.Fprintf(output, "problem %d: %s\n", definition.Code, problem.Error())
	fmt.Fprintf(output, "  remedy: %s\n", definition.Action)
}

package logring

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// minimumDumpInterval is the shortest time between two dumps with the same reason, so that repeated
// errors do not wear out the disk.
const minimumDumpInterval = time.Minute

// maximumDumpFiles is the largest number of ring files of one node; older ones are removed.
const maximumDumpFiles = 16

// timeLayout is the layout of the time of writing in a file's name. The names of one node's files sort
// by it.
const timeLayout = "20060102T150405.000"

// Reason is why the ring was written; it is part of the file's name.
type Reason string

// The reasons.
const (
	ReasonStart  Reason = "start"
	ReasonStop   Reason = "stop"
	ReasonError  Reason = "error"
	ReasonPanic  Reason = "panic"
	ReasonSignal Reason = "signal"
)

// Dumper writes a ring to files in one folder. It is safe for concurrent use.
type Dumper struct {
	folder string
	node   string
	ring   *Ring
	now    func() time.Time

	lock     sync.Mutex
	lastDump map[Reason]time.Time
}

// NewDumper returns a dumper that names its files after node and reads the
// time from now.
func NewDumper(folder, node string, ring *Ring, now func() time.Time) *Dumper {
	return &Dumper{folder: folder, node: node, ring: ring, now: now, lastDump: make(map[Reason]time.Time)}
}

// Dump writes the ring to a new file, and removes the node's oldest files beyond maximumDumpFiles. It
// does nothing if the last dump with the same reason was less than minimumDumpInterval ago, unless the
// reason is ReasonSignal, which means that an operator requested the dump.
func (dumper *Dumper) Dump(reason Reason) error {
	dumper.lock.Lock()
	defer dumper.lock.Unlock()
	now := dumper.now()
	if !dumper.mayDump(reason, now) {
		return nil
	}
	if err := os.MkdirAll(dumper.folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dumper.folder, dumper.fileName(reason, now))
	if err := dumper.write(path); err != nil {
		return err
	}
	dumper.lastDump[reason] = now
	return dumper.removeOldest()
}

// mayDump reports whether the last dump with the reason is long enough ago.
func (dumper *Dumper) mayDump(reason Reason, now time.Time) bool {
	if reason == ReasonSignal {
		return true
	}
	last, dumpedBefore := dumper.lastDump[reason]
	return !dumpedBefore || now.Sub(last) >= minimumDumpInterval
}

// filePrefix returns the prefix of the names of the node's files.
func (dumper *Dumper) filePrefix() string { return "ring-" + dumper.node + "-" }

func (dumper *Dumper) fileName(reason Reason, now time.Time) string {
	return fmt.Sprintf("%s%s-%s.log", dumper.filePrefix(), now.UTC().Format(timeLayout), reason)
}

// removeOldest removes the node's oldest files beyond maximumDumpFiles, including files that were
// written before the last restart.
func (dumper *Dumper) removeOldest() error {
	names, err := dumper.nodeFiles()
	if err != nil {
		return err
	}
	for len(names) > maximumDumpFiles {
		if err := os.Remove(filepath.Join(dumper.folder, names[0])); err != nil {
			return err
		}
		names = names[1:]
	}
	return nil
}

// nodeFiles returns the names of the node's files, oldest first.
func (dumper *Dumper) nodeFiles() ([]string, error) {
	entries, err := os.ReadDir(dumper.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if dumper.isNodeFile(entry.Name()) {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// isNodeFile reports whether the file belongs to this node. The prefix alone does not show it,
// because another node's name may begin with this node's name.
func (dumper *Dumper) isNodeFile(name string) bool {
	rest, found := strings.CutPrefix(name, dumper.filePrefix())
	if !found || len(rest) < len(timeLayout) {
		return false
	}
	_, err := time.Parse(timeLayout, rest[:len(timeLayout)])
	return err == nil
}

func (dumper *Dumper) write(path string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = dumper.ring.WriteTo(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

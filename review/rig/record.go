package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with the time since
// the start of the run.
type record struct {
	lock    sync.Mutex
	file    *os.File
	started time.Time
	// broken has the breaks of the rule, in the order of their times.
	broken []string
	ended  bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// note writes one line.
func (r *record) note(format string, arguments ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.write(fmt.Sprintf(format, arguments...))
}

// end writes the last line; later ones are dropped.
func (r *record) end(format string, arguments ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.write(fmt.Sprintf(format, arguments...))
	r.ended = true
	_ = r.file.Close()
}

func (r *record) write(line string) {
	if r.ended {
		return
	}
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), line)
}

// fault writes one line that tells of a break of the rule.
func (r *record) fault(format string, arguments ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	line := fmt.Sprintf(format, arguments...)
	r.broken = append(r.broken, line)
	r.write("BROKEN " + line)
}

// breaks returns how often the rule was broken.
func (r *record) breaks() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.broken)
}

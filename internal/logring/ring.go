// Package logring keeps the latest log lines in memory and writes them to a file after a failure:
// an entry at error level or above, a panic, or a failed start or stop. A signal from the operator
// writes them too. Otherwise it writes nothing.
package logring

import (
	"fmt"
	"io"
	"sync"
)

// DefaultCapacity is the number of lines that a ring keeps by default.
const DefaultCapacity = 4096

// Ring is a ring buffer of log lines. It is safe for concurrent use.
type Ring struct {
	lock    sync.Mutex
	lines   [][]byte
	next    int
	dropped uint64
}

// New returns a ring that keeps the latest capacity lines.
func New(capacity int) *Ring {
	return &Ring{lines: make([][]byte, 0, capacity)}
}

// Append adds a copy of line and drops the oldest line when the ring is full.
func (ring *Ring) Append(line []byte) {
	copied := append([]byte(nil), line...)
	ring.lock.Lock()
	defer ring.lock.Unlock()
	if len(ring.lines) < cap(ring.lines) {
		ring.lines = append(ring.lines, copied)
		return
	}
	ring.lines[ring.next] = copied
	ring.next = (ring.next + 1) % len(ring.lines)
	ring.dropped++
}

// Lines returns the kept lines, oldest first.
func (ring *Ring) Lines() [][]byte {
	ring.lock.Lock()
	defer ring.lock.Unlock()
	ordered := make([][]byte, 0, len(ring.lines))
	ordered = append(ordered, ring.lines[ring.next:]...)
	return append(ordered, ring.lines[:ring.next]...)
}

// WriteTo implements io.WriterTo. It writes a line with the number of dropped lines, and then the kept
// lines, oldest first.
func (ring *Ring) WriteTo(writer io.Writer) (int64, error) {
	ring.lock.Lock()
	dropped := ring.dropped
	ring.lock.Unlock()
	written, err := fmt.Fprintf(writer, "{\"ring\":\"start\",\"dropped\":%d}\n", dropped)
	total := int64(written)
	for _, line := range ring.Lines() {
		if err != nil {
			return total, err
		}
		written, err = writer.Write(line)
		total += int64(written)
	}
	return total, err
}

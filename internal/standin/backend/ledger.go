package backend

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Event is the kind of a ledger entry.
type Event string

// The events of a request.
const (
	// EventStart: the back end began to run the request.
	EventStart Event = "start"
	// EventCompleted: the work of a call or upload was done, written just before its answer is sent;
	// or a feed was sent to its end.
	EventCompleted Event = "completed"
	// EventCancelled: the run ended early because the body could not be read, the client
	// disconnected or the deadline passed.
	EventCancelled Event = "cancelled"
)

// Entry is one line of the ledger.
type Entry struct {
	At      time.Time `json:"at"`
	Event   Event     `json:"event"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	Key     string    `json:"key,omitempty"`
	Class   string    `json:"class"`
	// Updates is the number of updates that a feed sent. It is set when the feed ends.
	Updates int `json:"updates,omitempty"`
}

// Ledger is an append-only file with one JSON line for each event. Each line is a single write, so a
// killed process leaves only complete lines.
type Ledger struct {
	lock sync.Mutex
	file *os.File
}

// OpenLedger opens or creates the ledger at path for appending.
func OpenLedger(path string) (*Ledger, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, fmt.Errorf("create ledger folder: %w", err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open ledger: %w", err)
	}
	return &Ledger{file: file}, nil
}

// Append writes one entry. It is safe for concurrent use.
func (ledger *Ledger) Append(entry Entry) error {
	line, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode ledger entry: %w", err)
	}
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if _, err := ledger.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("append to ledger: %w", err)
	}
	return nil
}

// Close closes the file.
func (ledger *Ledger) Close() error { return ledger.file.Close() }

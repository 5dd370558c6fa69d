// Package probe finds out whether anything listens at a target's address. A
// probe opens one TCP connection and closes it at once; it asks for nothing,
// so it costs the target no capacity.
package probe

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"merlinpaddle/internal/board"
)

// Outcome is what a probe found.
type Outcome uint8

// The outcomes.
const (
	// Answered: something listens at the address.
	Answered Outcome = iota + 1
	// Refused: the machine answers and nothing listens.
	Refused
	// Silent: the machine does not answer.
	Silent
)

// String returns the outcome's name.
func (outcome Outcome) String() string {
	switch outcome {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	case Silent:
		return "silent"
	default:
		return "unknown"
	}
}

// Result is the outcome of one probe.
type Result struct {
	// Key is what Start was given.
	Key     uint64
	Outcome Outcome
}

const (
	// dialTimeout bounds one attempt to connect, and attempts is their number:
	// one lost packet must not look like a dead machine, and waiting for the
	// packet to be sent again by the operating system takes a second.
	dialTimeout = 90 * time.Millisecond
	maxAttempts = 2
	// concurrent bounds the probes that run at once; others are left out, and
	// asked for again by whoever wants them.
	maxConcurrent = 32
	// resultsKept bounds the results that wait to be read.
	maxResults = 1024
)

// Dial opens a connection to an address or returns why it cannot.
type Dial func(ctx context.Context, address netip.AddrPort) error

// DialTCP is the Dial of processes.
func DialTCP(ctx context.Context, address netip.AddrPort) error {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return err
	}
	return connection.Close()
}

// Prober runs probes.
type Prober struct {
	// Results has the outcomes.
	Results *board.Queue[Result]

	start   Starter
	lock    sync.Mutex
	running map[uint64]bool
}

// Starter begins one probe of an address and returns at once; done is called
// once with the outcome.
type Starter func(address netip.AddrPort, done func(Outcome))

// New returns a prober that probes with dial, each probe on a goroutine.
func New(dial Dial) *Prober {
	return NewWithStarter(func(address netip.AddrPort, done func(Outcome)) {
		go func() { done(dialWithRetry(dial, address)) }()
	})
}

// NewWith returns a prober whose probes are begun by start.
func NewWithStarter(start Starter) *Prober {
	return &Prober{
		Results: board.NewQueue[Result]("probe results", maxResults),
		start:   start,
		running: make(map[uint64]bool),
	}
}

// Start probes address and puts the outcome into Results. A second probe of
// the same key at the same time is left out.
func (prober *Prober) Start(key uint64, address netip.AddrPort) {
	if !prober.reserve(key) {
		return
	}
	prober.start(address, func(outcome Outcome) {
		prober.lock.Lock()
		delete(prober.running, key)
		prober.lock.Unlock()
		prober.Results.Put(Result{Key: key, Outcome: outcome})
	})
}

// occupy notes that a probe of key runs; false when one does already, or too
// many do.
func (prober *Prober) reserve(key uint64) bool {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	if prober.running[key] || len(prober.running) >= maxConcurrent {
		return false
	}
	prober.running[key] = true
	return true
}

func dialWithRetry(dial Dial, address netip.AddrPort) Outcome {
	outcome := Silent
	for count := 0; count < maxAttempts && outcome == Silent; count++ {
		outcome = dialOnce(dial, address)
	}
	return outcome
}

func dialOnce(dial Dial, address netip.AddrPort) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return classify(dial(ctx, address))
}

func classify(err error) Outcome {
	switch {
	case err == nil:
		return Answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Silent
	}
}

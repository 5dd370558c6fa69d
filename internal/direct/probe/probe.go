// Package probe checks whether a process listens at a target's address. A probe opens a TCP
// connection and closes it at once. It sends no request, so it uses none of the target's capacity.
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

// Outcome is the result of connecting to an address.
type Outcome uint8

// The outcomes.
const (
	// Answered: a process listens at the address.
	Answered Outcome = iota + 1
	// Refused: the host responds, but no process listens.
	Refused
	// Silent: the host does not respond.
	Silent
)

// String returns the outcome's name as logs show it.
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

// Result is the outcome of a probe.
type Result struct {
	// Key identifies the probe; it is the key that was passed to Start.
	Key     uint64
	Outcome Outcome
}

const (
	// A probe tries to connect up to maxAttempts times, each for dialTimeout: one lost packet
	// must not make a host appear unresponsive, and the operating system only retransmits the
	// packet after a second.
	dialTimeout = 90 * time.Millisecond
	maxAttempts = 2
	// maxConcurrent bounds the probes that run at once. Start ignores further ones; callers that
	// still need them call it again later.
	maxConcurrent = 32
	// maxResults bounds the results that wait to be read.
	maxResults = 1024
)

// Dial connects to an address, closes the connection and returns nil, or returns the error.
type Dial func(ctx context.Context, address netip.AddrPort) error

// DialTCP is the Dial that uses the operating system's TCP.
func DialTCP(ctx context.Context, address netip.AddrPort) error {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return err
	}
	return connection.Close()
}

// Prober runs probes. It is safe for concurrent use.
type Prober struct {
	// Results is the queue of outcomes.
	Results *board.Queue[Result]

	start   Starter
	lock    sync.Mutex
	running map[uint64]bool
}

// Starter starts a probe of an address without blocking. It calls done exactly once with the
// outcome.
type Starter func(address netip.AddrPort, done func(Outcome))

// New returns a Prober that probes with dial, each probe in a goroutine of its own.
func New(dial Dial) *Prober {
	return NewWithStarter(func(address netip.AddrPort, done func(Outcome)) {
		go func() { done(dialWithRetry(dial, address)) }()
	})
}

// NewWithStarter returns a Prober that starts its probes with start.
func NewWithStarter(start Starter) *Prober {
	return &Prober{
		Results: board.NewQueue[Result]("probe results", maxResults),
		start:   start,
		running: make(map[uint64]bool),
	}
}

// Start probes address and puts the outcome into Results. It does nothing if a probe of the same
// key is running or if too many probes are.
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

// reserve marks a probe of key as running, and reports whether it did: it does not if one is
// running already, or if maxConcurrent probes are.
func (prober *Prober) reserve(key uint64) bool {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	if prober.running[key] || len(prober.running) >= maxConcurrent {
		return false
	}
	prober.running[key] = true
	return true
}

// dialWithRetry dials until the host responds, up to maxAttempts times.
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

// classify returns the outcome for the error of a dial.
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

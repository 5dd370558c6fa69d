// Package upstream sends requests to one back end over HTTP/1.1.
//
// A connection carries one request at a time. It is reused only after a complete answer that had
// the ID of the request and was followed by no further bytes. A connection whose request was
// canceled, timed out or failed is closed. A request is sent a second time only if it is certain
// that no byte of the first attempt was written.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/faults"
)

// Limits of the pool.
const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// maximumIdleConnections is the largest number of idle connections that are kept.
	maximumIdleConnections = 16
	// idleLifetime is how long an idle connection may be reused. It is short, so that a back end
	// with a keep-alive timeout rarely closes the connection first.
	idleLifetime = 15 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes, which detect that the machine of
	// the back end has failed while a feed is open.
	keepAliveInterval = 5 * time.Second
)

// Pool holds the connections to one back end.
type Pool struct {
	address string
	dialer  net.Dialer

	// lock guards idle, active and closed.
	lock sync.Mutex
	// idle are the connections without a request, the latest used last, and active those with one.
	idle   []*connection
	active map[*connection]struct{}
	closed bool

	unsolicited atomic.Uint64
}

// NewPool returns a pool without connections for the back end at the TCP address.
func NewPool(address string) *Pool {
	return &Pool{
		address: address,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval},
		active:  make(map[*connection]struct{}),
	}
}

// Unsolicited returns how many connections were closed because the back end sent an unsolicited
// answer.
func (pool *Pool) Unsolicited() uint64 { return pool.unsolicited.Load() }

// ActiveConnections returns the number of connections that carry a request.
func (pool *Pool) ActiveConnections() int {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	return len(pool.active)
}

// acquire returns an idle connection that can be used again, or dials a new one.
func (pool *Pool) acquire(ctx context.Context) (*connection, error) {
	for {
		candidate := pool.popIdle()
		if candidate == nil {
			return pool.dial(ctx)
		}
		err := candidate.stopWatching()
		if err == nil && time.Since(candidate.idleSince) < idleLifetime {
			pool.markActive(candidate)
			return candidate, nil
		}
		pool.countUnsolicited(err)
		candidate.close()
	}
}

// popIdle removes and returns the idle connection that was used last, or nil if there is none.
func (pool *Pool) popIdle() *connection {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	last := len(pool.idle) - 1
	if last < 0 {
		return nil
	}
	candidate := pool.idle[last]
	pool.idle = pool.idle[:last]
	return candidate
}

// dial opens a connection. An error means that no part of the request was sent.
func (pool *Pool) dial(ctx context.Context) (*connection, error) {
	raw, err := pool.dialer.DialContext(ctx, "tcp", pool.address)
	if err != nil {
		return nil, faults.New(faults.BackendUnreachable, "connect to the back end at %s: %v", pool.address, err)
	}
	fresh := newConnection(raw)
	pool.markActive(fresh)
	return fresh, nil
}

// markActive counts the connection as one that carries a request.
func (pool *Pool) markActive(taken *connection) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.active[taken] = struct{}{}
}

// putBack keeps the connection for the next request. It closes it if there is unread input, the
// pool is closed, or there are enough idle connections.
func (pool *Pool) putBack(used *connection) {
	if used.reader.Buffered() > 0 {
		pool.countUnsolicited(errUnsolicited)
		pool.discard(used)
		return
	}
	pool.lock.Lock()
	defer pool.lock.Unlock()
	delete(pool.active, used)
	if pool.closed || len(pool.idle) >= maximumIdleConnections {
		used.close()
		return
	}
	used.watchIdle(time.Now(), func() { pool.closeIdle(used) })
	pool.idle = append(pool.idle, used)
}

// closeIdle closes an idle connection that was closed by the back end or has unsolicited input. If
// the connection was acquired meanwhile, acquire detects this itself.
func (pool *Pool) closeIdle(ended *connection) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for index, candidate := range pool.idle {
		if candidate != ended {
			continue
		}
		pool.idle = append(pool.idle[:index], pool.idle[index+1:]...)
		pool.countUnsolicited(<-ended.watchResult)
		ended.close()
		return
	}
}

// discard closes a connection whose request has ended.
func (pool *Pool) discard(used *connection) {
	pool.lock.Lock()
	delete(pool.active, used)
	pool.lock.Unlock()
	used.close()
}

// countUnsolicited counts a connection that is closed because of err, if err is errUnsolicited.
func (pool *Pool) countUnsolicited(err error) {
	if errors.Is(err, errUnsolicited) {
		pool.unsolicited.Add(1)
	}
}

// Close closes the idle connections. Connections in use are closed when their requests end.
func (pool *Pool) Close() {
	pool.lock.Lock()
	pool.closed = true
	idle := pool.idle
	pool.idle = nil
	pool.lock.Unlock()
	for _, candidate := range idle {
		_ = candidate.stopWatching()
		candidate.close()
	}
}

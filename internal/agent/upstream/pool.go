// Package upstream carries requests to one back end over HTTP/1.1.
//
// A connection carries one request at a time. It is used again only after a
// whole answer that carried the request's own ID and left no bytes behind; a
// connection whose request was cancelled, was late, or failed is closed.
// Nothing is ever sent twice unless it is proven that no byte of the first
// attempt left.
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

// Bounds of the pool.
const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// maximumIdle is the number of idle connections that are kept.
	maximumIdle = 16
	// idleLifetime is how long an idle connection is kept. It is short so
	// that back ends with a keep-alive limit rarely close first.
	idleLifetime = 15 * time.Second
	// keepAlive is the interval of TCP keep-alive probes, which find a
	// machine that died behind an open feed.
	keepAlive = 5 * time.Second
)

// Pool holds the connections to one back end.
type Pool struct {
	address string
	dialer  net.Dialer

	lock   sync.Mutex
	idle   []*connection
	active map[*connection]struct{}
	closed bool

	unsolicited atomic.Uint64
}

// NewPool returns a pool for the back end at address.
func NewPool(address string) *Pool {
	return &Pool{
		address: address,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive},
		active:  make(map[*connection]struct{}),
	}
}

// Unsolicited returns how many connections were closed because the back end
// sent an answer that nobody had asked for.
func (pool *Pool) Unsolicited() uint64 { return pool.unsolicited.Load() }

// ActiveConnections returns the number of connections that carry a request.
func (pool *Pool) ActiveConnections() int {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	return len(pool.active)
}

// take returns a clean idle connection or dials a new one.
func (pool *Pool) take(ctx context.Context) (*connection, error) {
	for {
		candidate := pool.popIdle()
		if candidate == nil {
			return pool.dial(ctx)
		}
		err := candidate.unwatch()
		if err == nil && time.Since(candidate.idleSince) < idleLifetime {
			pool.activate(candidate)
			return candidate, nil
		}
		pool.countUnsolicited(err)
		candidate.close()
	}
}

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

// dial opens a connection. An error means that nothing reached the back end.
func (pool *Pool) dial(ctx context.Context) (*connection, error) {
	raw, err := pool.dialer.DialContext(ctx, "tcp", pool.address)
	if err != nil {
		return nil, faults.New(faults.BackendUnreachable, "connect to the back end at %s: %v", pool.address, err)
	}
	fresh := newConnection(raw)
	pool.activate(fresh)
	return fresh, nil
}

func (pool *Pool) activate(taken *connection) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.active[taken] = struct{}{}
}

// putBack keeps a clean connection for the next request.
func (pool *Pool) putBack(used *connection) {
	if used.reader.Buffered() > 0 {
		pool.countUnsolicited(errUnsolicited)
		pool.discard(used)
		return
	}
	pool.lock.Lock()
	defer pool.lock.Unlock()
	delete(pool.active, used)
	if pool.closed || len(pool.idle) >= maximumIdle {
		used.close()
		return
	}
	used.watch(time.Now(), func() { pool.dropIdle(used) })
	pool.idle = append(pool.idle, used)
}

// dropIdle closes an idle connection on which something unexpected happened.
// When the connection was taken meanwhile, take finds that out itself.
func (pool *Pool) dropIdle(ended *connection) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for index, candidate := range pool.idle {
		if candidate != ended {
			continue
		}
		pool.idle = append(pool.idle[:index], pool.idle[index+1:]...)
		pool.countUnsolicited(<-ended.watched)
		ended.close()
		return
	}
}

func (pool *Pool) discard(used *connection) {
	pool.lock.Lock()
	delete(pool.active, used)
	pool.lock.Unlock()
	used.close()
}

func (pool *Pool) countUnsolicited(err error) {
	if errors.Is(err, errUnsolicited) {
		pool.unsolicited.Add(1)
	}
}

// Close closes the idle connections; connections in use close when their
// requests end.
func (pool *Pool) Close() {
	pool.lock.Lock()
	pool.closed = true
	idle := pool.idle
	pool.idle = nil
	pool.lock.Unlock()
	for _, candidate := range idle {
		_ = candidate.unwatch()
		candidate.close()
	}
}

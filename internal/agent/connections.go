package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// goAwayGrace is how long a connection without requests stays open after GOAWAY
// before the agent closes it, for callers that do not close it themselves. It
// is long enough for a request that was sent before GOAWAY arrived to reach the
// agent, even over a path that loses packets.
const goAwayGrace = 5 * time.Second

// connections serves the HTTP/3 connections of a target. Each connection has its
// own http3.Server, because the library sends GOAWAY on all connections of a
// server.
//
// A connection is shut down gracefully, by GOAWAY, when the target drains, when
// its handshake completed only after the drain began, or when it had no request
// for the idle timeout. Requests in progress then run to their end, and later
// ones are rejected as not run, so a caller always knows whether a request ran.
// GOAWAY cannot be revoked: when a drain is canceled, only new connections are
// served.
type connections struct {
	handler            http.Handler
	maximumHeaderBytes int
	// serving counts the goroutines that serve or shut down a connection.
	serving sync.WaitGroup

	lock sync.Mutex
	// accept is set while new connections are accepted.
	accept bool
	states map[*quic.Conn]*connectionState
}

// connectionState is the state of one connection.
type connectionState struct {
	server       *http3.Server
	requests     int
	shuttingDown bool
	// idleSince is when the connection was opened, when its last request
	// began or ended, or when its shutdown began, whichever is latest.
	idleSince time.Time
}

func newConnections(handler http.Handler, maximumHeaderBytes int) *connections {
	return &connections{
		handler:            handler,
		maximumHeaderBytes: maximumHeaderBytes,
		states:             make(map[*quic.Conn]*connectionState),
	}
}

// setAccepting sets whether new connections are accepted. If not, the open ones
// are shut down gracefully.
func (connections *connections) setAccepting(accept bool) {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	connections.accept = accept
	if accept {
		return
	}
	now := time.Now()
	for _, state := range connections.states {
		connections.beginShutdown(now, state)
	}
}

// accepting reports whether new connections are accepted.
func (connections *connections) accepting() bool {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	return connections.accept
}

// serve serves a connection until it ends, in a new goroutine.
func (connections *connections) serve(connection *quic.Conn) {
	server := &http3.Server{MaxHeaderBytes: connections.maximumHeaderBytes}
	server.Handler = http.HandlerFunc(connections.serveRequest)
	server.ConnContext = func(ctx context.Context, connection *quic.Conn) context.Context {
		connections.register(server, connection)
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	// The error only says how the connection ended.
	connections.serving.Go(func() { _ = server.ServeQUICConn(connection) })
}

// connectionKey is the context key of a request's *quic.Conn.
type connectionKey struct{}

// register adds a connection, and shuts it down at once when the target drains.
// It is called as soon as the server can send GOAWAY on the connection.
func (connections *connections) register(server *http3.Server, connection *quic.Conn) {
	now := time.Now()
	connections.lock.Lock()
	defer connections.lock.Unlock()
	state := &connectionState{server: server, idleSince: now}
	connections.states[connection] = state
	if !connections.accept {
		connections.beginShutdown(now, state)
	}
	context.AfterFunc(connection.Context(), func() {
		connections.lock.Lock()
		defer connections.lock.Unlock()
		delete(connections.states, connection)
	})
}

// beginShutdown sends GOAWAY on a connection, once. The lock must be held.
func (connections *connections) beginShutdown(now time.Time, state *connectionState) {
	if state.shuttingDown {
		return
	}
	state.shuttingDown = true
	state.idleSince = now
	connections.serving.Go(func() { _ = state.server.Shutdown(context.Background()) })
}

// serveRequest calls the handler and counts the request as in progress on its
// connection meanwhile.
func (connections *connections) serveRequest(writer http.ResponseWriter, request *http.Request) {
	connection, _ := request.Context().Value(connectionKey{}).(*quic.Conn)
	connections.countRequest(connection, 1)
	defer connections.countRequest(connection, -1)
	connections.handler.ServeHTTP(writer, request)
}

// countRequest adds delta to the connection's number of requests in progress.
func (connections *connections) countRequest(connection *quic.Conn, delta int) {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	if state, open := connections.states[connection]; open {
		state.requests += delta
		state.idleSince = time.Now()
	}
}

// closeIdle ends connections without a request in progress: it sends GOAWAY
// after idleTimeout, and closes the connection once it had none for goAwayGrace
// after that. QUIC's own idle timeout does not end them, because the agent's
// pings keep them open.
func (connections *connections) closeIdle(now time.Time, idleTimeout time.Duration) {
	for _, connection := range connections.sweepIdle(now, idleTimeout) {
		_ = connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "idle")
	}
}

// sweepIdle sends GOAWAY on connections that were idle for idleTimeout, and
// returns those whose goAwayGrace has passed, which are to be closed.
func (connections *connections) sweepIdle(now time.Time, idleTimeout time.Duration) []*quic.Conn {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	var toClose []*quic.Conn
	for connection, state := range connections.states {
		idleFor := now.Sub(state.idleSince)
		switch {
		case state.requests > 0:
		case state.shuttingDown && idleFor >= goAwayGrace:
			toClose = append(toClose, connection)
		case !state.shuttingDown && idleFor >= idleTimeout:
			connections.beginShutdown(now, state)
		}
	}
	return toClose
}

// counts returns the number of open connections and of requests in progress.
func (connections *connections) counts() (count, requests int) {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	for _, state := range connections.states {
		requests += state.requests
	}
	return len(connections.states), requests
}

// closeAll closes all connections immediately and accepts no new ones.
func (connections *connections) closeAll() {
	connections.setAccepting(false)
	connections.lock.Lock()
	var open []*quic.Conn
	for connection := range connections.states {
		open = append(open, connection)
	}
	connections.lock.Unlock()
	for _, connection := range open {
		_ = connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

// wait returns when all connections have ended.
func (connections *connections) wait() { connections.serving.Wait() }

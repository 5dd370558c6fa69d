package transport

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// acceptRetryDelay is the wait after a failed accept, for example when the process has no file
// descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// accept accepts connections until ctx ends.
func (links *Links) accept(ctx context.Context) {
	for {
		raw, err := links.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				raw.Close()
			}
			return
		}
		if err != nil {
			sleep(ctx, acceptRetryDelay)
			continue
		}
		links.spawn(func() { links.serveIncoming(ctx, raw) })
	}
}

// serveIncoming performs the handshake on an accepted connection and carries messages over it until
// it fails or ctx ends.
func (links *Links) serveIncoming(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	stopClose := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stopClose()
	connection, err := links.admit(ctx, raw)
	if err != nil {
		links.options.Logger.Info("connection refused", zap.Stringer("address", raw.RemoteAddr()),
			zap.Int("code", int(faults.CodeOf(err))), zap.Error(err))
		return
	}
	links.addIncoming(connection)
	defer links.removeIncoming(connection)
	err = connection.run(ctx, links.options.Timing.Keepalive, links.receive)
	links.options.Logger.Info("connection closed", zap.String("peer", string(connection.peer.Name)),
		zap.Int("code", int(faults.CodeOf(err))), zap.Error(err))
}

// admit performs the TLS handshake, reads the peer's hello and answers it. It refuses a peer whose
// certificate does not match its hello, or whose role this process does not accept.
func (links *Links) admit(ctx context.Context, raw net.Conn) (*connection, error) {
	stream, err := links.secure(ctx, raw)
	if err != nil {
		return nil, err
	}
	connection := newConnection(links.options.Self, stream, newSendQueue(links.options.Metrics.countDrop), links.options.Metrics.traffic)
	received, err := connection.readHello()
	if err != nil {
		return nil, err
	}
	peer, err := identify(stream, received)
	if err == nil && !accepts(links.options.Role, peer.Role) {
		err = faults.New(faults.CodeRoleRefused, "a process of role %s does not accept connections from role %s", links.options.Role, peer.Role)
	}
	if err != nil {
		links.options.Metrics.countRefusal(received.Role)
		_ = connection.send(frame{Refusal: &refusal{Code: faults.CodeOf(err), Text: err.Error()}})
		return nil, err
	}
	connection.peer = peer
	return connection, connection.sendHello(links.hello())
}

// secure wraps raw in a connection that counts bytes and sets deadlines for reads and writes. If this
// process has keys, it also performs the TLS handshake.
func (links *Links) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	metered := links.options.Metrics.meter(raw, links.options.Timing)
	if links.options.Keys == nil {
		return metered, nil
	}
	handshakeContext, cancel := context.WithTimeout(ctx, links.options.Timing.ConnectTimeout)
	defer cancel()
	secured := tls.Server(metered, links.options.Keys.ServerConfig())
	if err := secured.HandshakeContext(handshakeContext); err != nil {
		return nil, faults.New(faults.CodeKeysInvalid, "accept from %s: %v", raw.RemoteAddr(), err)
	}
	return secured, nil
}

// addIncoming makes connection the one by which messages to its peer are sent. A previous connection
// from the same peer is closed, because the peer has abandoned it.
func (links *Links) addIncoming(connection *connection) {
	links.lock.Lock()
	previous := links.incoming[connection.peer.Name]
	links.incoming[connection.peer.Name] = connection
	links.lock.Unlock()
	links.options.Metrics.connections.Inc()
	if previous != nil {
		_ = previous.stream.Close()
	}
}

func (links *Links) removeIncoming(connection *connection) {
	links.options.Metrics.connections.Dec()
	links.lock.Lock()
	defer links.lock.Unlock()
	if links.incoming[connection.peer.Name] == connection {
		delete(links.incoming, connection.peer.Name)
	}
}

// Peers returns the names of the processes whose connections this process accepted.
func (links *Links) Peers() []model.NodeName {
	links.lock.Lock()
	defer links.lock.Unlock()
	names := make([]model.NodeName, 0, len(links.incoming))
	for name := range links.incoming {
		names = append(names, name)
	}
	return names
}

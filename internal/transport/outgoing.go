package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
)

// outgoingLink maintains a connection to a peer. When the connection breaks, it reconnects with
// exponential backoff and jitter.
type outgoingLink struct {
	links     *Links
	peer      model.NodeName
	queue     *sendQueue
	connected atomic.Bool
	// stopped is closed by stop.
	stopped  chan struct{}
	stopOnce sync.Once
	// refusals is the number of refused attempts since the last connection. Only run uses it.
	refusals int

	lock    sync.Mutex
	address string
}

func newOutgoingLink(links *Links, peer model.NodeName, address string) *outgoingLink {
	return &outgoingLink{
		links:   links,
		peer:    peer,
		address: address,
		queue:   newSendQueue(links.options.Metrics.countDrop),
		stopped: make(chan struct{}),
	}
}

// stop ends run. It may be called more than once.
func (link *outgoingLink) stop() { link.stopOnce.Do(func() { close(link.stopped) }) }

func (link *outgoingLink) setAddress(address string) {
	link.lock.Lock()
	defer link.lock.Unlock()
	link.address = address
}

func (link *outgoingLink) currentAddress() string {
	link.lock.Lock()
	defer link.lock.Unlock()
	return link.address
}

// run connects and reconnects to the peer until stop is called or parent ends.
func (link *outgoingLink) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	go func() {
		select {
		case <-link.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	timing := link.links.options.Timing
	delay := timing.MinBackoff
	connectTimeout := timing.firstConnectTimeout()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		established, err := link.connectAndServe(ctx, connectTimeout)
		if ctx.Err() != nil {
			return
		}
		if established || attempt == 0 {
			link.links.options.Logger.Info("link down", zap.String("peer", string(link.peer)),
				zap.Int("code", int(faults.CodeOf(err))), zap.Error(err))
		}
		connectTimeout = min(2*connectTimeout, timing.ConnectTimeout)
		if established {
			delay = timing.MinBackoff
			connectTimeout = timing.firstConnectTimeout()
		}
		if !sleep(ctx, jitter(delay)) {
			return
		}
		delay = min(2*delay, timing.MaxBackoff)
	}
}

// connectAndServe establishes one connection and carries messages over it until it fails or ctx ends.
// It reports whether the connection was established, and returns the reason for its end.
func (link *outgoingLink) connectAndServe(ctx context.Context, connectTimeout time.Duration) (bool, error) {
	options := link.links.options
	stream, err := link.dial(ctx, connectTimeout)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	connection := newConnection(options.Self, stream, link.queue, options.Metrics.traffic)
	if err := link.handshake(connection); err != nil {
		return false, err
	}
	link.connected.Store(true)
	link.refusals = 0
	options.Logger.Info("link up", zap.String("peer", string(link.peer)), zap.String("address", link.currentAddress()))
	options.Metrics.connections.Inc()
	defer options.Metrics.connections.Dec()
	defer link.connected.Store(false)
	return true, connection.run(ctx, options.Timing.Keepalive, link.links.receive)
}

// dial opens a TCP connection to the peer, with TLS if this process has keys.
func (link *outgoingLink) dial(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	options := link.links.options
	connectContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(connectContext, "tcp", link.currentAddress())
	if err != nil {
		link.reportRefusal(err)
		return nil, faults.New(faults.CodeLinkBroken, "%v", err)
	}
	metered := options.Metrics.meter(raw, options.Timing)
	if options.Keys == nil {
		return metered, nil
	}
	secured := tls.Client(metered, options.Keys.ClientConfig(link.peer))
	if err := secured.HandshakeContext(connectContext); err != nil {
		raw.Close()
		return nil, faults.New(faults.CodeKeysInvalid, "connect to %s: %v", link.peer, err)
	}
	return secured, nil
}

// maxReportedRefusals bounds the reported refusals after the loss of a connection. One could be
// outrun by messages that the peer sent before it ended.
const maxReportedRefusals = 3

// reportRefusal reports that the peer's machine refused a connection, if that is the cause of a failed
// attempt.
func (link *outgoingLink) reportRefusal(cause error) {
	if !errors.Is(cause, syscall.ECONNREFUSED) || link.links.refused == nil {
		return
	}
	link.refusals++
	if link.refusals == 1 {
		link.links.options.Logger.Info("connection refused by the peer's machine", zap.String("peer", string(link.peer)))
	}
	if link.refusals <= maxReportedRefusals {
		link.links.refused(link.peer)
	}
}

// handshake exchanges hellos with the peer. It checks that the peer has the expected name and accepts
// connections from this process's role.
func (link *outgoingLink) handshake(connection *connection) error {
	if err := connection.sendHello(link.links.hello()); err != nil {
		return faults.New(faults.CodeLinkBroken, "send hello: %v", err)
	}
	answer, err := connection.readHello()
	if err != nil {
		return err
	}
	peer, err := identify(connection.stream, answer)
	if err != nil {
		return err
	}
	if peer.Name != link.peer || !accepts(peer.Role, link.links.options.Role) {
		return faults.New(faults.CodeRoleRefused, "%s is %s %q, not a peer %q that accepts role %s",
			link.currentAddress(), peer.Role, peer.Name, link.peer, link.links.options.Role)
	}
	connection.peer = peer
	return nil
}

// identify returns the name and role of the peer: on TLS those of its certificate, which must match
// its hello, otherwise those of its hello.
func identify(stream net.Conn, received hello) (keys.Process, error) {
	claimed := keys.Process{Name: received.Name, Role: received.Role}
	secured, isTLS := stream.(*tls.Conn)
	if !isTLS {
		return claimed, nil
	}
	certified, err := keys.PeerProcess(secured.ConnectionState())
	if err != nil {
		return keys.Process{}, err
	}
	if certified.Name != claimed.Name || certified.Role != claimed.Role {
		return keys.Process{}, faults.New(faults.CodeSenderRefused, "the certificate is of %s %q, but the hello is from %s %q",
			certified.Role, certified.Name, claimed.Role, claimed.Name)
	}
	return certified, nil
}

// jitter returns a random duration between half of delay and delay, so that processes that lost the
// same peer do not all reconnect at the same time.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

// sleep waits for delay or until ctx ends. It reports whether the delay passed.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package transport

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
)

// outgoingLink keeps one connection to a peer and makes it again, with
// jittered and growing delays, when it breaks.
type outgoingLink struct {
	links     *Links
	peer      model.NodeName
	queue     *sendQueue
	connected atomic.Bool
	// stopped is closed when the link is not wanted any more.
	stopped  chan struct{}
	stopOnce sync.Once

	lock    sync.Mutex
	address string
}

func newOutgoingLink(links *Links, peer model.NodeName, address string) *outgoingLink {
	return &outgoingLink{
		links:   links,
		peer:    peer,
		address: address,
		queue:   newSendQueue(links.options.Metrics.drop),
		stopped: make(chan struct{}),
	}
}

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

func (link *outgoingLink) run(process context.Context) {
	ctx, cancel := context.WithCancel(process)
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

// connectAndServe makes one connection and serves it until it breaks. It
// tells whether the connection was established.
func (link *outgoingLink) connectAndServe(ctx context.Context, connectTimeout time.Duration) (bool, error) {
	options := link.links.options
	stream, err := link.dial(ctx, connectTimeout)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	connection := newConnection(options.Self, stream, link.queue, options.Metrics.traffic)
	if err := link.shakeHands(connection); err != nil {
		return false, err
	}
	link.connected.Store(true)
	options.Logger.Info("link up", zap.String("peer", string(link.peer)), zap.String("address", link.currentAddress()))
	options.Metrics.connections.Inc()
	defer options.Metrics.connections.Dec()
	defer link.connected.Store(false)
	return true, connection.run(ctx, options.Timing.Keepalive, link.links.receive)
}

func (link *outgoingLink) dial(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	options := link.links.options
	connectContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(connectContext, "tcp", link.currentAddress())
	if err != nil {
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

// shakeHands introduces this process and checks that the peer is the one that
// was meant and serves this process's role.
func (link *outgoingLink) shakeHands(connection *connection) error {
	if err := connection.introduce(link.links.hello()); err != nil {
		return faults.New(faults.CodeLinkBroken, "introduce: %v", err)
	}
	answer, err := connection.readHello()
	if err != nil {
		return err
	}
	peer, err := identify(connection.stream, answer)
	if err != nil {
		return err
	}
	if peer.Name != link.peer || !serves(peer.Role, link.links.options.Role) {
		return faults.New(faults.CodeRoleRefused, "%s is %s %q, not the peer %q that serves role %s",
			link.currentAddress(), peer.Role, peer.Name, link.peer, link.links.options.Role)
	}
	connection.peer = peer
	return nil
}

// identify returns who the peer is. On TLS the certificate decides and the
// introduction must agree with it.
func identify(stream net.Conn, introduced hello) (keys.Process, error) {
	claimed := keys.Process{Name: introduced.Name, Role: introduced.Role}
	secured, isTLS := stream.(*tls.Conn)
	if !isTLS {
		return claimed, nil
	}
	proved, err := keys.PeerProcess(secured.ConnectionState())
	if err != nil {
		return keys.Process{}, err
	}
	if proved.Name != claimed.Name || proved.Role != claimed.Role {
		return keys.Process{}, faults.New(faults.CodeSenderRefused, "%s %q introduced itself as %s %q",
			proved.Role, proved.Name, claimed.Role, claimed.Name)
	}
	return proved, nil
}

// jitter returns a duration between half of delay and delay, so that many
// processes that lost the same peer do not return at the same moment.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

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

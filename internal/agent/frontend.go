package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"merlinpaddle/internal/agent/dataplane"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

const (
	// connectionIDLength is the length of the QUIC connection IDs that the
	// agent issues, in bytes.
	connectionIDLength = 8
	// keepAlivePeriod is the time between the agent's own QUIC pings. They
	// keep NAT mappings alive while a feed has no updates.
	keepAlivePeriod = 10 * time.Second
	// maximumStreams bounds the requests in progress on one connection.
	maximumStreams = 100
	// flowLinger is how long a flow stays owned after its last connection
	// ended, so that packets still in transit reach it.
	flowLinger = 2 * time.Second
)

// errNotAccepting refuses new connections while the target drains.
var errNotAccepting = errors.New("the target accepts no new connections")

// frontend is the HTTP/3 server of a target. It implements
// dataplane.Receiver.
type frontend struct {
	plane     *dataplane.Plane
	service   model.Service
	resetKey  *quic.StatelessResetKey
	packets   *dataplane.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	// connections serves the connections whose handshake is complete.
	connections *connections
	acceptLoop  sync.WaitGroup

	lock                sync.Mutex
	connectionsByCaller map[netip.AddrPort]int
}

// newFrontend starts the HTTP/3 server of service, which receives and sends its
// packets through plane.
func newFrontend(plane *dataplane.Plane, service model.Service, pair tls.Certificate, handler http.Handler) (*frontend, error) {
	key, err := deriveResetKey(pair, service.ID)
	if err != nil {
		return nil, err
	}
	frontend := &frontend{
		plane:               plane,
		service:             service,
		resetKey:            key,
		connections:         newConnections(handler, service.Limits.MaximumHeaderBytes),
		connectionsByCaller: make(map[netip.AddrPort]int),
	}
	frontend.packets = dataplane.NewPacketConn(service.Address, frontend.send)
	frontend.transport = &quic.Transport{
		Conn:               frontend.packets,
		ConnectionIDLength: connectionIDLength,
		StatelessResetKey:  key,
		ConnContext:        frontend.trackConnection,
	}
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS13,
	})
	frontend.listener, err = frontend.transport.Listen(tlsConfig, frontend.quicConfig())
	if err != nil {
		return nil, faults.New(faults.AgentCertificate, "start QUIC: %v", err)
	}
	frontend.acceptLoop.Go(frontend.acceptConnections)
	return frontend, nil
}

// quicConfig returns the listener's configuration. It disables 0-RTT, because
// early data can be replayed, and refuses connections while the target drains.
func (frontend *frontend) quicConfig() *quic.Config {
	config := &quic.Config{
		Allow0RTT:            false,
		HandshakeIdleTimeout: frontend.service.Limits.HeaderTimeout,
		MaxIdleTimeout:       frontend.service.Limits.IdleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maximumStreams,
	}
	config.GetConfigForClient = func(*quic.ClientInfo) (*quic.Config, error) {
		if !frontend.connections.accepting() {
			return nil, errNotAccepting
		}
		return config, nil
	}
	return config
}

// send sends a datagram from the service's address to caller.
func (frontend *frontend) send(caller netip.AddrPort, payload []byte) error {
	return frontend.plane.SendUDP(frontend.service.Protocol, frontend.service.Address, caller, payload)
}

// Deliver implements dataplane.Receiver.
func (frontend *frontend) Deliver(flow model.FiveTuple, payload []byte) {
	frontend.packets.Deliver(flow.Source, payload)
}

// Reset implements dataplane.Receiver. It answers with a stateless reset, whose
// key all agents of the service share.
func (frontend *frontend) Reset(flow model.FiveTuple, payload []byte) {
	reset := statelessReset(frontend.resetKey, payload)
	if reset == nil {
		return
	}
	// The error is ignored: the caller's next packet is answered by a reset again.
	_ = frontend.send(flow.Source, reset)
}

// Expired implements dataplane.Receiver. It does nothing: QUIC's idle timeout is
// shorter than that of flows, so it has ended the connections before.
func (frontend *frontend) Expired([]model.FiveTuple) {}

// trackConnection counts the connections of each caller address, so that the
// flow is closed after the last of them ended.
func (frontend *frontend) trackConnection(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	address, isUDP := info.RemoteAddr.(*net.UDPAddr)
	if !isUDP {
		return ctx, nil
	}
	caller := netip.AddrPortFrom(address.AddrPort().Addr().Unmap(), address.AddrPort().Port())
	frontend.lock.Lock()
	frontend.connectionsByCaller[caller]++
	frontend.lock.Unlock()
	context.AfterFunc(ctx, func() { frontend.connectionEnded(caller) })
	return ctx, nil
}

// connectionEnded subtracts an ended connection from the caller's count after
// flowLinger, and closes the flow if it was the last one.
func (frontend *frontend) connectionEnded(caller netip.AddrPort) {
	time.AfterFunc(flowLinger, func() {
		frontend.lock.Lock()
		frontend.connectionsByCaller[caller]--
		last := frontend.connectionsByCaller[caller] == 0
		if last {
			delete(frontend.connectionsByCaller, caller)
		}
		frontend.lock.Unlock()
		if last {
			frontend.plane.CloseFlow(model.FiveTuple{
				Protocol:    frontend.service.Protocol,
				Source:      caller,
				Destination: frontend.service.Address,
			})
		}
	})
}

// acceptConnections accepts and serves connections until the listener is closed.
func (frontend *frontend) acceptConnections() {
	for {
		connection, err := frontend.listener.Accept(context.Background())
		if err != nil {
			return
		}
		frontend.connections.serve(connection)
	}
}

// close closes all connections immediately and waits until they have ended.
func (frontend *frontend) close() {
	frontend.connections.closeAll()
	_ = frontend.listener.Close()
	_ = frontend.transport.Close()
	_ = frontend.packets.Close()
	frontend.acceptLoop.Wait()
	frontend.connections.wait()
}

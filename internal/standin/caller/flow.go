package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// handshakeTimeout bounds the opening of a connection.
	handshakeTimeout = 3 * time.Second
	// idleTimeout is how long a connection may receive nothing before it counts as broken; it spans
	// several keep-alive periods.
	idleTimeout     = 6 * time.Second
	keepAlivePeriod = 2 * time.Second
)

// unknownNode is reported for connections on which no back end has answered.
const unknownNode = "unknown"

// errClosedByCaller is the close reason of connections that this caller closes.
var errClosedByCaller = errors.New("closed by the caller")

// flow is one HTTP/3 connection. Each has its own source port.
type flow struct {
	socket     *net.UDPConn
	transport  *quic.Transport
	connection *quic.Conn
	client     *http3.ClientConn
	openedAt   time.Time
	inProgress atomic.Int64
	// closedByCaller is set when the caller closes the connection.
	closedByCaller atomic.Bool
	// retired is set when the connection is to be closed once its last request in progress has ended.
	retired atomic.Bool
	// goingAway is set when the server accepts no more requests on the connection.
	goingAway atomic.Bool
	// node is the back end that last answered on the connection.
	node atomic.Pointer[string]
}

// setNode records the back end that answered on the connection.
func (flow *flow) setNode(node string) { flow.node.Store(&node) }

// nodeName returns the back end that last answered, or unknownNode.
func (flow *flow) nodeName() string {
	if node := flow.node.Load(); node != nil {
		return *node
	}
	return unknownNode
}

// openFlow opens a connection from source to address.
func openFlow(ctx context.Context, source netip.Addr, address netip.AddrPort) (*flow, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(source, 0)))
	if err != nil {
		return nil, fmt.Errorf("open a source port: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	dialContext, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	connection, err := transport.Dial(dialContext, net.UDPAddrFromAddrPort(address), clientTLS(), clientQUIC())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	client := (&http3.Transport{DisableCompression: true}).NewClientConn(connection)
	return &flow{
		socket:     socket,
		transport:  transport,
		connection: connection,
		client:     client,
		openedAt:   time.Now(),
	}, nil
}

// clientTLS returns a configuration that accepts any certificate, because agents use self-signed
// ones in tests.
func clientTLS() *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true,
		NextProtos:         []string{http3.NextProtoH3},
		ServerName:         "service.test",
	}
}

func clientQUIC() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
	}
}

// alive reports whether the connection is open.
func (flow *flow) alive() bool { return flow.connection.Context().Err() == nil }

// close closes the connection without an error and marks it as closed by the caller.
func (flow *flow) close() {
	flow.closedByCaller.Store(true)
	_ = flow.client.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), errClosedByCaller.Error())
}

// release closes the transport and the socket; call it once the connection has ended.
func (flow *flow) release() {
	_ = flow.transport.Close()
	_ = flow.socket.Close()
}

// ending is how a connection ended.
type ending uint8

const (
	endingByCaller ending = iota + 1
	// endingGraceful: the server closed the connection without an error (H3_NO_ERROR).
	endingGraceful
	// endingBroken: the connection ended otherwise, such as by an error, a reset or an idle timeout.
	endingBroken
)

// waitForEnd waits for the end of the connection and returns its kind and cause.
func (flow *flow) waitForEnd() (ending, error) {
	<-flow.connection.Context().Done()
	cause := context.Cause(flow.connection.Context())
	if flow.closedByCaller.Load() {
		return endingByCaller, cause
	}
	return classifyEnding(cause), cause
}

// classifyEnding returns endingGraceful when cause is an H3_NO_ERROR close, else endingBroken.
func classifyEnding(cause error) ending {
	var closed *quic.ApplicationError
	if errors.As(cause, &closed) && http3.ErrCode(closed.ErrorCode) == http3.ErrCodeNoError {
		return endingGraceful
	}
	return endingBroken
}

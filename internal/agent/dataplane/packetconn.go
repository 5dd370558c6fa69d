package dataplane

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deliveryQueueLength is the largest number of datagrams that wait for ReadFrom.
	deliveryQueueLength = 4096
	// deliveryBufferSize is the initial size of the buffer for one datagram, in bytes. QUIC
	// callers send no longer ones on common networks; for a longer one the buffer grows.
	deliveryBufferSize = 2048
)

// delivery is one datagram from a caller.
type delivery struct {
	source netip.AddrPort
	buffer *[]byte
}

// PacketConn is a net.PacketConn that connects a QUIC endpoint to the packet path. ReadFrom returns
// the datagrams that were passed to Deliver, with the callers' own addresses, as if the endpoint
// were bound to the service's address. WriteTo sends the endpoint's datagrams to the callers.
type PacketConn struct {
	local      net.Addr
	send       func(caller netip.AddrPort, payload []byte) error
	deliveries chan delivery
	buffers    sync.Pool
	dropped    atomic.Uint64

	closeOnce sync.Once
	closed    chan struct{}
	deadline  readDeadline
}

// NewPacketConn returns a connection of the service at address. send sends a datagram to a caller.
func NewPacketConn(address netip.AddrPort, send func(caller netip.AddrPort, payload []byte) error) *PacketConn {
	return &PacketConn{
		local:      net.UDPAddrFromAddrPort(address),
		send:       send,
		deliveries: make(chan delivery, deliveryQueueLength),
		buffers:    sync.Pool{New: func() any { return newBuffer() }},
		closed:     make(chan struct{}),
	}
}

func newBuffer() *[]byte {
	buffer := make([]byte, 0, deliveryBufferSize)
	return &buffer
}

// Deliver queues a datagram from a caller for ReadFrom. It copies payload, and drops the datagram
// when the queue is full.
func (connection *PacketConn) Deliver(source netip.AddrPort, payload []byte) {
	buffer := connection.buffers.Get().(*[]byte)
	*buffer = append((*buffer)[:0], payload...)
	select {
	case connection.deliveries <- delivery{source: source, buffer: buffer}:
	default:
		connection.dropped.Add(1)
		connection.buffers.Put(buffer)
	}
}

// Dropped returns how many datagrams were dropped because the queue was full.
func (connection *PacketConn) Dropped() uint64 { return connection.dropped.Load() }

// ReadFrom implements net.PacketConn.
func (connection *PacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		expired, changed := connection.deadline.wait()
		select {
		case received := <-connection.deliveries:
			count := copy(buffer, *received.buffer)
			connection.buffers.Put(received.buffer)
			return count, net.UDPAddrFromAddrPort(received.source), nil
		case <-connection.closed:
			return 0, nil, net.ErrClosed
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

// WriteTo implements net.PacketConn.
func (connection *PacketConn) WriteTo(payload []byte, address net.Addr) (int, error) {
	caller, isUDP := address.(*net.UDPAddr)
	if !isUDP {
		return 0, net.InvalidAddrError("not a UDP address")
	}
	if err := connection.send(caller.AddrPort(), payload); err != nil {
		return 0, err
	}
	return len(payload), nil
}

// Close implements net.PacketConn. It may be called more than once.
func (connection *PacketConn) Close() error {
	connection.closeOnce.Do(func() { close(connection.closed) })
	return nil
}

// LocalAddr implements net.PacketConn. It is the service's address.
func (connection *PacketConn) LocalAddr() net.Addr { return connection.local }

// SetDeadline implements net.PacketConn. It sets only the read deadline, because writes do not
// block.
func (connection *PacketConn) SetDeadline(at time.Time) error { return connection.SetReadDeadline(at) }

// SetReadDeadline implements net.PacketConn.
func (connection *PacketConn) SetReadDeadline(at time.Time) error {
	connection.deadline.set(at)
	return nil
}

// SetWriteDeadline implements net.PacketConn. It does nothing, because writes do not block.
func (connection *PacketConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing, because there is no kernel buffer to enlarge. Without this method the
// QUIC library logs a warning.
func (connection *PacketConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, like SetReadBuffer.
func (connection *PacketConn) SetWriteBuffer(int) error { return nil }

// readDeadline wakes readers at a deadline, which may be changed while they wait. The zero value
// has no deadline.
type readDeadline struct {
	lock    sync.Mutex
	timer   *time.Timer
	expired chan struct{}
	changed chan struct{}
}

// wait returns a channel that is closed at the deadline, or nil without a deadline, and a channel
// that is closed when the deadline is changed.
func (deadline *readDeadline) wait() (expired, changed <-chan struct{}) {
	deadline.lock.Lock()
	defer deadline.lock.Unlock()
	if deadline.changed == nil {
		deadline.changed = make(chan struct{})
	}
	return deadline.expired, deadline.changed
}

// set changes the deadline; the zero time removes it.
func (deadline *readDeadline) set(at time.Time) {
	deadline.lock.Lock()
	defer deadline.lock.Unlock()
	if deadline.timer != nil {
		deadline.timer.Stop()
		deadline.timer = nil
	}
	deadline.expired = nil
	if !at.IsZero() {
		expired := make(chan struct{})
		deadline.expired = expired
		deadline.timer = time.AfterFunc(time.Until(at), func() { close(expired) })
	}
	if deadline.changed != nil {
		close(deadline.changed)
		deadline.changed = nil
	}
}

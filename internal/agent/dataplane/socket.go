// Package dataplane is the packet path of a target's agent. It receives Geneve packets from
// balancers and other agents, asks package steering what to do with each of them, and delivers,
// forwards, resets or drops it. Answers are sent to the fabric, which carries them to the callers.
package dataplane

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"merlinpaddle/internal/packet"
)

// receiveBufferSize is the requested size of the socket's receive buffer, in bytes.
const receiveBufferSize = 4 << 20

// Socket is the agent's UDP socket for Geneve packets. Its Send may be called
// concurrently.
type Socket struct {
	connection *net.UDPConn
	encoders   sync.Pool
	datagrams  sync.Pool
}

// Listen opens the socket at address.
func Listen(address string) (*Socket, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("packet address %s: %w", address, err)
	}
	connection, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, fmt.Errorf("packet address %s: %w", address, err)
	}
	// The error is ignored: with a smaller buffer only more packets are lost in bursts.
	_ = connection.SetReadBuffer(receiveBufferSize)
	return &Socket{
		connection: connection,
		encoders:   sync.Pool{New: func() any { return packet.NewEncoder() }},
		datagrams:  sync.Pool{New: func() any { return new([]byte) }},
	}, nil
}

// Address returns the address of the socket.
func (socket *Socket) Address() netip.AddrPort {
	return socket.connection.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket, which ends Receive.
func (socket *Socket) Close() error { return socket.connection.Close() }

// Send encodes one packet and sends it to destination.
func (socket *Socket) Send(destination netip.AddrPort, encapsulated *packet.Encapsulated) error {
	encoder := socket.encoders.Get().(*packet.Encoder)
	defer socket.encoders.Put(encoder)
	datagram := socket.datagrams.Get().(*[]byte)
	defer socket.datagrams.Put(datagram)
	encoded, err := encoder.Append((*datagram)[:0], encapsulated)
	if err != nil {
		return err
	}
	*datagram = encoded
	_, err = socket.connection.WriteToUDPAddrPort(encoded, destination)
	return err
}

// Receive calls handle for each packet until ctx ends, which closes the socket, or the socket is
// closed otherwise. The packet's memory is reused after handle returns. Receive calls rejected with
// the error of each datagram that cannot be decoded.
func (socket *Socket) Receive(ctx context.Context, handle func(*packet.Encapsulated), rejected func(error)) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.connection.Close() })
	defer stop()
	buffer := make([]byte, packet.MaximumDatagram)
	var decoder packet.Decoder
	var received packet.Encapsulated
	for {
		length, _, err := socket.connection.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// For example, an ICMP error about an earlier datagram. The socket still works.
			continue
		}
		if err := decoder.Decode(buffer[:length], &received); err != nil {
			rejected(err)
			continue
		}
		handle(&received)
	}
}

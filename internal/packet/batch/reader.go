// Package batch receives and sends datagrams in batches. A system call costs more than all other
// work on a packet, so the packet path receives the datagrams that have arrived with one call
// (recvmmsg) and sends the resulting ones with another (sendmmsg), through golang.org/x/net/ipv4.
package batch

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Size is the maximum number of datagrams in one batch. A larger batch saves little more and makes
// its last packet wait longer until the packets before it are processed.
const Size = 32

// receiveBufferLength is the length of the buffer for one received datagram, in bytes. The largest
// datagram over loopback fits into it.
const receiveBufferLength = 1 << 16

// Reader receives batches from one socket. It is not safe for concurrent use, but several readers
// may share a socket.
type Reader struct {
	connection *ipv4.PacketConn
	messages   []ipv4.Message
	// dropped is the socket's count of dropped datagrams as of the latest batch.
	dropped uint32
}

// NewReader returns a reader of socket, which may be an IPv4 or IPv6 socket.
func NewReader(socket *net.UDPConn) *Reader {
	reader := &Reader{connection: ipv4.NewPacketConn(socket), messages: make([]ipv4.Message, Size)}
	for index := range reader.messages {
		reader.messages[index].Buffers = [][]byte{make([]byte, receiveBufferLength)}
		reader.messages[index].OOB = make([]byte, controlMessageSpace)
	}
	return reader
}

// Read waits for at least one datagram and returns the number of datagrams received. It overwrites
// the datagrams of the previous batch. On an error it returns zero; the error is net.ErrClosed if
// the socket was closed.
func (reader *Reader) Read() (int, error) {
	count, err := reader.connection.ReadBatch(reader.messages, 0)
	if err != nil {
		return 0, err
	}
	if count > 0 {
		latest := &reader.messages[count-1]
		reader.dropped = parseDropCount(latest.OOB[:latest.NN], reader.dropped)
	}
	return count, nil
}

// Dropped returns the number of datagrams that the socket has dropped since it was opened because
// its receive buffer was full, as of the latest batch. The count belongs to the socket, so that all
// its readers share it, and wraps around. It stays zero unless ReportDrops was called.
func (reader *Reader) Dropped() uint32 { return reader.dropped }

// Datagram returns the datagram at index of the latest batch. It is valid until the next Read.
func (reader *Reader) Datagram(index int) []byte {
	message := &reader.messages[index]
	return message.Buffers[0][:message.N]
}

// Sender returns the source address of the datagram at index of the latest batch. IPv4-mapped IPv6
// addresses are converted to IPv4.
func (reader *Reader) Sender(index int) netip.AddrPort {
	address, isUDP := reader.messages[index].Addr.(*net.UDPAddr)
	if !isUDP {
		return netip.AddrPort{}
	}
	sender := address.AddrPort()
	return netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
}

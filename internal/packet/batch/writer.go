package batch

import (
	"errors"
	"net"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// headerCapacity is the initial capacity for the header of a datagram, in bytes.
const headerCapacity = 256

// sender has the method of *ipv4.PacketConn that Writer uses.
type sender interface {
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
}

// Outcome counts the datagrams of one Flush by result.
type Outcome struct {
	// Sent is the number that the socket accepted.
	Sent int
	// Failed is the number that the socket rejected, for example because they are too large.
	Failed int
	// Overflowed is the number that were dropped because the socket's send buffer, or the queue of
	// the network device, was full.
	Overflowed int
}

// Writer collects datagrams and sends them in one call. It is not safe for concurrent use, but
// several writers may share a socket.
//
// A datagram consists of a header in memory of the writer and a body in memory of the caller, so
// that forwarding a packet does not copy the inner packet.
type Writer struct {
	sender   sender
	messages []ipv4.Message
	headers  [][]byte
	count    int
}

// NewWriter returns a writer to socket, which may be an IPv4 or IPv6 socket.
func NewWriter(socket *net.UDPConn) *Writer {
	return newWriter(ipv4.NewPacketConn(socket))
}

func newWriter(sender sender) *Writer {
	writer := &Writer{
		sender:   sender,
		messages: make([]ipv4.Message, Size),
		headers:  make([][]byte, Size),
	}
	for index := range writer.messages {
		writer.headers[index] = make([]byte, 0, headerCapacity)
		writer.messages[index].Buffers = make([][]byte, 2)
	}
	return writer
}

// Header returns an empty slice with capacity for the header of the next datagram; append the
// header to it and pass the result to Put. The writer must not be full.
func (writer *Writer) Header() []byte { return writer.headers[writer.count][:0] }

// Put adds a datagram to the batch. The writer must not be full, and body must not be modified
// before Flush.
func (writer *Writer) Put(header, body []byte, destination *net.UDPAddr) {
	message := &writer.messages[writer.count]
	writer.headers[writer.count] = header
	message.Buffers[0] = header
	message.Buffers[1] = body
	message.Addr = destination
	writer.count++
}

// Full reports whether the batch is full, so that Flush must be called before the next Put.
func (writer *Writer) Full() bool { return writer.count == len(writer.messages) }

// Flush sends the collected datagrams and returns how many were sent, failed and dropped. It skips
// a datagram that the socket rejects and sends the others. Flush never waits: if the send buffer is
// full, it drops the remaining datagrams. A packet path that waited for its socket would instead
// lose the packets that arrive meanwhile, without counting them.
func (writer *Writer) Flush() Outcome {
	var outcome Outcome
	pending := writer.messages[:writer.count]
	writer.count = 0
	for len(pending) > 0 {
		count, err := writer.sender.WriteBatch(pending, unix.MSG_DONTWAIT)
		if isBufferFull(err) {
			outcome.Overflowed += len(pending)
			return outcome
		}
		if err != nil || count <= 0 {
			// The call returns an error only if it could not send the first datagram. After a
			// partial success the error comes with the next call.
			outcome.Failed++
			pending = pending[1:]
			continue
		}
		outcome.Sent += count
		pending = pending[count:]
	}
	return outcome
}

// isBufferFull reports whether a send error means that the send buffer of the socket or the queue
// of the network device is full.
func isBufferFull(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.ENOBUFS)
}

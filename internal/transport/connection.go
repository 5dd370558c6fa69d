package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// connection is a stream to a peer. The peer's name and role are known after the handshake. Then one
// goroutine reads from the stream and another writes to it.
type connection struct {
	self    model.NodeName
	peer    keys.Process
	stream  net.Conn
	traffic traffic
	encoder *gob.Encoder
	written *countingWriter
	buffer  *bufio.Writer
	decoder *gob.Decoder
	read    *countingReader
	queue   *sendQueue
}

func newConnection(self model.NodeName, stream net.Conn, queue *sendQueue, traffic traffic) *connection {
	buffer := bufio.NewWriter(stream)
	written := &countingWriter{Writer: buffer}
	read := &countingReader{buffered: bufio.NewReader(stream)}
	return &connection{
		self:    self,
		stream:  stream,
		traffic: traffic,
		encoder: gob.NewEncoder(written),
		written: written,
		buffer:  buffer,
		decoder: gob.NewDecoder(read),
		read:    read,
		queue:   queue,
	}
}

// send writes frames and flushes the buffer.
func (connection *connection) send(frames ...frame) error {
	for index := range frames {
		if err := connection.encoder.Encode(&frames[index]); err != nil {
			return err
		}
		connection.traffic.count(directionOut, &frames[index], connection.written.take())
	}
	return connection.buffer.Flush()
}

// receive reads the next frame.
func (connection *connection) receive() (frame, error) {
	var next frame
	if err := connection.decoder.Decode(&next); err != nil {
		return frame{}, err
	}
	connection.traffic.count(directionIn, &next, connection.read.take())
	return next, nil
}

// sendHello sends the hello of this process.
func (connection *connection) sendHello(local hello) error {
	return connection.send(frame{Hello: &local})
}

// readHello reads the peer's hello. If the peer refused the connection, it returns the refusal as an
// error.
func (connection *connection) readHello() (hello, error) {
	first, err := connection.receive()
	if err != nil {
		return hello{}, faults.New(faults.CodeLinkBroken, "read hello: %v", err)
	}
	if first.Refusal != nil {
		return hello{}, faults.New(first.Refusal.Code, "refused by the peer: %s", first.Refusal.Text)
	}
	if first.Hello == nil || first.Hello.Name == "" {
		return hello{}, faults.New(faults.CodeHelloRefused, "the first frame is not a hello with a name")
	}
	return *first.Hello, nil
}

// run reads and writes messages until the connection fails or ctx ends, and returns the reason. It
// passes each received message to receive, and sends a keepalive after each interval of length
// keepalive in which nothing was sent.
func (connection *connection) run(ctx context.Context, keepalive time.Duration, receive func(protocol.Envelope)) error {
	runContext, cancel := context.WithCancel(ctx)
	defer cancel()
	stopClose := context.AfterFunc(runContext, func() { _ = connection.stream.Close() })
	defer stopClose()
	written := make(chan error, 1)
	go func() {
		defer cancel()
		written <- connection.write(runContext, keepalive)
	}()
	readError := connection.readAll(receive)
	cancel()
	writeError := <-written
	if faults.CodeOf(readError) != 0 {
		return readError
	}
	return faults.New(faults.CodeLinkBroken, "%v", errors.Join(readError, writeError))
}

func (connection *connection) write(ctx context.Context, keepalive time.Duration) error {
	idle := time.NewTimer(keepalive)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-connection.queue.notice:
			if err := connection.writeQueued(); err != nil {
				return err
			}
		case <-idle.C:
			if err := connection.send(frame{}); err != nil {
				return err
			}
		}
		idle.Reset(keepalive)
	}
}

// writeQueued sends the messages in the send queue.
func (connection *connection) writeQueued() error {
	envelopes := connection.queue.take(time.Now())
	frames := make([]frame, 0, len(envelopes))
	for index := range envelopes {
		frames = append(frames, frame{Envelope: connection.omitKnownNames(envelopes[index])})
	}
	if len(frames) == 0 {
		return nil
	}
	return connection.send(frames...)
}

// omitKnownNames returns envelope without the names that the peer knows from the hello. A sender
// other than this process is kept, and the peer refuses the message.
func (connection *connection) omitKnownNames(envelope protocol.Envelope) *protocol.Envelope {
	if envelope.From == connection.self {
		envelope.From = ""
	}
	if envelope.To == connection.peer.Name {
		envelope.To = ""
	}
	return &envelope
}

// restoreNames sets the names that the peer omitted (omitKnownNames).
func (connection *connection) restoreNames(envelope *protocol.Envelope) {
	if envelope.From == "" {
		envelope.From = connection.peer.Name
	}
	if envelope.To == "" {
		envelope.To = connection.self
	}
}

// readAll passes each received message to receive. It returns an error when the stream breaks, the
// peer refuses the connection, or the peer sends a message that it may not send.
func (connection *connection) readAll(receive func(protocol.Envelope)) error {
	for {
		next, err := connection.receive()
		if err != nil {
			return err
		}
		if next.Refusal != nil {
			return faults.New(next.Refusal.Code, "refused by the peer: %s", next.Refusal.Text)
		}
		if next.Envelope == nil {
			continue
		}
		connection.restoreNames(next.Envelope)
		if next.Envelope.From != connection.peer.Name {
			return faults.New(faults.CodeSenderRefused, "%s sent a message as %s", connection.peer.Name, next.Envelope.From)
		}
		if !maySend(connection.peer.Role, next.Envelope.Message) {
			return faults.New(faults.CodeSenderRefused, "%s %s may not send %T", connection.peer.Role, connection.peer.Name, next.Envelope.Message)
		}
		receive(*next.Envelope)
	}
}

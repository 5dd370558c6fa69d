package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// connectionBuffer is the size of a connection's read buffer, in bytes.
	connectionBuffer = 16 << 10
	// maximumAnswerHeader bounds what is read for an answer's header, in
	// bytes; the part of the body that is read along counts too.
	maximumAnswerHeader = 256 << 10
)

// connection is one TCP connection to the back end. It carries one request at
// a time. While it is idle a goroutine watches it, so that a close or an
// answer nobody asked for is seen before the connection is used again.
type connection struct {
	raw    net.Conn
	reader *bufio.Reader
	reused bool

	// guard is called right before the first byte of a request is written.
	guard   BeforeSend
	written atomic.Int64
	// allowance is the number of bytes that may still be read for a header;
	// negative means without bound.
	allowance atomic.Int64

	idleSince time.Time
	watched   chan error
}

// errUnsolicited tells that the back end sent bytes that answer no request:
// an answer that came late or twice.
var errUnsolicited = errors.New("the back end sent an answer that nobody asked for")

// errHeaderTooLong tells that an answer's header is over its bound.
var errHeaderTooLong = errors.New("the answer's header is too long")

func newConnection(raw net.Conn) *connection {
	fresh := &connection{raw: raw}
	fresh.allowance.Store(maximumAnswerHeader)
	fresh.reader = bufio.NewReaderSize(fresh, connectionBuffer)
	return fresh
}

// Read implements io.Reader below the connection's buffer.
func (connection *connection) Read(buffer []byte) (int, error) {
	allowance := connection.allowance.Load()
	if allowance == 0 {
		return 0, errHeaderTooLong
	}
	if allowance > 0 {
		buffer = buffer[:min(int64(len(buffer)), allowance)]
	}
	count, err := connection.raw.Read(buffer)
	if allowance > 0 {
		connection.allowance.Store(allowance - int64(count))
	}
	return count, err
}

// Write implements io.Writer and counts what the kernel took: those bytes may
// have reached the back end.
func (connection *connection) Write(data []byte) (int, error) {
	if guard := connection.guard; guard != nil {
		connection.guard = nil
		if err := guard(); err != nil {
			return 0, err
		}
	}
	count, err := connection.raw.Write(data)
	connection.written.Add(int64(count))
	return count, err
}

// watch begins to look for unexpected bytes or a close. onEnd is called when
// either is seen before unwatch.
func (connection *connection) watch(now time.Time, onEnd func()) {
	connection.idleSince = now
	connection.reused = true
	connection.written.Store(0)
	connection.allowance.Store(maximumAnswerHeader)
	watched := make(chan error, 1)
	connection.watched = watched
	go func() {
		_, err := connection.reader.Peek(1)
		if err == nil {
			err = errUnsolicited
		}
		watched <- err
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			onEnd()
		}
	}()
}

// unwatch ends the watch and returns why the connection cannot be used, or
// nil when it is clean.
func (connection *connection) unwatch() error {
	// A deadline in the past wakes the watcher up.
	if err := connection.raw.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	err := <-connection.watched
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if connection.reader.Buffered() > 0 {
		return errUnsolicited
	}
	if err := pendingInput(connection.raw); err != nil {
		return err
	}
	return connection.raw.SetReadDeadline(time.Time{})
}

func (connection *connection) close() { _ = connection.raw.Close() }

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
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 16 << 10
	// maximumAnswerHeaderBytes bounds how much is read until the answer's header is complete, in
	// bytes. It includes interim answers and the part of the body that is buffered meanwhile.
	maximumAnswerHeaderBytes = 256 << 10
)

// connection is one TCP connection to the back end. It carries one request at a time. While it is
// idle, a goroutine reads from it, so that a close or an unsolicited answer is detected before the
// connection is used again.
type connection struct {
	raw    net.Conn
	reader *bufio.Reader
	// reused reports whether the connection has carried a request before.
	reused bool

	// beforeSend is called right before the first byte of a request is written, once.
	beforeSend BeforeSend
	// written is the number of bytes written for the current request.
	written atomic.Int64
	// headerBytesLeft is the number of bytes that may still be read for a header; negative means
	// no bound.
	headerBytesLeft atomic.Int64

	idleSince time.Time
	// watchResult gets the error that ended the watch, once.
	watchResult chan error
}

// errUnsolicited means that the back end sent bytes that belong to no open request, such as a
// second or a late answer.
var errUnsolicited = errors.New("the back end sent an unsolicited answer")

// errHeaderTooLong means that an answer's header exceeds maximumAnswerHeaderBytes.
var errHeaderTooLong = errors.New("the answer's header is too long")

// newConnection returns a connection that has carried no request.
func newConnection(raw net.Conn) *connection {
	fresh := &connection{raw: raw}
	fresh.headerBytesLeft.Store(maximumAnswerHeaderBytes)
	fresh.reader = bufio.NewReaderSize(fresh, readBufferSize)
	return fresh
}

// Read implements io.Reader for the connection's read buffer. It limits the size of headers.
func (connection *connection) Read(buffer []byte) (int, error) {
	left := connection.headerBytesLeft.Load()
	if left == 0 {
		return 0, errHeaderTooLong
	}
	if left > 0 {
		buffer = buffer[:min(int64(len(buffer)), left)]
	}
	count, err := connection.raw.Read(buffer)
	if left > 0 {
		connection.headerBytesLeft.Store(left - int64(count))
	}
	return count, err
}

// Write implements io.Writer. It counts the bytes that the kernel accepted, because these may have
// reached the back end.
func (connection *connection) Write(data []byte) (int, error) {
	if beforeSend := connection.beforeSend; beforeSend != nil {
		connection.beforeSend = nil
		if err := beforeSend(); err != nil {
			return 0, err
		}
	}
	count, err := connection.raw.Write(data)
	connection.written.Add(int64(count))
	return count, err
}

// watchIdle resets the connection for the next request and starts a goroutine that waits for
// unsolicited bytes or a close. The goroutine calls onEnd if it sees either before stopWatching.
func (connection *connection) watchIdle(now time.Time, onEnd func()) {
	connection.idleSince = now
	connection.reused = true
	connection.written.Store(0)
	connection.headerBytesLeft.Store(maximumAnswerHeaderBytes)
	result := make(chan error, 1)
	connection.watchResult = result
	go func() {
		_, err := connection.reader.Peek(1)
		if err == nil {
			err = errUnsolicited
		}
		result <- err
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			onEnd()
		}
	}()
}

// stopWatching ends the watch. It returns nil if the connection can be used again, and otherwise
// the reason why it cannot.
func (connection *connection) stopWatching() error {
	// A deadline in the past ends the watcher's read.
	if err := connection.raw.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	err := <-connection.watchResult
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if connection.reader.Buffered() > 0 {
		return errUnsolicited
	}
	if err := checkPendingInput(connection.raw); err != nil {
		return err
	}
	return connection.raw.SetReadDeadline(time.Time{})
}

func (connection *connection) close() { _ = connection.raw.Close() }

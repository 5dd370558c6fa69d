package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// pendingInput asks the kernel whether anything came on an idle connection:
// errUnsolicited for bytes, io.EOF or the socket's error for a close, nil for
// neither. A watcher that is woken by a deadline may not have read it yet,
// because a passed deadline goes before input. A connection that is no socket
// has nothing to ask and gives nil.
func pendingInput(raw net.Conn) error {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var found error
	err = control.Control(func(descriptor uintptr) { found = peek(int(descriptor)) })
	return errors.Join(err, found)
}

// peek looks at the next byte of a socket's input without taking it or waiting.
func peek(descriptor int) error {
	var next [1]byte
	count, _, err := unix.Recvfrom(descriptor, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return nil
	case err != nil:
		return err
	case count == 0:
		return io.EOF
	default:
		return errUnsolicited
	}
}

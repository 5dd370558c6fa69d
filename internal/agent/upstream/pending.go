package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// checkPendingInput checks the kernel's receive buffer of an idle connection. It returns
// errUnsolicited if there are bytes, io.EOF or the socket's error if the connection was closed, and
// nil otherwise. The check is needed because a read whose deadline has passed returns the
// deadline's error even if there is input, so the watcher may not have read it. For a connection
// that is not a socket it returns nil.
func checkPendingInput(raw net.Conn) error {
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

// peek checks a socket for input, without consuming it and without blocking.
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

package batch

import (
	"encoding/binary"
	"net"

	"golang.org/x/sys/unix"
)

// dropCountBytes is the length of the kernel's count of dropped datagrams.
const dropCountBytes = 4

// controlMessageSpace is the space for the control message of one datagram, in bytes.
var controlMessageSpace = unix.CmsgSpace(dropCountBytes)

// ReportDrops makes the kernel attach to each received datagram the number of datagrams that the
// socket has dropped because its receive buffer was full (SO_RXQ_OVFL, see socket(7)). The kernel
// attaches nothing until the first drop.
func ReportDrops(socket *net.UDPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optionError error
	err = raw.Control(func(descriptor uintptr) {
		optionError = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RXQ_OVFL, 1)
	})
	if err != nil {
		return err
	}
	return optionError
}

// parseDropCount returns the count of dropped datagrams in the control messages, or fallback if they
// contain none.
func parseDropCount(control []byte, fallback uint32) uint32 {
	for len(control) >= unix.SizeofCmsghdr {
		header, data, rest, err := unix.ParseOneSocketControlMessage(control)
		if err != nil {
			return fallback
		}
		if header.Level == unix.SOL_SOCKET && header.Type == unix.SO_RXQ_OVFL && len(data) >= dropCountBytes {
			return binary.NativeEndian.Uint32(data)
		}
		control = rest
	}
	return fallback
}

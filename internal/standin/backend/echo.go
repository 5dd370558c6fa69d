package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// maximumDatagram is the size of the receive buffer, in bytes.
const maximumDatagram = 64 << 10

// Echo answers each datagram with the back end's name, a line feed and the datagram, so that a
// caller can tell which back end its flow reached.
type Echo struct {
	// Node is the back end's name.
	Node string
}

// Serve answers datagrams on connection until ctx ends, and then closes connection and returns nil.
// It returns early with an error when receiving fails.
func (echo Echo) Serve(ctx context.Context, connection net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	prefix := []byte(echo.Node + "\n")
	buffer := make([]byte, maximumDatagram)
	for {
		length, sender, err := connection.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		answer := append(prefix[:len(prefix):len(prefix)], buffer[:length]...)
		// A datagram that cannot be sent is dropped; datagrams may be lost on any network.
		_, _ = connection.WriteTo(answer, sender)
	}
}

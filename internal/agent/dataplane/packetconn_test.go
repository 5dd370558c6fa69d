package dataplane

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestPacketConn returns a connection whose datagrams go to send, or are discarded if send is
// nil.
func newTestPacketConn(send func(netip.AddrPort, []byte) error) *PacketConn {
	if send == nil {
		send = func(netip.AddrPort, []byte) error { return nil }
	}
	return NewPacketConn(rigaAddress, send)
}

func TestPacketConnPreservesDatagramsAndTheirOrder(t *testing.T) {
	connection := newTestPacketConn(nil)
	payload := []byte("first")
	connection.Deliver(callerAddress, payload)
	payload[0] = 'x'
	connection.Deliver(callerAddress, nil)
	connection.Deliver(callerAddress, make([]byte, 4000))
	buffer := make([]byte, 8000)
	for _, want := range []int{5, 0, 4000} {
		length, source, err := connection.ReadFrom(buffer)
		require.NoError(t, err)
		require.Equal(t, want, length)
		require.Equal(t, net.UDPAddrFromAddrPort(callerAddress), source)
		if want == 5 {
			require.Equal(t, "first", string(buffer[:length]), "the payload is copied")
		}
	}
	require.Equal(t, net.UDPAddrFromAddrPort(rigaAddress), connection.LocalAddr())
}

func TestPacketConnDropsAndCountsDatagramsWhenTheQueueIsFull(t *testing.T) {
	connection := newTestPacketConn(nil)
	for range deliveryQueueLength + 3 {
		connection.Deliver(callerAddress, []byte("x"))
	}
	require.EqualValues(t, 3, connection.Dropped())
}

func TestPacketConnDeadlinesAndClose(t *testing.T) {
	connection := newTestPacketConn(nil)
	require.NoError(t, connection.SetDeadline(time.Unix(1, 0)))
	_, _, err := connection.ReadFrom(nil)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)

	require.NoError(t, connection.SetReadDeadline(time.Time{}))
	done := make(chan error, 1)
	go func() {
		_, _, err := connection.ReadFrom(nil)
		done <- err
	}()
	require.NoError(t, connection.Close())
	require.NoError(t, connection.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
}

func TestPacketConnWrites(t *testing.T) {
	refused := errors.New("refused")
	var sent netip.AddrPort
	connection := newTestPacketConn(func(to netip.AddrPort, _ []byte) error {
		sent = to
		if to != callerAddress {
			return refused
		}
		return nil
	})
	length, err := connection.WriteTo([]byte("answer"), net.UDPAddrFromAddrPort(callerAddress))
	require.NoError(t, err)
	require.Equal(t, 6, length)
	require.Equal(t, callerAddress, sent)
	_, err = connection.WriteTo(nil, net.UDPAddrFromAddrPort(rigaAddress))
	require.ErrorIs(t, err, refused)
	_, err = connection.WriteTo(nil, &net.TCPAddr{})
	require.Error(t, err)
}

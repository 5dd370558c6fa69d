package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idlePair returns an idle, watched connection and its peer, both on loopback.
func idlePair(t *testing.T, listener net.Listener) (idle *connection, peer net.Conn) {
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	peer, err = listener.Accept()
	require.NoError(t, err)
	idle = newConnection(dialed)
	idle.watch(time.Now(), func() {})
	return idle, peer
}

// What the peer did before the connection is taken must be seen even when the
// goroutine that watches it had no turn yet.
func TestUnwatchSeesWhatTheKernelHolds(t *testing.T) {
	const rounds = 500
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for name, act := range map[string]func(net.Conn) error{
		"close": func(peer net.Conn) error { return peer.Close() },
		"answer nobody asked for": func(peer net.Conn) error {
			_, err := peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			for round := range rounds {
				idle, peer := idlePair(t, listener)
				require.NoError(t, act(peer))
				require.Error(t, idle.unwatch(), "round %d", round)
				idle.close()
				_ = peer.Close()
			}
		})
	}
}

func TestUnwatchOfACleanConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	idle, peer := idlePair(t, listener)
	defer peer.Close()
	defer idle.close()
	require.NoError(t, idle.unwatch())
	_, err = peer.Write([]byte("x"))
	require.NoError(t, err)
	first, err := idle.reader.ReadByte()
	require.NoError(t, err, "the deadline that ended the watch is gone")
	require.Equal(t, byte('x'), first)
}

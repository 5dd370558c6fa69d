package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newIdleConnection returns an idle, watched connection and its peer, both on loopback.
func newIdleConnection(t *testing.T, listener net.Listener) (idle *connection, peer net.Conn) {
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	peer, err = listener.Accept()
	require.NoError(t, err)
	idle = newConnection(dialed)
	idle.watchIdle(time.Now(), func() {})
	return idle, peer
}

// A close or bytes of the peer that arrive before stopWatching must be detected even if the
// watching goroutine was not scheduled meanwhile. Its read then ends with the deadline, not with
// the input.
func TestStopWatchingDetectsInputThatTheWatcherDidNotRead(t *testing.T) {
	const rounds = 500
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for name, act := range map[string]func(net.Conn) error{
		"close": func(peer net.Conn) error { return peer.Close() },
		"unsolicited answer": func(peer net.Conn) error {
			_, err := peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			for round := range rounds {
				idle, peer := newIdleConnection(t, listener)
				require.NoError(t, act(peer))
				require.Error(t, idle.stopWatching(), "round %d", round)
				idle.close()
				_ = peer.Close()
			}
		})
	}
}

func TestStopWatchingACleanConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	idle, peer := newIdleConnection(t, listener)
	defer peer.Close()
	defer idle.close()
	require.NoError(t, idle.stopWatching())
	_, err = peer.Write([]byte("x"))
	require.NoError(t, err)
	first, err := idle.reader.ReadByte()
	require.NoError(t, err, "the deadline that ended the watch must be removed")
	require.Equal(t, byte('x'), first)
}

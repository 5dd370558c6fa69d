package batch

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// conditionTimeout is the time from opening a test socket to its read deadline. Only a failing test
// waits that long.
const conditionTimeout = 20 * time.Second

// openSocket returns a UDP socket at address. It skips the test if the machine has no IPv6 loopback.
func openSocket(t *testing.T, address string) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil && address == "[::1]:0" {
		t.Skipf("no IPv6 on loopback: %v", err)
	}
	require.NoError(t, err)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(conditionTimeout)))
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func addressOf(socket *net.UDPConn) *net.UDPAddr { return socket.LocalAddr().(*net.UDPAddr) }

// readAll reads batches until at least count datagrams have arrived and returns the datagrams as
// text.
func readAll(t *testing.T, socket *net.UDPConn, count int) []string {
	t.Helper()
	reader := NewReader(socket)
	var all []string
	for len(all) < count {
		size, err := reader.Read()
		require.NoError(t, err)
		for index := range size {
			all = append(all, string(reader.Datagram(index)))
		}
	}
	return all
}

func TestDatagramsKeepContentAndSenderAddress(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			sender, receiver := openSocket(t, address), openSocket(t, address)
			writer := NewWriter(sender)
			writer.Put(append(writer.Header(), "head-"...), []byte("body"), addressOf(receiver))
			writer.Put(append(writer.Header(), "alone"...), nil, addressOf(receiver))
			require.Equal(t, Outcome{Sent: 2}, writer.Flush())
			require.Equal(t, []string{"head-body", "alone"}, readAll(t, receiver, 2))

			writer.Put(writer.Header(), []byte("again"), addressOf(receiver))
			writer.Flush()
			reader := NewReader(receiver)
			size, err := reader.Read()
			require.NoError(t, err)
			require.Equal(t, 1, size)
			require.Equal(t, "again", string(reader.Datagram(0)))
			require.Equal(t, addressOf(sender).AddrPort(), reader.Sender(0))
		})
	}
}

func TestWriterIsFullAfterOneBatch(t *testing.T) {
	sender, receiver := openSocket(t, "127.0.0.1:0"), openSocket(t, "127.0.0.1:0")
	writer := NewWriter(sender)
	var want []string
	for number := 0; !writer.Full(); number++ {
		text := fmt.Sprint("datagram ", number)
		want = append(want, text)
		writer.Put(append(writer.Header(), text...), nil, addressOf(receiver))
	}
	require.Len(t, want, Size)
	require.Equal(t, Outcome{Sent: Size}, writer.Flush())
	require.False(t, writer.Full())
	require.Equal(t, want, readAll(t, receiver, Size))
}

func TestFailedDatagramDoesNotStopTheOthers(t *testing.T) {
	tooLarge := make([]byte, 70_000)
	cases := []struct {
		name     string
		rejected []int
	}{
		{"first", []int{0}},
		{"middle", []int{1}},
		{"last", []int{3}},
		{"two in a row", []int{1, 2}},
		{"all", []int{0, 1, 2, 3}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			sender, receiver := openSocket(t, "127.0.0.1:0"), openSocket(t, "127.0.0.1:0")
			writer := NewWriter(sender)
			isRejected := make(map[int]bool)
			for _, index := range test.rejected {
				isRejected[index] = true
			}
			var want []string
			for index := range 4 {
				body := []byte(fmt.Sprint(index))
				if isRejected[index] {
					body = tooLarge
				} else {
					want = append(want, string(body))
				}
				writer.Put(writer.Header(), body, addressOf(receiver))
			}
			require.Equal(t, Outcome{Sent: len(want), Failed: len(test.rejected)}, writer.Flush())
			require.Equal(t, want, readAll(t, receiver, len(want)))
		})
	}
}

func TestFlushOfNothingSendsNothing(t *testing.T) {
	require.Zero(t, NewWriter(openSocket(t, "127.0.0.1:0")).Flush())
}

func TestClosedSocket(t *testing.T) {
	socket := openSocket(t, "127.0.0.1:0")
	reader, writer := NewReader(socket), NewWriter(socket)
	require.NoError(t, socket.Close())
	_, err := reader.Read()
	require.True(t, errors.Is(err, net.ErrClosed), "%v", err)
	writer.Put(writer.Header(), nil, addressOf(openSocket(t, "127.0.0.1:0")))
	require.Equal(t, Outcome{Failed: 1}, writer.Flush())
}

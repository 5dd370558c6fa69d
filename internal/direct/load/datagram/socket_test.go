package datagram

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/socketfault"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// conditionTimeout bounds how long tests wait for a condition. It is not a performance target.
const conditionTimeout = 20 * time.Second

func newFailures() *socketfault.Counter {
	return socketfault.New(prometheus.NewRegistry(), zap.NewNop(), "load")
}

// listen returns a socket on a free port that runs until the end of the test.
func listen(t *testing.T) *Socket {
	t.Helper()
	socket, err := Listen("127.0.0.1:0", newFailures())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- socket.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return socket
}

func nameOf(socket *Socket) model.NodeName { return model.NodeName(socket.Address().String()) }

func TestReportsReachTheirRecipients(t *testing.T) {
	one, other := listen(t), listen(t)
	sent := load.Report{Entries: []load.Entry{{Token: 7, Open: 3}, {Token: 9, Open: 1}}, Wanted: true}
	one.Send([]model.NodeName{"no address", nameOf(other)}, sent)
	var received []protocol.Envelope
	require.Eventually(t, func() bool {
		received = append(received, other.Reports().Drain()...)
		return len(received) > 0
	}, conditionTimeout, time.Millisecond)
	require.Equal(t, []protocol.Envelope{{From: nameOf(one), Message: sent}}, received)
}

func TestMalformedDatagramsAreDropped(t *testing.T) {
	one, other := listen(t), listen(t)
	client, err := net.Dial("udp4", other.Address().String())
	require.NoError(t, err)
	defer client.Close()
	for _, content := range [][]byte{{}, {1}, []byte("no report at all"), make([]byte, maxDatagram)} {
		_, err := client.Write(content)
		require.NoError(t, err)
	}
	one.Send([]model.NodeName{nameOf(other)}, load.Report{Wanted: true})
	require.Eventually(t, func() bool { return other.Reports().Length() > 0 }, conditionTimeout, time.Millisecond)
	require.Len(t, other.Reports().Drain(), 1)
}

func TestListenFailsOnUnusableAddress(t *testing.T) {
	occupied := listen(t)
	_, err := Listen(occupied.Address().String(), newFailures())
	require.Equal(t, faults.PacketSocket, faults.CodeOf(err))
	_, err = Listen("no address", newFailures())
	require.Equal(t, faults.PacketSocket, faults.CodeOf(err))
}

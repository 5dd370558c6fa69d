package transport

import (
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// BenchmarkConnectionMemory measures the heap memory that both ends of a connection use after they
// have exchanged a heartbeat and its acknowledgement, without TLS and goroutine stacks.
func BenchmarkConnectionMemory(b *testing.B) {
	const count = 200
	traffic := newTraffic()
	heap := func() uint64 {
		runtime.GC()
		var statistics runtime.MemStats
		runtime.ReadMemStats(&statistics)
		return statistics.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		var connections []*connection
		for range count {
			nodeEnd, relayEnd := net.Pipe()
			node := newConnection("balancer-1", nodeEnd, newSendQueue(func(string) {}), traffic)
			relay := newConnection("relay-1", relayEnd, newSendQueue(func(string) {}), traffic)
			sendAndReceive(b, node, relay, protocol.Heartbeat{Role: model.RoleBalancer, Sequence: 1})
			sendAndReceive(b, relay, node, protocol.HeartbeatAck{Sequence: 1})
			connections = append(connections, node, relay)
		}
		b.ReportMetric(float64(heap()-before)/count, "B/pair")
		for _, connection := range connections {
			connection.stream.Close()
		}
		runtime.KeepAlive(connections)
	}
}

// sendAndReceive sends message over one end of a connection and reads it from the other.
func sendAndReceive(b *testing.B, from, to *connection, message any) {
	received := make(chan error, 1)
	go func() {
		_, err := to.receive()
		received <- err
	}()
	require.NoError(b, from.send(frame{Envelope: &protocol.Envelope{Message: message}}))
	require.NoError(b, <-received)
}

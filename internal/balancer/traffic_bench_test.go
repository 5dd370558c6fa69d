package balancer

import (
	"bytes"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
)

const (
	// maximumInFlight is the largest number of packets that are sent and have not
	// arrived. They fit into the socket buffers, so none is lost.
	maximumInFlight = 256
	// sendBatchSize is the number of packets that a sender or the sink exchanges with
	// the kernel in one system call, so that they do not limit the measurement.
	sendBatchSize = 32
	// stallTimeout is how long a benchmark waits for packets that do not arrive
	// before it fails.
	stallTimeout = 10 * time.Second
)

// benchmarkSocket opens a UDP socket with large buffers on a free loopback port.
func benchmarkSocket(b *testing.B) *net.UDPConn {
	b.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(freePort))
	if err != nil {
		b.Fatal(err)
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	b.Cleanup(func() { _ = socket.Close() })
	return socket
}

// sink receives and counts the datagrams that are sent to its addresses, one for each
// target host.
type sink struct {
	addresses []netip.AddrPort
	received  atomic.Int64
}

// startSink starts a sink with a socket for each of a number of hosts.
func startSink(b *testing.B, hosts int) *sink {
	created := &sink{}
	for range hosts {
		socket := benchmarkSocket(b)
		created.addresses = append(created.addresses, socketAddress(socket))
		go created.receive(ipv4.NewPacketConn(socket))
	}
	return created
}

func (sink *sink) receive(connection *ipv4.PacketConn) {
	messages := make([]ipv4.Message, sendBatchSize)
	for position := range messages {
		messages[position].Buffers = [][]byte{make([]byte, receiveBufferBytes)}
	}
	for {
		count, err := connection.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		sink.received.Add(int64(count))
	}
}

// sendAndAwait sends count datagrams to destination from all senders together, and
// returns the time until all of them have arrived at the sink.
func sendAndAwait(b *testing.B, senders []*sender, destination netip.AddrPort, sink *sink, count int) time.Duration {
	b.Helper()
	var assigned atomic.Int64
	var group sync.WaitGroup
	before := sink.received.Load()
	began := time.Now()
	for _, sender := range senders {
		group.Go(func() { sender.send(b, destination, sink, before, &assigned, int64(count)) })
	}
	group.Wait()
	awaitArrivals(b, sink, before+int64(count))
	return time.Since(began)
}

// sender is one source of datagrams.
type sender struct {
	connection *ipv4.PacketConn
	messages   []ipv4.Message
	datagrams  [][]byte
}

func startSenders(b *testing.B, count int, datagrams [][]byte) []*sender {
	var senders []*sender
	for range count {
		senders = append(senders, &sender{
			connection: ipv4.NewPacketConn(benchmarkSocket(b)),
			messages:   make([]ipv4.Message, sendBatchSize),
			datagrams:  datagrams,
		})
	}
	return senders
}

// send sends batches of datagrams until all senders together have sent count. Each batch
// is reserved by adding it to assigned, which the senders share. before is the sink's
// count at the start.
func (sender *sender) send(b *testing.B, destination netip.AddrPort, sink *sink, before int64, assigned *atomic.Int64, count int64) {
	address := net.UDPAddrFromAddrPort(destination)
	for {
		last := assigned.Add(sendBatchSize)
		if last > count {
			return
		}
		awaitArrivals(b, sink, before+last-maximumInFlight)
		for position := range sender.messages {
			sender.messages[position].Buffers = [][]byte{sender.datagrams[(int(last)+position)%len(sender.datagrams)]}
			sender.messages[position].Addr = address
		}
		for waiting := sender.messages; len(waiting) > 0; {
			written, err := sender.connection.WriteBatch(waiting, 0)
			if err != nil {
				b.Error(err)
				return
			}
			waiting = waiting[written:]
		}
	}
}

// awaitArrivals waits until the sink has received wanted datagrams since its start.
func awaitArrivals(b *testing.B, sink *sink, wanted int64) {
	b.Helper()
	var stalled time.Time
	for sink.received.Load() < wanted {
		runtime.Gosched()
		if stalled.IsZero() {
			stalled = time.Now().Add(stallTimeout)
		}
		if time.Now().After(stalled) {
			b.Errorf("%d packets arrived, want %d", sink.received.Load(), wanted)
			return
		}
	}
}

// ingressDatagrams returns the Geneve packets of 4096 established flows, each with a
// QUIC packet of 1200 bytes.
func ingressDatagrams(b *testing.B) [][]byte {
	payload := append(bytes.Clone(quicShort), make([]byte, 1200-len(quicShort))...)
	var datagrams [][]byte
	for number := range 4096 {
		flow := model.FiveTuple{Source: benchmarkSource(number), Destination: quicAddress}
		data, err := packet.Encode(packet.Encapsulated{Kind: packet.KindIngress, Inner: packet.BuildInnerUDP(flow, payload)})
		if err != nil {
			b.Fatal(err)
		}
		datagrams = append(datagrams, data)
	}
	return datagrams
}

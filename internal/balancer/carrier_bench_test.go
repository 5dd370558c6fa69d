package balancer

import (
	"net"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/packet/batch"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/rollout"
)

// measuredForwarder forwards datagrams from its socket to a sink. Each of its loops runs
// on its own thread, so that their processor time can be measured separately.
type measuredForwarder struct {
	socket *net.UDPConn
	// elapsed is the time of all turns in which the forwarder was measured.
	elapsed time.Duration
	// processorTimes has a channel for each loop, which receives the loop's processor
	// time when it ends.
	processorTimes []chan time.Duration
}

// startMeasuredForwarder starts loops, which must return when the socket is closed.
func startMeasuredForwarder(b *testing.B, socket *net.UDPConn, loops ...func()) *measuredForwarder {
	created := &measuredForwarder{socket: socket}
	for _, loop := range loops {
		done := make(chan time.Duration, 1)
		created.processorTimes = append(created.processorTimes, done)
		go func() {
			runtime.LockOSThread()
			began := threadTime(b)
			loop()
			done <- threadTime(b) - began
		}()
	}
	return created
}

// stop ends the loops and returns the processor time that they used.
func (forwarder *measuredForwarder) stop() time.Duration {
	_ = forwarder.socket.Close()
	var total time.Duration
	for _, done := range forwarder.processorTimes {
		total += <-done
	}
	return total
}

// threadTime returns the processor time of the calling thread, in user and kernel mode.
func threadTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &usage); err != nil {
		b.Error(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startRelay starts the baseline: a loop that receives a datagram and sends it to next
// unchanged, with one system call each.
func startRelay(b *testing.B, next netip.AddrPort) *measuredForwarder {
	socket := benchmarkSocket(b)
	return startMeasuredForwarder(b, socket, func() {
		buffer := make([]byte, receiveBufferBytes)
		for {
			length, _, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if _, err := socket.WriteToUDPAddrPort(buffer[:length], next); err != nil {
				return
			}
		}
	})
}

// startBatchRelay starts a baseline that receives and sends in the batches that the
// balancer uses. The difference to it is the cost of what the balancer does besides
// receiving and sending datagrams.
func startBatchRelay(b *testing.B, next netip.AddrPort) *measuredForwarder {
	socket := benchmarkSocket(b)
	destination := net.UDPAddrFromAddrPort(next)
	return startMeasuredForwarder(b, socket, func() {
		reader, writer := batch.NewReader(socket), batch.NewWriter(socket)
		for {
			count, err := reader.Read()
			if err != nil {
				return
			}
			for position := range count {
				writer.Put(writer.Header(), reader.Datagram(position), destination)
			}
			writer.Flush()
		}
	})
}

// startBenchmarkBalancer starts a balancer whose targets' agents are at the addresses of
// a sink.
func startBenchmarkBalancer(b *testing.B, workers int, hosts []netip.AddrPort) *measuredForwarder {
	configuration := testConfiguration()
	for position, target := range configuration.ServiceTargets(quicService) {
		target.Agent = hosts[position%len(hosts)]
		configuration.Targets[target.ID] = target
	}
	store := rollout.NewStore()
	store.Advance(configuration)
	created, err := New(Options{
		Packets: freePort, CacheFlows: benchmarkFlows, Workers: workers, Configurations: store,
		Readiness: process.NewReadiness(), Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		b.Fatal(err)
	}
	created.Controller().Reconcile(time.Now())
	var loops []func()
	for range workers {
		loops = append(loops, func() {
			if err := newWorker(created).run(); err != nil {
				b.Error(err)
			}
		})
	}
	return startMeasuredForwarder(b, created.socket, loops...)
}

package balancer

import (
	"fmt"
	"testing"
	"time"
)

const (
	// senderCount is the number of senders. Sending costs the kernel more than
	// receiving, so with one sender the benchmark would measure the sender.
	senderCount = 3
	// packetsPerTurn is the number of packets after which a benchmark switches to the
	// next forwarder; a multiple of sendBatchSize.
	packetsPerTurn = 4096
)

// BenchmarkForwarding compares complete forwarding in Geneve with two plain UDP relays:
// "relay" makes one system call to receive and one to send each datagram, "batch-relay"
// uses the balancer's batches. All forward the same datagrams in turns of packetsPerTurn
// packets, so that noise on the machine affects all alike.
//
// "ratio" and "batch-ratio" are the balancer's processor time per packet divided by that
// of each relay. "elapsed-ratio" is the balancer's elapsed time divided by that of
// "relay"; it includes the senders and the sink.
func BenchmarkForwarding(b *testing.B) {
	sink := startSink(b, 1)
	next := sink.addresses[0]
	relay := startRelay(b, next)
	batchRelay := startBatchRelay(b, next)
	balancer := startBenchmarkBalancer(b, 1, sink.addresses)
	senders := startSenders(b, senderCount, ingressDatagrams(b))
	packets := 0
	for b.Loop() {
		for _, forwarder := range []*measuredForwarder{relay, batchRelay, balancer} {
			forwarder.elapsed += sendAndAwait(b, senders, socketAddress(forwarder.socket), sink, packetsPerTurn)
		}
		packets += packetsPerTurn
	}
	relayTime, batchRelayTime, balancerTime := relay.stop(), batchRelay.stop(), balancer.stop()
	perPacket := func(total time.Duration) float64 { return float64(total.Nanoseconds()) / float64(packets) }
	b.ReportMetric(perPacket(relayTime), "relay-ns/packet")
	b.ReportMetric(perPacket(batchRelayTime), "batch-relay-ns/packet")
	b.ReportMetric(perPacket(balancerTime), "balancer-ns/packet")
	b.ReportMetric(float64(balancerTime)/float64(relayTime), "ratio")
	b.ReportMetric(float64(balancerTime)/float64(batchRelayTime), "batch-ratio")
	b.ReportMetric(float64(balancer.elapsed)/float64(relay.elapsed), "elapsed-ratio")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkForwardingWorkers measures balancers with different numbers of workers on one
// socket, in turns. "cpu-ns" is the processor time of all workers per packet; its growth
// with the number of workers is the cost of contention. "packets/s" is measured with as
// many senders as workers; on a machine with too few processors the senders limit it.
func BenchmarkForwardingWorkers(b *testing.B) {
	sink := startSink(b, 4)
	datagrams := ingressDatagrams(b)
	workerCounts := []int{1, 4, 8}
	balancers := make([]*measuredForwarder, len(workerCounts))
	senders := make([][]*sender, len(workerCounts))
	for position, workers := range workerCounts {
		balancers[position] = startBenchmarkBalancer(b, workers, sink.addresses)
		senders[position] = startSenders(b, workers, datagrams)
	}
	packets := 0
	for b.Loop() {
		for position, balancer := range balancers {
			balancer.elapsed += sendAndAwait(b, senders[position], socketAddress(balancer.socket), sink, packetsPerTurn)
		}
		packets += packetsPerTurn
	}
	for position, balancer := range balancers {
		processorTime := balancer.stop()
		name := fmt.Sprintf("workers=%d-", workerCounts[position])
		b.ReportMetric(float64(processorTime.Nanoseconds())/float64(packets), name+"cpu-ns")
		b.ReportMetric(float64(packets)/balancer.elapsed.Seconds(), name+"packets/s")
	}
	b.ReportMetric(0, "ns/op")
}

// Package socketfault counts and logs what fails at a UDP socket. Datagrams may be
// lost at any time, and their senders repeat them or send newer ones, so a failure
// stops nothing; without a count nobody would know of it.
package socketfault

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Operation is what failed.
type Operation string

// The operations.
const (
	// Read: a datagram could not be read.
	Read Operation = "read"
	// Write: a datagram could not be written. Its sender repeats it.
	Write Operation = "write"
	// Encode: a message could not be turned into a datagram, or into one that is
	// small enough.
	Encode Operation = "encode"
	// Decode: a datagram held no message.
	Decode Operation = "decode"
	// Buffer: the kernel did not grant the size of a buffer. Bursts are lost
	// earlier.
	Buffer Operation = "buffer"
)

// Counter counts the failures of one socket. It is safe for many goroutines.
type Counter struct {
	failures *prometheus.CounterVec
	logger   *zap.Logger
}

// New returns a counter for the socket with a name, which labels its metric and its
// lines.
func New(registry prometheus.Registerer, logger *zap.Logger, socket string) *Counter {
	counter := &Counter{
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name:        "merlinpaddle_direct_socket_failures_total",
			Help:        "What failed at a UDP socket, by socket and operation.",
			ConstLabels: prometheus.Labels{"socket": socket},
		}, []string{"operation"}),
		logger: logger.With(zap.String("socket", socket)),
	}
	registry.MustRegister(counter.failures)
	return counter
}

// Note counts a failure and logs it; the log bounds the lines of one kind. It does
// nothing when err is nil.
func (counter *Counter) Note(operation Operation, err error) {
	if err == nil {
		return
	}
	counter.failures.WithLabelValues(string(operation)).Inc()
	counter.logger.Info("socket operation failed", zap.String("operation", string(operation)), zap.Error(err))
}

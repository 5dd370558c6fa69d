// Package socketfault counts and logs failed operations of UDP sockets. Datagrams may be lost at any
// time, and their senders retransmit them or send newer ones, so callers continue after a failure;
// without the counter it would go unnoticed.
package socketfault

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Operation is a socket operation that can fail. Its text is the label in the metric and in log lines.
type Operation string

// The operations.
const (
	// Read: receiving a datagram failed.
	Read Operation = "read"
	// Write: sending a datagram failed. Its sender retransmits it or sends a newer one.
	Write Operation = "write"
	// Encode: a message could not be encoded, or was too large for a datagram.
	Encode Operation = "encode"
	// Decode: a datagram did not contain a valid message.
	Decode Operation = "decode"
	// Buffer: setting the size of a socket buffer failed. Smaller buffers lose more datagrams of
	// bursts.
	Buffer Operation = "buffer"
)

// Counter counts the failures of one socket. It is safe for concurrent use.
type Counter struct {
	failures *prometheus.CounterVec
	logger   *zap.Logger
}

// New returns a counter for a socket and registers its metric. The socket's name labels the metric and
// the log lines.
func New(registry prometheus.Registerer, logger *zap.Logger, socket string) *Counter {
	counter := &Counter{
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name:        "merlinpaddle_direct_socket_failures_total",
			Help:        "Failed operations of UDP sockets, by socket and operation.",
			ConstLabels: prometheus.Labels{"socket": socket},
		}, []string{"operation"}),
		logger: logger.With(zap.String("socket", socket)),
	}
	registry.MustRegister(counter.failures)
	return counter
}

// Note counts a failure and logs it; the log stream limits the lines of one kind per second. It does
// nothing when err is nil.
func (counter *Counter) Note(operation Operation, err error) {
	if err == nil {
		return
	}
	counter.failures.WithLabelValues(string(operation)).Inc()
	counter.logger.Info("socket operation failed", zap.String("operation", string(operation)), zap.Error(err))
}

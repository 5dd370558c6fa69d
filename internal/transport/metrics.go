package transport

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/model"
)

// The reasons for which a message is dropped, as values of the label reason.
const (
	dropFull    = "queue_full"
	dropOld     = "too_old"
	dropNoRoute = "no_route"
	dropInbox   = "inbox_full"
)

// The directions of traffic, as values of the label direction.
const (
	directionIn  = "in"
	directionOut = "out"
)

// Metrics has the metrics of the control connections of a process.
type Metrics struct {
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
	traffic     traffic
	dropped     *prometheus.CounterVec
	refused     *prometheus.CounterVec
	connections prometheus.Gauge
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		traffic: newTraffic(),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinpaddle_control_messages_dropped_total",
			Help: "Control messages dropped on the way out or in, by reason.",
		}, []string{"reason"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinpaddle_control_connections_refused_total",
			Help: "Connections refused because of the peer's name or role.",
		}, []string{"role"}),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "merlinpaddle_control_connections",
			Help: "Open control connections.",
		}),
	}
	registry.MustRegister(metrics.traffic.messages, metrics.traffic.bytes, metrics.dropped, metrics.refused, metrics.connections,
		byteCounter(directionIn, &metrics.bytesIn), byteCounter(directionOut, &metrics.bytesOut))
	return metrics
}

func byteCounter(direction string, count *atomic.Uint64) prometheus.CounterFunc {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name:        "merlinpaddle_control_bytes_total",
		Help:        "Bytes of control connections on the TCP stream, with TLS when in use.",
		ConstLabels: prometheus.Labels{"direction": direction},
	}, func() float64 { return float64(count.Load()) })
}

// Bytes returns the numbers of bytes received and sent so far, including TLS.
func (metrics *Metrics) Bytes() (in, out uint64) {
	return metrics.bytesIn.Load(), metrics.bytesOut.Load()
}

func (metrics *Metrics) countDrop(reason string) { metrics.dropped.WithLabelValues(reason).Inc() }

func (metrics *Metrics) countRefusal(role model.Role) {
	metrics.refused.WithLabelValues(string(role)).Inc()
}

// meteredConn counts bytes and sets deadlines for reads and writes. Each read, and each chunk of a
// write, gets a new deadline. So a large message that makes progress is never interrupted, while a
// half-open connection is detected within the read timeout.
type meteredConn struct {
	net.Conn
	in, out      *atomic.Uint64
	readTimeout  time.Duration
	writeTimeout time.Duration
}

func (metrics *Metrics) meter(conn net.Conn, timing Timing) *meteredConn {
	return &meteredConn{
		Conn:         conn,
		in:           &metrics.bytesIn,
		out:          &metrics.bytesOut,
		readTimeout:  timing.ReadTimeout,
		writeTimeout: timing.WriteTimeout,
	}
}

// Read implements net.Conn.
func (conn *meteredConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(conn.readTimeout)); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(buffer)
	conn.in.Add(uint64(count))
	return count, err
}

// maxWriteChunk is the maximum number of bytes that are written under one write deadline.
const maxWriteChunk = 64 << 10

// Write implements net.Conn.
func (conn *meteredConn) Write(buffer []byte) (int, error) {
	written := 0
	for written < len(buffer) {
		if err := conn.SetWriteDeadline(time.Now().Add(conn.writeTimeout)); err != nil {
			return written, err
		}
		end := min(written+maxWriteChunk, len(buffer))
		count, err := conn.Conn.Write(buffer[written:end])
		written += count
		conn.out.Add(uint64(count))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

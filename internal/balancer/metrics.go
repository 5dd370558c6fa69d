package balancer

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/packet/batch"
)

// metrics holds the metrics of the packet path.
type metrics struct {
	verdicts [verdictCount]prometheus.Counter
	revision prometheus.Gauge
	// lostDatagrams counts datagrams that the full receive buffer dropped before a
	// worker read them. lastDropCount is the latest of the kernel's counts that
	// lostDatagrams includes.
	lostDatagrams prometheus.Counter
	lastDropCount atomic.Uint32
}

func newMetrics(registry prometheus.Registerer, cache *flow.Cache) *metrics {
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinpaddle_balancer_packets_total",
		Help: "Packets that the balancer received, by verdict.",
	}, []string{"verdict"})
	created := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "merlinpaddle_balancer_revision",
			Help: "Revision of the configuration that packets are routed by.",
		}),
		lostDatagrams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinpaddle_balancer_receive_buffer_lost_total",
			Help: "Packets that were lost before a worker saw them because the socket's receive buffer was full.",
		}),
	}
	for verdict := range verdictCount {
		created.verdicts[verdict] = packets.WithLabelValues(verdict.String())
	}
	cached := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "merlinpaddle_balancer_cached_flows",
		Help: "Flows in the flow cache.",
	}, func() float64 { return float64(cache.Len()) })
	registry.MustRegister(packets, created.revision, created.lostDatagrams, cached)
	return created
}

func (metrics *metrics) count(verdict Verdict) { metrics.verdicts[verdict].Inc() }

// countSent adds the outcome of sending a batch to the verdicts.
func (metrics *metrics) countSent(outcome batch.Outcome) {
	metrics.verdicts[VerdictForward].Add(float64(outcome.Sent))
	metrics.verdicts[VerdictSendFailed].Add(float64(outcome.Failed))
	metrics.verdicts[VerdictSendBufferFull].Add(float64(outcome.Overflowed))
}

// countLost adds the datagrams lost since the last call. dropCount is the kernel's
// cumulative count for the socket, which all workers share, as one worker read it
// last. The count wraps around at 32 bits, so the difference is computed as a signed
// number: it is negative if another worker has reported a later count already.
func (metrics *metrics) countLost(dropCount uint32) {
	for {
		previous := metrics.lastDropCount.Load()
		newlyLost := int32(dropCount - previous)
		if newlyLost <= 0 {
			return
		}
		if metrics.lastDropCount.CompareAndSwap(previous, dropCount) {
			metrics.lostDatagrams.Add(float64(newlyLost))
			return
		}
	}
}

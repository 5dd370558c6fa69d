package balancernode

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/direct/steer"
)

// metrics counts decisions. Counting is one atomic addition, so that the
// packet path does not wait.
type metrics struct {
	decisions   []atomic.Uint64
	malformed   atomic.Uint64
	packets     *prometheus.Desc
	malformedAs *prometheus.Desc
}

func newMetrics() *metrics {
	return &metrics{
		decisions: make([]atomic.Uint64, len(steer.Reasons())),
		packets: prometheus.NewDesc("merlinpaddle_direct_packets_total",
			"Packets of callers, by the reason of the decision.", []string{"reason"}, nil),
		malformedAs: prometheus.NewDesc("merlinpaddle_direct_packets_malformed_total",
			"Packets of callers that could not be read.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (metrics *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- metrics.packets
	descriptions <- metrics.malformedAs
}

// Collect implements prometheus.Collector.
func (metrics *metrics) Collect(collected chan<- prometheus.Metric) {
	for _, reason := range steer.Reasons() {
		count := float64(metrics.decisions[reason].Load())
		collected <- prometheus.MustNewConstMetric(metrics.packets, prometheus.CounterValue, count, reason.String())
	}
	malformed := float64(metrics.malformed.Load())
	collected <- prometheus.MustNewConstMetric(metrics.malformedAs, prometheus.CounterValue, malformed)
}

package transport

import (
	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/protocol"
)

// lossCollector exports the numbers of received messages that were not handled.
type lossCollector struct {
	dispatcher *protocol.Dispatcher
	descriptor *prometheus.Desc
}

func newLossCollector(dispatcher *protocol.Dispatcher) *lossCollector {
	return &lossCollector{
		dispatcher: dispatcher,
		descriptor: prometheus.NewDesc("merlinpaddle_control_messages_lost_total",
			"Control messages that were received and not handled, by queue and reason.", []string{"queue", "reason"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (collector *lossCollector) Describe(descriptors chan<- *prometheus.Desc) {
	descriptors <- collector.descriptor
}

// Collect implements prometheus.Collector. Queues and reasons without losses are omitted.
func (collector *lossCollector) Collect(metrics chan<- prometheus.Metric) {
	collector.dispatcher.EachLoss(func(loss protocol.Loss, count uint64) {
		if count > 0 {
			metrics <- prometheus.MustNewConstMetric(collector.descriptor, prometheus.CounterValue, float64(count), loss.Queue, string(loss.Reason))
		}
	})
}

package transport

import (
	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/protocol"
)

// losses shows how many received messages were not handled.
type losses struct {
	dispatcher *protocol.Dispatcher
	lost       *prometheus.Desc
}

func newLosses(dispatcher *protocol.Dispatcher) *losses {
	return &losses{
		dispatcher: dispatcher,
		lost: prometheus.NewDesc("merlinpaddle_control_messages_lost_total",
			"Control messages that were received and not handled, by queue and reason.", []string{"queue", "reason"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (losses *losses) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- losses.lost }

// Collect implements prometheus.Collector. What was never lost is left out.
func (losses *losses) Collect(collected chan<- prometheus.Metric) {
	losses.dispatcher.EachLoss(func(loss protocol.Loss, count uint64) {
		if count > 0 {
			collected <- prometheus.MustNewConstMetric(losses.lost, prometheus.CounterValue, float64(count), loss.Queue, string(loss.Reason))
		}
	})
}

package fabric

import "github.com/prometheus/client_golang/prometheus"

// dropReason is why a packet was dropped.
type dropReason uint8

// The reasons. Zero means that the packet was not dropped.
const (
	dropNone dropReason = iota
	dropNoBalancer
	dropTooLarge
	dropMalformed
	dropUnexpectedKind
	dropUnknownAddress
	dropLoss
	dropCut
	dropDelayQueueFull
	dropSend
	dropReasonCount
)

// dropNames are the values of the reason label, by reason.
var dropNames = [dropReasonCount]string{
	"", "no_balancer", "too_large", "malformed", "unexpected_kind", "unknown_address", "loss", "cut", "delay_queue_full", "send",
}

// metrics holds the counters of the fabric.
type metrics struct {
	ingress prometheus.Counter
	egress  prometheus.Counter
	dropped [dropReasonCount]prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinpaddle_fabric_dropped_packets_total",
		Help: "Packets that the fabric dropped, by reason.",
	}, []string{"reason"})
	created := &metrics{
		ingress: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinpaddle_fabric_ingress_packets_total",
			Help: "Datagrams that callers sent to virtual addresses.",
		}),
		egress: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "merlinpaddle_fabric_egress_packets_total",
			Help: "Answers from agents to callers.",
		}),
	}
	for reason := dropNoBalancer; reason < dropReasonCount; reason++ {
		created.dropped[reason] = dropped.WithLabelValues(dropNames[reason])
	}
	registry.MustRegister(dropped, created.ingress, created.egress)
	return created
}

func (metrics *metrics) drop(reason dropReason) { metrics.dropped[reason].Inc() }

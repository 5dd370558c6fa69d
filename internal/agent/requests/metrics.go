package requests

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Metrics counts requests by class and outcome.
type Metrics struct {
	requests *prometheus.CounterVec
}

// deliveredCode is the value of the code label of requests whose answer was delivered.
const deliveredCode = "0"

// NewMetrics returns metrics that are registered in registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinpaddle_agent_requests_total",
		Help: "Requests by class and error code; code 0 is a delivered answer.",
	}, []string{"class", "code"})}
	registry.MustRegister(metrics.requests)
	return metrics
}

// countDelivered counts a request whose answer was delivered.
func (metrics *Metrics) countDelivered(class model.RequestClass) {
	metrics.requests.WithLabelValues(string(class), deliveredCode).Inc()
}

// countRefused counts a request that ended with an error code.
func (metrics *Metrics) countRefused(class model.RequestClass, code faults.Code) {
	metrics.requests.WithLabelValues(string(class), strconv.Itoa(int(code))).Inc()
}

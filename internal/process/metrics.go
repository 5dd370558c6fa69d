package process

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// newRegistry returns a registry with the metrics that all processes have.
func newRegistry(readiness *Readiness) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newReadinessCollector(readiness),
	)
	return registry
}

// readinessCollector exports the readiness of each part, so that alerts do not need to poll /readyz.
type readinessCollector struct {
	readiness  *Readiness
	descriptor *prometheus.Desc
}

func newReadinessCollector(readiness *Readiness) *readinessCollector {
	return &readinessCollector{
		readiness: readiness,
		descriptor: prometheus.NewDesc("merlinpaddle_ready",
			"1 while the part of the process is ready to serve, else 0.", []string{"part"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (collector *readinessCollector) Describe(descriptors chan<- *prometheus.Desc) {
	descriptors <- collector.descriptor
}

// Collect implements prometheus.Collector.
func (collector *readinessCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, part := range collector.readiness.Parts() {
		metrics <- prometheus.MustNewConstMetric(collector.descriptor, prometheus.GaugeValue, gaugeValue(part.Ready), part.Name)
	}
}

// gaugeValue returns 1 if ready, else 0.
func gaugeValue(ready bool) float64 {
	if ready {
		return 1
	}
	return 0
}

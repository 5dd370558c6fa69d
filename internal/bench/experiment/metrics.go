package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"

	"merlinpaddle/internal/bench/fleet"
)

// scrapeTimeout bounds one scrape of a process; it is below the sample interval.
const scrapeTimeout = 800 * time.Millisecond

// Names of the scraped metrics and their labels.
const (
	metricConnections      = "merlinpaddle_agent_connections"
	metricRequests         = "merlinpaddle_agent_requests"
	metricControlBytes     = "merlinpaddle_control_bytes_total"
	metricProcessorSeconds = "process_cpu_seconds_total"
	metricMemory           = "process_resident_memory_bytes"

	labelState   = "state"
	stateRunning = "running"
	stateWaiting = "waiting"
	stateFeeds   = "feeds"
)

// reading holds the metric values of one scrape of a process.
type reading struct {
	connections      float64
	running          float64
	waiting          float64
	feeds            float64
	controlBytes     float64
	processorSeconds float64
	residentMemory   float64
	hasControlBytes  bool
}

// scrape reads the metrics of one process over HTTP.
func scrape(ctx context.Context, process fleet.Process) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/metrics", process.Status), nil)
	if err != nil {
		return reading{}, fmt.Errorf("read metrics of %s: %w", process.Name, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reading{}, fmt.Errorf("read metrics of %s: %w", process.Name, err)
	}
	defer response.Body.Close()
	read, err := parseMetrics(response.Body, expfmt.ResponseFormat(response.Header))
	if err != nil {
		return reading{}, fmt.Errorf("read metrics of %s: %w", process.Name, err)
	}
	return read, nil
}

// parseMetrics reads the metric families that the bench uses and skips others.
func parseMetrics(body io.Reader, format expfmt.Format) (reading, error) {
	var read reading
	decoder := expfmt.NewDecoder(body, format)
	for {
		var family dto.MetricFamily
		err := decoder.Decode(&family)
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return reading{}, err
		}
		read.add(&family)
	}
}

func (read *reading) add(family *dto.MetricFamily) {
	switch family.GetName() {
	case metricConnections:
		read.connections = sum(family)
	case metricControlBytes:
		read.controlBytes = sum(family)
		read.hasControlBytes = true
	case metricProcessorSeconds:
		read.processorSeconds = sum(family)
	case metricMemory:
		read.residentMemory = sum(family)
	case metricRequests:
		read.addRequests(family)
	}
}

func (read *reading) addRequests(family *dto.MetricFamily) {
	for _, metric := range family.GetMetric() {
		switch labelOf(metric, labelState) {
		case stateRunning:
			read.running = valueOf(metric)
		case stateWaiting:
			read.waiting = valueOf(metric)
		case stateFeeds:
			read.feeds = valueOf(metric)
		}
	}
}

func sum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += valueOf(metric)
	}
	return total
}

func valueOf(metric *dto.Metric) float64 {
	return metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
}

func labelOf(metric *dto.Metric, name string) string {
	for _, label := range metric.GetLabel() {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}

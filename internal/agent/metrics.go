package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/agent/dataplane"
)

// collector is a prometheus.Collector that reads the agent's state at each
// scrape.
type collector struct {
	agent *Agent

	packets     *prometheus.Desc
	drops       *prometheus.Desc
	flows       *prometheus.Desc
	connections *prometheus.Desc
	requests    *prometheus.Desc
	unsolicited *prometheus.Desc
	accepting   *prometheus.Desc
	healthy     *prometheus.Desc
}

func newCollector(agent *Agent) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("merlinpaddle_agent_"+name, help, labels, nil)
	}
	return &collector{
		agent:       agent,
		packets:     describe("packets_total", "Packets by outcome.", "result"),
		drops:       describe("dropped_packets_total", "Dropped packets by reason.", "reason"),
		flows:       describe("flows", "Open flows."),
		connections: describe("connections", "Open QUIC connections of callers."),
		requests:    describe("requests", "Requests by state.", "state"),
		unsolicited: describe("unsolicited_answers_total", "Back end connections closed because of an answer without a request."),
		accepting:   describe("accepting", "1 while the agent accepts new flows, else 0."),
		healthy:     describe("backend_healthy", "1 while the back end is considered healthy, else 0."),
	}
}

// Describe implements prometheus.Collector.
func (collector *collector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(collector, descriptions)
}

// Collect implements prometheus.Collector.
func (collector *collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	counter := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge(collector.accepting, boolValue(collector.agent.accepting.Load()))
	current := collector.agent.instance.Load()
	if current == nil {
		return
	}
	counters := current.plane.Counters()
	counter(collector.packets, counters.Delivered.Load(), "delivered")
	counter(collector.packets, counters.Forwarded.Load(), "passed")
	counter(collector.packets, counters.Reset.Load(), "reset")
	counter(collector.packets, counters.Dropped.Load(), "dropped")
	counter(collector.packets, counters.Hinted.Load(), "hinted")
	counter(collector.packets, counters.Rejected.Load(), "rejected")
	counter(collector.packets, counters.Opened.Load(), "opened")
	counters.EachDrop(func(reason dataplane.DropReason, count uint64) {
		counter(collector.drops, count, reason.String())
	})
	gauge(collector.flows, float64(current.ownedFlows.Len()))
	load := current.gate.Load()
	gauge(collector.requests, float64(load.Running), "running")
	gauge(collector.requests, float64(load.Waiting), "waiting")
	gauge(collector.requests, float64(load.Feeds), "feeds")
	gauge(collector.healthy, boolValue(load.Healthy))
	if current.frontend != nil {
		connections, _ := current.frontend.connections.counts()
		gauge(collector.connections, float64(connections))
		counter(collector.unsolicited, current.pool.Unsolicited())
	}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

package balancernode

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/direct/egress"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/steer"
)

// metrics exports the counters of decisions and the state of the table, the load and the egress.
// Counting a decision is one atomic addition, so that it does not block the packet path.
type metrics struct {
	// decisions counts decisions by steer.Reason, and flowsByLocality new flows by the locality of
	// their target.
	decisions       []atomic.Uint64
	flowsByLocality []atomic.Uint64
	malformed       atomic.Uint64
	packetsDesc     *prometheus.Desc
	flowsDesc       *prometheus.Desc
	malformedDesc   *prometheus.Desc

	egressDesc   *prometheus.Desc
	egressCounts func() egress.Counts
	// tableAge is the distribution of the table's age at decisions about new flows. egressWait is
	// the distribution of the time that queued datagrams waited for the link.
	tableAge         prometheus.Histogram
	egressWait       prometheus.Histogram
	table            *steer.Table
	loadCounter      *load.Counter
	openRequestsDesc *prometheus.Desc
	reliableDesc     *prometheus.Desc
	revisionDesc     *prometheus.Desc
	versionDesc      *prometheus.Desc
	confirmedDesc    *prometheus.Desc
	evacuatedDesc    *prometheus.Desc
}

// tableAgeBuckets and egressWaitBuckets are upper bounds in seconds. The ages range from a table that
// was just confirmed to one that no longer counts as current, the waits from one datagram to a full
// queue on a narrow link.
var (
	tableAgeBuckets   = []float64{.05, .1, .25, .5, .7, 1, 1.5, 3, 10}
	egressWaitBuckets = []float64{.005, .01, .02, .05, .1, .2, .4, .8, 1.6}
)

func newMetrics(table *steer.Table, loadCounter *load.Counter) *metrics {
	return &metrics{
		tableAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_table_age_seconds", Buckets: tableAgeBuckets,
			Help: "How long ago a quorum confirmed the table, at decisions about new flows.",
		}),
		egressWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_egress_wait_seconds", Buckets: egressWaitBuckets,
			Help: "Time that datagrams waited in the queue for the link; datagrams that were sent at once are not counted.",
		}),
		table:       table,
		loadCounter: loadCounter,
		openRequestsDesc: prometheus.NewDesc("merlinpaddle_direct_open_requests",
			"Requests that are open at targets, by the balancers that forwarded them: this one, or others by their reports.",
			[]string{"of"}, nil),
		reliableDesc: prometheus.NewDesc("merlinpaddle_direct_load_trusted",
			"1 while this balancer's counts of open requests are reliable, so that it chooses and admits by them; else 0.", nil, nil),
		revisionDesc: prometheus.NewDesc("merlinpaddle_direct_table_revision",
			"The revision of this balancer's table; 0 without one.", nil, nil),
		versionDesc: prometheus.NewDesc("merlinpaddle_direct_table_version",
			"The declared version of this balancer's table.", nil, nil),
		confirmedDesc: prometheus.NewDesc("merlinpaddle_direct_table_confirmed",
			"1 while the table counts as current, because a member confirmed it recently; else 0.", nil, nil),
		evacuatedDesc: prometheus.NewDesc("merlinpaddle_direct_evacuated_zones",
			"Zones that an operator has evacuated: their targets get no new flows from this balancer.", nil, nil),
		decisions:       make([]atomic.Uint64, len(steer.Reasons())),
		flowsByLocality: make([]atomic.Uint64, len(steer.Localities())),
		flowsDesc: prometheus.NewDesc("merlinpaddle_direct_flows_total",
			"New flows, by the zone of their target: near (local zone), elsewhere (remote zone, by hash), or spilled (remote zone, because near targets had no room).",
			[]string{"place"}, nil),
		packetsDesc: prometheus.NewDesc("merlinpaddle_direct_packets_total",
			"Packets from callers, by the reason of the decision.", []string{"reason"}, nil),
		egressCounts: func() egress.Counts { return egress.Counts{} },
		egressDesc: prometheus.NewDesc("merlinpaddle_direct_egress_total",
			"Datagrams by outcome: sent, waited (queued for the link), repeated (superseded a queued one), or refused (queue full).",
			[]string{"outcome"}, nil),
		malformedDesc: prometheus.NewDesc("merlinpaddle_direct_packets_malformed_total",
			"Packets from callers that could not be parsed.", nil, nil),
	}
}

// observeTableAge records the age of the table at a decision. A table that no quorum has confirmed yet
// has no age.
func (metrics *metrics) observeTableAge(age time.Duration) {
	if age != steer.NeverConfirmed {
		metrics.tableAge.Observe(age.Seconds())
	}
}

// Describe implements prometheus.Collector.
func (metrics *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- metrics.packetsDesc
	descriptions <- metrics.flowsDesc
	descriptions <- metrics.malformedDesc
	descriptions <- metrics.egressDesc
	descriptions <- metrics.openRequestsDesc
	descriptions <- metrics.reliableDesc
	descriptions <- metrics.revisionDesc
	descriptions <- metrics.versionDesc
	descriptions <- metrics.confirmedDesc
	descriptions <- metrics.evacuatedDesc
}

// Collect implements prometheus.Collector.
func (metrics *metrics) Collect(collected chan<- prometheus.Metric) {
	for _, reason := range steer.Reasons() {
		count := float64(metrics.decisions[reason].Load())
		collected <- prometheus.MustNewConstMetric(metrics.packetsDesc, prometheus.CounterValue, count, reason.String())
	}
	for _, locality := range steer.Localities() {
		count := float64(metrics.flowsByLocality[locality].Load())
		collected <- prometheus.MustNewConstMetric(metrics.flowsDesc, prometheus.CounterValue, count, locality.String())
	}
	metrics.collectEgress(collected)
	metrics.collectLoad(collected)
	confirmed := boolGauge(metrics.table.Fresh(time.Now()))
	collected <- prometheus.MustNewConstMetric(metrics.revisionDesc, prometheus.GaugeValue, float64(metrics.table.Revision()))
	collected <- prometheus.MustNewConstMetric(metrics.versionDesc, prometheus.GaugeValue, float64(metrics.table.Version()))
	collected <- prometheus.MustNewConstMetric(metrics.confirmedDesc, prometheus.GaugeValue, confirmed)
	collected <- prometheus.MustNewConstMetric(metrics.evacuatedDesc, prometheus.GaugeValue, float64(metrics.table.EvacuatedZones()))
	malformed := float64(metrics.malformed.Load())
	collected <- prometheus.MustNewConstMetric(metrics.malformedDesc, prometheus.CounterValue, malformed)
}

// boolGauge returns 1 for true, else 0.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (metrics *metrics) collectLoad(collected chan<- prometheus.Metric) {
	local, remote := metrics.loadCounter.Totals()
	collected <- prometheus.MustNewConstMetric(metrics.openRequestsDesc, prometheus.GaugeValue, float64(local), "this")
	collected <- prometheus.MustNewConstMetric(metrics.openRequestsDesc, prometheus.GaugeValue, float64(remote), "others")
	collected <- prometheus.MustNewConstMetric(metrics.reliableDesc, prometheus.GaugeValue, boolGauge(metrics.loadCounter.Reliable()))
}

func (metrics *metrics) collectEgress(collected chan<- prometheus.Metric) {
	counts := metrics.egressCounts()
	for _, row := range []struct {
		outcome string
		count   uint64
	}{
		{"sent", counts.Sent}, {"waited", counts.Waited}, {"repeated", counts.Repeated}, {"refused", counts.Refused},
	} {
		collected <- prometheus.MustNewConstMetric(metrics.egressDesc, prometheus.CounterValue, float64(row.count), row.outcome)
	}
}

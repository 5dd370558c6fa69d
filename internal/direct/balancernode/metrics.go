package balancernode

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/direct/egress"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/steer"
)

// metrics counts decisions. Counting is one atomic addition, so that the
// packet path does not wait.
type metrics struct {
	decisions   []atomic.Uint64
	places      []atomic.Uint64
	malformed   atomic.Uint64
	packets     *prometheus.Desc
	flows       *prometheus.Desc
	malformedAs *prometheus.Desc

	egress *prometheus.Desc
	counts func() egress.Counts
	// tableAge has the ages of the table at decisions about new flows, and
	// egressWait the times that datagrams waited for the link.
	tableAge   prometheus.Histogram
	egressWait prometheus.Histogram
	table      *steer.Table
	book       *load.Book
	open       *prometheus.Desc
	trusted    *prometheus.Desc
	revision   *prometheus.Desc
	version    *prometheus.Desc
	confirmed  *prometheus.Desc
	evacuated  *prometheus.Desc
}

// ageBuckets and waitBuckets are bounds in seconds: from a member's last word to
// a table that no longer counts as current, and from one datagram to a full
// queue on a narrow link.
var (
	ageBuckets  = []float64{.05, .1, .25, .5, .7, 1, 1.5, 3, 10}
	waitBuckets = []float64{.005, .01, .02, .05, .1, .2, .4, .8, 1.6}
)

func newMetrics(table *steer.Table, book *load.Book) *metrics {
	return &metrics{
		tableAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_table_age_seconds", Buckets: ageBuckets,
			Help: "How long ago a quorum confirmed the table, at decisions about new flows.",
		}),
		egressWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_egress_wait_seconds", Buckets: waitBuckets,
			Help: "Time that datagrams waited for the link, of those that did.",
		}),
		table: table,
		book:  book,
		open: prometheus.NewDesc("merlinpaddle_direct_open_requests",
			"Requests that are open at targets, by the balancers that sent them on: this one, or others as they told.",
			[]string{"of"}, nil),
		trusted: prometheus.NewDesc("merlinpaddle_direct_load_trusted",
			"1 while this balancer sees its flows whole, so that it chooses and admits by open requests; else 0.", nil, nil),
		revision: prometheus.NewDesc("merlinpaddle_direct_table_revision",
			"The revision of this balancer's table; 0 without one.", nil, nil),
		version: prometheus.NewDesc("merlinpaddle_direct_table_version",
			"The declared version of this balancer's table.", nil, nil),
		confirmed: prometheus.NewDesc("merlinpaddle_direct_table_confirmed",
			"1 while a current member confirmed the table lately, else 0.", nil, nil),
		evacuated: prometheus.NewDesc("merlinpaddle_direct_evacuated_zones",
			"Zones whose targets get no new flows from this balancer, by order of an operator.", nil, nil),
		decisions: make([]atomic.Uint64, len(steer.Reasons())),
		places:    make([]atomic.Uint64, len(steer.Localities())),
		flows: prometheus.NewDesc("merlinpaddle_direct_flows_total",
			"New flows, by where their target lies: near, elsewhere by hash, or spilled because near targets had no room.",
			[]string{"place"}, nil),
		packets: prometheus.NewDesc("merlinpaddle_direct_packets_total",
			"Packets of callers, by the reason of the decision.", []string{"reason"}, nil),
		counts: func() egress.Counts { return egress.Counts{} },
		egress: prometheus.NewDesc("merlinpaddle_direct_egress_total",
			"Datagrams that were sent, waited for the link, carried data that waited already, or found the queue full.",
			[]string{"outcome"}, nil),
		malformedAs: prometheus.NewDesc("merlinpaddle_direct_packets_malformed_total",
			"Packets of callers that could not be read.", nil, nil),
	}
}

// observeAge counts the age of a table at a decision; one that no quorum
// confirmed yet has none.
func (metrics *metrics) observeAge(age time.Duration) {
	if age != steer.NeverConfirmed {
		metrics.tableAge.Observe(age.Seconds())
	}
}

// Describe implements prometheus.Collector.
func (metrics *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- metrics.packets
	descriptions <- metrics.flows
	descriptions <- metrics.malformedAs
	descriptions <- metrics.egress
	descriptions <- metrics.open
	descriptions <- metrics.trusted
	descriptions <- metrics.revision
	descriptions <- metrics.version
	descriptions <- metrics.confirmed
	descriptions <- metrics.evacuated
}

// Collect implements prometheus.Collector.
func (metrics *metrics) Collect(collected chan<- prometheus.Metric) {
	for _, reason := range steer.Reasons() {
		count := float64(metrics.decisions[reason].Load())
		collected <- prometheus.MustNewConstMetric(metrics.packets, prometheus.CounterValue, count, reason.String())
	}
	for _, place := range steer.Localities() {
		count := float64(metrics.places[place].Load())
		collected <- prometheus.MustNewConstMetric(metrics.flows, prometheus.CounterValue, count, place.String())
	}
	metrics.collectEgress(collected)
	metrics.collectLoad(collected)
	confirmed := gaugeOf(metrics.table.Fresh(time.Now()))
	collected <- prometheus.MustNewConstMetric(metrics.revision, prometheus.GaugeValue, float64(metrics.table.Revision()))
	collected <- prometheus.MustNewConstMetric(metrics.version, prometheus.GaugeValue, float64(metrics.table.Version()))
	collected <- prometheus.MustNewConstMetric(metrics.confirmed, prometheus.GaugeValue, confirmed)
	collected <- prometheus.MustNewConstMetric(metrics.evacuated, prometheus.GaugeValue, float64(metrics.table.EvacuatedZones()))
	malformed := float64(metrics.malformed.Load())
	collected <- prometheus.MustNewConstMetric(metrics.malformedAs, prometheus.CounterValue, malformed)
}

// gaugeOf returns 1 for true, else 0.
func gaugeOf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

func (metrics *metrics) collectLoad(collected chan<- prometheus.Metric) {
	own, others := metrics.book.Totals()
	collected <- prometheus.MustNewConstMetric(metrics.open, prometheus.GaugeValue, float64(own), "this")
	collected <- prometheus.MustNewConstMetric(metrics.open, prometheus.GaugeValue, float64(others), "others")
	collected <- prometheus.MustNewConstMetric(metrics.trusted, prometheus.GaugeValue, gaugeOf(metrics.book.Reliable()))
}

func (metrics *metrics) collectEgress(collected chan<- prometheus.Metric) {
	counts := metrics.counts()
	for _, row := range []struct {
		outcome string
		count   uint64
	}{
		{"sent", counts.Sent}, {"waited", counts.Waited}, {"repeated", counts.Repeated}, {"refused", counts.Refused},
	} {
		collected <- prometheus.MustNewConstMetric(metrics.egress, prometheus.CounterValue, float64(row.count), row.outcome)
	}
}

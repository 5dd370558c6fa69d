package member

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/reconfigure"
	"merlinpaddle/internal/replica"
)

// callBuckets are bucket bounds for call times in seconds: from a single sync of a fast disk to
// 0.85 s, the default of direct.answer_within.
var callBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .4, .85}

// metrics is the Prometheus collector of the member's state and its calls.
type metrics struct {
	group     *replica.Controller
	directory *directory.Directory
	// membership are the options by which members count as responsive.
	membership reconfigure.Options
	calls      *prometheus.HistogramVec

	leading         *prometheus.Desc
	term            *prometheus.Desc
	revision        *prometheus.Desc
	declaredVersion *prometheus.Desc
	targets         *prometheus.Desc
	staleness       *prometheus.Desc
	members         *prometheus.Desc
	membersReady    *prometheus.Desc
	logEntries      *prometheus.Desc
	logSyncs        *prometheus.Desc
	logBytes        *prometheus.Desc
}

func newMetrics(registry *prometheus.Registry, group *replica.Controller, state *directory.Directory, membership reconfigure.Options, proposer *registrar.Proposer) *metrics {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("merlinpaddle_direct_"+name, help, labels, nil)
	}
	created := &metrics{
		group: group, directory: state, membership: membership,
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_call_seconds", Buckets: callBuckets,
			Help: "Time of proposals and confirmed reads at this member, by the code of their outcome; 0 is a success.",
		}, []string{"call", "code"}),
		leading:         describe("member_leading", "1 while this member leads with a confirmed quorum, else 0."),
		term:            describe("member_term", "The term of this member."),
		revision:        describe("member_revision", "The revision that this member has applied."),
		declaredVersion: describe("declared_version", "The declared version that this member holds."),
		targets:         describe("targets", "Targets, by state.", "state"),
		staleness:       describe("member_current_seconds", "Time since this follower was last up to date with its leader's commit index."),
		members:         describe("members", "Members of the control group, by whether they vote.", "vote"),
		membersReady:    describe("members_ready", "At the leader: voters that answered it recently, and learners that did so and have caught up.", "vote"),
		logEntries:      describe("log_entries_total", "Entries that this member wrote to its log."),
		logSyncs:        describe("log_syncs_total", "Synced batches that this member wrote to its log."),
		logBytes:        describe("log_bytes_total", "Bytes that this member wrote to its log."),
	}
	proposer.OnCallEnd(created.observe)
	registry.MustRegister(created, created.calls)
	return created
}

func (metrics *metrics) observe(outcome registrar.CallOutcome) {
	kind := "propose"
	if outcome.IsRead {
		kind = "read"
	}
	code := strconv.Itoa(int(faults.CodeOf(outcome.Err)))
	metrics.calls.WithLabelValues(kind, code).Observe(outcome.Elapsed.Seconds())
}

// Describe implements prometheus.Collector.
func (metrics *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		metrics.leading, metrics.term, metrics.revision, metrics.declaredVersion, metrics.targets,
		metrics.staleness, metrics.members, metrics.membersReady, metrics.logEntries, metrics.logSyncs, metrics.logBytes,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (metrics *metrics) Collect(collected chan<- prometheus.Metric) {
	now := time.Now()
	status := metrics.group.StatusAt(now)
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	counter := func(description *prometheus.Desc, value uint64) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value))
	}
	gauge(metrics.leading, boolToGauge(status.Leading))
	gauge(metrics.term, float64(status.Term))
	gauge(metrics.revision, float64(metrics.directory.Revision()))
	gauge(metrics.declaredVersion, float64(metrics.directory.Configuration().Version))
	if !status.CurrentAt.IsZero() {
		gauge(metrics.staleness, now.Sub(status.CurrentAt).Seconds())
	}
	metrics.collectTargetAndMemberCounts(gauge, status)
	if status.Leading {
		counts := metrics.membership.CountMembers(status, now)
		gauge(metrics.membersReady, float64(counts.ResponsiveVoters), "yes")
		gauge(metrics.membersReady, float64(counts.ReadyLearners), "no")
	}
	counter(metrics.logEntries, status.Log.Entries)
	counter(metrics.logSyncs, status.Log.Batches)
	counter(metrics.logBytes, status.Log.Bytes)
}

func (metrics *metrics) collectTargetAndMemberCounts(gauge func(*prometheus.Desc, float64, ...string), status replica.Status) {
	counts := map[directory.TargetState]int{
		directory.TargetReady: 0, directory.TargetDraining: 0, directory.TargetLeft: 0, directory.TargetFailed: 0,
	}
	for _, target := range metrics.directory.Targets() {
		counts[target.State]++
	}
	for state, count := range counts {
		gauge(metrics.targets, float64(count), state.String())
	}
	voters, learners := 0, 0
	for _, member := range status.Members {
		if member.Learner {
			learners++
		} else {
			voters++
		}
	}
	gauge(metrics.members, float64(voters), "yes")
	gauge(metrics.members, float64(learners), "no")
}

func boolToGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

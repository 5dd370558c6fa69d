package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
)

// statusSource provides the member's status in the group, its configuration and the rollout status.
type statusSource interface {
	Status() replica.Status
	Configuration() *model.Configuration
	RolloutAt(now time.Time) model.RolloutStatus
}

// memberStatus is the statusSource of a running member.
type memberStatus struct {
	*replica.Node
	*Member
}

// Configuration implements statusSource.
func (status memberStatus) Configuration() *model.Configuration {
	return status.machine.Configuration()
}

// groupMetrics exports the control group and the rollout as this member sees them. Only the leader
// knows the rollout. Other members omit these metrics, so that an alert can use the maximum over
// all members.
type groupMetrics struct {
	source statusSource
	now    func() time.Time

	leading, known, term, committed, applied *prometheus.Desc
	members, confirmedAge                    *prometheus.Desc
	logEntries, logSyncs, logBytes           *prometheus.Desc
	rolloutCommitted, rolloutInForce         *prometheus.Desc
	nodes, unserved                          *prometheus.Desc
}

func newGroupMetrics(source statusSource, now func() time.Time) *groupMetrics {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("merlinpaddle_"+name, help, labels, nil)
	}
	return &groupMetrics{
		source:           source,
		now:              now,
		leading:          describe("control_leading", "1 while this member leads and holds its lease, else 0."),
		known:            describe("control_leader_known", "1 while this member knows a leader, else 0."),
		term:             describe("control_term", "Term of the group as this member knows it."),
		committed:        describe("control_committed_revision", "Latest log revision that this member knows to be committed."),
		applied:          describe("control_applied_revision", "Latest log revision in this member's state."),
		members:          describe("control_members", "Members of the group by kind.", "kind"),
		confirmedAge:     describe("control_leader_confirmed_age_seconds", "Time since a quorum last confirmed the leader, as reported to this member."),
		logEntries:       describe("control_log_entries_total", "Entries written to this member's log."),
		logSyncs:         describe("control_log_syncs_total", "Synced batches of this member's log; entries divided by syncs is the mean batch size of the group commit."),
		logBytes:         describe("control_log_bytes_total", "Bytes written to this member's log."),
		rolloutCommitted: describe("rollout_committed_revision", "Latest revision of the configuration; leader only."),
		rolloutInForce:   describe("rollout_in_force_revision", "Highest revision that every leased balancer runs; leader only."),
		nodes:            describe("rollout_nodes", "Known nodes by role and by whether they hold a lease; leader only.", "role", "leased"),
		unserved:         describe("services_without_serving_target", "Services without a serving target whose agent holds a lease; leader only."),
	}
}

// Describe implements prometheus.Collector.
func (metrics *groupMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(metrics, descriptions)
}

// Collect implements prometheus.Collector.
func (metrics *groupMetrics) Collect(collected chan<- prometheus.Metric) {
	now := metrics.now()
	status := metrics.source.Status()
	metrics.collectGroup(collected, status, now)
	if status.Leading {
		rollout := metrics.source.RolloutAt(now)
		metrics.collectRollout(collected, rollout)
		unserved := countUnserved(metrics.source.Configuration(), rollout.Nodes)
		collected <- gauge(metrics.unserved, float64(unserved))
	}
}

func (metrics *groupMetrics) collectGroup(collected chan<- prometheus.Metric, status replica.Status, now time.Time) {
	collected <- gauge(metrics.leading, oneIf(status.Leading))
	collected <- gauge(metrics.known, oneIf(status.Leader != ""))
	collected <- gauge(metrics.term, float64(status.Term))
	collected <- gauge(metrics.committed, float64(status.Committed))
	collected <- gauge(metrics.applied, float64(status.Applied))
	learners := 0
	for _, member := range status.Members {
		if member.Learner {
			learners++
		}
	}
	collected <- gauge(metrics.members, float64(len(status.Members)-learners), "voter")
	collected <- gauge(metrics.members, float64(learners), "learner")
	collected <- counter(metrics.logEntries, status.Log.Entries)
	collected <- counter(metrics.logSyncs, status.Log.Batches)
	collected <- counter(metrics.logBytes, status.Log.Bytes)
	if !status.ConfirmedAt.IsZero() {
		collected <- gauge(metrics.confirmedAge, now.Sub(status.ConfirmedAt).Seconds())
	}
}

// nodeGroup is one combination of label values of the metric rollout_nodes.
type nodeGroup struct {
	role   model.Role
	leased bool
}

func (metrics *groupMetrics) collectRollout(collected chan<- prometheus.Metric, rollout model.RolloutStatus) {
	collected <- gauge(metrics.rolloutCommitted, float64(rollout.Committed))
	collected <- gauge(metrics.rolloutInForce, float64(rollout.InForce))
	counts := make(map[nodeGroup]int)
	for _, role := range []model.Role{model.RoleBalancer, model.RoleAgent} {
		counts[nodeGroup{role, true}] = 0
		counts[nodeGroup{role, false}] = 0
	}
	for _, node := range rollout.Nodes {
		counts[nodeGroup{node.Role, node.Leased}]++
	}
	for group, count := range counts {
		collected <- gauge(metrics.nodes, float64(count), string(group.role), leaseLabel(group.leased))
	}
}

// countUnserved returns the number of services without a serving target whose agent holds a lease.
func countUnserved(configuration *model.Configuration, nodes []model.NodeStatus) int {
	leased := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		leased[string(node.Name)] = node.Leased
	}
	served := make(map[model.ServiceID]bool, len(configuration.Services))
	for _, target := range configuration.Targets {
		if target.Phase == model.PhaseServing && leased[target.Name] {
			served[target.Service] = true
		}
	}
	return len(configuration.Services) - len(served)
}

func leaseLabel(leased bool) string {
	if leased {
		return "yes"
	}
	return "no"
}

func gauge(description *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
}

func counter(description *prometheus.Desc, value uint64) prometheus.Metric {
	return prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value))
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

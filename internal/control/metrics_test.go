package control

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/wal"
)

// fixedStatus is a statusSource that returns fixed values.
type fixedStatus struct {
	status        replica.Status
	rollout       model.RolloutStatus
	configuration *model.Configuration
}

func (fixed fixedStatus) Status() replica.Status                  { return fixed.status }
func (fixed fixedStatus) Configuration() *model.Configuration     { return fixed.configuration }
func (fixed fixedStatus) RolloutAt(time.Time) model.RolloutStatus { return fixed.rollout }

func TestOnlyTheLeaderExportsRolloutMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	fixed := fixedStatus{
		status: replica.Status{
			Leading: true, Leader: "control-1", Term: 3, Committed: 9, Applied: 8, ConfirmedAt: now.Add(-2 * time.Second),
			Members: []replica.Member{{ID: 1}, {ID: 2}, {ID: 3, Learner: true}},
			Log:     wal.WriteStats{Batches: 4, Entries: 9, Bytes: 1000},
		},
		rollout: model.RolloutStatus{Committed: 9, InForce: 7, Nodes: []model.NodeStatus{
			{Role: model.RoleBalancer, Leased: true}, {Role: model.RoleBalancer}, {Role: model.RoleAgent, Leased: true},
		}},
		configuration: model.NewConfiguration(),
	}
	leader := gather(t, fixed, now)
	require.Equal(t, 1.0, leader["merlinpaddle_control_leading"])
	require.Equal(t, 2.0, leader["merlinpaddle_control_members voter"])
	require.Equal(t, 1.0, leader["merlinpaddle_control_members learner"])
	require.Equal(t, 2.0, leader["merlinpaddle_control_leader_confirmed_age_seconds"])
	require.Equal(t, 9.0, leader["merlinpaddle_control_log_entries_total"])
	require.Equal(t, 4.0, leader["merlinpaddle_control_log_syncs_total"])
	require.Equal(t, 1000.0, leader["merlinpaddle_control_log_bytes_total"])
	require.Equal(t, 7.0, leader["merlinpaddle_rollout_in_force_revision"])
	require.Equal(t, 1.0, leader["merlinpaddle_rollout_nodes no balancer"])
	require.Equal(t, 0.0, leader["merlinpaddle_rollout_nodes no agent"])

	fixed.status.Leading = false
	follower := gather(t, fixed, now)
	require.Equal(t, 0.0, follower["merlinpaddle_control_leading"])
	require.NotContains(t, follower, "merlinpaddle_rollout_in_force_revision")
}

func TestServicesWithoutServingTargetAreCounted(t *testing.T) {
	const draining = model.PhaseServing + 1
	tests := []struct {
		name     string
		phase    model.TargetPhase
		leased   bool
		unserved int
	}{
		{"served", model.PhaseServing, true, 0},
		{"agent cut off", model.PhaseServing, false, 1},
		{"draining", draining, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			configuration := model.NewConfiguration()
			configuration.Services[1] = model.Service{ID: 1}
			configuration.Targets[1] = model.Target{ID: 1, Service: 1, Name: "ledger-1", Phase: test.phase}
			nodes := []model.NodeStatus{{Name: "ledger-1", Role: model.RoleAgent, Leased: test.leased}}
			require.Equal(t, test.unserved, countUnserved(configuration, nodes))
		})
	}
}

// gather returns the values of all metrics, keyed by name and label values with spaces between
// them.
func gather(t *testing.T, source statusSource, now time.Time) map[string]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(newGroupMetrics(source, func() time.Time { return now }))
	families, err := registry.Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += " " + label.GetValue()
			}
			values[name] = metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	return values
}

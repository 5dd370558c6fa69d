package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Health reports of back ends lag and lie; the agent's own results go first.
func TestHealthJudgesOwnResultsFirst(t *testing.T) {
	bad := func(health *Health, count int) {
		for range count {
			health.RecordReport(false)
		}
	}
	cases := []struct {
		name          string
		prepare       func(health *Health)
		after         time.Duration
		breakerClosed bool
		probeDue      bool
		good          bool
	}{
		{"nothing known", func(*Health) {}, 0, true, true, true},
		{"reports say bad, answers are good", func(health *Health) {
			bad(health, reportsToDoubt)
			health.RecordResult(start, ResultAnswered)
		}, time.Second, true, true, true},
		{"reports say bad, good answers are old", func(health *Health) {
			bad(health, reportsToDoubt)
			health.RecordResult(start, ResultAnswered)
		}, ownResultsCount, true, true, false},
		{"one bad report", func(health *Health) { bad(health, 1) }, 0, true, true, true},
		{"reports say bad, no answers", func(health *Health) { bad(health, reportsToDoubt) }, 0, true, true, false},
		{"reports frozen at good, own results open the breaker", func(health *Health) {
			health.RecordReport(true)
			health.RecordResult(start, ResultFailed)
		}, 0, false, false, false},
		{"breaker ready to probe, reports good", func(health *Health) { health.RecordReport(true) }, 0, false, true, true},
		{"breaker ready to probe, reports bad", func(health *Health) { bad(health, 1) }, 0, false, true, false},
		{"reports recover", func(health *Health) {
			bad(health, reportsToDoubt)
			health.RecordReport(true)
		}, 0, true, true, true},
		{"a shed answer and a cancelled request say nothing", func(health *Health) {
			bad(health, reportsToDoubt)
			health.RecordResult(start, ResultShed)
			health.RecordResult(start, ResultNeutral)
		}, 0, true, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			health := &Health{}
			test.prepare(health)
			require.Equal(t, test.good, health.IsHealthy(start.Add(test.after), test.breakerClosed, test.probeDue))
		})
	}
}

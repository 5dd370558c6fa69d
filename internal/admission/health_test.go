package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A back end's health reports can be stale or wrong, so recent results of the agent's
// requests take precedence.
func TestHealthPrefersRequestResultsOverReports(t *testing.T) {
	reportBad := func(health *Health, count int) {
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
		healthy       bool
	}{
		{"no reports and no results", func(*Health) {}, 0, true, true, true},
		{"bad reports, recent good answers", func(health *Health) {
			reportBad(health, badReportThreshold)
			health.RecordResult(start, ResultAnswered)
		}, time.Second, true, true, true},
		{"bad reports, old good answers", func(health *Health) {
			reportBad(health, badReportThreshold)
			health.RecordResult(start, ResultAnswered)
		}, resultValidity, true, true, false},
		{"one bad report", func(health *Health) { reportBad(health, 1) }, 0, true, true, true},
		{"bad reports, no answers", func(health *Health) { reportBad(health, badReportThreshold) }, 0, true, true, false},
		{"good reports, breaker opened by failed results", func(health *Health) {
			health.RecordReport(true)
			health.RecordResult(start, ResultFailed)
		}, 0, false, false, false},
		{"probe due, good reports", func(health *Health) { health.RecordReport(true) }, 0, false, true, true},
		{"probe due, one bad report", func(health *Health) { reportBad(health, 1) }, 0, false, true, false},
		{"good report after bad ones", func(health *Health) {
			reportBad(health, badReportThreshold)
			health.RecordReport(true)
		}, 0, true, true, true},
		{"shed and neutral results are ignored", func(health *Health) {
			reportBad(health, badReportThreshold)
			health.RecordResult(start, ResultShed)
			health.RecordResult(start, ResultNeutral)
		}, 0, true, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			health := &Health{}
			test.prepare(health)
			require.Equal(t, test.healthy, health.IsHealthy(start.Add(test.after), test.breakerClosed, test.probeDue))
		})
	}
}

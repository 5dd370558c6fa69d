package admission

import (
	"sync"
	"time"
)

const (
	// resultValidity is how long a good result of the agent's requests takes precedence
	// over the back end's health reports.
	resultValidity = 5 * time.Second
	// badReportThreshold is the number of consecutive bad health reports that make a
	// back end unhealthy.
	badReportThreshold = 3
)

// Health decides whether the back end is healthy. A recent good result of the agent's own
// requests takes precedence over the back end's health reports, because a report can be
// stale or wrong, while an answer that a caller received is certain.
type Health struct {
	lock sync.Mutex
	// lastResultAt and lastResultGood are the time and the outcome of the latest
	// result of the agent's requests.
	lastResultAt   time.Time
	lastResultGood bool
	// consecutiveBadReports counts bad reports since the last good one.
	consecutiveBadReports int
}

// RecordResult records a result of one of the agent's requests. Only answered and failed
// requests are evidence; other results are ignored.
func (health *Health) RecordResult(now time.Time, result Result) {
	if result != ResultAnswered && result != ResultFailed {
		return
	}
	health.lock.Lock()
	defer health.lock.Unlock()
	health.lastResultAt = now
	health.lastResultGood = result == ResultAnswered
}

// RecordReport records one health report of the back end. A report that did not arrive
// counts as a bad one.
func (health *Health) RecordReport(good bool) {
	health.lock.Lock()
	defer health.lock.Unlock()
	if good {
		health.consecutiveBadReports = 0
		return
	}
	health.consecutiveBadReports++
}

// IsHealthy reports whether new work should be sent to the back end. breakerClosed is the
// state of the circuit breaker; probeDue is whether its backoff is over, so that a probe
// may start. While the breaker is not closed, new work is wanted only if a probe is due
// and the latest health report was not bad, because requests of new flows serve as the
// probes.
func (health *Health) IsHealthy(now time.Time, breakerClosed, probeDue bool) bool {
	health.lock.Lock()
	defer health.lock.Unlock()
	if !breakerClosed {
		return probeDue && health.consecutiveBadReports == 0
	}
	if health.lastResultGood && now.Sub(health.lastResultAt) < resultValidity {
		return true
	}
	return health.consecutiveBadReports < badReportThreshold
}

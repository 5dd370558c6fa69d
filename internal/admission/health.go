package admission

import (
	"sync"
	"time"
)

const (
	// ownResultsCount is how long the agent's own results outweigh the back
	// end's reports.
	ownResultsCount = 5 * time.Second
	// reportsToDoubt is the number of bad health reports in a row that count.
	reportsToDoubt = 3
)

// Health judges the back end: by the results of the agent's own requests
// first, and by the back end's own health reports only while there are none.
// A report can lag or lie; an answer that a caller got cannot.
type Health struct {
	lock sync.Mutex
	// ownAt and ownGood are of the latest own result.
	ownAt   time.Time
	ownGood bool
	// badReports counts bad reports in a row.
	badReports int
}

// Result records one of the agent's own results.
func (health *Health) RecordResult(now time.Time, result Result) {
	if result != ResultAnswered && result != ResultFailed {
		return
	}
	health.lock.Lock()
	defer health.lock.Unlock()
	health.ownAt = now
	health.ownGood = result == ResultAnswered
}

// Report records one health report; a report that did not come is a bad one.
func (health *Health) RecordReport(good bool) {
	health.lock.Lock()
	defer health.lock.Unlock()
	if good {
		health.badReports = 0
		return
	}
	health.badReports++
}

// Good tells whether new work should be sent to the back end. breakerClosed is
// the state of the circuit breaker, and probeDue whether it would let a probe
// through: then a good report is enough to invite new flows, whose requests
// are the probes.
func (health *Health) IsHealthy(now time.Time, breakerClosed, probeDue bool) bool {
	health.lock.Lock()
	defer health.lock.Unlock()
	if !breakerClosed {
		return probeDue && health.badReports == 0
	}
	if health.ownGood && now.Sub(health.ownAt) < ownResultsCount {
		return true
	}
	return health.badReports < reportsToDoubt
}

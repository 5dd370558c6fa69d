package admission

import "time"

// Settings of the circuit breaker.
const (
	// breakerFailureThreshold is the number of consecutive failures that open it.
	breakerFailureThreshold = 5
	// breakerProbeSuccesses is the number of successful probes that close it.
	breakerProbeSuccesses = 2
	// breakerInitialBackoff and breakerMaximumBackoff bound the wait before
	// a probe, which doubles with each failed probe.
	breakerInitialBackoff = 500 * time.Millisecond
	breakerMaximumBackoff = 15 * time.Second
)

type breakerState uint8

const (
	breakerClosed breakerState = iota
	breakerOpen
	breakerHalfOpen
)

// breaker is a circuit breaker that is driven by the results of the agent's requests
// to the back end. While half-open it allows one request at a time, the probe.
type breaker struct {
	state breakerState
	// failures counts consecutive failures, successes the successful probes since the
	// breaker became half-open.
	failures  int
	successes int
	// backoff is the latest wait before a probe, and openUntil when it ends.
	backoff       time.Duration
	openUntil     time.Time
	probeInFlight bool
}

// allow reports whether a request may go to the back end now. In the half-open state
// it reserves the probe, which recordSuccess, recordFailure or releaseProbe releases.
func (breaker *breaker) allow(now time.Time) bool {
	if breaker.state == breakerOpen && !now.Before(breaker.openUntil) {
		breaker.state = breakerHalfOpen
		breaker.successes = 0
		breaker.probeInFlight = false
	}
	switch breaker.state {
	case breakerClosed:
		return true
	case breakerHalfOpen:
		if breaker.probeInFlight {
			return false
		}
		breaker.probeInFlight = true
		return true
	default:
		return false
	}
}

// recordSuccess records a successful result and reports whether it closed the breaker.
func (breaker *breaker) recordSuccess() bool {
	breaker.failures = 0
	breaker.probeInFlight = false
	if breaker.state != breakerHalfOpen {
		return false
	}
	breaker.successes++
	if breaker.successes < breakerProbeSuccesses {
		return false
	}
	breaker.state = breakerClosed
	breaker.backoff = 0
	return true
}

// recordFailure records a failed result and reports whether it opened the breaker.
func (breaker *breaker) recordFailure(now time.Time) bool {
	breaker.probeInFlight = false
	breaker.failures++
	switch {
	case breaker.state == breakerOpen:
		return false
	case breaker.state == breakerClosed && breaker.failures < breakerFailureThreshold:
		return false
	}
	breaker.state = breakerOpen
	breaker.backoff = min(max(breaker.backoff*2, breakerInitialBackoff), breakerMaximumBackoff)
	breaker.openUntil = now.Add(breaker.backoff)
	return true
}

// releaseProbe releases a probe whose result is no evidence about the back end.
func (breaker *breaker) releaseProbe() { breaker.probeInFlight = false }

// wait returns the time until the next probe may start, or zero unless the breaker is open.
func (breaker *breaker) wait(now time.Time) time.Duration {
	if breaker.state != breakerOpen {
		return 0
	}
	return max(breaker.openUntil.Sub(now), 0)
}

func (breaker *breaker) closed() bool { return breaker.state == breakerClosed }

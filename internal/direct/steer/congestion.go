package steer

import (
	"math"
	"sync"
	"time"
)

const (
	// congestionSpan is the time over which new flows of a service are averaged. Until a
	// rush is taken for a lack of capacity, new flows go to full targets, which turn them
	// away after a third of a second: with two seconds a quarter more of the tries.
	congestionTimeConstant = 500 * time.Millisecond
	// congestedFrom is the part of new flows that are expected to miss their
	// objective from which a service counts as congested. A backlog that goes away
	// by itself, as after an outage, stays below.
	congestionThreshold = 0.5
)

// congestion tells a lasting lack of capacity from a passing one, by how many
// new flows of a service were lately expected to miss their objective. Refusing helps against the
// first: what is let in is served in time. In the second, what is late is still
// served. The idea is that of controlled delay (Nichols and Jacobson, 2012): only
// a queue that does not drain is a reason to drop.
type congestionDetector struct {
	lock      sync.Mutex
	level     float64
	updatedAt time.Time
}

// observe takes in whether a new flow is expected to miss its objective, and returns
// whether the service is congested.
func (congestion *congestionDetector) observe(late bool, now time.Time) bool {
	congestion.lock.Lock()
	defer congestion.lock.Unlock()
	passed := max(now.Sub(congestion.updatedAt), 0)
	if congestion.updatedAt.IsZero() {
		passed = 0
	}
	congestion.updatedAt = now
	kept := math.Exp(-float64(passed) / float64(congestionTimeConstant))
	congestion.level *= kept
	if late {
		congestion.level += 1 - kept
	}
	return congestion.level >= congestionThreshold
}

package steer

import (
	"math"
	"sync"
	"time"
)

const (
	// congestionTimeConstant is the time constant of the average over a service's new flows.
	// Until a rise in load is recognized as a lack of capacity, new flows go to full targets,
	// which refuse them after a third of a second. A time constant of two seconds caused a
	// quarter more attempts.
	congestionTimeConstant = 500 * time.Millisecond
	// congestionThreshold is the share of new flows with an overloaded target from which a
	// service counts as congested. A backlog that drains by itself, as after an outage, stays
	// below.
	congestionThreshold = 0.5
)

// congestionDetector distinguishes a lasting lack of capacity from a passing one by the share of
// recent new flows of a service whose target was overloaded. During a lasting one refusals help,
// because the admitted flows are served in time. During a passing one all flows are still served,
// though some late. The idea is that of controlled delay (CoDel; Nichols and Jacobson, 2012):
// only a queue that does not drain is a reason to drop.
type congestionDetector struct {
	lock sync.Mutex
	// level is the exponentially decaying average of the share of overloaded flows, from 0
	// to 1, as of updatedAt.
	level     float64
	updatedAt time.Time
}

// observe records whether a new flow found its target overloaded, and reports whether the service
// is congested.
func (detector *congestionDetector) observe(overloaded bool, now time.Time) bool {
	detector.lock.Lock()
	defer detector.lock.Unlock()
	passed := max(now.Sub(detector.updatedAt), 0)
	if detector.updatedAt.IsZero() {
		passed = 0
	}
	detector.updatedAt = now
	kept := math.Exp(-float64(passed) / float64(congestionTimeConstant))
	detector.level *= kept
	if overloaded {
		detector.level += 1 - kept
	}
	return detector.level >= congestionThreshold
}

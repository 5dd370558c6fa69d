package steer

import (
	"sync"
	"time"
)

const (
	// priorityActiveFor is how long a priority counts as active after the last new flow on its
	// routes. Callers come and go within some ten seconds.
	priorityActiveFor = 10 * time.Second
	// maxTrackedPriorities is the largest number of active priorities that are tracked for a
	// service.
	maxTrackedPriorities = 8
)

// priorityTracker tracks which priorities of a service's routes are active, and ranks a route by
// the number of active priorities that are more urgent. Declared routes without traffic do not
// count: they would make all other routes less urgent, and have their callers refused for the
// benefit of no one.
type priorityTracker struct {
	lock   sync.Mutex
	active [maxTrackedPriorities]activePriority
}

// activePriority is a priority and the time of its last new flow, which is zero for an unused
// entry.
type activePriority struct {
	priority int
	lastUsed time.Time
}

// rank records a new flow of a priority and returns the number of active priorities that are more
// urgent, which are those with a lower number. A priority without an entry replaces the entry
// that was not used for longest.
func (tracker *priorityTracker) rank(priority int, now time.Time) int {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	rank, own, oldest := 0, -1, 0
	for index := range tracker.active {
		known := &tracker.active[index]
		switch {
		case known.lastUsed.IsZero() || now.Sub(known.lastUsed) >= priorityActiveFor:
		case known.priority < priority:
			rank++
		case known.priority == priority:
			own = index
		}
		if known.lastUsed.Before(tracker.active[oldest].lastUsed) {
			oldest = index
		}
	}
	if own < 0 {
		own = oldest
	}
	tracker.active[own] = activePriority{priority: priority, lastUsed: now}
	return rank
}

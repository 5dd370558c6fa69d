package steer

import (
	"sync"
	"time"
)

const (
	// usedFor is how long a priority counts as used after the last new flow of its routes.
	// Callers come and go within some ten seconds.
	priorityActiveFor = 10 * time.Second
	// prioritiesKept bounds the priorities of a service that are told apart.
	maxTrackedPriorities = 8
)

// urgency tells how many priorities in use go before a route's. Declared routes that nobody
// uses do not count: they would make every other route less urgent, and its callers be
// refused for the sake of nobody.
type priorityTracker struct {
	lock   sync.Mutex
	active [maxTrackedPriorities]activePriority
}

// usedPriority is a priority and when a new flow of it came last, zero for a free place.
type activePriority struct {
	priority int
	lastUsed time.Time
}

// rank notes a new flow of a priority and returns the number of priorities in use that go
// before it.
func (urgency *priorityTracker) rank(priority int, now time.Time) int {
	urgency.lock.Lock()
	defer urgency.lock.Unlock()
	rank, own, oldest := 0, -1, 0
	for place := range urgency.active {
		used := &urgency.active[place]
		switch {
		case used.lastUsed.IsZero() || now.Sub(used.lastUsed) >= priorityActiveFor:
		case used.priority < priority:
			rank++
		case used.priority == priority:
			own = place
		}
		if used.lastUsed.Before(urgency.active[oldest].lastUsed) {
			oldest = place
		}
	}
	if own < 0 {
		own = oldest
	}
	urgency.active[own] = activePriority{priority: priority, lastUsed: now}
	return rank
}

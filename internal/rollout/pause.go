package rollout

import (
	"sync"
	"time"
)

// pauseLimit is the longest time between two runs of the subscriber that does not count as a pause
// of the process. It is shorter than the shortest time after which control declares the target of an
// unresponsive agent dead.
const pauseLimit = 900 * time.Millisecond

// Pause detects that the process did not run for a while, as after SIGSTOP or when the machine was
// suspended. During the pause control may have declared the agent's target dead and moved its
// buckets. Packets that queued up during the pause must then not open flows by the old configuration.
//
// Invariant: from a pause on, Over returns false until the process has sent a heartbeat after the
// pause, a relay has answered it as current, and the node runs at least the revision that the answer
// gives as committed. Every goroutine sees this at once, even one that runs before the subscriber
// does.
type Pause struct {
	lock sync.Mutex
	// lastRunAt is when the subscriber last ran; zero before its first run.
	lastRunAt time.Time
	// resumedAt is when the subscriber first ran after the latest pause; zero once the pause is over.
	resumedAt time.Time
}

// NewPause returns a pause that is over.
func NewPause() *Pause { return &Pause{} }

// Over reports whether the process may act on its configuration at now: the subscriber's last run
// is at most pauseLimit ago, and the latest pause has ended. Before the first run there is no pause.
func (pause *Pause) Over(now time.Time) bool {
	pause.lock.Lock()
	defer pause.lock.Unlock()
	return pause.resumedAt.IsZero() && !pause.overdue(now)
}

// recordRun records a run of the subscriber, and records a pause if the previous run was more than
// pauseLimit ago.
func (pause *Pause) recordRun(now time.Time) {
	pause.lock.Lock()
	defer pause.lock.Unlock()
	if pause.overdue(now) {
		pause.resumedAt = now
	}
	pause.lastRunAt = now
}

// overdue reports whether the subscriber's last run is more than pauseLimit ago.
func (pause *Pause) overdue(now time.Time) bool {
	return !pause.lastRunAt.IsZero() && now.Sub(pause.lastRunAt) > pauseLimit
}

// confirm ends the pause unless askedAt is before resumedAt. askedAt is when the node sent the
// heartbeat whose answer confirms it as up to date.
func (pause *Pause) confirm(askedAt time.Time) {
	pause.lock.Lock()
	defer pause.lock.Unlock()
	if !askedAt.Before(pause.resumedAt) {
		pause.resumedAt = time.Time{}
	}
}

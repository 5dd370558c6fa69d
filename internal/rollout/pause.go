package rollout

import (
	"sync"
	"time"
)

// pauseLimit is the longest time between two runs of the subscriber after which
// the process still trusts what it knows. It is shorter than the shortest time
// after which control takes a silent target for dead.
const pauseLimit = 900 * time.Millisecond

// Pause notices that the process stood still, as after SIGSTOP or on a machine
// that was suspended. While it stood still, control may have taken it for dead
// and moved its buckets. Packets that waited for it meanwhile must then not
// open flows by what it knew before.
//
// Invariant: Over is false from a pause on, until a relay that was asked after
// it has proved to be current and the node runs what was committed by then.
// Every goroutine sees that at once, also one that runs before the subscriber.
type Pause struct {
	lock sync.Mutex
	// ranAt is when the subscriber last ran; zero before its first run.
	lastRunAt time.Time
	// wokeAt is when the latest pause was noticed; zero while there is none.
	resumedAt time.Time
}

// NewPause returns a pause that is over.
func NewPause() *Pause { return &Pause{} }

// Over tells whether the process may act at now on what it knows.
func (pause *Pause) Over(now time.Time) bool {
	pause.lock.Lock()
	defer pause.lock.Unlock()
	return pause.resumedAt.IsZero() && !pause.overdue(now)
}

// ran records a run of the subscriber.
func (pause *Pause) recordRun(now time.Time) {
	pause.lock.Lock()
	defer pause.lock.Unlock()
	if pause.overdue(now) {
		pause.resumedAt = now
	}
	pause.lastRunAt = now
}

func (pause *Pause) overdue(now time.Time) bool {
	return !pause.lastRunAt.IsZero() && now.Sub(pause.lastRunAt) > pauseLimit
}

// proved ends the pause if a relay that was asked at askedAt proved that the
// node is up to date.
func (pause *Pause) confirm(askedAt time.Time) {
	pause.lock.Lock()
	defer pause.lock.Unlock()
	if !askedAt.Before(pause.resumedAt) {
		pause.resumedAt = time.Time{}
	}
}

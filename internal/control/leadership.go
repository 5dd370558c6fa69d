package control

import (
	"sync"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/membership"
	"merlinpaddle/internal/replica"
)

// Group is the part of replica.Controller that this package's controllers use. All calls return
// without blocking; done is called later, from any goroutine.
type Group interface {
	// StatusAt returns what this member knows about the group as of now.
	StatusAt(now time.Time) replica.Status
	// Submit proposes a command.
	Submit(command []byte, done func(result []byte, err error))
	// ReadBarrier calls done once this member's state contains every change that was committed
	// before the call, or with an error.
	ReadBarrier(done func(err error))
}

// leadershipTracker derives this member's leadership from the group's status.
//
// A new leader may not yet have applied everything that earlier leaders committed, so leadership
// begins only after a read barrier in the new term.
type leadershipTracker struct {
	group Group
	// passedBarriers receives the terms whose read barrier has passed.
	passedBarriers *board.Queue[uint64]

	lock          sync.Mutex
	leadership    membership.Leadership
	requestedTerm uint64
	requestedAt   time.Time
}

const (
	// barrierRetryInterval is how long a read barrier may take before another one is requested.
	barrierRetryInterval = time.Second
	// barrierQueueCapacity limits the queued results of read barriers.
	barrierQueueCapacity = 64
)

func newLeadershipTracker(group Group) *leadershipTracker {
	return &leadershipTracker{
		group:          group,
		passedBarriers: board.NewQueue[uint64]("leadership barriers", barrierQueueCapacity),
	}
}

// Leadership returns this member's leadership as of the last update.
func (tracker *leadershipTracker) Leadership() membership.Leadership {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	return tracker.leadership
}

// update reads the group's status and reports whether leadership began or ended. It also
// requests the read barrier that a new leadership needs.
func (tracker *leadershipTracker) update(now time.Time) (replica.Status, bool) {
	status := tracker.group.StatusAt(now)
	passed := tracker.barrierPassed(status.Term)
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if !status.Leading {
		changed := tracker.leadership.Leading
		tracker.leadership = membership.Leadership{}
		tracker.requestedTerm = 0
		return status, changed
	}
	if tracker.leadership.Leading && tracker.leadership.Term == status.Term {
		return status, false
	}
	if passed && tracker.requestedTerm == status.Term {
		tracker.leadership = membership.Leadership{Leading: true, Term: status.Term, Since: now}
		return status, true
	}
	changed := tracker.leadership.Leading
	tracker.leadership = membership.Leadership{}
	tracker.requestBarrier(now, status.Term)
	return status, changed
}

// barrierPassed reports whether a read barrier of the term has passed since the last call.
func (tracker *leadershipTracker) barrierPassed(term uint64) bool {
	passed := false
	for _, passedTerm := range tracker.passedBarriers.Drain() {
		passed = passed || passedTerm == term
	}
	return passed
}

// requestBarrier requests a read barrier in the term, unless one was requested within
// barrierRetryInterval.
func (tracker *leadershipTracker) requestBarrier(now time.Time, term uint64) {
	if tracker.requestedTerm == term && now.Sub(tracker.requestedAt) < barrierRetryInterval {
		return
	}
	tracker.requestedTerm = term
	tracker.requestedAt = now
	barriers := tracker.passedBarriers
	tracker.group.ReadBarrier(func(err error) {
		if err == nil {
			barriers.Put(term)
		}
	})
}

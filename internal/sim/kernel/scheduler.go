package kernel

import (
	"container/heap"
	"time"
)

// Epoch is the virtual time at which every run starts.
var Epoch = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

// Scheduler is the virtual clock. It runs events in the order of their times, and events of equal
// time in the order in which they were scheduled.
type Scheduler struct {
	now      time.Time
	sequence uint64
	events   eventHeap
	executed uint64
	stopped  bool
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// NewScheduler returns a scheduler at Epoch without events.
func NewScheduler() *Scheduler { return &Scheduler{now: Epoch} }

// Now returns the virtual time.
func (scheduler *Scheduler) Now() time.Time { return scheduler.now }

// Elapsed returns the virtual time since the run's start.
func (scheduler *Scheduler) Elapsed() time.Duration { return scheduler.now.Sub(Epoch) }

// Executed returns the number of events run so far.
func (scheduler *Scheduler) Executed() uint64 { return scheduler.executed }

// At schedules run at a virtual time; a past time counts as now.
func (scheduler *Scheduler) At(at time.Time, run func()) {
	if at.Before(scheduler.now) {
		at = scheduler.now
	}
	scheduler.sequence++
	heap.Push(&scheduler.events, event{at: at, sequence: scheduler.sequence, run: run})
}

// After schedules run to be called after delay.
func (scheduler *Scheduler) After(delay time.Duration, run func()) {
	scheduler.At(scheduler.now.Add(delay), run)
}

// Every calls run at each interval, first after one interval, until it returns false.
func (scheduler *Scheduler) Every(interval time.Duration, run func() bool) {
	scheduler.After(interval, func() {
		if run() {
			scheduler.Every(interval, run)
		}
	})
}

// Stop ends the run after the current event. Later events never run.
func (scheduler *Scheduler) Stop() { scheduler.stopped = true }

// RunFor runs the events of the next duration of virtual time, including those at its end, and
// advances the clock by duration unless Stop is called.
func (scheduler *Scheduler) RunFor(duration time.Duration) {
	end := scheduler.now.Add(duration)
	for !scheduler.stopped && len(scheduler.events) > 0 && !scheduler.events[0].at.After(end) {
		next := heap.Pop(&scheduler.events).(event)
		scheduler.now = next.at
		scheduler.executed++
		next.run()
	}
	if !scheduler.stopped {
		scheduler.now = end
	}
}

// eventHeap orders events by time, then by sequence.
type eventHeap []event

func (events eventHeap) Len() int { return len(events) }

func (events eventHeap) Less(left, right int) bool {
	if events[left].at.Equal(events[right].at) {
		return events[left].sequence < events[right].sequence
	}
	return events[left].at.Before(events[right].at)
}

func (events eventHeap) Swap(left, right int) {
	events[left], events[right] = events[right], events[left]
}

// Push implements heap.Interface.
func (events *eventHeap) Push(value any) { *events = append(*events, value.(event)) }

// Pop implements heap.Interface.
func (events *eventHeap) Pop() any {
	old := *events
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*events = old[:len(old)-1]
	return last
}

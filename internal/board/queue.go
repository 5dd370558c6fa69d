package board

import "sync"

// Queue is a bounded first-in, first-out list on the blackboard: inboxes and
// outboxes of messages, and streams of events between controllers.
type Queue[Value any] struct {
	name     string
	capacity int
	lock     sync.Mutex
	values   []Value
	dropped  uint64
	refused  uint64
	notifier Notifier
}

// NewQueue returns an empty queue that holds at most capacity values.
func NewQueue[Value any](name string, capacity int) *Queue[Value] {
	return &Queue[Value]{name: name, capacity: capacity}
}

// Name returns the queue's name.
func (queue *Queue[Value]) Name() string { return queue.name }

// Put appends a value. It returns false, and counts a drop, when the queue is
// full: senders of messages must already live with loss.
func (queue *Queue[Value]) Put(value Value) bool {
	queue.lock.Lock()
	if len(queue.values) >= queue.capacity {
		queue.dropped++
		queue.lock.Unlock()
		return false
	}
	queue.values = append(queue.values, value)
	queue.lock.Unlock()
	queue.notifier.Notify()
	return true
}

// Drain removes and returns all values in the order in which they came.
func (queue *Queue[Value]) Drain() []Value {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	values := queue.values
	queue.values = nil
	return values
}

// Length returns the number of values that wait.
func (queue *Queue[Value]) Length() int {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	return len(queue.values)
}

// Dropped returns how many values were refused because the queue was full.
func (queue *Queue[Value]) Dropped() uint64 {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	return queue.dropped
}

// CountRefused counts a value that its reader could not take.
func (queue *Queue[Value]) CountRefused() {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	queue.refused++
}

// Refused returns how many values their reader could not take.
func (queue *Queue[Value]) Refused() uint64 {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	return queue.refused
}

// Watch registers a channel that gets a notice after each Put.
func (queue *Queue[Value]) Watch() <-chan struct{} { return queue.notifier.Watch() }

package board

import "sync"

// Queue is a bounded first-in, first-out queue. It is used for inboxes and outboxes of messages, and
// for events between controllers. It is safe for concurrent use.
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

// Put appends a value and notifies the watchers. It reports whether the value was added: a full
// queue drops and counts it, as senders of messages must tolerate loss anyway.
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

// Drain removes and returns all values in the order in which they were put.
func (queue *Queue[Value]) Drain() []Value {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	values := queue.values
	queue.values = nil
	return values
}

// Length returns the number of values in the queue.
func (queue *Queue[Value]) Length() int {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	return len(queue.values)
}

// Dropped returns the number of values that Put dropped because the queue was full.
func (queue *Queue[Value]) Dropped() uint64 {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	return queue.dropped
}

// CountRefused counts a value that a reader drained but could not handle, for example because of its
// type.
func (queue *Queue[Value]) CountRefused() {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	queue.refused++
}

// Refused returns the number of values counted by CountRefused.
func (queue *Queue[Value]) Refused() uint64 {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	return queue.refused
}

// Watch registers and returns a channel that receives a notice after a Put. It holds at most one
// notice.
func (queue *Queue[Value]) Watch() <-chan struct{} { return queue.notifier.Watch() }

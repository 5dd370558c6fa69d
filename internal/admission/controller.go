// Package admission decides which request runs at a target, which waits, and
// which is refused at once.
//
// Calls and uploads share the target's slots; uploads never hold all of them.
// Feeds hold a place in a count of their own and no slot. Requests that find
// no slot wait in a bounded queue in the order of their weighted deadlines. A
// request whose deadline cannot be met is refused as soon as that is known,
// with the time after which it is worth asking again.
//
// The package is pure: the time is given, the generator is seeded, and no
// call waits.
package admission

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Options configures a Controller.
type Options struct {
	// Slots is the number of calls and uploads that run at once.
	Slots int
	// MaximumQueue is the number of requests that may wait.
	MaximumQueue int
	// MaximumFeeds is the number of open feeds.
	MaximumFeeds int
	// ColdStart is the length of the ramp after a start; zero for none.
	ColdStart time.Duration
	// StartedAt is when the target started.
	StartedAt time.Time
	// Seed fixes the spread of Retry-After times.
	Seed uint64
}

// Load is the state of a controller as its target reports it.
type Load struct {
	Running int
	Waiting int
	Feeds   int
	Slots   int
	Cold    bool
	// Healthy is false while new work should go elsewhere.
	Healthy bool
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	class   model.RequestClass
	started time.Time
}

// Controller admits the requests of one target. Its methods may be called
// from several goroutines and never wait. Each returns the decisions that it
// brought about, also those on other requests.
type Controller struct {
	lock     sync.Mutex
	options  Options
	queue    []waiting
	running  map[RequestID]runningRequest
	uploads  int
	feeds    map[RequestID]struct{}
	capacity *capacity
	breaker  breaker
	health   Health
	// closed tells that nothing new starts, because the target leaves.
	closed    bool
	estimator *estimator
	random    *rand.Rand
}

// New returns a controller without requests.
func New(options Options) *Controller {
	return &Controller{
		options:   options,
		running:   make(map[RequestID]runningRequest),
		feeds:     make(map[RequestID]struct{}),
		capacity:  newCapacity(options.Slots, options.ColdStart, options.StartedAt),
		estimator: newEstimator(),
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}
}

// Offer asks to run request. When no returned decision names it, it waits.
func (controller *Controller) Offer(now time.Time, request Request) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if refusal, refused := controller.refuseAny(now, request.ID); refused {
		return []Decision{refusal}
	}
	if request.Class == model.ClassFeed {
		return []Decision{controller.offerFeed(now, request)}
	}
	decisions := controller.expire(now)
	decisions = append(decisions, controller.enqueue(now, request)...)
	decisions = append(decisions, controller.dispatch(now)...)
	return append(decisions, controller.trim(now, request.ID)...)
}

// refuseAny returns the refusal that every request gets now, if there is one.
func (controller *Controller) refuseAny(now time.Time, id RequestID) (Decision, bool) {
	if controller.closed {
		return controller.refuse(id, faults.RequestDraining, 0), true
	}
	if wait := controller.breaker.wait(now); wait > 0 {
		return controller.refuse(id, faults.BackendUnhealthy, wait), true
	}
	return Decision{}, false
}

// SetClosed ends or begins the starting of requests, as while the target
// leaves. Closing refuses those that wait; those that run are not touched.
func (controller *Controller) SetClosed(now time.Time, closed bool) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.closed = closed
	if !closed {
		return nil
	}
	return controller.refuseAll(faults.RequestDraining, 0)
}

func (controller *Controller) offerFeed(now time.Time, request Request) Decision {
	if len(controller.feeds) >= controller.options.MaximumFeeds {
		return controller.refuse(request.ID, faults.RequestTooManyFeeds, controller.drainTime(now))
	}
	if !controller.breaker.allow(now) {
		return controller.refuse(request.ID, faults.BackendUnhealthy, controller.drainTime(now))
	}
	controller.feeds[request.ID] = struct{}{}
	return Decision{ID: request.ID, Verdict: VerdictRun}
}

// enqueue puts request into the queue, or refuses it or the requests that can
// no longer meet their deadlines because of it.
func (controller *Controller) enqueue(now time.Time, request Request) []Decision {
	if !now.Before(request.Deadline) {
		return []Decision{controller.refuse(request.ID, faults.RequestDeadlinePassed, controller.drainTime(now))}
	}
	entry := newWaiting(request)
	position, _ := slices.BinarySearchFunc(controller.queue, entry, compareWaiting)
	if !controller.meetsDeadline(now, entry, position) {
		return []Decision{controller.refuse(request.ID, faults.RequestDeadlineTooShort, controller.drainTime(now))}
	}
	controller.queue = slices.Insert(controller.queue, position, entry)
	return controller.refuseLate(now)
}

// trim refuses the last request of a queue that is over its bound once every
// request that can start has left it.
func (controller *Controller) trim(now time.Time, newest RequestID) []Decision {
	last := len(controller.queue) - 1
	if last < controller.options.MaximumQueue {
		return nil
	}
	dropped := controller.queue[last]
	controller.queue = controller.queue[:last]
	code := faults.RequestDisplaced
	if dropped.ID == newest {
		code = faults.RequestQueueFull
	}
	return []Decision{controller.refuse(dropped.ID, code, controller.drainTime(now))}
}

// refuseLate refuses queued requests that can no longer meet their deadlines.
func (controller *Controller) refuseLate(now time.Time) []Decision {
	var decisions []Decision
	for position := 0; position < len(controller.queue); {
		entry := controller.queue[position]
		if controller.meetsDeadline(now, entry, position) {
			position++
			continue
		}
		controller.queue = slices.Delete(controller.queue, position, position+1)
		decisions = append(decisions, controller.refuse(entry.ID, faults.RequestDeadlineTooShort, controller.drainTime(now)))
	}
	return decisions
}

// expire refuses queued requests whose deadline has passed.
func (controller *Controller) expire(now time.Time) []Decision {
	var decisions []Decision
	controller.queue = slices.DeleteFunc(controller.queue, func(entry waiting) bool {
		if now.Before(entry.Deadline) {
			return false
		}
		decisions = append(decisions, controller.refuse(entry.ID, faults.RequestDeadlinePassed, controller.drainTime(now)))
		return true
	})
	return decisions
}

// dispatch starts queued requests while slots are free.
func (controller *Controller) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for position := 0; position < len(controller.queue); {
		if controller.freeSlots(now) <= 0 {
			break
		}
		entry := controller.queue[position]
		if entry.Class == model.ClassUpload && !controller.uploadMayStart(now) {
			position++
			continue
		}
		if !controller.breaker.allow(now) {
			break
		}
		controller.queue = slices.Delete(controller.queue, position, position+1)
		controller.start(now, entry.Request)
		decisions = append(decisions, Decision{ID: entry.ID, Verdict: VerdictRun})
	}
	return decisions
}

func (controller *Controller) start(now time.Time, request Request) {
	controller.running[request.ID] = runningRequest{class: request.Class, started: now}
	if request.Class == model.ClassUpload {
		controller.uploads++
	}
}

// uploadMayStart keeps one slot for calls, unless there is only one slot.
func (controller *Controller) uploadMayStart(now time.Time) bool {
	return controller.uploads < controller.uploadSlots(now)
}

func (controller *Controller) uploadSlots(now time.Time) int {
	return max(controller.capacity.usable(now)-1, 1)
}

func (controller *Controller) freeSlots(now time.Time) int {
	return max(controller.capacity.usable(now)-len(controller.running), 0)
}

// Forecast returns the refusal that request would get if it were offered now,
// and false when it would run or wait. Nothing is changed.
func (controller *Controller) Forecast(now time.Time, request Request) (Decision, bool) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if refusal, refused := controller.refuseAny(now, request.ID); refused {
		return refusal, true
	}
	entry := newWaiting(request)
	position, _ := slices.BinarySearchFunc(controller.queue, entry, compareWaiting)
	if !controller.meetsDeadline(now, entry, position) {
		return controller.refuse(request.ID, faults.RequestDeadlineTooShort, controller.drainTime(now)), true
	}
	full := len(controller.queue) >= controller.options.MaximumQueue && controller.expectedWait(now, entry, position) > 0
	if full && position == len(controller.queue) {
		return controller.refuse(request.ID, faults.RequestQueueFull, controller.drainTime(now)), true
	}
	return Decision{}, false
}

// RetryAfter returns when a refused caller should come back, spread so that
// callers do not return together.
func (controller *Controller) RetryAfter(now time.Time) time.Duration {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	base := max(controller.drainTime(now), controller.breaker.wait(now))
	return controller.refuse(0, 0, base).RetryAfter
}

// Finish tells that a request that ran has ended.
func (controller *Controller) Finish(now time.Time, id RequestID, result Result) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if !controller.remove(now, id, result) {
		return nil
	}
	decisions := controller.judge(now, result)
	decisions = append(decisions, controller.expire(now)...)
	return append(decisions, controller.dispatch(now)...)
}

// Report tells of the back end's behaviour without ending a request: a feed
// whose answer has begun, or a health probe of the agent's own.
func (controller *Controller) RecordResult(now time.Time, result Result) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return append(controller.judge(now, result), controller.dispatch(now)...)
}

func (controller *Controller) remove(now time.Time, id RequestID, result Result) bool {
	if _, exists := controller.feeds[id]; exists {
		delete(controller.feeds, id)
		return true
	}
	ended, exists := controller.running[id]
	if !exists {
		return false
	}
	delete(controller.running, id)
	if ended.class == model.ClassUpload {
		controller.uploads--
	}
	if result == ResultAnswered {
		controller.estimator.observe(ended.class, now.Sub(ended.started))
	}
	return true
}

// judge updates breaker and capacity after a result.
func (controller *Controller) judge(now time.Time, result Result) []Decision {
	controller.health.RecordResult(now, result)
	switch result {
	case ResultAnswered:
		if controller.breaker.success() {
			controller.capacity.restart(now)
		}
	case ResultShed:
		controller.breaker.neutral()
		controller.capacity.shed(now)
	case ResultFailed:
		if controller.breaker.failure(now) {
			return controller.refuseAll(faults.BackendUnhealthy, controller.breaker.wait(now))
		}
	default:
		controller.breaker.neutral()
	}
	return nil
}

// refuseAll gives up on every queued request.
func (controller *Controller) refuseAll(code faults.Code, comeBack time.Duration) []Decision {
	var decisions []Decision
	for _, entry := range controller.queue {
		decisions = append(decisions, controller.refuse(entry.ID, code, comeBack))
	}
	controller.queue = nil
	return decisions
}

// Cancel removes a queued request whose caller went away.
func (controller *Controller) Cancel(now time.Time, id RequestID) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.queue = slices.DeleteFunc(controller.queue, func(entry waiting) bool { return entry.ID == id })
	return append(controller.expire(now), controller.dispatch(now)...)
}

// Reconcile makes the decisions that are due by time alone.
func (controller *Controller) Reconcile(now time.Time) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return append(controller.expire(now), controller.dispatch(now)...)
}

// NextChange returns the next time at which Reconcile may decide something,
// and false when nothing waits.
func (controller *Controller) NextChange(now time.Time) (time.Time, bool) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if len(controller.queue) == 0 {
		return time.Time{}, false
	}
	next := controller.queue[0].Deadline
	for _, entry := range controller.queue[1:] {
		if entry.Deadline.Before(next) {
			next = entry.Deadline
		}
	}
	if change, pending := controller.capacity.nextChange(now); pending && change.Before(next) {
		next = change
	}
	return next, true
}

// HealthReport records a health report of the back end.
func (controller *Controller) RecordHealthReport(good bool) { controller.health.RecordReport(good) }

// Resize changes the bounds of a running controller. Requests that run or wait
// keep their places.
func (controller *Controller) Resize(slots, maximumQueue, maximumFeeds int) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.options.MaximumQueue = maximumQueue
	controller.options.MaximumFeeds = maximumFeeds
	controller.capacity.slots = slots
	controller.capacity.lowered = min(controller.capacity.lowered, slots-minimumSlots)
}

// Load returns the controller's present load.
func (controller *Controller) Load(now time.Time) Load {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return Load{
		Running: len(controller.running),
		Waiting: len(controller.queue),
		Feeds:   len(controller.feeds),
		Slots:   controller.capacity.usable(now),
		Cold:    controller.capacity.cold(now),
		Healthy: controller.health.IsHealthy(now, controller.breaker.closed(), controller.breaker.wait(now) == 0),
	}
}

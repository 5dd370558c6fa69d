// Package admission implements a target's admission control: it decides which
// requests run, which wait in a queue, and which are refused immediately.
//
// Calls and uploads share the target's slots; uploads never hold all of them,
// unless there is only one. Feeds hold no slot and have a limit of their own.
// Requests that find no free slot wait in a bounded queue, ordered by weighted
// deadlines. A request is refused as soon as it is expected to miss its deadline.
// Each refusal has a Retry-After time, after which a retry is worthwhile.
//
// The package is deterministic and performs no I/O: callers pass the time, the
// random number generator is seeded, and no call blocks.
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
	// Slots is the largest number of calls and uploads that run at once.
	Slots int
	// MaximumQueue is the largest number of queued requests.
	MaximumQueue int
	// MaximumFeeds is the largest number of open feeds.
	MaximumFeeds int
	// ColdStart is the duration of the slow start, in which the usable slots grow
	// from one to Slots after a start, and again after the circuit breaker has closed;
	// zero means none.
	ColdStart time.Duration
	// StartedAt is when the target started, which is the beginning of the slow start.
	StartedAt time.Time
	// Seed seeds the random spread of Retry-After times.
	Seed uint64
}

// Load is the load of a controller as its target reports it.
type Load struct {
	// Running, Waiting and Feeds count the requests that hold a slot, the queued
	// requests, and the open feeds.
	Running int
	Waiting int
	Feeds   int
	// Slots is the number of slots that are usable now, and Cold is true during
	// the slow start.
	Slots int
	Cold  bool
	// Healthy is false while new work should go to other targets.
	Healthy bool
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	class   model.RequestClass
	started time.Time
}

// Controller decides about the requests of one target. Its methods are safe for
// concurrent use and never block. They return every decision that they cause,
// including those on other requests.
type Controller struct {
	lock    sync.Mutex
	options Options
	// queue is sorted by compareQueued.
	queue   []queuedRequest
	running map[RequestID]runningRequest
	// uploads is the number of running uploads.
	uploads  int
	feeds    map[RequestID]struct{}
	capacity *capacity
	breaker  breaker
	health   Health
	// closed is true while every new request is refused, because the target has drained
	// for a while.
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

// Offer asks to run a request. The request is queued if no returned decision is about
// it.
func (controller *Controller) Offer(now time.Time, request Request) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if refusal, refused := controller.refusalForAll(now, request.ID); refused {
		return []Decision{refusal}
	}
	if request.Class == model.ClassFeed {
		return []Decision{controller.offerFeed(now, request)}
	}
	decisions := controller.expire(now)
	decisions = append(decisions, controller.enqueue(now, request)...)
	decisions = append(decisions, controller.dispatch(now)...)
	return append(decisions, controller.trimQueue(now, request.ID)...)
}

// refusalForAll returns the refusal that every request gets now because the controller
// is closed or the circuit breaker is open, and whether there is one.
func (controller *Controller) refusalForAll(now time.Time, id RequestID) (Decision, bool) {
	if controller.closed {
		return controller.refuse(id, faults.RequestDraining, 0), true
	}
	if wait := controller.breaker.wait(now); wait > 0 {
		return controller.refuse(id, faults.BackendUnhealthy, wait), true
	}
	return Decision{}, false
}

// SetClosed stops or resumes the admission of requests; it is stopped when a target has
// drained for a while. Closing refuses the queued requests and new ones with
// faults.RequestDraining. Running requests are not affected.
func (controller *Controller) SetClosed(now time.Time, closed bool) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.closed = closed
	if !closed {
		return nil
	}
	return controller.refuseQueued(faults.RequestDraining, 0)
}

func (controller *Controller) offerFeed(now time.Time, request Request) Decision {
	if len(controller.feeds) >= controller.options.MaximumFeeds {
		return controller.refuse(request.ID, faults.RequestTooManyFeeds, controller.backlogTime(now))
	}
	if !controller.breaker.allow(now) {
		return controller.refuse(request.ID, faults.BackendUnhealthy, controller.backlogTime(now))
	}
	controller.feeds[request.ID] = struct{}{}
	return Decision{ID: request.ID, Verdict: VerdictRun}
}

// enqueue adds a request to the queue, or refuses it if it is not expected to meet its
// deadline. It then refuses the queued requests that the new one delays too much.
func (controller *Controller) enqueue(now time.Time, request Request) []Decision {
	if !now.Before(request.Deadline) {
		return []Decision{controller.refuse(request.ID, faults.RequestDeadlinePassed, controller.backlogTime(now))}
	}
	entry := newQueuedRequest(request)
	position, _ := slices.BinarySearchFunc(controller.queue, entry, compareQueued)
	if !controller.meetsDeadline(now, entry, position) {
		return []Decision{controller.refuse(request.ID, faults.RequestDeadlineTooShort, controller.backlogTime(now))}
	}
	controller.queue = slices.Insert(controller.queue, position, entry)
	return controller.refuseUnmeetable(now)
}

// trimQueue refuses the last request of the queue if the queue is longer than
// MaximumQueue after all requests that can start have left it. newest is the request
// that was just offered, which gets another code than a request that it displaces.
func (controller *Controller) trimQueue(now time.Time, newest RequestID) []Decision {
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
	return []Decision{controller.refuse(dropped.ID, code, controller.backlogTime(now))}
}

// refuseUnmeetable refuses queued requests that are no longer expected to meet their
// deadlines.
func (controller *Controller) refuseUnmeetable(now time.Time) []Decision {
	var decisions []Decision
	for position := 0; position < len(controller.queue); {
		entry := controller.queue[position]
		if controller.meetsDeadline(now, entry, position) {
			position++
			continue
		}
		controller.queue = slices.Delete(controller.queue, position, position+1)
		decisions = append(decisions, controller.refuse(entry.ID, faults.RequestDeadlineTooShort, controller.backlogTime(now)))
	}
	return decisions
}

// expire refuses queued requests whose deadlines have passed.
func (controller *Controller) expire(now time.Time) []Decision {
	var decisions []Decision
	controller.queue = slices.DeleteFunc(controller.queue, func(entry queuedRequest) bool {
		if now.Before(entry.Deadline) {
			return false
		}
		decisions = append(decisions, controller.refuse(entry.ID, faults.RequestDeadlinePassed, controller.backlogTime(now)))
		return true
	})
	return decisions
}

// dispatch starts queued requests in order while slots are free and the circuit breaker
// allows it. Uploads that may not start yet are skipped.
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

// uploadMayStart reports whether another upload may start.
func (controller *Controller) uploadMayStart(now time.Time) bool {
	return controller.uploads < controller.uploadSlots(now)
}

// uploadSlots returns the number of slots that uploads may hold: all usable slots but
// one, which is reserved for calls, unless only one is usable.
func (controller *Controller) uploadSlots(now time.Time) int {
	return max(controller.capacity.usable(now)-1, 1)
}

func (controller *Controller) freeSlots(now time.Time) int {
	return max(controller.capacity.usable(now)-len(controller.running), 0)
}

// Forecast returns the refusal that a request would get if it were offered now, and
// false if it would run or be queued. It does not change the queue or the running requests.
func (controller *Controller) Forecast(now time.Time, request Request) (Decision, bool) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if refusal, refused := controller.refusalForAll(now, request.ID); refused {
		return refusal, true
	}
	entry := newQueuedRequest(request)
	position, _ := slices.BinarySearchFunc(controller.queue, entry, compareQueued)
	if !controller.meetsDeadline(now, entry, position) {
		return controller.refuse(request.ID, faults.RequestDeadlineTooShort, controller.backlogTime(now)), true
	}
	queueFull := len(controller.queue) >= controller.options.MaximumQueue && controller.expectedWait(now, entry, position) > 0
	if queueFull && position == len(controller.queue) {
		return controller.refuse(request.ID, faults.RequestQueueFull, controller.backlogTime(now)), true
	}
	return Decision{}, false
}

// RetryAfter returns the time after which a refused caller should retry. It is spread
// randomly, so that callers do not retry together.
func (controller *Controller) RetryAfter(now time.Time) time.Duration {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	base := max(controller.backlogTime(now), controller.breaker.wait(now))
	return controller.refuse(0, 0, base).RetryAfter
}

// Finish records that a running request or an open feed has ended with result, and
// starts queued requests. It ignores IDs that do not run.
func (controller *Controller) Finish(now time.Time, id RequestID, result Result) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	if !controller.remove(now, id, result) {
		return nil
	}
	decisions := controller.applyResult(now, result)
	decisions = append(decisions, controller.expire(now)...)
	return append(decisions, controller.dispatch(now)...)
}

// RecordResult records a result of the back end without ending a request, as for a
// feed whose answer has begun.
func (controller *Controller) RecordResult(now time.Time, result Result) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return append(controller.applyResult(now, result), controller.dispatch(now)...)
}

// remove removes a running request or an open feed and reports whether there was one. It
// records how long an answered request held its slot.
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

// applyResult updates the health, the circuit breaker and the capacity with a result. It
// refuses all queued requests if the result opens the breaker.
func (controller *Controller) applyResult(now time.Time, result Result) []Decision {
	controller.health.RecordResult(now, result)
	switch result {
	case ResultAnswered:
		if controller.breaker.recordSuccess() {
			controller.capacity.restart(now)
		}
	case ResultShed:
		controller.breaker.releaseProbe()
		controller.capacity.recordShed(now)
	case ResultFailed:
		if controller.breaker.recordFailure(now) {
			return controller.refuseQueued(faults.BackendUnhealthy, controller.breaker.wait(now))
		}
	default:
		controller.breaker.releaseProbe()
	}
	return nil
}

// refuseQueued refuses every queued request.
func (controller *Controller) refuseQueued(code faults.Code, retryAfter time.Duration) []Decision {
	var decisions []Decision
	for _, entry := range controller.queue {
		decisions = append(decisions, controller.refuse(entry.ID, code, retryAfter))
	}
	controller.queue = nil
	return decisions
}

// Cancel removes a queued request whose caller no longer waits.
func (controller *Controller) Cancel(now time.Time, id RequestID) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.queue = slices.DeleteFunc(controller.queue, func(entry queuedRequest) bool { return entry.ID == id })
	return append(controller.expire(now), controller.dispatch(now)...)
}

// Reconcile makes the decisions that are due because time has passed: it refuses
// requests whose deadlines have passed, and starts requests in slots that have become
// usable.
func (controller *Controller) Reconcile(now time.Time) []Decision {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return append(controller.expire(now), controller.dispatch(now)...)
}

// NextChange returns the next time at which Reconcile may make a decision, and false if
// the queue is empty.
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

// RecordHealthReport records a health report of the back end; good is false also for a
// report that failed to arrive.
func (controller *Controller) RecordHealthReport(good bool) { controller.health.RecordReport(good) }

// Resize changes the limits of a controller in use. Running and queued requests are not
// affected.
func (controller *Controller) Resize(slots, maximumQueue, maximumFeeds int) {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	controller.options.MaximumQueue = maximumQueue
	controller.options.MaximumFeeds = maximumFeeds
	controller.capacity.slots = slots
	controller.capacity.withheld = min(controller.capacity.withheld, slots-minimumSlots)
}

// Load returns the controller's load at now.
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

package requests

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Gate makes requests wait until an admission controller decides about them.
type Gate struct {
	controller *admission.Controller
	// lastID is the ID of the latest request.
	lastID atomic.Uint64
	// lock guards waiters, which has a channel for each request that has no decision yet.
	lock    sync.Mutex
	waiters map[admission.RequestID]chan admission.Decision
}

// NewGate returns a gate in front of controller.
func NewGate(controller *admission.Controller) *Gate {
	return &Gate{controller: controller, waiters: make(map[admission.RequestID]chan admission.Decision)}
}

// Ticket is the admission of one request to the back end. Done must be called when the request has
// ended.
type Ticket struct {
	gate *Gate
	id   admission.RequestID
	once sync.Once
}

// Done reports the result of the request and frees its slot. Later calls do nothing.
func (ticket *Ticket) Done(result admission.Result) {
	ticket.once.Do(func() {
		ticket.gate.deliver(ticket.gate.controller.Finish(time.Now(), ticket.id, result))
	})
}

// Enter waits until the request may run. It returns a *Refusal as soon as the request is refused or
// ctx ends; the request then has not run and must not be run.
func (gate *Gate) Enter(ctx context.Context, rule model.RequestRule, deadline time.Time) (*Ticket, error) {
	now := time.Now()
	id := admission.RequestID(gate.lastID.Add(1))
	waiter := gate.register(id)
	gate.deliver(gate.controller.Offer(now, admission.Request{
		ID:       id,
		Class:    rule.Class,
		Weight:   rule.Weight,
		Arrived:  now,
		Deadline: deadline,
	}))
	decision, ended := gate.await(ctx, id, waiter)
	if ended {
		return nil, gate.refusalForEnded(ctx)
	}
	if decision.Verdict == admission.VerdictRefuse {
		return nil, newRefusal(decision)
	}
	return &Ticket{gate: gate, id: id}, nil
}

// Check returns the *Refusal that a request would get if it arrived now, or nil. It reserves
// neither a slot nor a place in the queue.
func (gate *Gate) Check(rule model.RequestRule, deadline time.Time) error {
	now := time.Now()
	request := admission.Request{Class: rule.Class, Weight: rule.Weight, Arrived: now, Deadline: deadline}
	decision, refused := gate.controller.Forecast(now, request)
	if !refused {
		return nil
	}
	return newRefusal(decision)
}

// RecordResult reports a result of the back end to the controller without ending a request.
func (gate *Gate) RecordResult(result admission.Result) {
	gate.deliver(gate.controller.RecordResult(time.Now(), result))
}

// Load returns the controller's current load.
func (gate *Gate) Load() admission.Load { return gate.controller.Load(time.Now()) }

// RetryAfter returns the time after which a refused caller should retry.
func (gate *Gate) RetryAfter() time.Duration { return gate.controller.RetryAfter(time.Now()) }

// register returns the channel on which the request's decision will be delivered.
func (gate *Gate) register(id admission.RequestID) <-chan admission.Decision {
	waiter := make(chan admission.Decision, 1)
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.waiters[id] = waiter
	return waiter
}

// deliver sends decisions to the requests that wait for them. The channels are buffered, so it does
// not block.
func (gate *Gate) deliver(decisions []admission.Decision) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	for _, decision := range decisions {
		if waiter, exists := gate.waiters[decision.ID]; exists {
			delete(gate.waiters, decision.ID)
			waiter <- decision
		}
	}
}

// refusalForEnded returns the refusal of a request whose context has ended.
func (gate *Gate) refusalForEnded(ctx context.Context) *Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &Refusal{Code: faults.RequestDeadlinePassed, RetryAfter: gate.RetryAfter()}
	}
	return &Refusal{Code: faults.RequestCanceled}
}

// await returns the request's decision, or true if ctx ended before there was one. While it waits
// it reconciles the controller, which has no goroutine of its own.
func (gate *Gate) await(ctx context.Context, id admission.RequestID, waiter <-chan admission.Decision) (decision admission.Decision, ended bool) {
	for {
		timer := time.NewTimer(gate.timeUntilReconcile())
		select {
		case decision := <-waiter:
			timer.Stop()
			return decision, false
		case <-timer.C:
			gate.deliver(gate.controller.Reconcile(time.Now()))
		case <-ctx.Done():
			timer.Stop()
			gate.withdraw(id, waiter)
			return admission.Decision{}, true
		}
	}
}

// maximumReconcileInterval bounds the time between two reconciliations by a waiting request.
const maximumReconcileInterval = time.Second

// timeUntilReconcile returns the time until the controller may have a decision to make.
func (gate *Gate) timeUntilReconcile() time.Duration {
	now := time.Now()
	next, pending := gate.controller.NextChange(now)
	if !pending {
		return maximumReconcileInterval
	}
	return min(max(next.Sub(now), time.Millisecond), maximumReconcileInterval)
}

// withdraw removes a request from the queue, or frees the slot that it was given at the same time.
func (gate *Gate) withdraw(id admission.RequestID, waiter <-chan admission.Decision) {
	gate.deliver(gate.controller.Cancel(time.Now(), id))
	gate.lock.Lock()
	delete(gate.waiters, id)
	gate.lock.Unlock()
	select {
	case decision := <-waiter:
		if decision.Verdict == admission.VerdictRun {
			gate.deliver(gate.controller.Finish(time.Now(), id, admission.ResultNeutral))
		}
	default:
	}
}

// Refusal is the error of a request that was refused before it ran.
type Refusal struct {
	Code faults.Code
	// RetryAfter is the time after which the caller should retry; zero means none is stated.
	RetryAfter time.Duration
}

func newRefusal(decision admission.Decision) *Refusal {
	return &Refusal{Code: decision.Code, RetryAfter: decision.RetryAfter}
}

// Error implements error. It returns the meaning of the code.
func (refusal *Refusal) Error() string {
	definition, _ := faults.Lookup(refusal.Code)
	return definition.Meaning
}

// RecordHealthReport passes a health report of the back end to the controller. good is false also for
// a report that did not arrive.
func (gate *Gate) RecordHealthReport(good bool) { gate.controller.RecordHealthReport(good) }

// SetClosed stops or resumes the admission of requests. Closing refuses those that wait.
func (gate *Gate) SetClosed(closed bool) {
	gate.deliver(gate.controller.SetClosed(time.Now(), closed))
}

// Resize applies changed limits of the service.
func (gate *Gate) Resize(slots, maximumQueue, maximumFeeds int) {
	gate.controller.Resize(slots, maximumQueue, maximumFeeds)
	gate.deliver(gate.controller.Reconcile(time.Now()))
}

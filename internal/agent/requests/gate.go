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

// Gate makes requests wait for the verdict of an admission controller.
type Gate struct {
	controller *admission.Controller
	nextID     atomic.Uint64
	lock       sync.Mutex
	waiters    map[admission.RequestID]chan admission.Decision
}

// NewGate returns a gate in front of controller.
func NewGate(controller *admission.Controller) *Gate {
	return &Gate{controller: controller, waiters: make(map[admission.RequestID]chan admission.Decision)}
}

// Ticket is the right of one request to use the back end. It must be returned
// with Done.
type Ticket struct {
	gate *Gate
	id   admission.RequestID
	once sync.Once
}

// Done gives the ticket back with how the request ended. Later calls do
// nothing.
func (ticket *Ticket) Done(result admission.Result) {
	ticket.once.Do(func() {
		ticket.gate.deliver(ticket.gate.controller.Finish(time.Now(), ticket.id, result))
	})
}

// Enter waits until the request may run. It returns a *Refusal as soon as the
// request is refused or ctx ends; the request then has not run.
func (gate *Gate) Enter(ctx context.Context, rule model.RequestRule, deadline time.Time) (*Ticket, error) {
	now := time.Now()
	id := admission.RequestID(gate.nextID.Add(1))
	verdict := gate.register(id)
	gate.deliver(gate.controller.Offer(now, admission.Request{
		ID:       id,
		Class:    rule.Class,
		Weight:   rule.Weight,
		Arrived:  now,
		Deadline: deadline,
	}))
	decision, ended := gate.await(ctx, id, verdict)
	if ended {
		return nil, gate.endedWaiting(ctx)
	}
	if decision.Verdict == admission.VerdictRefuse {
		return nil, newRefusal(decision)
	}
	return &Ticket{gate: gate, id: id}, nil
}

// Check returns the refusal that a request would get if it came now, or nil.
// It takes no place.
func (gate *Gate) Check(rule model.RequestRule, deadline time.Time) error {
	now := time.Now()
	request := admission.Request{Class: rule.Class, Weight: rule.Weight, Arrived: now, Deadline: deadline}
	decision, refused := gate.controller.Forecast(now, request)
	if !refused {
		return nil
	}
	return newRefusal(decision)
}

// RecordResult passes on a result of the back end that ends no request.
func (gate *Gate) RecordResult(result admission.Result) {
	gate.deliver(gate.controller.RecordResult(time.Now(), result))
}

// Load returns the present load.
func (gate *Gate) Load() admission.Load { return gate.controller.Load(time.Now()) }

// RetryAfter returns when a refused caller should come back.
func (gate *Gate) RetryAfter() time.Duration { return gate.controller.RetryAfter(time.Now()) }

func (gate *Gate) register(id admission.RequestID) <-chan admission.Decision {
	verdict := make(chan admission.Decision, 1)
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.waiters[id] = verdict
	return verdict
}

// deliver hands decisions to the requests that wait for them.
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

// endedWaiting returns the refusal of a request whose context ended.
func (gate *Gate) endedWaiting(ctx context.Context) *Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &Refusal{Code: faults.RequestDeadlinePassed, RetryAfter: gate.RetryAfter()}
	}
	return &Refusal{Code: faults.RequestCanceled}
}

// await returns the verdict, or true when ctx ended before it came.
func (gate *Gate) await(ctx context.Context, id admission.RequestID, verdict <-chan admission.Decision) (decision admission.Decision, ended bool) {
	for {
		timer := time.NewTimer(gate.untilNextChange())
		select {
		case decision := <-verdict:
			timer.Stop()
			return decision, false
		case <-timer.C:
			gate.deliver(gate.controller.Reconcile(time.Now()))
		case <-ctx.Done():
			timer.Stop()
			gate.leave(id, verdict)
			return admission.Decision{}, true
		}
	}
}

// longestSleep bounds the time between two looks at the queue.
const longestSleep = time.Second

func (gate *Gate) untilNextChange() time.Duration {
	now := time.Now()
	next, pending := gate.controller.NextChange(now)
	if !pending {
		return longestSleep
	}
	return min(max(next.Sub(now), time.Millisecond), longestSleep)
}

// leave takes a request out of the queue, or gives back the slot that it was
// given at the same moment.
func (gate *Gate) leave(id admission.RequestID, verdict <-chan admission.Decision) {
	gate.deliver(gate.controller.Cancel(time.Now(), id))
	gate.lock.Lock()
	delete(gate.waiters, id)
	gate.lock.Unlock()
	select {
	case decision := <-verdict:
		if decision.Verdict == admission.VerdictRun {
			gate.deliver(gate.controller.Finish(time.Now(), id, admission.ResultNeutral))
		}
	default:
	}
}

// Refusal is the answer to a request that did not run.
type Refusal struct {
	Code       faults.Code
	RetryAfter time.Duration
}

func newRefusal(decision admission.Decision) *Refusal {
	return &Refusal{Code: decision.Code, RetryAfter: decision.RetryAfter}
}

// Error implements error.
func (refusal *Refusal) Error() string {
	definition, _ := faults.Lookup(refusal.Code)
	return definition.Meaning
}

// RecordHealthReport passes on a health report of the back end.
func (gate *Gate) RecordHealthReport(good bool) { gate.controller.RecordHealthReport(good) }

// SetClosed ends or begins the starting of requests. Closing refuses those
// that wait.
func (gate *Gate) SetClosed(closed bool) {
	gate.deliver(gate.controller.SetClosed(time.Now(), closed))
}

// Resize follows changed limits of the service.
func (gate *Gate) Resize(slots, maximumQueue, maximumFeeds int) {
	gate.controller.Resize(slots, maximumQueue, maximumFeeds)
	gate.deliver(gate.controller.Reconcile(time.Now()))
}

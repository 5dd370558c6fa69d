package world

import (
	"fmt"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// callerRequest is one request with all its attempts.
type callerRequest struct {
	callers *callers
	service *serviceHandle
	// intended is the service that had the address when the request was made.
	intended model.ServiceID
	key      string
	class    model.RequestClass
	attempts int
	done     bool
	// current is the attempt that is under way, on flow.
	current checker.AttemptID
	flow    *callerFlow
}

// settle ends the present attempt for its caller.
func (owner *callerRequest) settle() {
	if owner.current != 0 {
		owner.current = 0
		owner.flow.pending--
		owner.callers.waiting--
	}
}

// newRequest sends a request on an open flow of the service.
func (callers *callers) newRequest(service *serviceHandle) {
	request := &callerRequest{callers: callers, service: service, intended: service.id, class: model.ClassCall}
	if callers.random.Chance(callers.load.AtMostOnce) {
		callers.lastKey++
		request.key = fmt.Sprintf("key-%d", callers.lastKey)
	}
	if callers.random.Chance(callers.load.Uploads) {
		request.class = model.ClassUpload
	}
	callers.attempt(request, nil)
}

// attempt sends the request once more, not on the flow called avoid.
func (callers *callers) attempt(again *callerRequest, avoid *callerFlow) {
	if again.done || again.attempts >= maximumAttempts || again.service.id != again.intended {
		return
	}
	flow := callers.pickFlow(again.service, avoid)
	if flow == nil {
		return
	}
	again.attempts++
	callers.lastTry++
	id := callers.lastTry
	again.current = id
	again.flow = flow
	flow.pending++
	callers.waiting++
	callers.requests[id] = again
	now := callers.world.run.Scheduler.Now()
	callers.world.check.requests.Sent(checker.Attempt{ID: id, Key: again.key, Service: uint32(again.intended)}, now.Sub(kernel.Epoch))
	callers.sendAttempt(flow, again, request{
		attempt:     id,
		key:         again.key,
		fingerprint: 1,
		class:       again.class,
		deadline:    now.Add(requestTimeout),
	})
}

func (callers *callers) pickFlow(service *serviceHandle, avoid *callerFlow) *callerFlow {
	var candidates []*callerFlow
	for _, flow := range callers.open[service.id] {
		if flow != avoid {
			candidates = append(candidates, flow)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return kernel.Pick(callers.random, candidates)
}

// sendAttempt repeats the packet until the attempt ends.
func (callers *callers) sendAttempt(flow *callerFlow, owner *callerRequest, carried request) {
	if owner.done || owner.current != carried.attempt {
		return
	}
	now := callers.world.run.Scheduler.Now()
	if flow.ended || !now.Before(carried.deadline.Add(answerGrace)) {
		callers.giveUp(flow, owner, carried.attempt)
		return
	}
	callers.send(flow, packet{request: &carried})
	callers.world.run.Scheduler.After(requestRetry, func() { callers.sendAttempt(flow, owner, carried) })
}

// giveUp ends an attempt without an answer. One that may not be repeated is
// asked again by its key.
func (callers *callers) giveUp(flow *callerFlow, owner *callerRequest, attempt checker.AttemptID) {
	owner.settle()
	if !callers.expectAnswers {
		callers.world.check.requests.Unknown(attempt)
	}
	if owner.key != "" {
		callers.attempt(owner, flow)
		return
	}
	owner.done = true
}

// receiveFinal takes the final answer to an attempt.
func (callers *callers) receiveFinal(one answer) {
	owner, known := callers.requests[one.attempt]
	if !known {
		callers.world.check.requests.Answered(checker.Answer{Attempt: one.attempt, Origin: one.of, Complete: one.whole, At: callers.world.run.Elapsed()})
		return
	}
	current := owner.current == one.attempt
	switch one.kind {
	case answerResponse:
		callers.world.check.requests.Answered(checker.Answer{Attempt: one.attempt, Origin: one.of, Complete: one.whole, At: callers.world.run.Elapsed()})
		callers.answered(owner, one.attempt)
	case answerRefusal:
		callers.world.check.requests.Refused(one.attempt, callers.world.run.Elapsed())
		callers.retryLater(owner, one, current)
	default:
		callers.world.check.requests.Unknown(one.attempt)
		callers.retryLater(owner, one, current && owner.key != "")
	}
}

// answered ends the request. Another attempt that is under way is given up by
// its caller, who has the answer.
func (callers *callers) answered(owner *callerRequest, attempt checker.AttemptID) {
	owner.done = true
	if owner.current != 0 && owner.current != attempt {
		callers.world.check.requests.Unknown(owner.current)
	}
	owner.settle()
}

// retryLater sends the request again on another flow once the answer says so.
func (callers *callers) retryLater(owner *callerRequest, one answer, again bool) {
	if !again || owner.done {
		return
	}
	owner.settle()
	pause := one.retryAfter + callers.random.Between(0, 200*time.Millisecond)
	avoid := callers.flows[one.flow]
	callers.world.run.Scheduler.After(pause, func() { callers.attempt(owner, avoid) })
}

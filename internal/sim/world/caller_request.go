package world

import (
	"fmt"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// callerRequest is one request of a caller, over all its attempts.
type callerRequest struct {
	callers *callers
	service *serviceHandle
	// intended is the service that had the address when the request was made.
	intended model.ServiceID
	key      string
	class    model.RequestClass
	attempts int
	done     bool
	// current is the attempt in progress, on flow, or 0.
	current checker.AttemptID
	flow    *callerFlow
}

// endAttempt marks that the caller no longer waits for the current attempt.
func (request *callerRequest) endAttempt() {
	if request.current != 0 {
		request.current = 0
		request.flow.pendingAttempts--
		request.callers.pendingAttempts--
	}
}

// newRequest sends a new request on an open flow of the service. Some requests have a key and may
// run at most once.
func (callers *callers) newRequest(service *serviceHandle) {
	request := &callerRequest{callers: callers, service: service, intended: service.id, class: model.ClassCall}
	if callers.random.Chance(callers.load.AtMostOnce) {
		callers.lastKey++
		request.key = fmt.Sprintf("key-%d", callers.lastKey)
	}
	if callers.random.Chance(callers.load.Uploads) {
		request.class = model.ClassUpload
	}
	callers.startAttempt(request, nil)
}

// startAttempt sends the request on a random open flow other than avoid. It does nothing if there is
// no such flow, if the request is done or has no attempts left, or if its address belongs to another
// service by now.
func (callers *callers) startAttempt(request *callerRequest, avoid *callerFlow) {
	if request.done || request.attempts >= maximumAttempts || request.service.id != request.intended {
		return
	}
	flow := callers.pickFlow(request.service, avoid)
	if flow == nil {
		return
	}
	request.attempts++
	callers.lastAttempt++
	id := callers.lastAttempt
	request.current = id
	request.flow = flow
	flow.pendingAttempts++
	callers.pendingAttempts++
	callers.requests[id] = request
	now := callers.world.run.Scheduler.Now()
	callers.world.checks.requests.Sent(checker.Attempt{ID: id, Key: request.key, Service: uint32(request.intended)}, now.Sub(kernel.Epoch))
	callers.sendAttempt(flow, request, requestPayload{
		attempt:     id,
		key:         request.key,
		fingerprint: 1,
		class:       request.class,
		deadline:    now.Add(requestTimeout),
	})
}

// pickFlow returns a random open flow of the service other than avoid, or nil.
func (callers *callers) pickFlow(service *serviceHandle, avoid *callerFlow) *callerFlow {
	var candidates []*callerFlow
	for _, flow := range callers.openFlows[service.id] {
		if flow != avoid {
			candidates = append(candidates, flow)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return kernel.Pick(callers.random, candidates)
}

// sendAttempt sends the request's packet, and repeats it until the attempt ends. It gives the attempt
// up when the flow has ended or answerGrace has passed since the deadline.
func (callers *callers) sendAttempt(flow *callerFlow, request *callerRequest, payload requestPayload) {
	if request.done || request.current != payload.attempt {
		return
	}
	now := callers.world.run.Scheduler.Now()
	if flow.ended || !now.Before(payload.deadline.Add(answerGrace)) {
		callers.giveUp(flow, request, payload.attempt)
		return
	}
	callers.send(flow, packet{request: &payload})
	callers.world.run.Scheduler.After(requestRetryInterval, func() { callers.sendAttempt(flow, request, payload) })
}

// giveUp ends an attempt without an answer. A request with a key is attempted again, because its key
// keeps it from running twice. Any other request ends.
func (callers *callers) giveUp(flow *callerFlow, request *callerRequest, attempt checker.AttemptID) {
	request.endAttempt()
	if !callers.expectAnswers {
		callers.world.checks.requests.Unknown(attempt)
	}
	if request.key != "" {
		callers.startAttempt(request, flow)
		return
	}
	request.done = true
}

// receiveFinal handles the final answer to an attempt. If the request was not run, it is retried. If
// its outcome is unknown or another attempt is in progress, it is retried only if it has a key. Answers
// to attempts other than the current one cause no retry.
func (callers *callers) receiveFinal(reply answer) {
	request, known := callers.requests[reply.attempt]
	if !known {
		callers.world.checks.requests.Answered(checker.Answer{Attempt: reply.attempt, Origin: reply.executedAttempt, Complete: reply.complete, At: callers.world.run.Elapsed()})
		return
	}
	current := request.current == reply.attempt
	switch reply.kind {
	case answerResponse:
		callers.world.checks.requests.Answered(checker.Answer{Attempt: reply.attempt, Origin: reply.executedAttempt, Complete: reply.complete, At: callers.world.run.Elapsed()})
		callers.endRequest(request, reply.attempt)
	case answerRefusal:
		callers.world.checks.requests.Refused(reply.attempt, callers.world.run.Elapsed())
		callers.retryLater(request, reply, current)
	default:
		callers.world.checks.requests.Unknown(reply.attempt)
		callers.retryLater(request, reply, current && request.key != "")
	}
}

// endRequest ends the request that attempt answered. If a different attempt is in progress, the
// caller gives that one up, as it has its answer.
func (callers *callers) endRequest(request *callerRequest, attempt checker.AttemptID) {
	request.done = true
	if request.current != 0 && request.current != attempt {
		callers.world.checks.requests.Unknown(request.current)
	}
	request.endAttempt()
}

// retryLater attempts the request again if retry is true and the request is not done. It uses another
// flow and waits for the delay that the answer asks for, and up to 200 ms more.
func (callers *callers) retryLater(request *callerRequest, reply answer, retry bool) {
	if !retry || request.done {
		return
	}
	request.endAttempt()
	delay := reply.retryAfter + callers.random.Between(0, 200*time.Millisecond)
	avoid := callers.flows[reply.flow]
	callers.world.run.Scheduler.After(delay, func() { callers.startAttempt(request, avoid) })
}

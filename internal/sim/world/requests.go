package world

import (
	"strconv"
	"time"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// claimTimeout bounds the wait for the answer to a claim.
const claimTimeout = 3 * time.Second

// maximumDrainWait is how long requests may wait for a slot after a drain has begun, as in the
// product's agent.
const maximumDrainWait = 2 * time.Second

// requestHandler passes requests from a simulated agent to its back end. It takes the same steps as
// the product's request handler: forecast, claim, admission, check of the grant, run, record. The
// product's handler waits in goroutines; this one continues in callbacks.
type requestHandler struct {
	instance      *agentInstance
	admission     Admission
	backend       *backend
	lastRequestID admission.RequestID
	// drainingSince is when the target began to drain, or zero if it does not drain.
	drainingSince time.Time
	// attempts has every attempt received, so that a packet that was sent again is not taken for a
	// second attempt.
	attempts map[checker.AttemptID]*targetAttempt
	// attemptsByRequest has the attempts that wait for admission or run.
	attemptsByRequest map[admission.RequestID]*targetAttempt
}

// targetAttempt is one attempt of a request, at one target.
type targetAttempt struct {
	flow    checker.FlowID
	request requestPayload
	// deadline is the request's deadline on the agent's own clock.
	deadline time.Time
	grant    *claim.Grant
	running  bool
	// finalAnswer is the answer sent to the caller, or nil before that.
	finalAnswer *answer
}

func newRequestHandler(instance *agentInstance) *requestHandler {
	world := instance.agent.world
	name := string(instance.agent.process.Name) + "/" + strconv.FormatUint(uint64(instance.incarnation), 10)
	random := world.run.Random("backend/" + name)
	return &requestHandler{
		instance: instance,
		admission: world.parts.Admission(admission.New(admission.Options{
			Slots:        world.preset.Slots,
			MaximumQueue: model.DefaultMaximumQueue,
			MaximumFeeds: model.DefaultMaximumConnections,
			ColdStart:    coldStartTime,
			StartedAt:    instance.started,
			Seed:         random.Uint64(),
		})),
		backend:           newBackend(world, instance.targetIncarnation(), random, world.run.Random("cuts/"+name)),
		attempts:          make(map[checker.AttemptID]*targetAttempt),
		attemptsByRequest: make(map[admission.RequestID]*targetAttempt),
	}
}

func (handler *requestHandler) stop() { handler.backend.stopped = true }

// idle reports whether no request runs or waits.
func (handler *requestHandler) idle() bool {
	return len(handler.attemptsByRequest) == 0 && handler.backend.running == 0
}

// reconcile closes admission maximumDrainWait after a drain has begun, and opens it when the drain
// ends. It also carries out the decisions that admission makes as time passes.
func (handler *requestHandler) reconcile(now time.Time) {
	switch {
	case !handler.isDraining():
		handler.drainingSince = time.Time{}
	case handler.drainingSince.IsZero():
		handler.drainingSince = now
	}
	closed := !handler.drainingSince.IsZero() && now.Sub(handler.drainingSince) >= maximumDrainWait
	handler.applyDecisions(now, handler.admission.SetClosed(now, closed))
	handler.applyDecisions(now, handler.admission.Reconcile(now))
}

// isDraining reports whether the target takes no new requests.
func (handler *requestHandler) isDraining() bool {
	instance := handler.instance
	return instance.stopping || instance.agent.world.parts.Draining(instance.store.Current(), instance.target.ID)
}

// expire ends a run at its deadline. The caller is told that the request may have run. A later answer
// of the back end is dropped, as the product drops it by closing the connection.
func (handler *requestHandler) expire(id admission.RequestID, attempt *targetAttempt) {
	if attempt.finalAnswer != nil {
		return
	}
	now := handler.instance.agent.process.LocalNow()
	delete(handler.attemptsByRequest, id)
	if attempt.grant != nil {
		handler.instance.claims.Forget(*attempt.grant)
	}
	handler.answerAttempt(attempt, answer{kind: answerUnknown})
	handler.applyDecisions(now, handler.admission.Finish(now, id, admission.ResultFailed))
}

// receive handles a delivered packet that carries a request. A repeated packet gets the same answer
// again once there is one.
func (handler *requestHandler) receive(now time.Time, incoming packet) {
	if known, seen := handler.attempts[incoming.request.attempt]; seen {
		if known.finalAnswer != nil {
			handler.instance.sendAnswer(*known.finalAnswer)
		}
		return
	}
	remaining := incoming.request.deadline.Sub(handler.instance.agent.world.run.Scheduler.Now())
	attempt := &targetAttempt{flow: incoming.flow, request: *incoming.request, deadline: now.Add(remaining)}
	handler.attempts[incoming.request.attempt] = attempt
	if handler.isDraining() {
		handler.refuse(attempt, 0)
		return
	}
	if attempt.request.key == "" {
		handler.offer(now, attempt, attempt.deadline)
		return
	}
	handler.claim(now, attempt)
}

// claim asks for the right to run a request once, unless admission forecasts that it would refuse the
// request anyway.
func (handler *requestHandler) claim(now time.Time, attempt *targetAttempt) {
	if decision, refused := handler.admission.Forecast(now, handler.admissionRequest(now, attempt, attempt.deadline)); refused {
		handler.refuse(attempt, decision.RetryAfter)
		return
	}
	deadline := now.Add(claimTimeout)
	if attempt.deadline.Before(deadline) {
		deadline = attempt.deadline
	}
	handler.instance.claims.Claim(now, handler.claimKey(attempt), attempt.request.fingerprint, deadline, func(result claim.Answer) {
		handler.receiveClaimAnswer(attempt, result)
	})
}

func (handler *requestHandler) claimKey(attempt *targetAttempt) protocol.ClaimKey {
	service := handler.instance.store.Current().Services[handler.instance.target.Service]
	return protocol.ClaimKey{Tenant: service.Tenant, Service: service.Name, Key: attempt.request.key}
}

// receiveClaimAnswer offers the request to admission if the claim was granted. Otherwise it answers
// the attempt.
func (handler *requestHandler) receiveClaimAnswer(attempt *targetAttempt, result claim.Answer) {
	now := handler.instance.agent.process.LocalNow()
	switch result.State {
	case protocol.ClaimGranted:
		attempt.grant = &result.Grant
		deadline := attempt.deadline
		if result.Grant.StartBefore.Before(deadline) {
			deadline = result.Grant.StartBefore
		}
		handler.offer(now, attempt, deadline)
	case protocol.ClaimCompleted:
		handler.answerFromRecord(attempt, result.Outcome)
	case protocol.ClaimUnavailable:
		handler.refuse(attempt, time.Second)
	default:
		handler.answerAttempt(attempt, answer{kind: answerInProgress, retryAfter: time.Second})
	}
}

// answerFromRecord answers with the recorded outcome of another attempt. The recorded body is the
// number of that attempt.
func (handler *requestHandler) answerFromRecord(attempt *targetAttempt, outcome *protocol.ClaimOutcome) {
	if outcome == nil || outcome.Status == 0 {
		handler.answerAttempt(attempt, answer{kind: answerUnknown})
		return
	}
	number, err := strconv.ParseUint(string(outcome.Body), 10, 64)
	if err != nil {
		number = 0
	}
	handler.respond(attempt, checker.AttemptID(number), true)
}

// admissionRequest returns the request that admission decides about, with the next ID.
func (handler *requestHandler) admissionRequest(now time.Time, attempt *targetAttempt, deadline time.Time) admission.Request {
	return admission.Request{
		ID:       handler.lastRequestID + 1,
		Class:    attempt.request.class,
		Weight:   1,
		Arrived:  now,
		Deadline: deadline,
	}
}

// offer hands an attempt to admission, which runs, queues or refuses it.
func (handler *requestHandler) offer(now time.Time, attempt *targetAttempt, deadline time.Time) {
	offered := handler.admissionRequest(now, attempt, deadline)
	handler.lastRequestID = offered.ID
	handler.attemptsByRequest[offered.ID] = attempt
	handler.applyDecisions(now, handler.admission.Offer(now, offered))
}

// applyDecisions carries out the decisions of admission.
func (handler *requestHandler) applyDecisions(now time.Time, decisions []admission.Decision) {
	for _, decision := range decisions {
		attempt, known := handler.attemptsByRequest[decision.ID]
		if !known || attempt.running {
			continue
		}
		if decision.Verdict == admission.VerdictRun {
			handler.start(now, decision.ID, attempt)
			continue
		}
		delete(handler.attemptsByRequest, decision.ID)
		handler.release(now, attempt)
		handler.refuse(attempt, decision.RetryAfter)
	}
}

// start runs a request. It checks immediately before whether the grant is still usable.
func (handler *requestHandler) start(now time.Time, id admission.RequestID, attempt *targetAttempt) {
	world := handler.instance.agent.world
	if attempt.grant != nil && !world.parts.GrantUsable(*attempt.grant, now) {
		delete(handler.attemptsByRequest, id)
		handler.release(now, attempt)
		handler.refuse(attempt, time.Second)
		handler.applyDecisions(now, handler.admission.Finish(now, id, admission.ResultNeutral))
		return
	}
	attempt.running = true
	world.checks.drain.WorkStarted(uint32(handler.instance.target.ID), checker.WorkRequest, world.run.Elapsed())
	world.run.Scheduler.At(attempt.request.deadline, func() {
		handler.instance.runOrQueue(func() { handler.expire(id, attempt) })
	})
	handler.backend.run(attempt.request, func(complete bool) {
		handler.instance.runOrQueue(func() { handler.finishRun(id, attempt, complete) })
	})
}

// finishRun handles the back end's answer. A truncated answer has no outcome to record. Its claim is
// not released, so that the request never runs again.
func (handler *requestHandler) finishRun(id admission.RequestID, attempt *targetAttempt, complete bool) {
	if attempt.finalAnswer != nil {
		return
	}
	now := handler.instance.agent.process.LocalNow()
	delete(handler.attemptsByRequest, id)
	switch {
	case attempt.grant == nil:
	case complete:
		handler.instance.claims.Record(now, *attempt.grant, protocol.ClaimOutcome{
			Status: 200,
			Body:   []byte(strconv.FormatUint(uint64(attempt.request.attempt), 10)),
		})
	default:
		handler.instance.claims.Forget(*attempt.grant)
	}
	handler.respond(attempt, attempt.request.attempt, complete)
	handler.applyDecisions(now, handler.admission.Finish(now, id, admission.ResultAnswered))
}

// respond forwards the answer that the run of executedAttempt produced. For a truncated answer the
// caller is told only that the request may have run.
func (handler *requestHandler) respond(attempt *targetAttempt, executedAttempt checker.AttemptID, complete bool) {
	response := Response{Kind: ResponseAnswer, Attempt: attempt.request.attempt, ExecutedAttempt: executedAttempt, Complete: complete}
	if !complete {
		response.Kind = ResponseUnknown
	}
	response = handler.instance.agent.world.parts.Respond(response)
	switch response.Kind {
	case ResponseAnswer:
		handler.answerAttempt(attempt, answer{kind: answerResponse, executedAttempt: response.ExecutedAttempt, complete: response.Complete})
	case ResponseRefusal:
		handler.answerAttempt(attempt, answer{kind: answerRefusal})
	default:
		handler.answerAttempt(attempt, answer{kind: answerUnknown})
	}
}

// release releases the attempt's grant, if it has one, because the request was not run.
func (handler *requestHandler) release(now time.Time, attempt *targetAttempt) {
	if attempt.grant != nil {
		handler.instance.claims.Release(now, *attempt.grant)
	}
}

// refuse answers that the request was not run.
func (handler *requestHandler) refuse(attempt *targetAttempt, retryAfter time.Duration) {
	handler.answerAttempt(attempt, answer{kind: answerRefusal, retryAfter: retryAfter})
	handler.instance.agent.world.parts.AfterRefusal(func() { handler.backend.run(attempt.request, func(bool) {}) })
}

// answerAttempt sends the final answer to an attempt and keeps it for repeated packets.
func (handler *requestHandler) answerAttempt(attempt *targetAttempt, final answer) {
	final.flow = attempt.flow
	final.attempt = attempt.request.attempt
	final.targetIncarnation = handler.instance.targetIncarnation()
	attempt.finalAnswer = &final
	handler.instance.sendAnswer(final)
}

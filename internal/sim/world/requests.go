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

// claimTimeout bounds the wait for a grant.
const claimTimeout = 3 * time.Second

// waitInDrain is how long requests wait for a slot after a drain began, as in
// the product's agent.
const waitInDrain = 2 * time.Second

// requestDesk is how a simulated agent passes requests to its back end. It
// takes the same steps as the product's request handler, which waits in
// goroutines: forecast, claim, admission, check of the grant, run, record.
type requestDesk struct {
	life      *agentLife
	admission Admission
	backend   *backend
	lastID    admission.RequestID
	// drainingSince is when the target began to drain, or zero.
	drainingSince time.Time
	// attempts has each attempt that came, so that a packet that was sent
	// again is not a second attempt.
	attempts map[checker.AttemptID]*deskAttempt
	byID     map[admission.RequestID]*deskAttempt
}

// deskAttempt is one attempt at one target.
type deskAttempt struct {
	flow    checker.FlowID
	request request
	// deadline is the request's deadline by the agent's own clock.
	deadline time.Time
	grant    *claim.Grant
	running  bool
	// final is the answer once there is one.
	final *answer
}

func newRequestDesk(life *agentLife) *requestDesk {
	world := life.agent.world
	name := string(life.agent.process.Name) + "/" + strconv.FormatUint(uint64(life.incarnation), 10)
	random := world.run.Random("backend/" + name)
	return &requestDesk{
		life: life,
		admission: world.parts.Admission(admission.New(admission.Options{
			Slots:        world.preset.Slots,
			MaximumQueue: model.DefaultMaximumQueue,
			MaximumFeeds: model.DefaultMaximumConnections,
			ColdStart:    coldStart,
			StartedAt:    life.started,
			Seed:         random.Uint64(),
		})),
		backend:  newBackend(world, life.place(), random, world.run.Random("cuts/"+name)),
		attempts: make(map[checker.AttemptID]*deskAttempt),
		byID:     make(map[admission.RequestID]*deskAttempt),
	}
}

func (desk *requestDesk) end() { desk.backend.dead = true }

// idle tells whether no request runs or waits.
func (desk *requestDesk) idle() bool { return len(desk.byID) == 0 && desk.backend.running == 0 }

func (desk *requestDesk) reconcile(now time.Time) {
	switch {
	case !desk.isDraining():
		desk.drainingSince = time.Time{}
	case desk.drainingSince.IsZero():
		desk.drainingSince = now
	}
	closed := !desk.drainingSince.IsZero() && now.Sub(desk.drainingSince) >= waitInDrain
	desk.apply(now, desk.admission.SetClosed(now, closed))
	desk.apply(now, desk.admission.Reconcile(now))
}

// isDraining tells whether the target takes no new requests.
func (desk *requestDesk) isDraining() bool {
	life := desk.life
	return life.stopping || life.agent.world.parts.Draining(life.store.Current(), life.target.ID)
}

// expire ends a run at its deadline: the caller learns that the request may
// have run, and the back end's late answer is dropped with its connection.
func (desk *requestDesk) expire(id admission.RequestID, attempt *deskAttempt) {
	if attempt.final != nil {
		return
	}
	now := desk.life.agent.process.LocalNow()
	delete(desk.byID, id)
	if attempt.grant != nil {
		desk.life.claims.Forget(*attempt.grant)
	}
	desk.finish(attempt, answer{kind: answerUnknown})
	desk.apply(now, desk.admission.Finish(now, id, admission.ResultFailed))
}

// take handles a delivered packet that carries a request.
func (desk *requestDesk) take(now time.Time, one packet) {
	if known, seen := desk.attempts[one.request.attempt]; seen {
		if known.final != nil {
			desk.life.answer(*known.final)
		}
		return
	}
	remaining := one.request.deadline.Sub(desk.life.agent.world.run.Scheduler.Now())
	attempt := &deskAttempt{flow: one.flow, request: *one.request, deadline: now.Add(remaining)}
	desk.attempts[one.request.attempt] = attempt
	if desk.isDraining() {
		desk.refuse(attempt, 0)
		return
	}
	if attempt.request.key == "" {
		desk.offer(now, attempt, attempt.deadline)
		return
	}
	desk.claim(now, attempt)
}

// claim asks for the right to run a request once, unless admission would
// refuse it anyway.
func (desk *requestDesk) claim(now time.Time, attempt *deskAttempt) {
	if decision, refused := desk.admission.Forecast(now, desk.admissionRequest(now, attempt, attempt.deadline)); refused {
		desk.refuse(attempt, decision.RetryAfter)
		return
	}
	deadline := now.Add(claimTimeout)
	if attempt.deadline.Before(deadline) {
		deadline = attempt.deadline
	}
	desk.life.claims.Claim(now, desk.claimKey(attempt), attempt.request.fingerprint, deadline, func(result claim.Answer) {
		desk.claimed(attempt, result)
	})
}

func (desk *requestDesk) claimKey(attempt *deskAttempt) protocol.ClaimKey {
	service := desk.life.store.Current().Services[desk.life.target.Service]
	return protocol.ClaimKey{Tenant: service.Tenant, Service: service.Name, Key: attempt.request.key}
}

func (desk *requestDesk) claimed(attempt *deskAttempt, result claim.Answer) {
	now := desk.life.agent.process.LocalNow()
	switch result.State {
	case protocol.ClaimGranted:
		attempt.grant = &result.Grant
		deadline := attempt.deadline
		if result.Grant.StartBefore.Before(deadline) {
			deadline = result.Grant.StartBefore
		}
		desk.offer(now, attempt, deadline)
	case protocol.ClaimCompleted:
		desk.replay(attempt, result.Outcome)
	case protocol.ClaimUnavailable:
		desk.refuse(attempt, time.Second)
	default:
		desk.finish(attempt, answer{kind: answerInProgress, retryAfter: time.Second})
	}
}

// replay answers with the recorded outcome of another attempt, whose number
// the body carries.
func (desk *requestDesk) replay(attempt *deskAttempt, outcome *protocol.ClaimOutcome) {
	if outcome == nil || outcome.Status == 0 {
		desk.finish(attempt, answer{kind: answerUnknown})
		return
	}
	number, err := strconv.ParseUint(string(outcome.Body), 10, 64)
	if err != nil {
		number = 0
	}
	desk.respond(attempt, checker.AttemptID(number), true)
}

func (desk *requestDesk) admissionRequest(now time.Time, attempt *deskAttempt, deadline time.Time) admission.Request {
	return admission.Request{
		ID:       desk.lastID + 1,
		Class:    attempt.request.class,
		Weight:   1,
		Arrived:  now,
		Deadline: deadline,
	}
}

func (desk *requestDesk) offer(now time.Time, attempt *deskAttempt, deadline time.Time) {
	offered := desk.admissionRequest(now, attempt, deadline)
	desk.lastID = offered.ID
	desk.byID[offered.ID] = attempt
	desk.apply(now, desk.admission.Offer(now, offered))
}

// apply carries out the decisions of admission.
func (desk *requestDesk) apply(now time.Time, decisions []admission.Decision) {
	for _, decision := range decisions {
		attempt, known := desk.byID[decision.ID]
		if !known || attempt.running {
			continue
		}
		if decision.Verdict == admission.VerdictRun {
			desk.start(now, decision.ID, attempt)
			continue
		}
		delete(desk.byID, decision.ID)
		desk.release(now, attempt)
		desk.refuse(attempt, decision.RetryAfter)
	}
}

// start runs a request. The grant is checked right before.
func (desk *requestDesk) start(now time.Time, id admission.RequestID, attempt *deskAttempt) {
	world := desk.life.agent.world
	if attempt.grant != nil && !world.parts.Usable(*attempt.grant, now) {
		delete(desk.byID, id)
		desk.release(now, attempt)
		desk.refuse(attempt, time.Second)
		desk.apply(now, desk.admission.Finish(now, id, admission.ResultNeutral))
		return
	}
	attempt.running = true
	world.check.drain.WorkStarted(uint32(desk.life.target.ID), checker.WorkRequest, world.run.Elapsed())
	world.run.Scheduler.At(attempt.request.deadline, func() {
		desk.life.handle(func() { desk.expire(id, attempt) })
	})
	desk.backend.run(attempt.request, func(whole bool) {
		desk.life.handle(func() { desk.ended(id, attempt, whole) })
	})
}

// ended takes the back end's answer. One that is cut short has no outcome to
// record: its claim stays taken, so that the request never runs again.
func (desk *requestDesk) ended(id admission.RequestID, attempt *deskAttempt, whole bool) {
	if attempt.final != nil {
		return
	}
	now := desk.life.agent.process.LocalNow()
	delete(desk.byID, id)
	switch {
	case attempt.grant == nil:
	case whole:
		desk.life.claims.Record(now, *attempt.grant, protocol.ClaimOutcome{
			Status: 200,
			Body:   []byte(strconv.FormatUint(uint64(attempt.request.attempt), 10)),
		})
	default:
		desk.life.claims.Forget(*attempt.grant)
	}
	desk.respond(attempt, attempt.request.attempt, whole)
	desk.apply(now, desk.admission.Finish(now, id, admission.ResultAnswered))
}

// respond passes on the answer of the run of the attempt called of. Of a short
// answer the caller learns only that the request may have run.
func (desk *requestDesk) respond(attempt *deskAttempt, of checker.AttemptID, whole bool) {
	response := Response{Kind: ResponseAnswer, Attempt: attempt.request.attempt, Of: of, Whole: whole}
	if !whole {
		response.Kind = ResponseUnknown
	}
	response = desk.life.agent.world.parts.Respond(response)
	switch response.Kind {
	case ResponseAnswer:
		desk.finish(attempt, answer{kind: answerResponse, of: response.Of, whole: response.Whole})
	case ResponseRefusal:
		desk.finish(attempt, answer{kind: answerRefusal})
	default:
		desk.finish(attempt, answer{kind: answerUnknown})
	}
}

func (desk *requestDesk) release(now time.Time, attempt *deskAttempt) {
	if attempt.grant != nil {
		desk.life.claims.Release(now, *attempt.grant)
	}
}

// refuse answers that the request was not run.
func (desk *requestDesk) refuse(attempt *deskAttempt, retryAfter time.Duration) {
	desk.finish(attempt, answer{kind: answerRefusal, retryAfter: retryAfter})
	desk.life.agent.world.parts.Refused(func() { desk.backend.run(attempt.request, func(bool) {}) })
}

func (desk *requestDesk) finish(attempt *deskAttempt, final answer) {
	final.flow = attempt.flow
	final.attempt = attempt.request.attempt
	final.place = desk.life.place()
	attempt.final = &final
	desk.life.answer(final)
}

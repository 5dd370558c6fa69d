package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"merlinpaddle/internal/model"
)

// checkedController drives a controller with random steps and checks its decisions and limits
// after each.
type checkedController struct {
	controller *Controller
	random     *rand.Rand
	options    Options
	now        time.Time
	// classes has the class of every request that was offered.
	classes   map[RequestID]model.RequestClass
	undecided map[RequestID]bool
	running   map[RequestID]bool
	feeds     map[RequestID]bool
	err       error
}

func newCheckedController(seed uint64) *checkedController {
	random := rand.New(rand.NewPCG(seed, 1))
	options := Options{
		Slots:        1 + random.IntN(4),
		MaximumQueue: random.IntN(6),
		MaximumFeeds: 1 + random.IntN(3),
		ColdStart:    time.Duration(random.IntN(3)) * time.Second,
		StartedAt:    start,
		Seed:         seed,
	}
	return &checkedController{
		controller: New(options), random: random, options: options, now: start,
		classes: make(map[RequestID]model.RequestClass), undecided: make(map[RequestID]bool),
		running: make(map[RequestID]bool), feeds: make(map[RequestID]bool),
	}
}

// fail records the first violation.
func (checked *checkedController) fail(format string, arguments ...any) {
	if checked.err == nil {
		checked.err = fmt.Errorf(format, arguments...)
	}
}

// checkDecisions records decisions and checks that each request gets exactly one verdict, and
// that a refusal has a code and a Retry-After time.
func (checked *checkedController) checkDecisions(decisions []Decision) {
	for _, decision := range decisions {
		if !checked.undecided[decision.ID] {
			checked.fail("request %d was decided twice or never offered", decision.ID)
			return
		}
		delete(checked.undecided, decision.ID)
		switch {
		case decision.Verdict == VerdictRefuse:
			if decision.Code == 0 || decision.RetryAfter < minimumRetryAfter {
				checked.fail("refusal without code or time: %+v", decision)
			}
		case checked.classes[decision.ID] == model.ClassFeed:
			checked.feeds[decision.ID] = true
		default:
			checked.running[decision.ID] = true
		}
	}
	checked.checkBounds()
}

// checkBounds checks the numbers of running requests, running uploads, feeds and queued
// requests against the limits.
func (checked *checkedController) checkBounds() {
	uploads := 0
	for id := range checked.running {
		if checked.classes[id] == model.ClassUpload {
			uploads++
		}
	}
	switch {
	case len(checked.running) > checked.options.Slots:
		checked.fail("%d requests run in %d slots", len(checked.running), checked.options.Slots)
	case uploads > max(checked.options.Slots-1, 1):
		checked.fail("%d uploads run in %d slots", uploads, checked.options.Slots)
	case len(checked.feeds) > checked.options.MaximumFeeds:
		checked.fail("%d feeds", len(checked.feeds))
	case checked.controller.Load(checked.now).Waiting != len(checked.undecided):
		checked.fail("%d requests wait, want %d that have no verdict", checked.controller.Load(checked.now).Waiting, len(checked.undecided))
	case len(checked.undecided) > checked.options.MaximumQueue:
		checked.fail("%d wait in a queue of %d", len(checked.undecided), checked.options.MaximumQueue)
	}
}

// randomStep advances the time and offers request id, finishes a request, or reconciles.
func (checked *checkedController) randomStep(id RequestID) {
	checked.now = checked.now.Add(time.Duration(checked.random.IntN(60)) * time.Millisecond)
	switch checked.random.IntN(5) {
	case 0, 1:
		checked.offer(id)
	case 2, 3:
		checked.finish()
	default:
		checked.checkDecisions(checked.controller.Reconcile(checked.now))
	}
}

func (checked *checkedController) offer(id RequestID) {
	class := []model.RequestClass{model.ClassCall, model.ClassUpload, model.ClassFeed}[checked.random.IntN(3)]
	checked.classes[id] = class
	checked.undecided[id] = true
	checked.checkDecisions(checked.controller.Offer(checked.now, Request{
		ID: id, Class: class, Weight: uint32(checked.random.IntN(3)), Arrived: checked.now,
		Deadline: checked.now.Add(time.Duration(50+checked.random.IntN(2000)) * time.Millisecond),
	}))
}

// finish ends one running request or open feed with a random result.
func (checked *checkedController) finish() {
	results := []Result{ResultAnswered, ResultAnswered, ResultAnswered, ResultShed, ResultFailed, ResultNeutral}
	for _, held := range []map[RequestID]bool{checked.running, checked.feeds} {
		for id := range held {
			delete(held, id)
			checked.checkDecisions(checked.controller.Finish(checked.now, id, results[checked.random.IntN(len(results))]))
			return
		}
	}
}

func TestEveryRequestGetsOneVerdictWithinBounds(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260101)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("one verdict per request, limits respected, no request left undecided", prop.ForAll(
		func(seed uint64) (bool, error) {
			checked := newCheckedController(seed)
			for id := RequestID(1); id <= 200 && checked.err == nil; id++ {
				checked.randomStep(id)
			}
			checked.now = checked.now.Add(time.Minute)
			checked.checkDecisions(checked.controller.Reconcile(checked.now))
			if checked.err == nil && len(checked.undecided) > 0 {
				checked.fail("%d requests never got a verdict", len(checked.undecided))
			}
			return checked.err == nil, checked.err
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

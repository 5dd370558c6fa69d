package mutant

import (
	"time"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

func requestForgotten() Mutant {
	return Mutant{
		Name:     "request-forgotten",
		Breaks:   "admission neither runs nor refuses some requests",
		Expect:   []checker.Invariant{checker.InvariantRequestAnswered},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Admission = func(standard world.Admission) world.Admission { return &losesOffers{Admission: standard} }
		},
	}
}

// offersPerLostRequest is how many offers lie between two that are forgotten.
const offersPerLostRequest = 20

// losesOffers forgets some of the requests that it is offered.
type losesOffers struct {
	world.Admission
	offers int
}

// Offer implements world.Admission.
func (controller *losesOffers) Offer(now time.Time, request admission.Request) []admission.Decision {
	controller.offers++
	if controller.offers%offersPerLostRequest == 0 {
		return nil
	}
	return controller.Admission.Offer(now, request)
}

func answersWithheld() Mutant {
	return Mutant{
		Name:     "answers-withheld",
		Breaks:   "every request that ran is answered with 'may have run'",
		Expect:   []checker.Invariant{checker.InvariantRequestAnswered},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Respond = func(response world.Response) world.Response {
				response.Kind = world.ResponseUnknown
				return response
			}
		},
	}
}

// refusalsPerRun is how many refusals lie between two that are run all the
// same.
const refusalsPerRun = 5

func ranAfterRefusal() Mutant {
	return Mutant{
		Name:     "ran-after-refusal",
		Breaks:   "a request runs that was refused as not run",
		Expect:   []checker.Invariant{checker.InvariantRefusedNotRun},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			refusals := 0
			parts.Refused = func(run func()) {
				refusals++
				if refusals%refusalsPerRun == 0 {
					run()
				}
			}
		},
	}
}

// responsesPerCorruption is how many responses lie between two that are spoiled.
const responsesPerCorruption = 50

// corruptResponses lets spoil change every so many responses; it also gets the
// response before.
func corruptResponses(spoil func(previous, response world.Response) world.Response) Change {
	return func(_ *sim.Run, parts *world.Parts) {
		var previous world.Response
		count := 0
		parts.Respond = func(response world.Response) world.Response {
			sent := response
			count++
			if count%responsesPerCorruption == 0 {
				sent = spoil(previous, response)
			}
			previous = response
			return sent
		}
	}
}

func refusedAfterRun() Mutant {
	return Mutant{
		Name:     "refused-after-run",
		Breaks:   "a request that ran is answered as refused and not run",
		Expect:   []checker.Invariant{checker.InvariantRefusedNotRun},
		Scenario: namedScenario("balancer-death"),
		Variant: corruptResponses(func(_, response world.Response) world.Response {
			response.Kind = world.ResponseRefusal
			return response
		}),
	}
}

func answersCrossed() Mutant {
	return Mutant{
		Name:     "answers-crossed",
		Breaks:   "a caller gets the answer to the request before its own",
		Expect:   []checker.Invariant{checker.InvariantAnswerBound},
		Scenario: namedScenario("balancer-death"),
		Variant: corruptResponses(func(previous, response world.Response) world.Response {
			response.Of = previous.Of
			return response
		}),
	}
}

func shortBodyPassed() Mutant {
	return Mutant{
		Name:     "short-body-passed",
		Breaks:   "an answer that the back end cut short is passed on as whole",
		Expect:   []checker.Invariant{checker.InvariantAnswerBound},
		Scenario: namedScenario("late-answers"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Respond = func(response world.Response) world.Response {
				response.Kind = world.ResponseAnswer
				return response
			}
		},
	}
}

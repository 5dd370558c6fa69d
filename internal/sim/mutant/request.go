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

// offersPerLostRequest says that one in so many offered requests is lost.
const offersPerLostRequest = 20

// losesOffers ignores some of the requests that are offered to it.
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
		Breaks:   "every request that ran is answered with 'may have run' instead of its answer",
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

// refusalsPerWrongRun says that one in so many refused requests runs nevertheless.
const refusalsPerWrongRun = 5

func ranAfterRefusal() Mutant {
	return Mutant{
		Name:     "ran-after-refusal",
		Breaks:   "a request that was refused as not run runs",
		Expect:   []checker.Invariant{checker.InvariantRefusedNotRun},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			refusals := 0
			parts.AfterRefusal = func(run func()) {
				refusals++
				if refusals%refusalsPerWrongRun == 0 {
					run()
				}
			}
		},
	}
}

// responsesPerCorruption says that one in so many responses is corrupted.
const responsesPerCorruption = 50

// corruptResponses applies corrupt to one in responsesPerCorruption responses. corrupt also gets the
// previous response.
func corruptResponses(corrupt func(previous, response world.Response) world.Response) PartsChange {
	return func(_ *sim.Run, parts *world.Parts) {
		var previous world.Response
		count := 0
		parts.Respond = func(response world.Response) world.Response {
			sent := response
			count++
			if count%responsesPerCorruption == 0 {
				sent = corrupt(previous, response)
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
		Breaks:   "a caller gets the answer to the previous request instead of its own",
		Expect:   []checker.Invariant{checker.InvariantAnswerBound},
		Scenario: namedScenario("balancer-death"),
		Variant: corruptResponses(func(previous, response world.Response) world.Response {
			response.ExecutedAttempt = previous.ExecutedAttempt
			return response
		}),
	}
}

func shortBodyPassed() Mutant {
	return Mutant{
		Name:     "short-body-passed",
		Breaks:   "an answer that the back end truncated is relayed as complete",
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

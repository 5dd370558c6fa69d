package admission

import (
	"cmp"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// RequestID identifies a request within one controller. IDs ascend in the order of
// arrival.
type RequestID uint64

// Request is a request that is offered to a controller.
type Request struct {
	ID    RequestID
	Class model.RequestClass
	// Weight is the value of one delivered request; zero counts as one.
	Weight  uint32
	Arrived time.Time
	// Deadline is the time until which the caller waits for the answer.
	Deadline time.Time
}

// Verdict is the outcome of the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun sends the request to the back end.
	VerdictRun Verdict = iota + 1
	// VerdictRefuse answers the request with an error; it did not run.
	VerdictRefuse
)

// Decision is the verdict on one request.
type Decision struct {
	ID      RequestID
	Verdict Verdict
	// Code is the reason of a refusal, and RetryAfter the time after which the caller
	// should retry. Both are set only with VerdictRefuse.
	Code       faults.Code
	RetryAfter time.Duration
}

// Result is the outcome of a request that ran, as evidence about the back end.
type Result uint8

// The results.
const (
	// ResultAnswered means that the back end sent a complete answer.
	ResultAnswered Result = iota + 1
	// ResultShed means that the back end refused the request for lack of capacity.
	ResultShed
	// ResultFailed means that the back end could not be reached, or that its answer
	// was late, was truncated, or belonged to another request.
	ResultFailed
	// ResultNeutral means that the request ended for a reason on the caller's side.
	ResultNeutral
)

// queuedRequest is a request in the queue, with its place in the queue's order.
type queuedRequest struct {
	Request
	// weightedDeadline orders the queue. It is the arrival time plus the time until the
	// deadline divided by the weight, so a request of weight two precedes one of weight
	// one with the same arrival and deadline. It never changes, so later requests can
	// precede a request of low weight only for a bounded time.
	weightedDeadline time.Time
}

func newQueuedRequest(request Request) queuedRequest {
	allowed := request.Deadline.Sub(request.Arrived)
	weight := max(request.Weight, 1)
	return queuedRequest{Request: request, weightedDeadline: request.Arrived.Add(allowed / time.Duration(weight))}
}

// compareQueued orders by weighted deadline, then by ID, which is the order of arrival at the
// controller.
func compareQueued(left, right queuedRequest) int {
	if order := left.weightedDeadline.Compare(right.weightedDeadline); order != 0 {
		return order
	}
	return cmp.Compare(left.ID, right.ID)
}

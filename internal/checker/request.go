package checker

import (
	"cmp"
	"slices"
	"time"
)

// AttemptID identifies an attempt within a run. A request that is sent again is a new attempt.
type AttemptID uint64

// Attempt is one request as a caller sent it.
type Attempt struct {
	ID AttemptID
	// Key is the idempotency key of a request that may not be repeated, and the same for all its
	// attempts. It is empty for other requests.
	Key     string
	Service uint32
}

// Answer is what the caller of an attempt received.
type Answer struct {
	Attempt AttemptID
	// Origin is the attempt whose run produced the answer. It may be another attempt with the same
	// key.
	Origin AttemptID
	// Complete reports whether the body had its full length.
	Complete bool
	At       time.Duration
}

// Outcome is how an attempt ended from its caller's point of view.
type Outcome uint8

// The outcomes.
const (
	outcomeOpen Outcome = iota
	outcomeAnswered
	outcomeRefused
	outcomeUnknown
	outcomeInterrupted
)

type attemptRecord struct {
	attempt Attempt
	outcome Outcome
	// refused stays set even if the caller receives another outcome later.
	refused bool
	// runs counts the runs of the attempt in the back ends' log.
	runs    int
	running bool
	target  TargetIncarnation
	sentAt  time.Duration
}

// Requests checks requests against the back ends' log of executed requests.
type Requests struct {
	report        *Report
	attempts      map[AttemptID]*attemptRecord
	keyRuns       map[string]int
	failedTargets map[TargetIncarnation]bool
}

// NewRequests returns a checker that adds its violations to report.
func NewRequests(report *Report) *Requests {
	return &Requests{
		report:        report,
		attempts:      make(map[AttemptID]*attemptRecord),
		keyRuns:       make(map[string]int),
		failedTargets: make(map[TargetIncarnation]bool),
	}
}

// Sent records that a caller sent an attempt.
func (requests *Requests) Sent(attempt Attempt, at time.Duration) {
	requests.attempts[attempt.ID] = &attemptRecord{attempt: attempt, sentAt: at}
}

// Ran records an entry of a back end's log: the run of an attempt began.
func (requests *Requests) Ran(id AttemptID, target TargetIncarnation, at time.Duration) {
	record, known := requests.attempts[id]
	if !known {
		requests.report.Add(InvariantAnswerBound, at, "attempt %d ran and nobody sent it", id)
		return
	}
	record.runs++
	record.running = true
	record.target = target
	if record.refused {
		requests.report.Add(InvariantRefusedNotRun, at, "attempt %d ran at %s after its refusal", id, target)
	}
	if record.attempt.Key == "" {
		return
	}
	requests.keyRuns[record.attempt.Key]++
	if requests.keyRuns[record.attempt.Key] > 1 {
		requests.report.Add(InvariantAtMostOnce, at, "key %s ran %d times, last as attempt %d at %s",
			record.attempt.Key, requests.keyRuns[record.attempt.Key], id, target)
	}
}

// Finished records that the run of an attempt ended at the back end.
func (requests *Requests) Finished(id AttemptID) {
	if record, known := requests.attempts[id]; known {
		record.running = false
	}
}

// Answered records an answer that the caller of an attempt received.
func (requests *Requests) Answered(answer Answer) {
	record, known := requests.attempts[answer.Attempt]
	if !known {
		requests.report.Add(InvariantAnswerBound, answer.At, "answer to attempt %d that nobody sent", answer.Attempt)
		return
	}
	if !requests.sameRequest(record, answer.Origin) {
		requests.report.Add(InvariantAnswerBound, answer.At, "attempt %d got the answer of attempt %d", answer.Attempt, answer.Origin)
	}
	if origin, sent := requests.attempts[answer.Origin]; sent && origin.runs == 0 {
		requests.report.Add(InvariantAnswerBound, answer.At, "attempt %d got the answer of attempt %d, which did not run", answer.Attempt, answer.Origin)
	}
	if !answer.Complete {
		requests.report.Add(InvariantAnswerBound, answer.At, "attempt %d got a short answer as whole", answer.Attempt)
	}
	record.outcome = outcomeAnswered
}

// sameRequest reports whether other is the same attempt, or an attempt with the same key.
func (requests *Requests) sameRequest(record *attemptRecord, other AttemptID) bool {
	if record.attempt.ID == other {
		return true
	}
	origin, known := requests.attempts[other]
	return known && record.attempt.Key != "" && origin.attempt.Key == record.attempt.Key
}

// Refused records an answer that says that the attempt did not run and will not.
func (requests *Requests) Refused(id AttemptID, at time.Duration) {
	record, known := requests.attempts[id]
	if !known {
		return
	}
	if record.runs > 0 {
		requests.report.Add(InvariantRefusedNotRun, at, "attempt %d refused as not run after it ran at %s", id, record.target)
	}
	record.outcome = outcomeRefused
	record.refused = true
}

// Unknown records an answer that says that the attempt may have run.
func (requests *Requests) Unknown(id AttemptID) {
	if record, known := requests.attempts[id]; known {
		record.outcome = outcomeUnknown
	}
}

// TargetFailed records the unplanned end of an incarnation of a target. Its running requests may be
// interrupted.
func (requests *Requests) TargetFailed(target TargetIncarnation) {
	requests.failedTargets[target] = true
}

// TargetStopped records the planned end of an incarnation of a target, which must have no running
// request.
func (requests *Requests) TargetStopped(target TargetIncarnation, at time.Duration) {
	for _, record := range requests.sorted() {
		if record.running && record.target == target && !requests.failedTargets[target] {
			record.outcome = outcomeInterrupted
			requests.report.Add(InvariantStopCutsNothing, at, "attempt %d cut by the planned stop of %s", record.attempt.ID, target)
		}
	}
}

// CheckOutcomes reports a violation for each attempt that was sent before sentBefore and has no
// outcome, except those that ran at a target that failed.
func (requests *Requests) CheckOutcomes(sentBefore, at time.Duration) {
	for _, record := range requests.sorted() {
		if record.outcome == outcomeOpen && record.sentAt < sentBefore && !requests.failedTargets[record.target] {
			requests.report.Add(InvariantRequestAnswered, at, "attempt %d sent at %s has no end", record.attempt.ID, record.sentAt)
		}
	}
}

// Tally counts attempts by outcome, and their runs. The simulation prints it into its trace, so the
// field names are part of the digests of runs.
type Tally struct {
	Offered, Answered, Refused, Unknown, Runs int
}

// Tally returns the current counts.
func (requests *Requests) Tally() Tally {
	var tally Tally
	for _, record := range requests.attempts {
		tally.Offered++
		tally.Runs += record.runs
		switch record.outcome {
		case outcomeAnswered:
			tally.Answered++
		case outcomeRefused:
			tally.Refused++
		case outcomeUnknown:
			tally.Unknown++
		}
	}
	return tally
}

func (requests *Requests) sorted() []*attemptRecord {
	records := make([]*attemptRecord, 0, len(requests.attempts))
	for _, record := range requests.attempts {
		records = append(records, record)
	}
	slices.SortFunc(records, func(left, right *attemptRecord) int {
		return cmp.Compare(left.attempt.ID, right.attempt.ID)
	})
	return records
}

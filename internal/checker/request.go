package checker

import (
	"cmp"
	"slices"
	"time"
)

// AttemptID numbers what callers send; a resent request is a new attempt.
type AttemptID uint64

// Attempt is one request as a caller sent it.
type Attempt struct {
	ID AttemptID
	// Key is equal for all attempts of one request that may not be repeated;
	// empty for others.
	Key     string
	Service uint32
}

// Answer is what came back to the caller of an attempt.
type Answer struct {
	Attempt AttemptID
	// For is the attempt whose work the answer tells of. Answers of attempts
	// with the same key are each other's.
	Origin AttemptID
	// Whole tells that the body had its full length.
	Complete bool
	At       time.Duration
}

// Outcome is how an attempt ended for its caller.
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
	// refused stays set whatever the caller is told later.
	refused bool
	// runs counts entries in the back ends' ledger.
	runs    int
	running bool
	target  TargetIncarnation
	sentAt  time.Duration
}

// Requests checks requests against the back ends' ledger.
type Requests struct {
	report   *Report
	attempts map[AttemptID]*attemptRecord
	keyRuns  map[string]int
	dead     map[TargetIncarnation]bool
}

// NewRequests returns a checker that writes into report.
func NewRequests(report *Report) *Requests {
	return &Requests{
		report:   report,
		attempts: make(map[AttemptID]*attemptRecord),
		keyRuns:  make(map[string]int),
		dead:     make(map[TargetIncarnation]bool),
	}
}

// Offered records that a caller sent an attempt.
func (requests *Requests) Sent(attempt Attempt, at time.Duration) {
	requests.attempts[attempt.ID] = &attemptRecord{attempt: attempt, sentAt: at}
}

// Ran records an entry of a back end's ledger: the run began.
func (requests *Requests) Ran(id AttemptID, place TargetIncarnation, at time.Duration) {
	record, known := requests.attempts[id]
	if !known {
		requests.report.Add(InvariantAnswerBound, at, "attempt %d ran and nobody sent it", id)
		return
	}
	record.runs++
	record.running = true
	record.target = place
	if record.refused {
		requests.report.Add(InvariantRefusedNotRun, at, "attempt %d ran at %s after its refusal", id, place)
	}
	if record.attempt.Key == "" {
		return
	}
	requests.keyRuns[record.attempt.Key]++
	if requests.keyRuns[record.attempt.Key] > 1 {
		requests.report.Add(InvariantAtMostOnce, at, "key %s ran %d times, last as attempt %d at %s",
			record.attempt.Key, requests.keyRuns[record.attempt.Key], id, place)
	}
}

// Finished records that the back end ended the run.
func (requests *Requests) Finished(id AttemptID) {
	if record, known := requests.attempts[id]; known {
		record.running = false
	}
}

// Answered records an answer.
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

func (requests *Requests) sameRequest(record *attemptRecord, other AttemptID) bool {
	if record.attempt.ID == other {
		return true
	}
	origin, known := requests.attempts[other]
	return known && record.attempt.Key != "" && origin.attempt.Key == record.attempt.Key
}

// Refused records an answer that says that the attempt was not run.
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

// TargetDied records the unplanned end of one life of a target. Its requests
// in progress may be cut.
func (requests *Requests) TargetDied(place TargetIncarnation) { requests.dead[place] = true }

// TargetStopped records a planned end; no request may be running there.
func (requests *Requests) TargetStopped(place TargetIncarnation, at time.Duration) {
	for _, record := range requests.sorted() {
		if record.running && record.target == place && !requests.dead[place] {
			record.outcome = outcomeInterrupted
			requests.report.Add(InvariantStopCutsNothing, at, "attempt %d cut by the planned stop of %s", record.attempt.ID, place)
		}
	}
}

// CheckEnded reports attempts without any end that were sent before a time,
// except those whose target died.
func (requests *Requests) CheckEnded(sentBefore, at time.Duration) {
	for _, record := range requests.sorted() {
		if record.outcome == outcomeOpen && record.sentAt < sentBefore && !requests.dead[record.target] {
			requests.report.Add(InvariantRequestAnswered, at, "attempt %d sent at %s has no end", record.attempt.ID, record.sentAt)
		}
	}
}

// Tally counts attempts by their outcome.
type Tally struct {
	Sent, Answered, Refused, Unknown, Runs int
}

// Tally returns the present counts.
func (requests *Requests) Tally() Tally {
	var tally Tally
	for _, record := range requests.attempts {
		tally.Sent++
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

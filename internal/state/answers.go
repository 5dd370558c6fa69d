package state

import (
	"time"

	"merlinpaddle/internal/faults"
)

// answerKey is an idempotency key and its scope, which separates the keys of
// tenants.
type answerKey struct {
	Scope string
	Key   string
}

// answer is the stored result of an operator command.
type answer struct {
	Key         answerKey
	Fingerprint uint64
	At          time.Time
	Result      Result
}

// answerTable stores the results of operator commands by idempotency key, so that a
// resent command gets the result of its first copy.
type answerTable struct {
	rows map[answerKey]answer
	// order lists the keys of rows, oldest first.
	order []answerKey
}

func newAnswerTable() answerTable { return answerTable{rows: make(map[answerKey]answer)} }

// find returns the stored answer if the change was applied or refused before, or a
// refusal if its key was used for another request. It returns false if the key is
// new or empty.
func (answers *answerTable) find(change Change) (Result, bool) {
	if change.Key == "" {
		return Result{}, false
	}
	first, known := answers.rows[answerKey{Scope: change.Scope, Key: change.Key}]
	if !known {
		return Result{}, false
	}
	if first.Fingerprint != change.Fingerprint {
		return refuse(faults.CodeIdempotencyKeyReused, "the idempotency key was used with another request"), true
	}
	result := first.Result
	result.Replayed = true
	return result, true
}

// record stores the answer to a change that has an idempotency key. When the table
// is full, the oldest answer is removed.
func (answers *answerTable) record(change Change, at time.Time, result Result) {
	if change.Key == "" {
		return
	}
	if len(answers.rows) >= MaximumAnswers {
		answers.removeOldest()
	}
	answers.add(answer{
		Key:         answerKey{Scope: change.Scope, Key: change.Key},
		Fingerprint: change.Fingerprint,
		At:          at,
		Result:      result,
	})
}

func (answers *answerTable) add(row answer) {
	answers.rows[row.Key] = row
	answers.order = append(answers.order, row.Key)
}

func (answers *answerTable) removeOldest() {
	delete(answers.rows, answers.order[0])
	answers.order = answers.order[1:]
}

// expire removes the answers that are at least AnswerRetention old.
func (answers *answerTable) expire(now time.Time) {
	for len(answers.order) > 0 && !now.Before(answers.rows[answers.order[0]].At.Add(AnswerRetention)) {
		answers.removeOldest()
	}
}

// list returns all answers, oldest first.
func (answers *answerTable) list() []answer {
	var rows []answer
	for _, key := range answers.order {
		rows = append(rows, answers.rows[key])
	}
	return rows
}

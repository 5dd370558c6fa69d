package checker

import (
	"slices"
	"time"
)

// Operators records the history of the operators' reads and changes, and checks it.
type Operators struct {
	report  *Report
	history []Operation
	initial map[string]InitialState
	// winners has the key of the change that was accepted on each base revision.
	winners map[objectRevision]string
	// byKey has the first answer to each change.
	byKey map[string]ChangeAnswer
}

type objectRevision struct {
	object   string
	revision uint64
}

// NewOperators returns a checker that adds its violations to report.
func NewOperators(report *Report) *Operators {
	return &Operators{
		report:  report,
		initial: make(map[string]InitialState),
		winners: make(map[objectRevision]string),
		byKey:   make(map[string]ChangeAnswer),
	}
}

// Created records the initial state of an object.
func (operators *Operators) Created(object string, first InitialState) {
	operators.initial[object] = first
}

// Completed records one operation with its result.
func (operators *Operators) Completed(operation Operation) {
	operators.history = append(operators.history, operation)
	if operation.Kind == OperationWrite && operation.Result == ResultAccepted {
		operators.checkWinner(operation)
	}
}

func (operators *Operators) checkWinner(operation Operation) {
	base := objectRevision{object: operation.Object, revision: operation.Base}
	winner, taken := operators.winners[base]
	if taken && winner != operation.Key {
		operators.report.Add(InvariantOneWinner, operation.Return, "%s at revision %d: %s and %s were both accepted",
			operation.Object, operation.Base, winner, operation.Key)
	}
	operators.winners[base] = operation.Key
}

// ChangeAnswer is the content of one answer to a change.
type ChangeAnswer struct {
	Accepted bool
	// Revision is the revision that the change created, or the object's current revision if the
	// change was refused.
	Revision uint64
}

// Answered records one of the answers to a change. Duplicated and resent changes are answered
// separately. All answers must be equal, because the change is applied once or never.
func (operators *Operators) Answered(key string, answer ChangeAnswer, at time.Duration) {
	first, answered := operators.byKey[key]
	if answered && first != answer {
		operators.report.Add(InvariantAppliedOnce, at, "change %s was answered with %+v and %+v", key, first, answer)
		return
	}
	operators.byKey[key] = answer
}

// FinalState records the value and revision of one object at the end of the run as a last read, and
// checks that no accepted change has a higher revision.
func (operators *Operators) FinalState(object string, value, revision uint64, at time.Duration) {
	operators.history = append(operators.history, Operation{
		Object: object, Client: "final", Kind: OperationRead, Call: at, Return: at + 1,
		Value: value, Revision: revision, Result: ResultAccepted,
	})
	for _, operation := range operators.history {
		accepted := operation.Kind == OperationWrite && operation.Result == ResultAccepted
		if accepted && operation.Object == object && operation.Revision > revision {
			operators.report.Add(InvariantCommittedKept, at, "%s ends at revision %d; change %s was accepted at %d",
				object, revision, operation.Key, operation.Revision)
		}
	}
}

// CheckLinearizable checks that the complete history is linearizable.
func (operators *Operators) CheckLinearizable() {
	CheckLinearizable(operators.report, slices.Clone(operators.history), operators.initial)
}

// Counts returns how many writes were accepted, were refused with a conflict, and have an unknown
// outcome.
func (operators *Operators) Counts() (accepted, conflicts, unknown int) {
	for _, operation := range operators.history {
		if operation.Kind != OperationWrite {
			continue
		}
		switch operation.Result {
		case ResultAccepted:
			accepted++
		case ResultConflict:
			conflicts++
		case ResultUnknown:
			unknown++
		}
	}
	return accepted, conflicts, unknown
}

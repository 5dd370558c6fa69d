package state

import (
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Machine is one member's copy of the replicated state. Its methods may be called
// concurrently.
type Machine struct {
	// lock guards core, answers and claims, and serializes all changes of the
	// state. Readers of view and deltas do not take it.
	lock     sync.Mutex
	core     core
	answers  answerTable
	claims   claimTable
	view     atomic.Pointer[View]
	deltas   deltaLog
	notifier board.Notifier
}

// core holds the scalar values of the state.
type core struct {
	// Applied is the log index of the last applied entry.
	Applied model.Revision
	// Offset is added to a log index to get a revision; see the package comment.
	Offset model.Revision
	// Clock is the log time, which never goes back.
	Clock time.Time
	// LastService and LastTarget are the highest IDs ever assigned.
	LastService model.ServiceID
	LastTarget  model.TargetID
}

// NewMachine returns a Machine with an empty state.
func NewMachine() *Machine {
	machine := &Machine{answers: newAnswerTable(), claims: newClaimTable()}
	machine.view.Store(newView())
	return machine
}

// View returns the state after the last applied command. Callers must not modify
// it.
func (machine *Machine) View() *View { return machine.view.Load() }

// Configuration returns the configuration that nodes run. Callers must not modify
// it.
func (machine *Machine) Configuration() *model.Configuration { return machine.View().Configuration }

// DeltasSince returns the deltas that lead from the configuration at revision to
// the current one. It returns false when the delta log does not go back to
// revision; the caller then has to send the full configuration.
func (machine *Machine) DeltasSince(revision model.Revision) ([]model.Delta, bool) {
	return machine.deltas.since(revision)
}

// Revision returns the revision of the last applied log entry.
func (machine *Machine) Revision() model.Revision {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	return machine.revision()
}

// Watch returns a new channel that is notified after changes of the
// configuration.
func (machine *Machine) Watch() <-chan struct{} { return machine.notifier.Watch() }

// Apply applies one committed log entry and returns the encoded Result, as
// replica.StateMachine requires. An empty command only advances the log time.
func (machine *Machine) Apply(index model.Revision, at time.Time, command []byte) []byte {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	if index <= machine.core.Applied {
		return encodeResult(refuse(faults.CodeInternalFault, "log index %d was applied before", index))
	}
	machine.advance(index, at)
	if len(command) == 0 {
		return nil
	}
	decoded, err := DecodeCommand(command)
	if err != nil {
		return encodeResult(refuse(faults.CodeUnknownCommand, "log index %d: %v", index, err))
	}
	return encodeResult(machine.run(decoded))
}

// advance records the applied index, moves the log time forward, never back, and
// removes expired answers and claims.
func (machine *Machine) advance(index model.Revision, at time.Time) {
	machine.core.Applied = index
	at = at.Round(0).UTC()
	if at.After(machine.core.Clock) {
		machine.core.Clock = at
	}
	machine.answers.expire(machine.core.Clock)
	machine.claims.expire(machine.core.Clock)
}

// run executes a command, or returns the stored answer if an operator resent it.
func (machine *Machine) run(command Command) Result {
	operator, isOperator := command.(operatorCommand)
	if !isOperator {
		return machine.execute(command)
	}
	change := operator.change()
	if len(change.Key) > MaximumIdempotencyKeyBytes {
		return refuse(faults.CodeIdempotencyKeyRequired, "the idempotency key is longer than %d bytes", MaximumIdempotencyKeyBytes)
	}
	if first, resent := machine.answers.find(change); resent {
		return first
	}
	result := machine.execute(command)
	machine.answers.record(change, machine.core.Clock, result)
	return result
}

// execute applies the command in a transaction and commits it unless the command
// is refused.
func (machine *Machine) execute(command Command) Result {
	transaction := newTransaction(machine)
	result := command.apply(transaction)
	if result.Applied() {
		transaction.commit()
	}
	return result
}

// revision returns the revision of the last log entry, which may be the one that is
// being applied.
func (machine *Machine) revision() model.Revision { return machine.core.Applied + machine.core.Offset }

package mutant

import (
	"fmt"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
	"merlinpaddle/internal/state"
)

// changedCommands is a state machine that applies change to each command of the log before it
// executes it.
type changedCommands struct {
	replica.StateMachine
	change func(index model.Revision, command state.Command) state.Command
}

// Apply implements replica.StateMachine.
func (machine changedCommands) Apply(index model.Revision, at time.Time, encoded []byte) []byte {
	command, err := state.DecodeCommand(encoded)
	if err != nil {
		panic(fmt.Sprintf("decode command %d: %v", index, err))
	}
	changed, err := state.EncodeCommand(machine.change(index, command))
	if err != nil {
		panic(fmt.Sprintf("encode command %d: %v", index, err))
	}
	return machine.StateMachine.Apply(index, at, changed)
}

// viewer is implemented by state machines that can be read.
type viewer interface{ View() *state.View }

func revisionIgnored() Mutant {
	return Mutant{
		Name:     "revision-ignored",
		Breaks:   "a change is applied even if its base is not the current revision",
		Expect:   []checker.Invariant{checker.InvariantOneWinner},
		Scenario: namedScenario("racing-operators"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Machine = func(standard replica.StateMachine) replica.StateMachine {
				return changedCommands{StateMachine: standard, change: func(_ model.Revision, command state.Command) state.Command {
					return rebased(standard.(viewer).View(), command)
				}}
			}
		},
	}
}

// rebased returns the command with the current revision as its base, if it is a change of a
// service.
func rebased(view *state.View, command state.Command) state.Command {
	put, isPut := command.(state.PutService)
	if !isPut {
		return command
	}
	if record, known := view.Service(state.ServiceKey{Tenant: put.Tenant, Name: put.Name}); known {
		put.Base = record.Revision
	}
	return put
}

func idempotencyKeyIgnored() Mutant {
	return Mutant{
		Name:     "idempotency-key-ignored",
		Breaks:   "a resent change is applied as a new one",
		Expect:   []checker.Invariant{checker.InvariantAppliedOnce},
		Scenario: namedScenario("racing-operators"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Machine = func(standard replica.StateMachine) replica.StateMachine {
				return changedCommands{StateMachine: standard, change: withUniqueKey}
			}
		},
	}
}

// withUniqueKey makes the idempotency key of a change of a service unique.
func withUniqueKey(index model.Revision, command state.Command) state.Command {
	put, isPut := command.(state.PutService)
	if !isPut {
		return command
	}
	put.Key = fmt.Sprintf("%s/%d", put.Key, index)
	return put
}

// skippedEntry is the log index of the entry that one member does not apply.
const skippedEntry = 50

func entrySkipped() Mutant {
	return Mutant{
		Name:     "entry-skipped",
		Breaks:   "one member does not apply one committed entry",
		Expect:   []checker.Invariant{checker.InvariantReplicasAgree},
		Scenario: namedScenario("leader-loss"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			built := 0
			parts.Machine = func(standard replica.StateMachine) replica.StateMachine {
				built++
				if built != 1 {
					return standard
				}
				return skipsEntry{StateMachine: standard}
			}
		},
	}
}

// skipsEntry does not apply the entry at index skippedEntry.
type skipsEntry struct{ replica.StateMachine }

// Apply implements replica.StateMachine.
func (machine skipsEntry) Apply(index model.Revision, at time.Time, command []byte) []byte {
	if index == skippedEntry {
		return nil
	}
	return machine.StateMachine.Apply(index, at, command)
}

func snapshotIgnored() Mutant {
	return Mutant{
		Name:     "snapshot-ignored",
		Breaks:   "a member that receives a snapshot keeps its own state",
		Expect:   []checker.Invariant{checker.InvariantReplicasAgree},
		Scenario: namedScenario("restart-after-500"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Machine = func(standard replica.StateMachine) replica.StateMachine {
				return keepsState{StateMachine: standard}
			}
		},
	}
}

// keepsState ignores snapshots.
type keepsState struct{ replica.StateMachine }

// Restore implements replica.StateMachine.
func (machine keepsState) Restore([]byte) error { return nil }

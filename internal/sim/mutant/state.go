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

// changedCommands is a state machine that gets other commands than the log has.
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

// viewer is the state machine's read side.
type viewer interface{ View() *state.View }

func revisionIgnored() Mutant {
	return Mutant{
		Name:     "revision-ignored",
		Breaks:   "a change is applied also when its base is not the present revision",
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

// rebased bases a service's change on the present revision.
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
		Breaks:   "a resent change is a new one",
		Expect:   []checker.Invariant{checker.InvariantAppliedOnce},
		Scenario: namedScenario("racing-operators"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Machine = func(standard replica.StateMachine) replica.StateMachine {
				return changedCommands{StateMachine: standard, change: withUniqueKey}
			}
		},
	}
}

func withUniqueKey(index model.Revision, command state.Command) state.Command {
	put, isPut := command.(state.PutService)
	if !isPut {
		return command
	}
	put.Key = fmt.Sprintf("%s/%d", put.Key, index)
	return put
}

// skippedEntry is the place of an entry that one member does not apply.
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
				return skipping{StateMachine: standard}
			}
		},
	}
}

// skipping does not apply the skipped entry.
type skipping struct{ replica.StateMachine }

// Apply implements replica.StateMachine.
func (machine skipping) Apply(index model.Revision, at time.Time, command []byte) []byte {
	if index == skippedEntry {
		return nil
	}
	return machine.StateMachine.Apply(index, at, command)
}

func snapshotIgnored() Mutant {
	return Mutant{
		Name:     "snapshot-ignored",
		Breaks:   "a member that takes a snapshot keeps the state that it had",
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

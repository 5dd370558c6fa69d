package replica

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

type (
	nodeName = model.NodeName
	revision = model.Revision
)

// simulation runs a workload of changes and reads on a cluster and checks the
// invariants of consensus after every step.
type simulation struct {
	*cluster
	// leaders has the leader of each term, to check election safety.
	leaders map[uint64]raft.MemberID
	// terms and commands have the terms and commands of committed entries by
	// index, to check log matching and state machine safety.
	terms            map[uint64]uint64
	commands         map[uint64]string
	checkedCommands  map[*Controller]int
	termsCheckedUpTo map[*Controller]uint64
	lastLedTerm      map[*Controller]uint64
	// The fields below count the submitted commands and record their outcomes.
	submitted    int
	acknowledged map[string]bool
	refused      map[string]bool
	unanswered   int
	servedReads  int
	// acknowledgedPosition is the highest position of an acknowledged change in
	// the list of applied commands.
	acknowledgedPosition uint64
	submitRate           float64
}

func newSimulation(test testing.TB, seed uint64, names ...model.NodeName) *simulation {
	return &simulation{
		cluster:          newCluster(test, seed, names...),
		leaders:          make(map[uint64]raft.MemberID),
		terms:            make(map[uint64]uint64),
		commands:         make(map[uint64]string),
		checkedCommands:  make(map[*Controller]int),
		termsCheckedUpTo: make(map[*Controller]uint64),
		lastLedTerm:      make(map[*Controller]uint64),
		acknowledged:     make(map[string]bool),
		refused:          make(map[string]bool),
		submitRate:       0.3,
	}
}

// runWorkload runs the workload and the checks for the given virtual time, with
// injectFaults before each step.
func (simulation *simulation) runWorkload(duration time.Duration, injectFaults func()) {
	for end := simulation.now.Add(duration); simulation.now.Before(end); {
		if injectFaults != nil {
			injectFaults()
		}
		simulation.submitRandomRequests()
		simulation.step()
		simulation.check()
	}
}

// runWorkloadUntil runs the workload until condition holds, and fails the test
// after limit.
func (simulation *simulation) runWorkloadUntil(limit time.Duration, goal string, condition func() bool) {
	simulation.test.Helper()
	for end := simulation.now.Add(limit); simulation.now.Before(end); {
		if condition() {
			return
		}
		simulation.runWorkload(clockStep, nil)
	}
	simulation.test.Fatalf("not within %v of virtual time: %s\n%s", limit, goal, simulation.describe())
}

func (simulation *simulation) randomMember() *member {
	return simulation.members[simulation.names[simulation.random.IntN(len(simulation.names))]]
}

// submitRandomRequests submits a change and a read, each with some probability, to
// a random member, which need not be the leader.
func (simulation *simulation) submitRandomRequests() {
	process := simulation.randomMember()
	if process.controller == nil {
		return
	}
	if simulation.random.Float64() < simulation.submitRate {
		simulation.submit(process)
	}
	if simulation.random.Float64() < simulation.submitRate/2 {
		simulation.read(process)
	}
}

func (simulation *simulation) submit(process *member) {
	simulation.submitted++
	command := fmt.Sprintf("change-%d", simulation.submitted)
	simulation.unanswered++
	answers := 0
	process.controller.Submit([]byte(command), func(result []byte, err error) {
		answers++
		if answers > 1 {
			simulation.test.Fatalf("%s was answered %d times", command, answers)
		}
		simulation.unanswered--
		simulation.recordOutcome(command, result, err)
	})
}

func (simulation *simulation) recordOutcome(command string, result []byte, err error) {
	if err == nil {
		position, _ := binary.Uvarint(result)
		simulation.acknowledged[command] = true
		simulation.acknowledgedPosition = max(simulation.acknowledgedPosition, position)
		return
	}
	ran, known := ranByCode[faults.CodeOf(err)]
	if !known {
		simulation.test.Fatalf("%s was answered by an error without a code: %v", command, err)
	}
	if ran == faults.RanNo {
		simulation.refused[command] = true
	}
}

// ranByCode maps each fault code to whether the request was executed.
var ranByCode = func() map[faults.Code]faults.Ran {
	ran := make(map[faults.Code]faults.Ran)
	for _, definition := range faults.Catalogue() {
		ran[definition.Code] = definition.Ran
	}
	return ran
}()

// read requests a read barrier and checks that, if it succeeds, the state includes
// every change that any member acknowledged before the request. The result of a
// change is its position in the list of commands, which is the same on all
// members, so a state with at least that many commands includes the change.
func (simulation *simulation) read(process *member) {
	minimum := simulation.acknowledgedPosition
	machine := process.machine
	name := process.name
	requestedAt := simulation.now
	process.controller.ReadBarrier(func(err error) {
		if err != nil {
			return
		}
		simulation.servedReads++
		if present := uint64(len(machine.commands)); present < minimum {
			simulation.test.Fatalf("a read at %s, requested at %v, shows %d changes; %d were acknowledged before", name, requestedAt, present, minimum)
		}
	})
}

func (simulation *simulation) check() {
	for _, name := range simulation.names {
		process := simulation.members[name]
		if process.controller == nil || process.controller.core == nil {
			continue
		}
		simulation.checkLeader(process)
		simulation.checkTerms(process)
		simulation.checkState(process)
	}
}

// checkLeader checks election safety and, for a new leader, leader completeness.
func (simulation *simulation) checkLeader(process *member) {
	core := process.controller.core
	status := core.Status(simulation.now)
	if status.Role != raft.Leader {
		return
	}
	leader, known := simulation.leaders[status.Term]
	if known && leader != status.ID {
		simulation.test.Fatalf("members %d and %d both led term %d", leader, status.ID, status.Term)
	}
	simulation.leaders[status.Term] = status.ID
	if simulation.lastLedTerm[process.controller] == status.Term {
		return
	}
	simulation.lastLedTerm[process.controller] = status.Term
	for index, term := range simulation.terms {
		if index < status.FirstIndex {
			continue
		}
		if found, exists := core.TermAt(index); term < status.Term && (!exists || found != term) {
			simulation.test.Fatalf("the leader of term %d lacks the committed entry %d of term %d", status.Term, index, term)
		}
	}
}

// checkTerms checks that all members commit entries with the same terms.
func (simulation *simulation) checkTerms(process *member) {
	core := process.controller.core
	status := core.Status(simulation.now)
	for index := max(simulation.termsCheckedUpTo[process.controller]+1, status.FirstIndex); index <= status.Applied; index++ {
		term, exists := core.TermAt(index)
		if !exists || term == 0 {
			continue
		}
		if known, committed := simulation.terms[index]; committed && known != term {
			simulation.test.Fatalf("entry %d was committed in term %d and in term %d", index, known, term)
		}
		simulation.terms[index] = term
	}
	simulation.termsCheckedUpTo[process.controller] = status.Applied
}

// checkState checks that all members apply the same commands in order and that
// the log time never goes back.
func (simulation *simulation) checkState(process *member) {
	machine := process.machine
	start := simulation.checkedCommands[process.controller]
	if start > len(machine.commands) {
		start = 0
	}
	for position := start; position < len(machine.commands); position++ {
		index, command := machine.indexes[position], machine.commands[position]
		if known, applied := simulation.commands[index]; applied && known != command {
			simulation.test.Fatalf("entry %d is %q and %q", index, known, command)
		}
		simulation.commands[index] = command
		if position > 0 && machine.times[position] < machine.times[position-1] {
			simulation.test.Fatalf("the log time goes back at entry %d", index)
		}
		if position > 0 && index <= machine.indexes[position-1] {
			simulation.test.Fatalf("entry %d was applied after entry %d", index, machine.indexes[position-1])
		}
	}
	simulation.checkedCommands[process.controller] = len(machine.commands)
}

// endFaults ends all faults and restarts all members that are down or failed.
func (simulation *simulation) endFaults() {
	simulation.heal()
	simulation.network.drop = 0
	simulation.network.duplicate = 0
	simulation.network.maxDelay = 2 * clockStep
	for _, name := range simulation.names {
		process := simulation.members[name]
		process.pausedUntil = time.Time{}
		process.disk.SetCapacity(0)
		process.disk.FailSyncs(0)
		if process.controller == nil || process.controller.Err() != nil {
			simulation.stop(name)
			simulation.start(name)
		}
		if process.startErr != nil {
			simulation.test.Fatalf("%s does not start again: %v", name, process.startErr)
		}
	}
}

// finish ends all faults, waits until the members agree and every call is answered,
// and checks the outcome of every command.
func (simulation *simulation) finish() {
	simulation.test.Helper()
	simulation.endFaults()
	simulation.submitRate = 0
	simulation.runWorkloadUntil(10*time.Second, "a leader after the faults", func() bool { return simulation.leader() != nil })
	simulation.propose("last")
	simulation.runWorkloadUntil(10*time.Second, "equal state and no open call", func() bool {
		return simulation.converged() && simulation.unanswered == 0
	})
	simulation.checkOutcomes()
}

// checkOutcomes checks that acknowledged commands were applied once, refused ones
// not at all and others at most once.
func (simulation *simulation) checkOutcomes() {
	simulation.test.Helper()
	applied := make(map[string]int)
	for _, command := range simulation.members[simulation.names[0]].machine.commands {
		applied[command]++
		if applied[command] > 1 {
			simulation.test.Fatalf("%s was applied twice", command)
		}
	}
	for command := range simulation.acknowledged {
		if applied[command] == 0 {
			simulation.test.Fatalf("%s was acknowledged and is lost", command)
		}
	}
	for command := range simulation.refused {
		if applied[command] != 0 {
			simulation.test.Fatalf("%s was refused as not executed, but was applied", command)
		}
	}
}

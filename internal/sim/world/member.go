package world

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/control"
	"merlinpaddle/internal/filesystem/memory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/state"
)

// Settings of simulated control members.
const (
	// memberInterval is the time between two periodic runs of a member's controllers.
	memberInterval          = 50 * time.Millisecond
	electionTimeout         = time.Second
	memberHeartbeatInterval = 150 * time.Millisecond
	// deadNodeTimeout is the time without heartbeats after which an agent's target is declared dead.
	deadNodeTimeout = 5 * time.Second
)

// member simulates one control member: the product's consensus, state and control controllers on a
// simulated process with a simulated disk.
type member struct {
	world   *World
	process *kernel.Process
	disk    *memory.Disk
	// join is true if the member joins a running group instead of founding one.
	join bool
	// snapshotEvery is the number of log entries between snapshots; zero means the product's default.
	snapshotEvery int
	machine       *state.Machine
	controller    *replica.Controller
	control       *control.Member
	// startError is the error with which the member refused to start, or nil.
	startError error
}

func newMember(world *World, name model.NodeName, zone model.ZoneName) *member {
	random := world.run.Random("disk/" + string(name))
	created := &member{world: world, disk: memory.New(random.Uint64()), snapshotEvery: world.options.SnapshotEvery}
	created.process = world.host.Add(kernel.Endpoint{Name: name, Zone: zone}, memberInterval, created.build)
	created.process.AfterRun(func(time.Time) { created.observe() })
	return created
}

// build starts a new incarnation from the contents of its disk. If consensus refuses to start, the
// process runs without controllers.
func (member *member) build(mailbox *protocol.Mailbox, incarnation model.Incarnation) kernel.Program {
	dispatcher := protocol.NewDispatcher(mailbox)
	member.machine = state.NewMachine()
	observed := &observedMachine{wrapped: member.world.parts.Machine(member.machine), member: member}
	files := member.world.parts.Disk(member.disk)
	seed := member.world.run.Random("member/"+string(member.process.Name)).Uint64() + uint64(incarnation)
	member.controller, member.startError = replica.NewController(replica.Options{
		Self:              member.process.Name,
		Members:           member.world.memberNames(),
		Join:              member.join,
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: memberHeartbeatInterval,
		SnapshotEvery:     member.snapshotEvery,
		Seed:              seed,
		SegmentBytes:      member.world.options.SegmentBytes,
		ChunkBytes:        member.world.options.ChunkBytes,
	}, files, mailbox, dispatcher, observed)
	program := kernel.Program{Mailbox: mailbox, Stop: member.disk.Crash}
	if member.startError != nil {
		member.controller = nil
		member.world.run.Trace.Add(string(member.process.Name), "refused", member.startError.Error())
		return program
	}
	program.Controllers = append([]board.Controller{dispatcher, member.controller}, member.controlControllers(mailbox, dispatcher)...)
	return program
}

// Status returns the status of the member's consensus as of the clock of its process.
func (member *member) Status() replica.Status {
	return member.controller.StatusAt(member.process.LocalNow())
}

// observe reports a leading member to the checkers, and ends a member whose consensus failed.
func (member *member) observe() {
	if member.controller == nil {
		return
	}
	if err := member.controller.Err(); err != nil {
		member.world.run.Trace.Add(string(member.process.Name), "failed", err.Error())
		member.process.Kill()
		return
	}
	status := member.Status()
	if status.Leading {
		member.world.checks.replicas.Leader(status.Term, string(member.process.Name), member.world.run.Elapsed())
	}
}

// observedMachine is a member's state machine that also reports every applied command to the
// checkers.
type observedMachine struct {
	wrapped replica.StateMachine
	member  *member
}

// Apply implements replica.StateMachine.
func (machine *observedMachine) Apply(index model.Revision, at time.Time, command []byte) []byte {
	result := machine.wrapped.Apply(index, at, command)
	world := machine.member.world
	process := machine.member.process
	incarnation := checker.MemberIncarnation{Member: string(process.Name), Incarnation: uint64(process.Incarnation())}
	world.checks.replicas.Applied(incarnation, uint64(index), string(command), world.run.Elapsed())
	world.checks.observeApplied(machine.member, uint64(index))
	return result
}

// Snapshot implements replica.StateMachine.
func (machine *observedMachine) Snapshot() ([]byte, error) { return machine.wrapped.Snapshot() }

// Restore implements replica.StateMachine.
func (machine *observedMachine) Restore(snapshot []byte) error {
	return machine.wrapped.Restore(snapshot)
}

// Digest implements replica.StateMachine.
func (machine *observedMachine) Digest() uint64 { return machine.wrapped.Digest() }

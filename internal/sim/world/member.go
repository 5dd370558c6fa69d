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
	memberInterval  = 50 * time.Millisecond
	electionTimeout = time.Second
	memberHeartbeat = 150 * time.Millisecond
	deadAfter       = 5 * time.Second
)

// member is one control member: the product's consensus, state and control
// controllers on a simulated process with a simulated disk.
type member struct {
	world   *World
	process *kernel.Process
	disk    *memory.Disk
	// join tells that the member joins a running group.
	join bool
	// snapshotEvery is the number of entries between snapshots.
	snapshotEvery int
	machine       *state.Machine
	controller    *replica.Controller
	control       *control.Member
	// startError is why the member refused to start, or nil.
	startError error
}

func newMember(world *World, name model.NodeName, zone model.ZoneName) *member {
	random := world.run.Random("disk/" + string(name))
	created := &member{world: world, disk: memory.New(random.Uint64()), snapshotEvery: world.options.SnapshotEvery}
	created.process = world.host.Add(kernel.Endpoint{Name: name, Zone: zone}, memberInterval, created.build)
	created.process.After(func(time.Time) { created.observe() })
	return created
}

func (member *member) build(mailbox *protocol.Mailbox, incarnation model.Incarnation) kernel.Program {
	dispatcher := protocol.NewDispatcher(mailbox)
	member.machine = state.NewMachine()
	observed := &observedMachine{standard: member.world.parts.Machine(member.machine), member: member}
	files := member.world.parts.Disk(member.disk)
	seed := member.world.run.Random("member/"+string(member.process.Name)).Uint64() + uint64(incarnation)
	member.controller, member.startError = replica.NewController(replica.Options{
		Self:              member.process.Name,
		Members:           member.world.memberNames(),
		Join:              member.join,
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: memberHeartbeat,
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

// Status implements control.StatusReader.
func (member *member) Status() replica.Status {
	return member.controller.StatusAt(member.process.LocalNow())
}

// observe tells the checkers what the member says of itself.
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
		member.world.check.replicas.Leader(status.Term, string(member.process.Name), member.world.run.Elapsed())
	}
}

// observedMachine tells the checkers what a member applies.
type observedMachine struct {
	standard replica.StateMachine
	member   *member
}

// Apply implements replica.StateMachine.
func (machine *observedMachine) Apply(index model.Revision, at time.Time, command []byte) []byte {
	result := machine.standard.Apply(index, at, command)
	world := machine.member.world
	process := machine.member.process
	life := checker.MemberIncarnation{Member: string(process.Name), Incarnation: uint64(process.Incarnation())}
	world.check.replicas.Applied(life, uint64(index), string(command), world.run.Elapsed())
	world.check.observeApplied(machine.member, uint64(index))
	return result
}

// Snapshot implements replica.StateMachine.
func (machine *observedMachine) Snapshot() ([]byte, error) { return machine.standard.Snapshot() }

// Restore implements replica.StateMachine.
func (machine *observedMachine) Restore(snapshot []byte) error {
	return machine.standard.Restore(snapshot)
}

// Digest implements replica.StateMachine.
func (machine *observedMachine) Digest() uint64 { return machine.standard.Digest() }

package kernel

import (
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// handlingDelay is the time from a message's arrival to the controllers' run.
const handlingDelay = 50 * time.Microsecond

// Clock is a process's own clock: it is off by Offset and runs fast or slow.
type Clock struct {
	Offset time.Duration
	// Drift is the gain in seconds for each second of virtual time.
	Drift float64
}

// Read returns what the clock shows at a virtual time.
func (clock Clock) Read(now time.Time) time.Time {
	elapsed := now.Sub(Epoch)
	return now.Add(clock.Offset + time.Duration(float64(elapsed)*clock.Drift))
}

// Program is one life of a process: its mailbox and controllers in the order
// in which they run.
type Program struct {
	Mailbox     *protocol.Mailbox
	Controllers []board.Controller
	// Stop runs when the life ends as planned or not; it may be nil.
	Stop func()
}

// Build makes the program of a new life.
type Build func(mailbox *protocol.Mailbox, incarnation model.Incarnation) Program

// Process hosts one program after another, with faults.
type Process struct {
	Endpoint
	Interval time.Duration

	host         *Host
	build        Build
	clock        Clock
	nextClock    Clock
	program      Program
	incarnation  model.Incarnation
	running      bool
	frozen       bool
	runDelay     time.Duration
	runScheduled bool
	unsent       []protocol.Envelope
	afterRun     func(now time.Time)
}

// Host owns the processes of a run and moves messages between them.
type Host struct {
	Scheduler *Scheduler
	Network   *Network
	Trace     *Trace
	processes map[model.NodeName]*Process
	order     []*Process
	filter    MessageFilter
	delay     MessageDelay
}

// MessageDelay returns how long a message is held back before it enters the
// network.
type MessageDelay func(envelope protocol.Envelope) time.Duration

// MessageFilter sees each message before it enters the network and returns
// the messages to send in its place.
type MessageFilter func(envelope protocol.Envelope) []protocol.Envelope

// NewHost returns a host without processes.
func NewHost(scheduler *Scheduler, network *Network, trace *Trace) *Host {
	return &Host{
		Scheduler: scheduler,
		Network:   network,
		Trace:     trace,
		processes: make(map[model.NodeName]*Process),
	}
}

// SetFilter installs a filter for all messages.
func (host *Host) SetFilter(filter MessageFilter) { host.filter = filter }

// SetDelay installs a delay for all messages.
func (host *Host) SetDelay(delay MessageDelay) { host.delay = delay }

// Add registers a stopped process.
func (host *Host) Add(endpoint Endpoint, interval time.Duration, build Build) *Process {
	process := &Process{Endpoint: endpoint, Interval: interval, host: host, build: build}
	host.processes[endpoint.Name] = process
	host.order = append(host.order, process)
	return process
}

// Process returns the process called name, or nil.
func (host *Host) Process(name model.NodeName) *Process { return host.processes[name] }

// Processes returns all processes in the order in which they were added.
func (host *Host) Processes() []*Process { return host.order }

// SetClock gives the process another clock from its next start on. The clock
// of a running process never jumps: programs measure times by the monotonic
// clock of their machine, which only runs fast or slow.
func (process *Process) SetClock(clock Clock) { process.nextClock = clock }

// Clock returns the process's clock.
func (process *Process) Clock() Clock { return process.clock }

// LocalNow returns what the process's clock shows.
func (process *Process) LocalNow() time.Time { return process.clock.Read(process.host.Scheduler.Now()) }

// After calls observe after each run of the controllers.
func (process *Process) AfterRun(observe func(now time.Time)) { process.afterRun = observe }

// Running tells whether the process is alive, frozen or not.
func (process *Process) Running() bool { return process.running }

// Active tells whether the process is alive and not frozen.
func (process *Process) Active() bool { return process.running && !process.frozen }

// Frozen tells whether the process is frozen.
func (process *Process) Frozen() bool { return process.frozen }

// Incarnation returns the number of the present life, from one.
func (process *Process) Incarnation() model.Incarnation { return process.incarnation }

// Start begins a new life.
func (process *Process) Start() {
	if process.running {
		return
	}
	process.incarnation++
	process.running = true
	process.frozen = false
	process.runScheduled = false
	process.unsent = nil
	process.clock = process.nextClock
	process.trace("start", process.clock.Offset.String())
	process.program = process.build(protocol.NewMailbox(process.Name), process.incarnation)
	process.tick(process.incarnation)
}

// Kill ends the life at once; messages not yet sent are lost.
func (process *Process) Kill() {
	if !process.running {
		return
	}
	process.trace("kill", "")
	process.running = false
	process.frozen = false
	process.unsent = nil
	if process.program.Stop != nil {
		process.program.Stop()
	}
}

// Freeze stops the process without ending it. Messages that it had not yet
// sent leave when it thaws, however old they are by then.
func (process *Process) Freeze() {
	if process.Active() {
		process.frozen = true
		process.trace("freeze", "")
	}
}

// Thaw lets a frozen process go on.
func (process *Process) Thaw() {
	if process.running && process.frozen {
		process.frozen = false
		process.trace("thaw", "")
		process.flush()
		process.Wake()
	}
}

// SetSlowness adds a delay before each run of the controllers.
func (process *Process) SetRunDelay(delay time.Duration) { process.runDelay = delay }

func (process *Process) tick(life model.Incarnation) {
	if !process.running || process.incarnation != life {
		return
	}
	process.Wake()
	process.host.Scheduler.After(process.Interval, func() { process.tick(life) })
}

// Wake schedules a run of the controllers soon.
func (process *Process) Wake() {
	if process.runScheduled || !process.running {
		return
	}
	process.runScheduled = true
	life := process.incarnation
	process.host.Scheduler.After(handlingDelay+process.runDelay, func() {
		if process.running && process.incarnation == life {
			process.runScheduled = false
			process.run()
		}
	})
}

func (process *Process) run() {
	if process.frozen {
		return
	}
	now := process.LocalNow()
	for _, controller := range process.program.Controllers {
		controller.Reconcile(now)
		if !process.running {
			return
		}
	}
	process.collectOutbox()
	if process.afterRun != nil {
		process.afterRun(process.host.Scheduler.Now())
	}
}

// collect takes the outbox. The messages leave a little later, so that a
// freeze or a kill can fall between the decision and its sending.
func (process *Process) collectOutbox() {
	envelopes := process.program.Mailbox.Outbox.Drain()
	if len(envelopes) == 0 {
		return
	}
	process.unsent = append(process.unsent, envelopes...)
	life := process.incarnation
	process.host.Scheduler.After(handlingDelay, func() {
		if process.Active() && process.incarnation == life {
			process.flush()
		}
	})
}

func (process *Process) flush() {
	envelopes := process.unsent
	process.unsent = nil
	for _, envelope := range envelopes {
		process.host.send(process, envelope)
	}
}

func (process *Process) trace(kind, detail string) {
	process.host.Trace.Add(string(process.Name), kind, detail)
}

func (host *Host) send(sender *Process, envelope protocol.Envelope) {
	envelope.From = sender.Name
	envelopes := []protocol.Envelope{envelope}
	if host.filter != nil {
		envelopes = host.filter(envelope)
	}
	for _, one := range envelopes {
		receiver := host.processes[one.To]
		if receiver == nil {
			continue
		}
		host.transmit(sender, receiver, one)
	}
}

func (host *Host) transmit(sender, receiver *Process, envelope protocol.Envelope) {
	enter := func() {
		host.Network.Send(sender.Endpoint, receiver.Endpoint, func() { receiver.receive(envelope) })
	}
	if host.delay != nil {
		if delay := host.delay(envelope); delay > 0 {
			host.Scheduler.After(delay, enter)
			return
		}
	}
	enter()
}

// receive puts a message into the inbox. A frozen process still collects
// messages, as its operating system would.
func (process *Process) receive(envelope protocol.Envelope) {
	if !process.running {
		return
	}
	process.host.Trace.Mix(
		xxhash.Sum64String(string(envelope.From)),
		xxhash.Sum64String(string(envelope.To)),
		xxhash.Sum64String(reflect.TypeOf(envelope.Message).String()),
	)
	process.program.Mailbox.Inbox.Put(envelope)
	if !process.frozen {
		process.Wake()
	}
}

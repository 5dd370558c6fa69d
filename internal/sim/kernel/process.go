package kernel

import (
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// handlingDelay is the time from the arrival of a message to the run of the controllers, and from
// that run to the sending of its messages.
const handlingDelay = 50 * time.Microsecond

// Clock is the local clock of a process. It differs from virtual time by Offset and Drift.
type Clock struct {
	Offset time.Duration
	// Drift is the gain in seconds per second of virtual time; it is negative for a slow clock.
	Drift float64
}

// Read returns the clock's time at virtual time now.
func (clock Clock) Read(now time.Time) time.Time {
	elapsed := now.Sub(Epoch)
	return now.Add(clock.Offset + time.Duration(float64(elapsed)*clock.Drift))
}

// Program is what one incarnation of a process runs: its mailbox and its controllers, in the order
// in which they run.
type Program struct {
	Mailbox     *protocol.Mailbox
	Controllers []board.Controller
	// Stop is called when the process is killed. It may be nil.
	Stop func()
}

// Build returns the program of a new incarnation.
type Build func(mailbox *protocol.Mailbox, incarnation model.Incarnation) Program

// Process runs one program per incarnation and can be killed, frozen and slowed down.
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

// Host owns the processes of a run and passes messages between them.
type Host struct {
	Scheduler *Scheduler
	Network   *Network
	Trace     *Trace
	processes map[model.NodeName]*Process
	order     []*Process
	filter    MessageFilter
	delay     MessageDelay
}

// MessageDelay returns the extra delay of a message before it enters the network.
type MessageDelay func(envelope protocol.Envelope) time.Duration

// MessageFilter is called with each message before it enters the network and returns the messages
// to send in its place.
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

// SetFilter sets the filter for all messages.
func (host *Host) SetFilter(filter MessageFilter) { host.filter = filter }

// SetDelay sets the delay for all messages.
func (host *Host) SetDelay(delay MessageDelay) { host.delay = delay }

// Add adds a stopped process, which runs its controllers at each interval and after each message.
func (host *Host) Add(endpoint Endpoint, interval time.Duration, build Build) *Process {
	process := &Process{Endpoint: endpoint, Interval: interval, host: host, build: build}
	host.processes[endpoint.Name] = process
	host.order = append(host.order, process)
	return process
}

// Process returns the process with this name, or nil.
func (host *Host) Process(name model.NodeName) *Process { return host.processes[name] }

// Processes returns all processes in the order in which they were added.
func (host *Host) Processes() []*Process { return host.order }

// SetClock sets the clock that the process uses from its next start. The clock of a running process
// never jumps: programs measure time by the monotonic clock of their machine, which may drift but
// does not jump.
func (process *Process) SetClock(clock Clock) { process.nextClock = clock }

// Clock returns the process's clock.
func (process *Process) Clock() Clock { return process.clock }

// LocalNow returns the present time of the process's clock.
func (process *Process) LocalNow() time.Time { return process.clock.Read(process.host.Scheduler.Now()) }

// AfterRun sets the function that is called with the virtual time after each run of the
// controllers.
func (process *Process) AfterRun(observe func(now time.Time)) { process.afterRun = observe }

// Running reports whether the process is started and not killed; it may be frozen.
func (process *Process) Running() bool { return process.running }

// Active reports whether the process is running and not frozen.
func (process *Process) Active() bool { return process.running && !process.frozen }

// Frozen reports whether the process is frozen.
func (process *Process) Frozen() bool { return process.frozen }

// Incarnation returns the number of starts so far; the first incarnation is 1.
func (process *Process) Incarnation() model.Incarnation { return process.incarnation }

// Start begins a new incarnation. It does nothing while the process runs.
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

// Kill ends the incarnation at once. Messages that were not yet sent are lost.
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

// Freeze suspends the process without ending it. Messages that it had not yet sent are sent when it
// thaws, however old they are by then.
func (process *Process) Freeze() {
	if process.Active() {
		process.frozen = true
		process.trace("freeze", "")
	}
}

// Thaw resumes a frozen process.
func (process *Process) Thaw() {
	if process.running && process.frozen {
		process.frozen = false
		process.trace("thaw", "")
		process.flush()
		process.Wake()
	}
}

// SetRunDelay sets an extra delay before each later run of the controllers, which simulates a slow
// process.
func (process *Process) SetRunDelay(delay time.Duration) { process.runDelay = delay }

// tick wakes the process at each interval until its incarnation ends.
func (process *Process) tick(incarnation model.Incarnation) {
	if !process.running || process.incarnation != incarnation {
		return
	}
	process.Wake()
	process.host.Scheduler.After(process.Interval, func() { process.tick(incarnation) })
}

// Wake schedules a run of the controllers unless one is already scheduled.
func (process *Process) Wake() {
	if process.runScheduled || !process.running {
		return
	}
	process.runScheduled = true
	incarnation := process.incarnation
	process.host.Scheduler.After(handlingDelay+process.runDelay, func() {
		if process.running && process.incarnation == incarnation {
			process.runScheduled = false
			process.run()
		}
	})
}

// run runs the controllers and collects their messages. It does nothing while the process is
// frozen; Thaw schedules another run.
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

// collectOutbox drains the outbox. The messages are sent after handlingDelay, so that a freeze or a
// kill can occur between a decision and its sending.
func (process *Process) collectOutbox() {
	envelopes := process.program.Mailbox.Outbox.Drain()
	if len(envelopes) == 0 {
		return
	}
	process.unsent = append(process.unsent, envelopes...)
	incarnation := process.incarnation
	process.host.Scheduler.After(handlingDelay, func() {
		if process.Active() && process.incarnation == incarnation {
			process.flush()
		}
	})
}

// flush sends the collected messages.
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

// send passes a message through the filter and transmits the resulting messages. Messages to
// unknown processes are dropped.
func (host *Host) send(sender *Process, envelope protocol.Envelope) {
	envelope.From = sender.Name
	envelopes := []protocol.Envelope{envelope}
	if host.filter != nil {
		envelopes = host.filter(envelope)
	}
	for _, outgoing := range envelopes {
		receiver := host.processes[outgoing.To]
		if receiver == nil {
			continue
		}
		host.transmit(sender, receiver, outgoing)
	}
}

// transmit sends a message over the network, after the delay set for it.
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

// receive puts a message into the inbox. A frozen process still queues messages, as its operating
// system would.
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

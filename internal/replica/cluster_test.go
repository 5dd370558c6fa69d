package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"merlinpaddle/internal/filesystem/memory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// The test clusters run on a virtual clock that advances in steps of clockStep.
const (
	clockStep             = 5 * time.Millisecond
	testElectionTimeout   = 200 * time.Millisecond
	testHeartbeatInterval = 30 * time.Millisecond
)

// commandRecorder is a state machine that records every command it applied.
type commandRecorder struct {
	indexes  []uint64
	commands []string
	times    []int64
}

func (recorder *commandRecorder) Apply(index model.Revision, at time.Time, command []byte) []byte {
	recorder.indexes = append(recorder.indexes, uint64(index))
	recorder.commands = append(recorder.commands, string(command))
	recorder.times = append(recorder.times, at.UnixNano())
	return binary.AppendUvarint(nil, uint64(len(recorder.commands)))
}

func (recorder *commandRecorder) Snapshot() ([]byte, error) {
	data := binary.AppendUvarint(nil, uint64(len(recorder.commands)))
	for position, command := range recorder.commands {
		data = binary.AppendUvarint(data, recorder.indexes[position])
		data = binary.AppendVarint(data, recorder.times[position])
		data = binary.AppendUvarint(data, uint64(len(command)))
		data = append(data, command...)
	}
	return data, nil
}

func (recorder *commandRecorder) Restore(data []byte) error {
	recorder.indexes, recorder.commands, recorder.times = nil, nil, nil
	count, length := binary.Uvarint(data)
	data = data[length:]
	for range count {
		index, length := binary.Uvarint(data)
		data = data[length:]
		at, length := binary.Varint(data)
		data = data[length:]
		size, length := binary.Uvarint(data)
		data = data[length:]
		recorder.indexes = append(recorder.indexes, index)
		recorder.times = append(recorder.times, at)
		recorder.commands = append(recorder.commands, string(data[:size]))
		data = data[size:]
	}
	return nil
}

func (recorder *commandRecorder) Digest() uint64 {
	digest := uint64(14695981039346656037)
	for position, command := range recorder.commands {
		for _, value := range fmt.Appendf(nil, "%d %s;", recorder.indexes[position], command) {
			digest = (digest ^ uint64(value)) * 1099511628211
		}
	}
	return digest
}

// member is one process of a test cluster; controller is nil while it is down.
type member struct {
	name       model.NodeName
	disk       *memory.Disk
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	controller *Controller
	machine    *commandRecorder
	// pausedUntil is the time until which the process is paused.
	pausedUntil time.Time
	// skew is added to the member's clock.
	skew time.Duration
	// joinsRunningGroup is the value of Options.Join.
	joinsRunningGroup bool
	// startErr is the error of the latest start, or nil.
	startErr error
}

// delivery is an envelope in transit. order breaks ties between equal times.
type delivery struct {
	at       time.Time
	order    int
	envelope protocol.Envelope
}

// network describes the faults of the simulated network: the probabilities of
// loss and duplication, the maximum delay, and the blocked pairs of sender and
// receiver.
type network struct {
	drop, duplicate float64
	maxDelay        time.Duration
	blocked         map[[2]model.NodeName]bool
}

// cluster runs members on a shared virtual clock and a simulated network.
type cluster struct {
	test          testing.TB
	random        *rand.Rand
	now           time.Time
	names         []model.NodeName
	members       map[model.NodeName]*member
	network       network
	inFlight      []delivery
	sentCount     int
	startCount    uint64
	adjustOptions func(*Options)
}

func newCluster(test testing.TB, seed uint64, names ...model.NodeName) *cluster {
	cluster := &cluster{
		test:    test,
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		names:   names,
		members: make(map[model.NodeName]*member),
		network: network{maxDelay: 2 * clockStep, blocked: make(map[[2]model.NodeName]bool)},
	}
	for position, name := range names {
		cluster.members[name] = &member{name: name, disk: memory.New(seed*31 + uint64(position))}
	}
	return cluster
}

func (cluster *cluster) startAll() {
	for _, name := range cluster.names {
		cluster.start(name)
	}
}

func (cluster *cluster) start(name model.NodeName) {
	process := cluster.members[name]
	cluster.startCount++
	options := Options{
		Self:              name,
		Members:           slices.Clone(cluster.names),
		Join:              process.joinsRunningGroup,
		ElectionTimeout:   testElectionTimeout,
		HeartbeatInterval: testHeartbeatInterval,
		SnapshotEvery:     50,
		SegmentBytes:      4 << 10,
		ChunkBytes:        256,
		Seed:              cluster.random.Uint64() + cluster.startCount,
	}
	if cluster.adjustOptions != nil {
		cluster.adjustOptions(&options)
	}
	process.mailbox = protocol.NewMailbox(name)
	process.dispatcher = protocol.NewDispatcher(process.mailbox)
	process.machine = &commandRecorder{}
	process.controller, process.startErr = NewController(options, process.disk, process.mailbox, process.dispatcher, process.machine)
	if process.startErr != nil {
		process.controller = nil
	}
}

// stop ends a process without loss of its writes, as SIGKILL does.
func (cluster *cluster) stop(name model.NodeName) {
	process := cluster.members[name]
	if process.controller != nil {
		process.controller.Stop()
	}
	process.controller = nil
}

// crash stops a process and loses its unsynced writes, as a crash of the machine
// does.
func (cluster *cluster) crash(name model.NodeName) {
	cluster.stop(name)
	cluster.members[name].disk.Crash()
}

// step advances the clock by clockStep, delivers due messages and runs every
// process once.
func (cluster *cluster) step() {
	cluster.now = cluster.now.Add(clockStep)
	cluster.deliver()
	for _, name := range cluster.names {
		process := cluster.members[name]
		if process.controller == nil || cluster.now.Before(process.pausedUntil) {
			continue
		}
		process.dispatcher.Reconcile(cluster.now.Add(process.skew))
		process.controller.Reconcile(cluster.now.Add(process.skew))
		cluster.collect(process)
	}
}

// collect puts the messages that a process sent onto the network.
func (cluster *cluster) collect(process *member) {
	for _, envelope := range process.mailbox.Outbox.Drain() {
		copies := 1
		if cluster.random.Float64() < cluster.network.drop {
			copies = 0
		} else if cluster.random.Float64() < cluster.network.duplicate {
			copies = 2
		}
		for range copies {
			delay := time.Duration(cluster.random.Int64N(int64(cluster.network.maxDelay) + 1))
			cluster.sentCount++
			cluster.inFlight = append(cluster.inFlight, delivery{at: cluster.now.Add(delay), order: cluster.sentCount, envelope: envelope})
		}
	}
}

// deliver passes due messages to running processes and drops those to stopped
// ones and on blocked links.
func (cluster *cluster) deliver() {
	slices.SortFunc(cluster.inFlight, func(left, right delivery) int {
		if order := left.at.Compare(right.at); order != 0 {
			return order
		}
		return left.order - right.order
	})
	var later []delivery
	for _, message := range cluster.inFlight {
		if message.at.After(cluster.now) {
			later = append(later, message)
			continue
		}
		from, to := message.envelope.From, message.envelope.To
		process := cluster.members[to]
		if cluster.network.blocked[[2]model.NodeName{from, to}] || process == nil || process.controller == nil {
			continue
		}
		process.mailbox.Inbox.Put(message.envelope)
	}
	cluster.inFlight = later
}

// isolate partitions a member from all others, in both directions.
func (cluster *cluster) isolate(name model.NodeName) {
	for _, other := range cluster.names {
		if other != name {
			cluster.network.blocked[[2]model.NodeName{name, other}] = true
			cluster.network.blocked[[2]model.NodeName{other, name}] = true
		}
	}
}

// heal ends all partitions.
func (cluster *cluster) heal() { clear(cluster.network.blocked) }

func (cluster *cluster) run(duration time.Duration) {
	for end := cluster.now.Add(duration); cluster.now.Before(end); {
		cluster.step()
	}
}

// runUntil steps until condition holds, and fails the test after limit.
func (cluster *cluster) runUntil(limit time.Duration, goal string, condition func() bool) {
	cluster.test.Helper()
	for end := cluster.now.Add(limit); cluster.now.Before(end); {
		if condition() {
			return
		}
		cluster.step()
	}
	if !condition() {
		cluster.test.Fatalf("not within %v of virtual time: %s\n%s", limit, goal, cluster.describe())
	}
}

func (cluster *cluster) describe() string {
	text := ""
	for _, name := range cluster.names {
		process := cluster.members[name]
		if process.controller == nil {
			text += fmt.Sprintf("%s down (%v)\n", name, process.startErr)
			continue
		}
		status := process.controller.StatusAt(cluster.now.Add(process.skew))
		text += fmt.Sprintf("%s %+v refused=%v err=%v\n", name, status, process.controller.Refused(), process.controller.Err())
	}
	return text
}

// leader returns the running member that leads with a confirmed quorum, or nil.
func (cluster *cluster) leader() *member {
	for _, name := range cluster.names {
		process := cluster.members[name]
		if process.controller == nil || cluster.now.Before(process.pausedUntil) {
			continue
		}
		if process.controller.StatusAt(cluster.now.Add(process.skew)).Leading {
			return process
		}
	}
	return nil
}

func (cluster *cluster) awaitLeader() *member {
	cluster.test.Helper()
	cluster.runUntil(10*time.Second, "a leader", func() bool { return cluster.leader() != nil })
	return cluster.leader()
}

// propose commits a command at the current leader, with up to 20 attempts, and
// returns its result.
func (cluster *cluster) propose(command string) []byte {
	cluster.test.Helper()
	var fault error
	for range 20 {
		leader := cluster.awaitLeader()
		answered := false
		var result []byte
		leader.controller.Submit([]byte(command), func(answer []byte, err error) {
			answered, result, fault = true, answer, err
		})
		cluster.runUntil(10*time.Second, "an answer to "+command, func() bool { return answered })
		if fault == nil {
			return result
		}
		cluster.run(testHeartbeatInterval) // a leadership transfer refuses proposals for an election timeout
	}
	cluster.test.Fatalf("%s was not committed in 20 attempts: %v", command, fault)
	return nil
}

// converged reports whether all running members have the same state.
func (cluster *cluster) converged() bool {
	var digests []uint64
	for _, name := range cluster.names {
		if process := cluster.members[name]; process.controller != nil {
			digests = append(digests, process.machine.Digest())
		}
	}
	for _, digest := range digests {
		if digest != digests[0] {
			return false
		}
	}
	return true
}

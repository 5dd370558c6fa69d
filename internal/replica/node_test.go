package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/filesystem/memory"
	"merlinpaddle/internal/protocol"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lockedRecorder lets tests read the state while a node applies commands.
type lockedRecorder struct {
	commandRecorder
	lock sync.Mutex
}

func (locked *lockedRecorder) count() int {
	locked.lock.Lock()
	defer locked.lock.Unlock()
	return len(locked.commands)
}

// nodeGroup runs nodes in goroutines, connected by an in-memory network.
type nodeGroup struct {
	nodes    map[nodeName]*Node
	machines map[nodeName]*lockedRecorder
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

func startNodes(t testing.TB, options Options, files func(nodeName) filesystem.FileSystem, names ...nodeName) *nodeGroup {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	group := &nodeGroup{nodes: make(map[nodeName]*Node), machines: make(map[nodeName]*lockedRecorder), cancel: cancel}
	mailboxes := make(map[nodeName]*protocol.Mailbox)
	for _, name := range names {
		mailboxes[name] = protocol.NewMailbox(name)
	}
	for position, name := range names {
		options.Self = name
		options.Members = names
		options.Seed = uint64(position)
		dispatcher := protocol.NewDispatcher(mailboxes[name])
		machine := &lockedRecorder{}
		controller, err := NewController(options, files(name), mailboxes[name], dispatcher, lockedMachine{machine})
		require.NoError(t, err)
		node := NewNode(controller)
		group.nodes[name] = node
		group.machines[name] = machine
		group.goRun(func() { _ = node.Run(ctx) })
		group.goRun(func() { deliverMessages(ctx, mailboxes[name], dispatcher, mailboxes) })
	}
	return group
}

func (group *nodeGroup) goRun(run func()) {
	group.running.Add(1)
	go func() {
		defer group.running.Done()
		run()
	}()
}

func (group *nodeGroup) stop() {
	group.cancel()
	group.running.Wait()
}

// deliverMessages runs one node's dispatcher and delivers the messages it sends.
func deliverMessages(ctx context.Context, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, mailboxes map[nodeName]*protocol.Mailbox) {
	incoming, outgoing := mailbox.Inbox.Watch(), mailbox.Outbox.Watch()
	for {
		select {
		case <-ctx.Done():
			return
		case <-incoming:
			dispatcher.Reconcile(time.Time{})
		case <-outgoing:
			for _, envelope := range mailbox.Outbox.Drain() {
				mailboxes[envelope.To].Inbox.Put(envelope)
			}
		}
	}
}

// lockedMachine is the state machine that applies commands to a lockedRecorder
// under its lock.
type lockedMachine struct{ locked *lockedRecorder }

func (machine lockedMachine) Apply(index revision, at time.Time, command []byte) []byte {
	machine.locked.lock.Lock()
	defer machine.locked.lock.Unlock()
	return machine.locked.Apply(index, at, command)
}

func (machine lockedMachine) Snapshot() ([]byte, error) { return machine.locked.Snapshot() }

func (machine lockedMachine) Restore(data []byte) error { return machine.locked.Restore(data) }

func (machine lockedMachine) Digest() uint64 { return machine.locked.Digest() }

func memoryFiles(name nodeName) filesystem.FileSystem { return memory.New(uint64(len(name))) }

var nodeOptions = Options{
	ElectionTimeout:   300 * time.Millisecond,
	HeartbeatInterval: 30 * time.Millisecond,
	SnapshotEvery:     100,
}

// awaitLeader waits for a leader and returns its name and node.
func (group *nodeGroup) awaitLeader(t testing.TB) (nodeName, *Node) {
	t.Helper()
	for {
		for name, node := range group.nodes {
			if node.Status().Leading {
				return name, node
			}
		}
		select {
		case <-t.Context().Done():
			require.Fail(t, "no leader")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestNodesServeConcurrentCallers proposes and reads from several goroutines.
func TestNodesServeConcurrentCallers(t *testing.T) {
	group := startNodes(t, nodeOptions, memoryFiles, "a", "b", "c")
	defer group.stop()
	name, leader := group.awaitLeader(t)
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for number := range 25 {
				_, err := leader.Propose(t.Context(), fmt.Appendf(nil, "%d-%d", caller, number))
				if err == nil {
					err = leader.ReadBarrier(t.Context())
				}
				if err != nil {
					t.Errorf("caller %d: %v", caller, err)
					return
				}
			}
		}()
	}
	callers.Wait()
	require.Equal(t, 200, group.machines[name].count())
}

// TestStoppedNodeRefusesCalls checks that calls to a stopped node return an error
// instead of waiting for the caller's context.
func TestStoppedNodeRefusesCalls(t *testing.T) {
	group := startNodes(t, nodeOptions, memoryFiles, "a", "b", "c")
	group.awaitLeader(t)
	group.stop()
	node := group.nodes["a"]
	_, err := node.Propose(t.Context(), []byte("late"))
	require.Equal(t, faults.MemberStopped, faults.CodeOf(err))
	require.Equal(t, faults.MemberStopped, faults.CodeOf(node.ReadBarrier(t.Context())))
	require.False(t, node.Status().Leading)
}

// TestOutcomeIsUnknownWhenTheContextEnds makes calls with a canceled context to a
// node that does not run and so never answers.
func TestOutcomeIsUnknownWhenTheContextEnds(t *testing.T) {
	controller, err := NewController(Options{Self: "a", Members: []nodeName{"a"}, ElectionTimeout: time.Second, HeartbeatInterval: time.Second},
		memory.New(1), protocol.NewMailbox("a"), protocol.NewDispatcher(protocol.NewMailbox("a")), &commandRecorder{})
	require.NoError(t, err)
	node := NewNode(controller)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errors.New("the caller canceled"))
	_, err = node.Propose(ctx, []byte("x"))
	require.Equal(t, faults.ProposalOutcomeUnknown, faults.CodeOf(err))
	require.Equal(t, faults.LeadershipUnconfirmed, faults.CodeOf(node.ReadBarrier(ctx)))
}

// TestRunReturnsTheStorageFailure checks that Run ends with the error of a failed
// disk.
func TestRunReturnsTheStorageFailure(t *testing.T) {
	disk := memory.New(1)
	mailbox := protocol.NewMailbox("a")
	controller, err := NewController(Options{Self: "a", Members: []nodeName{"a"}, ElectionTimeout: 20 * time.Millisecond, HeartbeatInterval: 5 * time.Millisecond},
		disk, mailbox, protocol.NewDispatcher(mailbox), &commandRecorder{})
	require.NoError(t, err)
	disk.FailSyncs(1)
	require.Equal(t, faults.StorageWriteFailed, faults.CodeOf(NewNode(controller).Run(t.Context())))
}

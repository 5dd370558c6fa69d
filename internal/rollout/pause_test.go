package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// pausedNode has a subscriber whose relay the test stands in for.
type pausedNode struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	store      *Store
	pause      *Pause
	subscriber *Subscriber
}

func newPausedNode() *pausedNode {
	mailbox := protocol.NewMailbox("agent-1")
	node := &pausedNode{mailbox: mailbox, dispatcher: protocol.NewDispatcher(mailbox), store: NewStore(), pause: NewPause()}
	node.subscriber = NewSubscriber(SubscriberOptions{
		Self: "agent-1", Role: model.RoleAgent, Incarnation: 1, Relays: []model.NodeName{"relay-1"},
		HeartbeatInterval: 500 * time.Millisecond, Pause: node.pause,
	}, mailbox, node.dispatcher, node.store, NewLease(), NewLoadView(), nil)
	return node
}

// run runs the subscriber and returns the heartbeats that it sent.
func (node *pausedNode) run(now time.Time) []protocol.Heartbeat {
	node.dispatcher.Reconcile(now)
	node.subscriber.Reconcile(now)
	var heartbeats []protocol.Heartbeat
	for _, envelope := range node.mailbox.Outbox.Drain() {
		if heartbeat, isHeartbeat := envelope.Message.(protocol.Heartbeat); isHeartbeat {
			heartbeats = append(heartbeats, heartbeat)
		}
	}
	return heartbeats
}

// answer sends the relay's acknowledgement of heartbeat, which says that the relay is current and
// that committed was the committed revision.
func (node *pausedNode) answer(heartbeat protocol.Heartbeat, committed model.Revision) {
	node.mailbox.Inbox.Put(protocol.Envelope{From: "relay-1", To: "agent-1", Message: protocol.HeartbeatAck{
		Sequence: heartbeat.Sequence, Committed: committed, LeaseFor: LeaseLength, CurrentFor: LeaseLength,
	}})
}

func TestPauseEndsOnceTheNodeIsUpToDateAgain(t *testing.T) {
	node := newPausedNode()
	now := time.Unix(1000, 0)
	before := node.run(now)
	require.Len(t, before, 1)
	require.True(t, node.pause.Over(now))
	require.True(t, node.pause.Over(now.Add(pauseLimit)))

	resumed := now.Add(10 * time.Second)
	require.False(t, node.pause.Over(resumed), "a packet may arrive before the subscriber runs")
	node.answer(before[0], 0)
	after := node.run(resumed)
	require.Len(t, after, 1)
	node.run(resumed.Add(50 * time.Millisecond))
	require.False(t, node.pause.Over(resumed.Add(50*time.Millisecond)), "the relay was asked before the pause")

	node.answer(after[0], 7)
	node.run(resumed.Add(100 * time.Millisecond))
	require.False(t, node.pause.Over(resumed.Add(100*time.Millisecond)), "revision 7 has not arrived yet")

	node.store.Advance(&model.Configuration{Revision: 7})
	node.run(resumed.Add(150 * time.Millisecond))
	require.True(t, node.pause.Over(resumed.Add(150*time.Millisecond)))
}

package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const interval = 100 * time.Millisecond

// node is one balancer's book with its exchange.
type node struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	book       *Book
	exchange   *Exchange
	neighbours []model.NodeName
	connected  map[model.NodeName]bool
}

// Connect implements Connector.
func (node *node) Connect(name model.NodeName) { node.connected[name] = true }

// Disconnect implements Connector.
func (node *node) Disconnect(name model.NodeName) { delete(node.connected, name) }

func newNode(name model.NodeName, interval time.Duration, neighbours ...model.NodeName) *node {
	made := &node{mailbox: protocol.NewMailbox(name), book: NewBook(), neighbours: neighbours, connected: make(map[model.NodeName]bool)}
	made.dispatcher = protocol.NewDispatcher(made.mailbox)
	made.exchange = NewExchange(Options{Interval: interval}, made.book, made.mailbox, made.dispatcher, made,
		func() []model.NodeName { return made.neighbours })
	return made
}

// run lets time pass at nodes that reach each other, but for those that are cut
// off.
func run(from time.Time, duration time.Duration, cut map[model.NodeName]bool, nodes ...*node) time.Time {
	now := from
	for ; now.Before(from.Add(duration)); now = now.Add(10 * time.Millisecond) {
		for _, node := range nodes {
			node.dispatcher.Reconcile(now)
			node.exchange.Reconcile(now)
			deliver(node, cut, nodes)
		}
	}
	return now
}

func deliver(from *node, cut map[model.NodeName]bool, nodes []*node) {
	for _, envelope := range from.mailbox.Outbox.Drain() {
		for _, node := range nodes {
			if node.mailbox.Self == envelope.To && !cut[envelope.To] && !cut[from.mailbox.Self] {
				node.mailbox.Inbox.Put(protocol.Envelope{From: from.mailbox.Self, To: envelope.To, Message: envelope.Message})
			}
		}
	}
}

func begin(node *node, token directory.Token, count int) {
	for range count {
		node.book.Began(requests.Target{Token: token})
	}
}

func end(node *node, token directory.Token, count int) {
	for range count {
		node.book.Ended(requests.Target{Token: token}, requests.Answered)
	}
}

func TestBalancersKnowTheOpenRequestsOfOthers(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(one, 7, 3)
	begin(other, 7, 1)
	begin(other, 8, 2)
	now := run(start, 2*interval, nil, one, other)
	require.Equal(t, 4, one.book.Open(7))
	require.Equal(t, 2, one.book.Open(8))
	require.Equal(t, 4, other.book.Open(7))
	require.Zero(t, one.book.Open(9))
	end(other, 8, 2)
	end(one, 7, 2)
	require.Equal(t, 2, one.book.Open(7), "own requests count at once")
	run(now, 2*interval, nil, one, other)
	require.Zero(t, one.book.Open(8))
	require.Equal(t, 2, other.book.Open(7))
}

func TestCountsOfSilentBalancersAreForgotten(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(other, 7, 5)
	now := run(start, 2*interval, nil, one, other)
	require.Equal(t, 5, one.book.Open(7))
	now = run(now, silentAfter+keepaliveInterval, map[model.NodeName]bool{"b": true}, one, other)
	require.Zero(t, one.book.Open(7), "the other one is cut off")
	run(now, 2*keepaliveInterval, nil, one, other)
	require.Equal(t, 5, one.book.Open(7), "unchanged counts are told again")
}

func TestCountsStayWhileTheyDoNotChange(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(other, 7, 5)
	run(start, 10*silentAfter, nil, one, other)
	require.Equal(t, 5, one.book.Open(7))
}

func TestIdleBalancersSayNothing(t *testing.T) {
	one := newNode("a", interval, "b")
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(interval) {
		one.exchange.Reconcile(now)
	}
	require.Empty(t, one.mailbox.Outbox.Drain())
}

func TestReportsAreBounded(t *testing.T) {
	for _, count := range []int{2, 16, 50} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var neighbours []model.NodeName
			for index := range count {
				neighbours = append(neighbours, model.NodeName(fmt.Sprintf("n%d", index)))
			}
			one := newNode("a", interval, neighbours...)
			for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
				begin(one, 7, 1)
				one.exchange.Reconcile(now)
			}
			sent := len(one.mailbox.Outbox.Drain())
			require.LessOrEqual(t, sent, min(count*int(time.Second/interval), int(time.Second/pauseEach))+count)
			require.NotZero(t, sent)
		})
	}
}

func TestNothingIsSharedWithoutAnInterval(t *testing.T) {
	one, other := newNode("a", 0, "b"), newNode("b", interval, "a")
	begin(one, 7, 3)
	begin(other, 7, 2)
	run(start, 4*interval, nil, one, other)
	require.Equal(t, 3, one.book.Open(7))
	require.Equal(t, 2, other.book.Open(7))
}

// TestOneOfTwoConnects: a connection carries both ways, so the one with the
// lower name makes it.
func TestOneOfTwoConnects(t *testing.T) {
	node := newNode("b", interval, "a", "c", "d")
	node.exchange.Reconcile(start)
	require.Equal(t, map[model.NodeName]bool{"c": true, "d": true}, node.connected)
	node.neighbours = []model.NodeName{"d", "e"}
	node.exchange.Reconcile(start.Add(time.Second))
	require.Equal(t, map[model.NodeName]bool{"d": true, "e": true}, node.connected)
}

func TestIdleTargetsLeaveNothingBehind(t *testing.T) {
	one := newNode("a", interval, "b")
	begin(one, 7, 1)
	begin(one, 8, 1)
	end(one, 8, 1)
	one.exchange.Reconcile(start)
	require.Len(t, one.book.shard(7).counts, 1)
	require.Empty(t, one.book.shard(8).counts)
}

func BenchmarkOpen(b *testing.B) {
	book := NewBook()
	book.Began(requests.Target{Token: 7})
	b.ReportAllocs()
	for b.Loop() {
		_ = book.Open(7)
	}
}

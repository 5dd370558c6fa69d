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
	// capacity is that of each service.
	capacity int
}

// Connect implements Connector.
func (node *node) Connect(name model.NodeName) { node.connected[name] = true }

// Disconnect implements Connector.
func (node *node) Disconnect(name model.NodeName) { delete(node.connected, name) }

func newNode(name model.NodeName, interval time.Duration, neighbours ...model.NodeName) *node {
	made := &node{mailbox: protocol.NewMailbox(name), book: NewBook(), neighbours: neighbours, connected: make(map[model.NodeName]bool)}
	made.dispatcher = protocol.NewDispatcher(made.mailbox)
	made.exchange = NewExchange(Options{
		Interval:   interval,
		Neighbours: func() []model.NodeName { return made.neighbours },
		Capacities: made,
	}, made.book, NewLinkOutlet(made.mailbox, made), made.dispatcher.Handle(Report{}))
	made.capacity = 1
	return made
}

// ServiceCapacity implements Capacities. Tokens from 100 on are those of a second
// service.
func (node *node) ServiceCapacity(token directory.Token) (string, int) {
	if token >= 100 {
		return "second", node.capacity
	}
	return "first", node.capacity
}

// PoolCapacity implements PoolCapacities: each service has a pool.
func (node *node) PoolCapacity(token directory.Token) (directory.Pool, int) {
	service, capacity := node.ServiceCapacity(token)
	return directory.Pool{Service: service}, capacity
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
		node.book.Began(requests.Target{Token: token}, start)
	}
}

func end(node *node, token directory.Token, count int) {
	for range count {
		node.book.Ended(requests.Target{Token: token}, requests.Answered, time.Millisecond)
	}
}

// openAt returns the open requests that a node knows of at a target.
func openAt(node *node, token directory.Token) int {
	open, _ := node.book.Load(token)
	return open
}

func TestBalancersKnowTheOpenRequestsOfOthers(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(one, 7, 3)
	begin(other, 7, 1)
	begin(other, 8, 2)
	now := run(start, 3*interval, nil, one, other)
	require.Equal(t, 4, openAt(one, 7))
	require.Equal(t, 2, openAt(one, 8))
	require.Equal(t, 4, openAt(other, 7))
	require.Zero(t, openAt(one, 9))
	own, others := one.book.Totals()
	require.Equal(t, 3, own)
	require.Equal(t, 3, others)
	end(other, 8, 2)
	end(one, 7, 2)
	require.Equal(t, 2, openAt(one, 7), "own requests count at once")
	run(now, 2*interval, nil, one, other)
	require.Zero(t, openAt(one, 8))
	require.Equal(t, 2, openAt(other, 7))
}

func TestCountsOfSilentBalancersAreForgotten(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(other, 7, 5)
	now := run(start, 2*interval, nil, one, other)
	require.Equal(t, 5, openAt(one, 7))
	now = run(now, silentAfter+keepaliveInterval, map[model.NodeName]bool{"b": true}, one, other)
	require.Zero(t, openAt(one, 7), "the other one is cut off")
	run(now, 2*keepaliveInterval, nil, one, other)
	require.Equal(t, 5, openAt(one, 7), "unchanged counts are told again")
}

func TestCountsStayWhileTheyDoNotChange(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(other, 7, 5)
	run(start, 10*silentAfter, nil, one, other)
	require.Equal(t, 5, openAt(one, 7))
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
	require.Equal(t, 3, openAt(one, 7))
	require.Equal(t, 2, openAt(other, 7))
}

// TestOneOfTwoConnects: a connection carries both ways, so the one with the
// lower name makes it.
func TestOneOfTwoConnects(t *testing.T) {
	node := newNode("b", interval)
	outlet := NewLinkOutlet(node.mailbox, node)
	outlet.Tell([]model.NodeName{"a", "c", "d"}, Report{})
	require.Equal(t, map[model.NodeName]bool{"c": true, "d": true}, node.connected)
	outlet.Tell([]model.NodeName{"d", "e"}, Report{})
	require.Equal(t, map[model.NodeName]bool{"d": true, "e": true}, node.connected)
}

func TestCountsThatNobodyCanMeanAreDropped(t *testing.T) {
	node := newNode("b", interval, "a")
	node.exchange.reports.Put(protocol.Envelope{From: "a", Message: Report{Entries: []Entry{
		{Token: 7, Open: 2}, {Token: 8, Open: -3}, {Token: 9, Open: maximumOpen + 1}, {Open: 1},
	}}})
	node.exchange.Reconcile(start)
	require.Equal(t, 2, openAt(node, 7))
	require.Zero(t, openAt(node, 8))
	require.Zero(t, openAt(node, 9))
	require.Zero(t, openAt(node, 0))
}

// TestCountsAreNotUsedWhereFlowsAreSprayed: a balancer that sees requests, and
// not the acknowledgements of their answers, neither uses nor tells its counts.
func TestCountsAreNotUsedWhereFlowsAreSprayed(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(one, 7, 50)
	run(start, 3*interval, nil, one, other)
	require.Equal(t, 50, openAt(other, 7))
	for range 10 {
		one.book.Ended(requests.Target{Token: 7}, requests.Unanswered, time.Second)
	}
	require.Zero(t, openAt(one, 7))
	now := run(start.Add(3*interval), 3*interval, nil, one, other)
	require.Zero(t, openAt(other, 7))
	end(one, 7, 20)
	require.Equal(t, 20, openAt(one, 7), "flows that are whole again count again")
	run(now, 3*interval, nil, one, other)
	require.Equal(t, 20, openAt(other, 7))
}

func TestCountsAreNotUsedBehindGaps(t *testing.T) {
	node := newNode("a", interval, "b")
	begin(node, 7, 5)
	for range 100 {
		node.book.Continued(true)
	}
	require.Equal(t, 5, openAt(node, 7))
	for range 10 {
		node.book.Continued(false)
	}
	require.Zero(t, openAt(node, 7))
	for range 100 {
		node.book.Continued(true)
	}
	require.Equal(t, 5, openAt(node, 7))
}

func TestServingTimeIsLearned(t *testing.T) {
	target := requests.Target{Token: 7, Service: "feed", Capacity: 2}
	answer := func(book *Book, open int, took time.Duration, ending requests.Ending) {
		for range open {
			book.Began(target, start)
		}
		for range open - 1 {
			book.Ended(target, requests.Withdrawn, 0)
		}
		book.Ended(target, ending, took)
	}
	cases := []struct {
		name   string
		open   int
		took   time.Duration
		ending requests.Ending
		want   time.Duration
	}{
		{"alone", 1, 40 * time.Millisecond, requests.Answered, 40 * time.Millisecond},
		{"as many as its capacity", 2, 40 * time.Millisecond, requests.Answered, 40 * time.Millisecond},
		{"some wait", 4, 80 * time.Millisecond, requests.Answered, 40 * time.Millisecond},
		{"full, where an answer may be a refusal", 10, 30 * time.Millisecond, requests.Answered, 0},
		{"unanswered", 1, time.Second, requests.Unanswered, 0},
		{"withdrawn", 1, time.Millisecond, requests.Withdrawn, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			book := NewBook()
			for answers := range leastAnswers {
				_, serving := book.Load(7)
				require.Zero(t, serving, "%d answers say too little", answers)
				answer(book, test.open, test.took, test.ending)
			}
			open, serving := book.Load(7)
			require.Zero(t, open)
			require.Equal(t, test.want, serving)
			require.InDelta(t, test.want, book.TypicalServiceTime("feed"), 1, "the only target is its service's typical one")
			require.Zero(t, book.TypicalServiceTime("ledger"))
		})
	}
	book := NewBook()
	answer(book, 1, 40*time.Millisecond, requests.Answered)
	for range 100 {
		answer(book, 1, 80*time.Millisecond, requests.Answered)
	}
	_, serving := book.Load(7)
	require.InDelta(t, 80*time.Millisecond, serving, float64(time.Millisecond), "it follows a target that turns slow")
	fresh := requests.Target{Token: 8, Service: "feed", Capacity: 2}
	book.Began(fresh, start)
	book.Ended(fresh, requests.Answered, time.Millisecond)
	_, serving = book.Load(8)
	require.Zero(t, serving, "one answer of a new target")
	require.Greater(t, book.TypicalServiceTime("feed"), 70*time.Millisecond, "its service is known well enough")
}

// TestTheEndOfARushTeachesNoLongServingTimes: ten requests came at once to a target that
// works on two, and each took as long as those before it; the last ones are answered while
// next to nothing is open any more. By what is left then, they would take 146 ms.
func TestTheEndOfARushTeachesNoLongServingTimes(t *testing.T) {
	target := requests.Target{Token: 7, Service: "feed", Capacity: 2}
	book := NewBook()
	const rush, each = 10, 40 * time.Millisecond
	for range leastAnswers {
		for range rush {
			book.Began(target, start)
		}
		for answered := range rush {
			book.Ended(target, requests.Answered, each*time.Duration(answered/2+1))
		}
	}
	require.InDelta(t, each, book.TypicalServiceTime("feed"), float64(10*time.Millisecond))
}

func TestIdleTargetsLeaveNothingBehind(t *testing.T) {
	one := newNode("a", interval, "b")
	begin(one, 7, 1)
	begin(one, 8, 1)
	end(one, 8, 1)
	one.exchange.Reconcile(start)
	require.Len(t, one.book.shard(8).counts, 1, "it was used a moment ago")
	one.exchange.Reconcile(start.Add(forgetInterval))
	require.Len(t, one.book.shard(7).counts, 1)
	require.Empty(t, one.book.shard(8).counts)
}

func BenchmarkLoad(b *testing.B) {
	book := NewBook()
	book.Began(requests.Target{Token: 7}, start)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = book.Load(7)
	}
}

// learner is an estimate of serving times.
type learner interface {
	time() time.Duration
}

// The first answers weigh alike: one that is out of the ordinary must not last.
func TestTheFirstAnswersWeighAlike(t *testing.T) {
	target, service := &average{}, &average{}
	for name, learned := range map[string]struct {
		estimate learner
		learn    func(alone time.Duration)
	}{
		"target":  {target, func(alone time.Duration) { target.learn(float64(alone), targetWeight) }},
		"service": {service, func(alone time.Duration) { service.learn(float64(alone), serviceWeight) }},
	} {
		t.Run(name, func(t *testing.T) {
			learned.learn(240 * time.Millisecond)
			for range leastAnswers - 1 {
				learned.learn(40 * time.Millisecond)
			}
			require.InDelta(t, 65*time.Millisecond, learned.estimate.time(), float64(time.Millisecond), "their mean")
			for range 30 {
				learned.learn(40 * time.Millisecond)
			}
			require.Less(t, learned.estimate.time(), 50*time.Millisecond)
		})
	}
}

// TestARushThatNobodyCountsDoesNotTeach: while the members are away, balancers do not know
// how crowded targets are, and answers that waited for others seem to be those of slow ones.
func TestARushThatNobodyCountsDoesNotTeach(t *testing.T) {
	site := newSite(1, 20, 10)
	target := requests.Target{Token: 8, Service: "first", Capacity: 2}
	answers := func(took time.Duration) {
		for range 4 * leastAnswers {
			site.balancers[0].book.Began(target, start)
			site.balancers[0].book.Ended(target, requests.Answered, took)
		}
	}
	answers(40 * time.Millisecond)
	for _, balancer := range site.balancers {
		begin(balancer, 7, 1)
	}
	site.run(settled)
	require.Equal(t, 20, openAt(site.balancers[0], 7))
	site.cut["m0"] = true
	site.run(silentAfter + 100*time.Millisecond)
	answers(200 * time.Millisecond)
	require.InDelta(t, 40*time.Millisecond, site.balancers[0].book.TypicalServiceTime("first"), 1)
}

// TestABalancerThatStartsUnderLoadHearsServingTimes: all that it sees itself are answers of
// crowded targets.
func TestABalancerThatStartsUnderLoadHearsServingTimes(t *testing.T) {
	site := newSite(3, 20, 10)
	target := requests.Target{Token: 7, Service: "first", Capacity: 2}
	for _, balancer := range site.balancers[1:] {
		for range leastAnswers {
			balancer.book.Began(target, start)
			balancer.book.Ended(target, requests.Answered, 40*time.Millisecond)
		}
		begin(balancer, 7, 1)
	}
	begin(site.balancers[0], 7, 1)
	require.Zero(t, site.balancers[0].book.TypicalServiceTime("first"))
	site.run(settled + 2*servingInterval)
	require.InDelta(t, 40*time.Millisecond, site.balancers[0].book.TypicalServiceTime("first"), 1)
	require.Zero(t, site.balancers[0].book.TypicalServiceTime("second"))
}

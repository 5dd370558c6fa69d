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

// node is a balancer's Counter with its Exchange.
type node struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	counter    *Counter
	exchange   *Exchange
	neighbours []model.NodeName
	connected  map[model.NodeName]bool
	// capacity is the capacity of each service.
	capacity int
}

// Connect implements Connector.
func (node *node) Connect(name model.NodeName) { node.connected[name] = true }

// Disconnect implements Connector.
func (node *node) Disconnect(name model.NodeName) { delete(node.connected, name) }

// newNode returns a balancer that exchanges reports with the given neighbours.
func newNode(name model.NodeName, interval time.Duration, neighbours ...model.NodeName) *node {
	result := &node{mailbox: protocol.NewMailbox(name), counter: NewCounter(), neighbours: neighbours, connected: make(map[model.NodeName]bool)}
	result.dispatcher = protocol.NewDispatcher(result.mailbox)
	result.exchange = NewExchange(ExchangeOptions{
		Interval:   interval,
		Neighbours: func() []model.NodeName { return result.neighbours },
		Capacities: result,
	}, result.counter, NewLinkSender(result.mailbox, result), result.dispatcher.Handle(Report{}))
	result.capacity = 1
	return result
}

// ServiceCapacity implements Capacities. Tokens below 100 belong to the service "first", all others
// to the service "second".
func (node *node) ServiceCapacity(token directory.Token) (string, int) {
	if token >= 100 {
		return "second", node.capacity
	}
	return "first", node.capacity
}

// PoolCapacity implements PoolCapacities. Each service has one pool.
func (node *node) PoolCapacity(token directory.Token) (directory.Pool, int) {
	service, capacity := node.ServiceCapacity(token)
	return directory.Pool{Service: service}, capacity
}

// run simulates the nodes for the duration, in steps of 10 ms, and returns the time at the end.
// Messages from and to isolated nodes are dropped.
func run(from time.Time, duration time.Duration, isolated map[model.NodeName]bool, nodes ...*node) time.Time {
	now := from
	for ; now.Before(from.Add(duration)); now = now.Add(10 * time.Millisecond) {
		for _, node := range nodes {
			node.dispatcher.Reconcile(now)
			node.exchange.Reconcile(now)
			deliver(node, isolated, nodes)
		}
	}
	return now
}

// deliver moves the messages of a node's outbox to the inboxes of their recipients.
func deliver(from *node, isolated map[model.NodeName]bool, nodes []*node) {
	for _, envelope := range from.mailbox.Outbox.Drain() {
		for _, node := range nodes {
			if node.mailbox.Self == envelope.To && !isolated[envelope.To] && !isolated[from.mailbox.Self] {
				node.mailbox.Inbox.Put(protocol.Envelope{From: from.mailbox.Self, To: envelope.To, Message: envelope.Message})
			}
		}
	}
}

// begin starts count requests at the target.
func begin(node *node, token directory.Token, count int) {
	for range count {
		node.counter.Began(requests.Target{Token: token}, start)
	}
}

// end ends count requests at the target with an answer.
func end(node *node, token directory.Token, count int) {
	for range count {
		node.counter.Ended(requests.Target{Token: token}, requests.Answered, time.Millisecond)
	}
}

// openAt returns the node's estimate of the open requests at a target.
func openAt(node *node, token directory.Token) int {
	open, _ := node.counter.Load(token)
	return open
}

func TestBalancersExchangeOpenRequestCounts(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(one, 7, 3)
	begin(other, 7, 1)
	begin(other, 8, 2)
	now := run(start, 3*interval, nil, one, other)
	require.Equal(t, 4, openAt(one, 7))
	require.Equal(t, 2, openAt(one, 8))
	require.Equal(t, 4, openAt(other, 7))
	require.Zero(t, openAt(one, 9))
	local, remote := one.counter.Totals()
	require.Equal(t, 3, local)
	require.Equal(t, 3, remote)
	end(other, 8, 2)
	end(one, 7, 2)
	require.Equal(t, 2, openAt(one, 7), "local requests are counted immediately")
	run(now, 2*interval, nil, one, other)
	require.Zero(t, openAt(one, 8))
	require.Equal(t, 2, openAt(other, 7))
}

func TestCountsOfUnresponsiveBalancersExpire(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(other, 7, 5)
	now := run(start, 2*interval, nil, one, other)
	require.Equal(t, 5, openAt(one, 7))
	now = run(now, minReportExpiry+keepaliveInterval, map[model.NodeName]bool{"b": true}, one, other)
	require.Zero(t, openAt(one, 7), "the other balancer is isolated")
	run(now, 2*keepaliveInterval, nil, one, other)
	require.Equal(t, 5, openAt(one, 7), "unchanged counts are sent again as a keepalive")
}

func TestUnchangedCountsAreKeptAlive(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(other, 7, 5)
	run(start, 10*minReportExpiry, nil, one, other)
	require.Equal(t, 5, openAt(one, 7))
}

func TestIdleBalancersSendNoReports(t *testing.T) {
	one := newNode("a", interval, "b")
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(interval) {
		one.exchange.Reconcile(now)
	}
	require.Empty(t, one.mailbox.Outbox.Drain())
}

func TestReportRateIsBounded(t *testing.T) {
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
			require.LessOrEqual(t, sent, min(count*int(time.Second/interval), int(time.Second/intervalPerPeer))+count)
			require.NotZero(t, sent)
		})
	}
}

func TestZeroIntervalDisablesExchange(t *testing.T) {
	one, other := newNode("a", 0, "b"), newNode("b", interval, "a")
	begin(one, 7, 3)
	begin(other, 7, 2)
	run(start, 4*interval, nil, one, other)
	require.Equal(t, 3, openAt(one, 7))
	require.Equal(t, 2, openAt(other, 7))
}

// TestNodeWithLowerNameConnects: a connection carries reports in both directions, so only the node
// with the lower name opens one.
func TestNodeWithLowerNameConnects(t *testing.T) {
	node := newNode("b", interval)
	sender := NewLinkSender(node.mailbox, node)
	sender.Send([]model.NodeName{"a", "c", "d"}, Report{})
	require.Equal(t, map[model.NodeName]bool{"c": true, "d": true}, node.connected)
	sender.Send([]model.NodeName{"d", "e"}, Report{})
	require.Equal(t, map[model.NodeName]bool{"d": true, "e": true}, node.connected)
}

func TestInvalidCountsAreDropped(t *testing.T) {
	node := newNode("b", interval, "a")
	node.exchange.reports.Put(protocol.Envelope{From: "a", Message: Report{Entries: []Entry{
		{Token: 7, Open: 2}, {Token: 8, Open: -3}, {Token: 9, Open: maxOpen + 1}, {Open: 1},
	}}})
	node.exchange.Reconcile(start)
	require.Equal(t, 2, openAt(node, 7))
	require.Zero(t, openAt(node, 8))
	require.Zero(t, openAt(node, 9))
	require.Zero(t, openAt(node, 0))
}

// TestCountsAreNotUsedWhereFlowsAreSprayed: a balancer that sees requests but not the
// acknowledgements of their answers neither uses nor reports its counts.
func TestCountsAreNotUsedWhereFlowsAreSprayed(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	begin(one, 7, 50)
	run(start, 3*interval, nil, one, other)
	require.Equal(t, 50, openAt(other, 7))
	for range 10 {
		one.counter.Ended(requests.Target{Token: 7}, requests.Unanswered, time.Second)
	}
	require.Zero(t, openAt(one, 7))
	now := run(start.Add(3*interval), 3*interval, nil, one, other)
	require.Zero(t, openAt(other, 7))
	end(one, 7, 20)
	require.Equal(t, 20, openAt(one, 7), "counts are used again once answers are seen")
	run(now, 3*interval, nil, one, other)
	require.Equal(t, 20, openAt(other, 7))
}

func TestCountsAreNotUsedBehindGaps(t *testing.T) {
	node := newNode("a", interval, "b")
	begin(node, 7, 5)
	for range 100 {
		node.counter.SequenceChecked(true)
	}
	require.Equal(t, 5, openAt(node, 7))
	for range 10 {
		node.counter.SequenceChecked(false)
	}
	require.Zero(t, openAt(node, 7))
	for range 100 {
		node.counter.SequenceChecked(true)
	}
	require.Equal(t, 5, openAt(node, 7))
}

func TestServiceTimeIsLearned(t *testing.T) {
	target := requests.Target{Token: 7, Service: "feed", Capacity: 2}
	answer := func(counter *Counter, open int, took time.Duration, ending requests.Ending) {
		for range open {
			counter.Began(target, start)
		}
		for range open - 1 {
			counter.Ended(target, requests.Withdrawn, 0)
		}
		counter.Ended(target, ending, took)
	}
	cases := []struct {
		name   string
		open   int
		took   time.Duration
		ending requests.Ending
		want   time.Duration
	}{
		{"one request", 1, 40 * time.Millisecond, requests.Answered, 40 * time.Millisecond},
		{"as many requests as slots", 2, 40 * time.Millisecond, requests.Answered, 40 * time.Millisecond},
		{"some requests wait", 4, 80 * time.Millisecond, requests.Answered, 40 * time.Millisecond},
		{"saturated, so the answer may be a refusal", 10, 30 * time.Millisecond, requests.Answered, 0},
		{"unanswered", 1, time.Second, requests.Unanswered, 0},
		{"withdrawn", 1, time.Millisecond, requests.Withdrawn, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			counter := NewCounter()
			for answers := range minAnswers {
				_, serviceTime := counter.Load(7)
				require.Zero(t, serviceTime, "%d answers are too few", answers)
				answer(counter, test.open, test.took, test.ending)
			}
			open, serviceTime := counter.Load(7)
			require.Zero(t, open)
			require.Equal(t, test.want, serviceTime)
			require.InDelta(t, test.want, counter.TypicalServiceTime("feed"), 1, "the service has a single target")
			require.Zero(t, counter.TypicalServiceTime("ledger"))
		})
	}
	counter := NewCounter()
	answer(counter, 1, 40*time.Millisecond, requests.Answered)
	for range 100 {
		answer(counter, 1, 80*time.Millisecond, requests.Answered)
	}
	_, serviceTime := counter.Load(7)
	require.InDelta(t, 80*time.Millisecond, serviceTime, float64(time.Millisecond), "the average follows a target that becomes slow")
	fresh := requests.Target{Token: 8, Service: "feed", Capacity: 2}
	counter.Began(fresh, start)
	counter.Ended(fresh, requests.Answered, time.Millisecond)
	_, serviceTime = counter.Load(8)
	require.Zero(t, serviceTime, "the new target has only one answer")
	require.Greater(t, counter.TypicalServiceTime("feed"), 70*time.Millisecond, "one answer hardly changes the service's average")
}

// TestEndOfALoadSpikeDoesNotRaiseServiceTime sends ten requests at once to a target that serves two
// at a time, so each waits for those before it, and the last ones are answered when hardly any
// request is open. Judged by the occupancy at their end, requests would seem to take 146 ms.
func TestEndOfALoadSpikeDoesNotRaiseServiceTime(t *testing.T) {
	target := requests.Target{Token: 7, Service: "feed", Capacity: 2}
	counter := NewCounter()
	const spike, each = 10, 40 * time.Millisecond
	for range minAnswers {
		for range spike {
			counter.Began(target, start)
		}
		for answered := range spike {
			counter.Ended(target, requests.Answered, each*time.Duration(answered/2+1))
		}
	}
	require.InDelta(t, each, counter.TypicalServiceTime("feed"), float64(10*time.Millisecond))
}

func TestCountsOfIdleTargetsAreRemoved(t *testing.T) {
	one := newNode("a", interval, "b")
	begin(one, 7, 1)
	begin(one, 8, 1)
	end(one, 8, 1)
	one.exchange.Reconcile(start)
	require.Len(t, one.counter.shard(8).counts, 1, "used since the previous sweep")
	one.exchange.Reconcile(start.Add(idleSweepInterval))
	require.Len(t, one.counter.shard(7).counts, 1)
	require.Empty(t, one.counter.shard(8).counts)
}

func BenchmarkLoad(b *testing.B) {
	counter := NewCounter()
	counter.Began(requests.Target{Token: 7}, start)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = counter.Load(7)
	}
}

// estimator is an estimate of service times.
type estimator interface {
	estimate() time.Duration
}

// TestFirstAnswersHaveEqualWeight checks that an early outlier does not persist in the average.
func TestFirstAnswersHaveEqualWeight(t *testing.T) {
	target, service := &average{}, &average{}
	for name, test := range map[string]struct {
		average estimator
		learn   func(idleTime time.Duration)
	}{
		"target":  {target, func(idleTime time.Duration) { target.add(float64(idleTime), targetWeight) }},
		"service": {service, func(idleTime time.Duration) { service.add(float64(idleTime), serviceWeight) }},
	} {
		t.Run(name, func(t *testing.T) {
			test.learn(240 * time.Millisecond)
			for range minAnswers - 1 {
				test.learn(40 * time.Millisecond)
			}
			require.InDelta(t, 65*time.Millisecond, test.average.estimate(), float64(time.Millisecond), "the mean of the first answers")
			for range 30 {
				test.learn(40 * time.Millisecond)
			}
			require.Less(t, test.average.estimate(), 50*time.Millisecond)
		})
	}
}

// TestServiceTimeIsNotLearnedWithoutRemoteCounts: while the members are unreachable, balancers do
// not know the occupancy of targets, and answers that waited for other requests would look like
// those of slow targets.
func TestServiceTimeIsNotLearnedWithoutRemoteCounts(t *testing.T) {
	cluster := newCluster(1, 20, 10)
	target := requests.Target{Token: 8, Service: "first", Capacity: 2}
	answers := func(took time.Duration) {
		for range 4 * minAnswers {
			cluster.balancers[0].counter.Began(target, start)
			cluster.balancers[0].counter.Ended(target, requests.Answered, took)
		}
	}
	answers(40 * time.Millisecond)
	for _, balancer := range cluster.balancers {
		begin(balancer, 7, 1)
	}
	cluster.run(settleTime)
	require.Equal(t, 20, openAt(cluster.balancers[0], 7))
	cluster.isolated["m0"] = true
	cluster.run(minReportExpiry + 100*time.Millisecond)
	answers(200 * time.Millisecond)
	require.InDelta(t, 40*time.Millisecond, cluster.balancers[0].counter.TypicalServiceTime("first"), 1)
}

// TestBalancerStartedUnderLoadReceivesServiceTimes: such a balancer only observes answers of
// saturated targets itself.
func TestBalancerStartedUnderLoadReceivesServiceTimes(t *testing.T) {
	cluster := newCluster(3, 20, 10)
	target := requests.Target{Token: 7, Service: "first", Capacity: 2}
	for _, balancer := range cluster.balancers[1:] {
		for range minAnswers {
			balancer.counter.Began(target, start)
			balancer.counter.Ended(target, requests.Answered, 40*time.Millisecond)
		}
		begin(balancer, 7, 1)
	}
	begin(cluster.balancers[0], 7, 1)
	require.Zero(t, cluster.balancers[0].counter.TypicalServiceTime("first"))
	cluster.run(settleTime + 2*serviceTimeInterval)
	require.InDelta(t, 40*time.Millisecond, cluster.balancers[0].counter.TypicalServiceTime("first"), 1)
	require.Zero(t, cluster.balancers[0].counter.TypicalServiceTime("second"))
}

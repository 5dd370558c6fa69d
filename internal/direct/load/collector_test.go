package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// cluster is a large system: balancers that report to members, and members that exchange sums
// with each other.
type cluster struct {
	members   map[model.NodeName]*memberNode
	balancers []*node
	// memberOf maps each balancer to the member that it reports to.
	memberOf map[model.NodeName]model.NodeName
	// sentMessages counts the messages that each node sent. Messages from and to isolated
	// nodes are dropped.
	sentMessages map[model.NodeName]int
	isolated     map[model.NodeName]bool
	now          time.Time
}

// memberNode is a member of the control group with its collector.
type memberNode struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	collector  *Collector
}

// newCluster returns a cluster in which each service has the given capacity. Balancers are spread
// evenly over the members.
func newCluster(members, balancers, capacity int) *cluster {
	result := &cluster{
		members: make(map[model.NodeName]*memberNode), memberOf: make(map[model.NodeName]model.NodeName),
		sentMessages: make(map[model.NodeName]int), isolated: make(map[model.NodeName]bool), now: start,
	}
	var names []model.NodeName
	for number := range members {
		names = append(names, model.NodeName(fmt.Sprintf("m%d", number)))
	}
	capacities := &node{capacity: capacity}
	for _, name := range names {
		member := &memberNode{mailbox: protocol.NewMailbox(name)}
		member.dispatcher = protocol.NewDispatcher(member.mailbox)
		member.collector = NewCollector(name, CollectorOptions{
			Interval: interval, Members: func() []model.NodeName { return names }, Capacities: capacities,
		}, MailboxSender{Mailbox: member.mailbox}, member.dispatcher.Handle(Report{}))
		result.members[name] = member
	}
	for number := range balancers {
		balancer := newNode(model.NodeName(fmt.Sprintf("b%02d", number)), interval)
		balancer.exchange.options.Collector = func() model.NodeName { return result.memberOf[balancer.mailbox.Self] }
		result.memberOf[balancer.mailbox.Self] = names[number%len(names)]
		result.balancers = append(result.balancers, balancer)
	}
	return result
}

// run simulates the cluster for the duration, in steps of 10 ms.
func (cluster *cluster) run(duration time.Duration) {
	for end := cluster.now.Add(duration); cluster.now.Before(end); cluster.now = cluster.now.Add(10 * time.Millisecond) {
		for _, member := range cluster.members {
			member.dispatcher.Reconcile(cluster.now)
			member.collector.Reconcile(cluster.now)
			cluster.deliver(member.mailbox)
		}
		for _, balancer := range cluster.balancers {
			balancer.dispatcher.Reconcile(cluster.now)
			balancer.exchange.Reconcile(cluster.now)
			cluster.deliver(balancer.mailbox)
		}
	}
}

// deliver moves the messages of an outbox to the inboxes of their recipients.
func (cluster *cluster) deliver(from *protocol.Mailbox) {
	for _, envelope := range from.Outbox.Drain() {
		cluster.sentMessages[from.Self]++
		if cluster.isolated[from.Self] || cluster.isolated[envelope.To] {
			continue
		}
		received := protocol.Envelope{From: from.Self, To: envelope.To, Message: envelope.Message}
		if member := cluster.members[envelope.To]; member != nil {
			member.mailbox.Inbox.Put(received)
		}
		for _, balancer := range cluster.balancers {
			if balancer.mailbox.Self == envelope.To {
				balancer.mailbox.Inbox.Put(received)
			}
		}
	}
}

const (
	// settleTime is long enough for a count to reach every balancer when sharing is not active.
	settleTime = 3 * idleReportInterval
	// sharedSettleTime is long enough once load sharing is active.
	sharedSettleTime = 5 * interval
)

func TestCollectorsSendEveryBalancerTheTotalCounts(t *testing.T) {
	cluster := newCluster(3, 20, 10)
	for _, balancer := range cluster.balancers {
		begin(balancer, 7, 1)
	}
	begin(cluster.balancers[4], 8, 2)
	cluster.run(settleTime)
	for _, balancer := range cluster.balancers {
		require.Equal(t, 20, openAt(balancer, 7), balancer.mailbox.Self)
		require.Equal(t, 2, openAt(balancer, 8), balancer.mailbox.Self)
	}
	end(cluster.balancers[4], 8, 2)
	begin(cluster.balancers[5], 7, 3)
	require.Equal(t, 23, openAt(cluster.balancers[5], 7), "local requests are counted immediately")
	cluster.run(sharedSettleTime)
	for _, balancer := range cluster.balancers {
		require.Equal(t, 23, openAt(balancer, 7), balancer.mailbox.Self)
		require.Zero(t, openAt(balancer, 8), balancer.mailbox.Self)
	}
}

// TestLoadSpikeReachesAllBalancersWithinHalfASecond starts a load spike at different times between
// two reports. Until balancers know each other's counts, all of them consider the same targets
// idle.
func TestLoadSpikeReachesAllBalancersWithinHalfASecond(t *testing.T) {
	for phase := time.Duration(0); phase < 600*time.Millisecond; phase += 50 * time.Millisecond {
		cluster := newCluster(3, 20, 100)
		for _, balancer := range cluster.balancers {
			begin(balancer, 8, 1)
		}
		cluster.run(10*time.Second + phase)
		for _, balancer := range cluster.balancers {
			begin(balancer, 7, 5)
		}
		cluster.run(500 * time.Millisecond)
		for _, balancer := range cluster.balancers {
			require.Equal(t, 100, openAt(balancer, 7), "%s, %s after a report", balancer.mailbox.Self, phase)
		}
	}
}

func TestIdleLargeSystemSendsFewReports(t *testing.T) {
	cluster := newCluster(3, 20, 1000)
	begin(cluster.balancers[0], 7, 10)
	cluster.run(time.Minute)
	require.Zero(t, openAt(cluster.balancers[1], 7), "load is too low to be shared")
	require.LessOrEqual(t, cluster.sentMessages["b00"], int(time.Minute/idleReportInterval)+1)
	require.LessOrEqual(t, cluster.sentMessages["m0"], 2*int(time.Minute/idleReportInterval)+2)
	require.Zero(t, cluster.sentMessages["b01"])
}

// TestBalancerThatSwitchesMembersIsCountedOnceAfterExpiry: both members count the balancer's
// requests until the report at the previous member expires.
func TestBalancerThatSwitchesMembersIsCountedOnceAfterExpiry(t *testing.T) {
	cluster := newCluster(2, 20, 10)
	for _, balancer := range cluster.balancers {
		begin(balancer, 7, 1)
	}
	cluster.run(settleTime)
	cluster.memberOf["b00"] = "m1"
	cluster.run(expiryIntervals*idleReportInterval + sharedSettleTime)
	for _, balancer := range cluster.balancers {
		require.Equal(t, 20, openAt(balancer, 7), balancer.mailbox.Self)
	}
}

func TestBalancerCutOffFromItsMemberUsesLocalCounts(t *testing.T) {
	cluster := newCluster(2, 20, 10)
	for _, balancer := range cluster.balancers {
		begin(balancer, 7, 1)
	}
	cluster.run(settleTime)
	cluster.isolated["m0"] = true
	cluster.run(expiryIntervals*idleReportInterval + sharedSettleTime)
	require.Equal(t, 1, openAt(cluster.balancers[0], 7), "its member is isolated")
	require.Equal(t, 10, openAt(cluster.balancers[1], 7), "the other member drops the counts of the isolated member")
	cluster.isolated["m0"] = false
	cluster.run(settleTime)
	require.Equal(t, 20, openAt(cluster.balancers[0], 7))
}

func TestSharingEndsWhenLoadDrops(t *testing.T) {
	cluster := newCluster(2, 20, 10)
	var atMember, atBalancer []bool
	cluster.members["m0"].collector.notifier.onChange = func(sharing SharingState) { atMember = append(atMember, sharing.Active) }
	cluster.balancers[0].exchange.notifier.onChange = func(sharing SharingState) { atBalancer = append(atBalancer, sharing.Active) }
	for _, balancer := range cluster.balancers {
		begin(balancer, 7, 1)
	}
	cluster.run(settleTime)
	for _, balancer := range cluster.balancers {
		end(balancer, 7, 1)
	}
	cluster.run(2 * sharingHoldTime)
	clear(cluster.sentMessages)
	cluster.run(time.Minute)
	require.Empty(t, cluster.sentMessages)
	require.Equal(t, []bool{true, false}, atMember, "OnChange is called once per change")
	require.Equal(t, []bool{true, false}, atBalancer)
}

// TestSwitchBetweenPeersAndCollectorDropsOldReports checks that counts received from peers and
// totals received from a collector are never added together.
func TestSwitchBetweenPeersAndCollectorDropsOldReports(t *testing.T) {
	cluster := newCluster(1, 4, 2)
	for _, balancer := range cluster.balancers {
		begin(balancer, 7, 1)
	}
	cluster.run(settleTime)
	require.Equal(t, 4, openAt(cluster.balancers[0], 7))
	for index, balancer := range cluster.balancers {
		for other := range cluster.balancers {
			if other != index {
				balancer.neighbours = append(balancer.neighbours, cluster.balancers[other].mailbox.Self)
			}
		}
	}
	cluster.run(minReportExpiry)
	require.Equal(t, 4, openAt(cluster.balancers[0], 7))
	for _, balancer := range cluster.balancers {
		balancer.neighbours = nil
	}
	cluster.run(settleTime)
	require.Equal(t, 4, openAt(cluster.balancers[0], 7))
}

func TestCollectorReportIntervalBoundsMessagesAndBytes(t *testing.T) {
	for _, test := range []struct {
		name               string
		balancers, targets int
		want               time.Duration
	}{
		{"few balancers and targets", 10, 10, interval},
		{"many balancers", 300, 10, 300 * intervalPerBalancer},
		{"many targets", 10, 2000, 2000 * entryBytes * time.Second / totalsBytesPerSecond},
		{"far too many targets", 10, 100_000, maxReportInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			collector := newCluster(1, 0, 1).members["m0"].collector
			collector.demand.wantedLocallyAt = start
			for number := range test.balancers {
				var entries Entries
				for token := range test.targets / 10 {
					entries = append(entries, Entry{Token: directory.Token(number%10*test.targets + token + 1), Open: 1})
				}
				collector.applyReport(model.NodeName(fmt.Sprint(number)), Report{Entries: entries}, start)
			}
			collector.sumReports()
			require.Equal(t, test.want, collector.reportInterval(start))
		})
	}
}

func TestZeroIntervalDisablesCollector(t *testing.T) {
	cluster := newCluster(1, 2, 1)
	cluster.members["m0"].collector.options.Interval = 0
	begin(cluster.balancers[0], 7, 5)
	cluster.run(settleTime)
	require.Zero(t, cluster.sentMessages["m0"])
	require.Zero(t, openAt(cluster.balancers[1], 7))
}

// recordingSender records the recipients of each report.
type recordingSender struct{ recipients [][]model.NodeName }

// Send implements Sender.
func (sender *recordingSender) Send(nodes []model.NodeName, _ Report) {
	sender.recipients = append(sender.recipients, nodes)
}

// TestCollectorSendsToBalancersInNameOrder: simulations are only reproducible if reports are sent
// in a deterministic order.
func TestCollectorSendsToBalancersInNameOrder(t *testing.T) {
	collector := newCluster(2, 0, 1).members["m0"].collector
	sender := &recordingSender{}
	collector.sender = sender
	collector.demand.wantedLocallyAt = start
	var want []model.NodeName
	for number := range 50 {
		name := model.NodeName(fmt.Sprintf("b%02d", number))
		want = append(want, name)
		collector.applyReport(name, Report{Entries: Entries{{Token: 1, Open: 1}}}, start)
	}
	collector.Reconcile(start)
	require.Equal(t, [][]model.NodeName{{"m1"}, want}, sender.recipients)
}

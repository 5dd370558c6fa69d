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

// site is a large system: balancers that report to members, and members that know
// each other.
type site struct {
	members   map[model.NodeName]*memberNode
	balancers []*node
	// follows has the member of each balancer.
	follows map[model.NodeName]model.NodeName
	// sent counts the messages of each node, and cut the nodes that are cut off.
	sent map[model.NodeName]int
	cut  map[model.NodeName]bool
	now  time.Time
}

// memberNode is a member with its collector.
type memberNode struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	collector  *Collector
}

// newSite returns a system whose services have the capacity each.
func newSite(members, balancers, capacity int) *site {
	made := &site{
		members: make(map[model.NodeName]*memberNode), follows: make(map[model.NodeName]model.NodeName),
		sent: make(map[model.NodeName]int), cut: make(map[model.NodeName]bool), now: start,
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
		made.members[name] = member
	}
	for number := range balancers {
		balancer := newNode(model.NodeName(fmt.Sprintf("b%02d", number)), interval)
		balancer.exchange.options.Collector = func() model.NodeName { return made.follows[balancer.mailbox.Self] }
		made.follows[balancer.mailbox.Self] = names[number%len(names)]
		made.balancers = append(made.balancers, balancer)
	}
	return made
}

// run lets time pass.
func (site *site) run(duration time.Duration) {
	for end := site.now.Add(duration); site.now.Before(end); site.now = site.now.Add(10 * time.Millisecond) {
		for _, member := range site.members {
			member.dispatcher.Reconcile(site.now)
			member.collector.Reconcile(site.now)
			site.deliver(member.mailbox)
		}
		for _, balancer := range site.balancers {
			balancer.dispatcher.Reconcile(site.now)
			balancer.exchange.Reconcile(site.now)
			site.deliver(balancer.mailbox)
		}
	}
}

func (site *site) deliver(from *protocol.Mailbox) {
	for _, envelope := range from.Outbox.Drain() {
		site.sent[from.Self]++
		if site.cut[from.Self] || site.cut[envelope.To] {
			continue
		}
		arrived := protocol.Envelope{From: from.Self, To: envelope.To, Message: envelope.Message}
		if member := site.members[envelope.To]; member != nil {
			member.mailbox.Inbox.Put(arrived)
		}
		for _, balancer := range site.balancers {
			if balancer.mailbox.Self == envelope.To {
				balancer.mailbox.Inbox.Put(arrived)
			}
		}
	}
}

const (
	// settled is enough for a count to reach every balancer from calm.
	settled = 3 * calmInterval
	// shared is enough once the load is shared.
	shared = 5 * interval
)

func TestBalancersOfALargeSystemKnowTheOpenRequestsOfAll(t *testing.T) {
	site := newSite(3, 20, 10)
	for _, balancer := range site.balancers {
		begin(balancer, 7, 1)
	}
	begin(site.balancers[4], 8, 2)
	site.run(settled)
	for _, balancer := range site.balancers {
		require.Equal(t, 20, openAt(balancer, 7), balancer.mailbox.Self)
		require.Equal(t, 2, openAt(balancer, 8), balancer.mailbox.Self)
	}
	end(site.balancers[4], 8, 2)
	begin(site.balancers[5], 7, 3)
	require.Equal(t, 23, openAt(site.balancers[5], 7), "own requests count at once")
	site.run(shared)
	for _, balancer := range site.balancers {
		require.Equal(t, 23, openAt(balancer, 7), balancer.mailbox.Self)
		require.Zero(t, openAt(balancer, 8), balancer.mailbox.Self)
	}
}

// TestARushIsKnownWithinHalfASecond: callers come in numbers from one moment to the next,
// at any moment between two reports. Until balancers know of each other's requests, all of
// them take targets for idle.
func TestARushIsKnownWithinHalfASecond(t *testing.T) {
	for phase := time.Duration(0); phase < 600*time.Millisecond; phase += 50 * time.Millisecond {
		site := newSite(3, 20, 100)
		for _, balancer := range site.balancers {
			begin(balancer, 8, 1)
		}
		site.run(10*time.Second + phase)
		for _, balancer := range site.balancers {
			begin(balancer, 7, 5)
		}
		site.run(500 * time.Millisecond)
		for _, balancer := range site.balancers {
			require.Equal(t, 100, openAt(balancer, 7), "%s, %s after a report", balancer.mailbox.Self, phase)
		}
	}
}

func TestACalmLargeSystemSaysLittle(t *testing.T) {
	site := newSite(3, 20, 1000)
	begin(site.balancers[0], 7, 10)
	site.run(time.Minute)
	require.Zero(t, openAt(site.balancers[1], 7), "not worth sharing")
	require.LessOrEqual(t, site.sent["b00"], int(time.Minute/calmInterval)+1)
	require.LessOrEqual(t, site.sent["m0"], 2*int(time.Minute/calmInterval)+2)
	require.Zero(t, site.sent["b01"])
}

// A balancer that moves on to another member counts twice there for a while only.
func TestABalancerThatMovesOnIsForgottenByItsFormerMember(t *testing.T) {
	site := newSite(2, 20, 10)
	for _, balancer := range site.balancers {
		begin(balancer, 7, 1)
	}
	site.run(settled)
	site.follows["b00"] = "m1"
	site.run(silentPauses*calmInterval + shared)
	for _, balancer := range site.balancers {
		require.Equal(t, 20, openAt(balancer, 7), balancer.mailbox.Self)
	}
}

func TestWithoutItsMemberABalancerGoesByItsOwnRequests(t *testing.T) {
	site := newSite(2, 20, 10)
	for _, balancer := range site.balancers {
		begin(balancer, 7, 1)
	}
	site.run(settled)
	site.cut["m0"] = true
	site.run(silentPauses*calmInterval + shared)
	require.Equal(t, 1, openAt(site.balancers[0], 7), "its member is cut off")
	require.Equal(t, 10, openAt(site.balancers[1], 7), "the other member no longer counts what it cannot hear of")
	site.cut["m0"] = false
	site.run(settled)
	require.Equal(t, 20, openAt(site.balancers[0], 7))
}

func TestSharingEndsWithTheLoad(t *testing.T) {
	site := newSite(2, 20, 10)
	var atMember, atBalancer []bool
	site.members["m0"].collector.announced.onChange = func(sharing SharingState) { atMember = append(atMember, sharing.Active) }
	site.balancers[0].exchange.announced.onChange = func(sharing SharingState) { atBalancer = append(atBalancer, sharing.Active) }
	for _, balancer := range site.balancers {
		begin(balancer, 7, 1)
	}
	site.run(settled)
	for _, balancer := range site.balancers {
		end(balancer, 7, 1)
	}
	site.run(2 * demandLasts)
	clear(site.sent)
	site.run(time.Minute)
	require.Empty(t, site.sent)
	require.Equal(t, []bool{true, false}, atMember, "each change is announced once")
	require.Equal(t, []bool{true, false}, atBalancer)
}

// Counts of the two ways to share never add up.
func TestASystemThatGrowsOrShrinksForgetsTheFormerWay(t *testing.T) {
	site := newSite(1, 4, 2)
	for _, balancer := range site.balancers {
		begin(balancer, 7, 1)
	}
	site.run(settled)
	require.Equal(t, 4, openAt(site.balancers[0], 7))
	for index, balancer := range site.balancers {
		for other := range site.balancers {
			if other != index {
				balancer.neighbours = append(balancer.neighbours, site.balancers[other].mailbox.Self)
			}
		}
	}
	site.run(silentAfter)
	require.Equal(t, 4, openAt(site.balancers[0], 7))
	for _, balancer := range site.balancers {
		balancer.neighbours = nil
	}
	site.run(settled)
	require.Equal(t, 4, openAt(site.balancers[0], 7))
}

func TestCollectorsBoundTheirMessagesAndBytes(t *testing.T) {
	for _, test := range []struct {
		name               string
		balancers, targets int
		least              time.Duration
	}{
		{"few of both", 10, 10, interval},
		{"many balancers", 300, 10, 300 * pauseEachBalancer},
		{"many targets", 10, 2000, 2000 * entryBytes * time.Second / systemBytesPerSecond},
		{"far too many targets", 10, 100_000, longestPause},
	} {
		t.Run(test.name, func(t *testing.T) {
			collector := newSite(1, 0, 1).members["m0"].collector
			collector.demand.foundAt = start
			for number := range test.balancers {
				var entries Entries
				for token := range test.targets / 10 {
					entries = append(entries, Entry{Token: directory.Token(number%10*test.targets + token + 1), Open: 1})
				}
				collector.take(model.NodeName(fmt.Sprint(number)), Report{Entries: entries}, start)
			}
			collector.addUp()
			require.Equal(t, test.least, collector.pause(start))
		})
	}
}

func TestNoIntervalCollectsNothing(t *testing.T) {
	site := newSite(1, 2, 1)
	site.members["m0"].collector.options.Interval = 0
	begin(site.balancers[0], 7, 5)
	site.run(settled)
	require.Zero(t, site.sent["m0"])
	require.Zero(t, openAt(site.balancers[1], 7))
}

// outletOf keeps the nodes of the reports that it is given.
type outletOf struct{ told [][]model.NodeName }

// Tell implements Outlet.
func (outlet *outletOf) Send(nodes []model.NodeName, _ Report) {
	outlet.told = append(outlet.told, nodes)
}

// Simulations repeat exactly only when nodes are told in an order of their own.
func TestACollectorTellsInOrder(t *testing.T) {
	collector := newSite(2, 0, 1).members["m0"].collector
	outlet := &outletOf{}
	collector.outlet = outlet
	collector.demand.foundAt = start
	var want []model.NodeName
	for number := range 50 {
		name := model.NodeName(fmt.Sprintf("b%02d", number))
		want = append(want, name)
		collector.take(name, Report{Entries: Entries{{Token: 1, Open: 1}}}, start)
	}
	collector.Reconcile(start)
	require.Equal(t, [][]model.NodeName{{"m1"}, want}, outlet.told)
}

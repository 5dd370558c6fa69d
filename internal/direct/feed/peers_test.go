package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// testBalancer is a balancer that follows other nodes and that other balancers may follow. It
// implements Connector.
type testBalancer struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	table      *steer.Table
	subscriber *Subscriber
	replica    *Replica
	publisher  *Publisher
	reports    *ReportRelay
	// network is set once the balancer is part of one.
	network *testNetwork
}

// Connect implements Connector.
func (balancer *testBalancer) Connect(model.NodeName) {}

// Connected implements Connector: a balancer is connected to each node of the network that is not
// disconnected from it.
func (balancer *testBalancer) Connected(other model.NodeName) bool {
	return balancer.network.has(other) && !balancer.network.disconnected[[2]model.NodeName{balancer.mailbox.Self, other}]
}

// Disconnect implements Connector.
func (balancer *testBalancer) Disconnect(model.NodeName) {}

// newTestBalancer returns a balancer that accepts up to limit followers and knows the members in
// seeds.
func newTestBalancer(name model.NodeName, limit int, seeds ...model.NodeName) *testBalancer {
	created := &testBalancer{mailbox: protocol.NewMailbox(name), table: steer.NewTable(steer.DefaultOptions())}
	created.dispatcher = protocol.NewDispatcher(created.mailbox)
	created.subscriber = NewSubscriber(SubscriberOptions{
		Seeds: seeds, Zone: "a", Serves: true,
		OnChange: func(changes directory.Changes, _ model.NodeName) { created.replica.Record(changes) },
	}, created.mailbox, created.dispatcher, created.table, created)
	created.replica = NewReplica(created.table, created.subscriber)
	created.publisher = NewPublisher(PublisherOptions{MaxFollowers: limit}, created.mailbox, created.dispatcher, created.replica, created.replica)
	created.reports = NewReportRelay(created.mailbox, created.dispatcher, created.subscriber.Following)
	return created
}

// testNetwork runs members and balancers on one simulated clock and delivers messages between them
// at once, except between disconnected pairs.
type testNetwork struct {
	now          time.Time
	members      []*member
	balancers    []*testBalancer
	disconnected map[[2]model.NodeName]bool
	// memberReports are the health reports that members received.
	memberReports []HealthReport
	// packedSent counts the updates with packed changes by sender.
	packedSent map[model.NodeName]int
}

func newTestNetwork(members []*member, balancers ...*testBalancer) *testNetwork {
	created := &testNetwork{now: start, members: members, balancers: balancers, disconnected: make(map[[2]model.NodeName]bool), packedSent: make(map[model.NodeName]int)}
	for _, balancer := range balancers {
		balancer.network = created
	}
	return created
}

// has reports whether a member or balancer has the name.
func (network *testNetwork) has(name model.NodeName) bool {
	for _, member := range network.members {
		if member.mailbox.Self == name {
			return true
		}
	}
	for _, balancer := range network.balancers {
		if balancer.mailbox.Self == name {
			return true
		}
	}
	return false
}

// disconnect drops all messages between two nodes from now on.
func (network *testNetwork) disconnect(one, other model.NodeName) {
	network.disconnected[[2]model.NodeName{one, other}] = true
	network.disconnected[[2]model.NodeName{other, one}] = true
}

// run advances the clock by duration in steps of 10 ms.
func (network *testNetwork) run(duration time.Duration) {
	for end := network.now.Add(duration); network.now.Before(end); network.now = network.now.Add(10 * time.Millisecond) {
		for _, balancer := range network.balancers {
			balancer.dispatcher.Reconcile(network.now)
			balancer.subscriber.Reconcile(network.now)
			balancer.publisher.Reconcile(network.now)
			balancer.reports.Reconcile(network.now)
			network.deliver(balancer.mailbox)
		}
		for _, member := range network.members {
			member.dispatcher.Reconcile(network.now)
			member.publisher.Reconcile(network.now)
			network.deliver(member.mailbox)
		}
	}
}

func (network *testNetwork) deliver(from *protocol.Mailbox) {
	for _, envelope := range from.Outbox.Drain() {
		if update, isUpdate := envelope.Message.(Update); isUpdate && len(update.Packed) > 0 {
			network.packedSent[envelope.From]++
		}
		if network.disconnected[[2]model.NodeName{envelope.From, envelope.To}] {
			continue
		}
		for _, member := range network.members {
			if member.mailbox.Self != envelope.To {
				continue
			}
			if report, isReport := envelope.Message.(HealthReport); isReport {
				network.memberReports = append(network.memberReports, report)
				continue
			}
			member.mailbox.Inbox.Put(envelope)
		}
		for _, balancer := range network.balancers {
			if balancer.mailbox.Self == envelope.To {
				balancer.mailbox.Inbox.Put(envelope)
			}
		}
	}
}

func TestDisconnectedBalancerFollowsAnotherBalancer(t *testing.T) {
	first, second := newMember("a"), newMember("b")
	one, two, three := newTestBalancer("n1", 16, "a", "b"), newTestBalancer("n2", 16, "a", "b"), newTestBalancer("n3", 16, "a", "b")
	network := newTestNetwork([]*member{first, second}, one, two, three)
	declare := func(version uint64) {
		first.declare(t, version)
		second.declare(t, version)
	}
	declare(1)
	network.run(5 * time.Second)
	network.disconnect("n1", "a")
	network.disconnect("n1", "b")
	network.run(2 * time.Second)
	declare(2)
	network.run(200 * time.Millisecond)
	require.Equal(t, uint64(2), one.table.Version())
	require.True(t, one.table.Fresh(network.now))
	require.Contains(t, []model.NodeName{"n2", "n3"}, one.subscriber.Following())

	one.mailbox.Send(one.subscriber.Following(), HealthReport{Token: 7, Balancer: "n1"})
	network.run(100 * time.Millisecond)
	require.Equal(t, []HealthReport{{Token: 7, Balancer: "n1", Hops: 1}}, network.memberReports, "the followed balancer forwards reports to a member")

	clear(network.disconnected)
	network.run(3 * time.Second)
	require.Contains(t, []model.NodeName{"a", "b"}, one.subscriber.Following(), "a member is followed again once one is reachable")
}

// TestMembersSendNeighbours checks that the balancers of all members receive each other as
// neighbours soon after a start, and that a balancer keeps its neighbours while it follows another
// balancer.
func TestMembersSendNeighbours(t *testing.T) {
	balancers := []*testBalancer{
		newTestBalancer("n1", 16, "a", "b"), newTestBalancer("n2", 16, "a", "b"), newTestBalancer("n3", 16, "a", "b"), newTestBalancer("n4", 16, "a", "b"),
	}
	network := newTestNetwork([]*member{newMember("a"), newMember("b")}, balancers...)
	for _, member := range network.members {
		member.declare(t, 1)
	}
	network.run(800 * time.Millisecond)
	require.ElementsMatch(t, []model.NodeName{"n2", "n3", "n4"}, balancers[0].subscriber.Neighbours())
	require.ElementsMatch(t, []model.NodeName{"n1", "n2", "n3"}, balancers[3].subscriber.Neighbours())
	network.disconnect("n1", "a")
	network.disconnect("n1", "b")
	network.run(3 * time.Second)
	require.ElementsMatch(t, []model.NodeName{"n2", "n3", "n4"}, balancers[0].subscriber.Neighbours())
}

func TestNeighboursAreAllOrNone(t *testing.T) {
	for _, count := range []int{1, 5, maxNeighbours + 1, maxNeighbours + 2, 90} {
		var peers peerSet
		for index := range count {
			peers.observe(Peer{Name: model.NodeName(fmt.Sprintf("n%02d", index))}, start)
		}
		want := count - 1
		if count > maxNeighbours+1 {
			want = 0
		}
		require.Len(t, peers.neighbours("n00"), want, "%d balancers", count)
		require.NotContains(t, peers.neighbours("n00"), model.NodeName("n00"))
	}
}

// TestTooManyBalancersHaveNoNeighbours guards against balancers that keep their neighbours after
// the number of balancers has grown beyond the limit.
func TestTooManyBalancersHaveNoNeighbours(t *testing.T) {
	var balancers []*testBalancer
	for index := range maxNeighbours + 2 {
		balancers = append(balancers, newTestBalancer(model.NodeName(fmt.Sprintf("n%02d", index)), 64, "a"))
	}
	only := newMember("a")
	only.declare(t, 1)
	network := newTestNetwork([]*member{only}, balancers[:maxNeighbours+1]...)
	network.run(800 * time.Millisecond)
	require.Len(t, balancers[0].subscriber.Neighbours(), maxNeighbours)
	last := balancers[maxNeighbours+1]
	last.network = network
	network.balancers = append(network.balancers, last)
	network.run(800 * time.Millisecond)
	require.Empty(t, balancers[0].subscriber.Neighbours())
	require.Empty(t, last.subscriber.Neighbours())
}

// TestMembersAreTriedBeforeBalancers checks that a balancer which loses its member follows another
// member, even if it knows other balancers.
func TestMembersAreTriedBeforeBalancers(t *testing.T) {
	for _, name := range []model.NodeName{"n1", "n2", "n3", "n4", "n5", "n6"} {
		one, two, three := newTestBalancer(name, 16, "a", "b"), newTestBalancer("x2", 16, "a", "b"), newTestBalancer("x3", 16, "a", "b")
		network := newTestNetwork([]*member{newMember("a"), newMember("b")}, one, two, three)
		for _, member := range network.members {
			member.declare(t, 1)
		}
		network.run(5 * time.Second)
		require.NotEmpty(t, one.subscriber.peers)
		network.disconnect(name, one.subscriber.Following())
		followed := make(map[model.NodeName]bool)
		for range 150 {
			network.run(10 * time.Millisecond)
			followed[one.subscriber.Following()] = true
		}
		require.NotContains(t, followed, model.NodeName("x2"), "%s", name)
		require.NotContains(t, followed, model.NodeName("x3"), "%s", name)
		require.Contains(t, []model.NodeName{"a", "b"}, one.subscriber.Following())
	}
}

// TestBalancersWithoutMemberDoNotConfirmEachOther guards against two balancers that are cut off
// from all members and keep each other's tables fresh. The age of the confirmation in their updates
// must only grow.
func TestBalancersWithoutMemberDoNotConfirmEachOther(t *testing.T) {
	only := newMember("a")
	only.declare(t, 1)
	one, two := newTestBalancer("n1", 16, "a"), newTestBalancer("n2", 16, "a")
	network := newTestNetwork([]*member{only}, one, two)
	network.run(5 * time.Second)
	network.disconnect("n1", "a")
	network.disconnect("n2", "a")
	network.run(steer.DefaultOptions().FreshFor + 300*time.Millisecond)
	require.False(t, one.table.Fresh(network.now))
	require.False(t, two.table.Fresh(network.now))
	only.declare(t, 2)
	network.run(5 * time.Second)
	require.Equal(t, uint64(1), one.table.Version())
	one.mailbox.Send("n2", HealthReport{Token: 7})
	network.run(time.Second)
	require.Empty(t, network.memberReports, "reports are not forwarded between them without end")
}

// TestMembersFeedAtMostMaxFollowers checks that twenty balancers all get the newest table through
// each other if the only member accepts two followers.
func TestMembersFeedAtMostMaxFollowers(t *testing.T) {
	only := newMember("a")
	only.publisher.options.MaxFollowers = 2
	only.declare(t, 1)
	var balancers []*testBalancer
	for index := range 20 {
		balancers = append(balancers, newTestBalancer(model.NodeName(fmt.Sprintf("n%02d", index)), 4, "a"))
	}
	network := newTestNetwork([]*member{only}, balancers...)
	network.run(5 * time.Second)
	for version := uint64(2); version < 20; version++ {
		only.declare(t, version)
		network.run(300 * time.Millisecond)
		for _, balancer := range balancers {
			require.Equal(t, version, balancer.table.Version(), "%s follows %q", balancer.mailbox.Self, balancer.subscriber.Following())
			require.True(t, balancer.table.Fresh(network.now))
			require.LessOrEqual(t, balancer.publisher.Followers(), 4)
		}
	}
	require.Equal(t, 2, only.publisher.Followers())
}

// emptyView is the UpstreamView of a balancer that knows no members.
type emptyView struct{}

func (emptyView) Members() []model.NodeName { return nil }
func (emptyView) Depth() uint8              { return 1 }

func TestReplicaSendsMissingChanges(t *testing.T) {
	source := newMember("a")
	table := steer.NewTable(steer.DefaultOptions())
	replica := NewReplica(table, emptyView{})
	applyChanges := func() {
		changes := source.directory.ChangesSince(table.Revision())
		require.True(t, table.Apply(changes, start))
		replica.Record(changes)
	}
	source.declare(t, 1)
	applyChanges()
	require.True(t, replica.ChangesSince(0).Whole)
	for version := uint64(2); version < 8; version++ {
		source.declare(t, version)
		applyChanges()
	}
	changes := replica.ChangesSince(3)
	require.False(t, changes.Whole)
	require.Equal(t, model.Revision(7), changes.To)
	require.Len(t, changes.Routes, 1)
	current := replica.ChangesSince(7)
	require.Zero(t, current.Size())
	require.Equal(t, model.Revision(7), replica.ChangesSince(9).To, "a follower that is ahead gets no changes")
	for version := uint64(8); version < 8+2*maxRecentEntries; version++ {
		source.declare(t, version)
		applyChanges()
	}
	require.True(t, replica.ChangesSince(7).Whole, "a follower that is too far behind gets the full table")
	require.LessOrEqual(t, len(replica.recentChanges), maxRecentEntries)
}

func TestPeersAreFromLocalAndRemoteZones(t *testing.T) {
	var peers peerSet
	for index := range 10 {
		zone := model.ZoneName("near")
		if index%2 == 1 {
			zone = "far"
		}
		peers.observe(Peer{Name: model.NodeName(fmt.Sprintf("n%d", index)), Zone: zone}, start)
	}
	require.Equal(t, []model.NodeName{"n5", "n6", "n7", "n8"}, peers.choose("n4", "near"))
	require.Equal(t, []model.NodeName{"n9", "n0", "n1", "n2"}, peers.choose("n8", "near"), "the order of names is cyclic")
	peers.observe(Peer{Name: "n5", Zone: "far"}, start.Add(peerTimeout))
	peers.removeExpired(start.Add(peerTimeout + time.Millisecond))
	require.Equal(t, []model.NodeName{"n5"}, peers.choose("n4", "near"))
	require.Empty(t, peers.choose("n5", "far"), "a balancer is not its own peer")
	var empty peerSet
	require.Empty(t, empty.choose("n1", "near"))
}

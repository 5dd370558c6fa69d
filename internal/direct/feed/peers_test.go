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

// node is a balancer that follows others and that others follow.
type node struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	table      *steer.Table
	subscriber *Subscriber
	replica    *Replica
	publisher  *Publisher
	reports    *ReportRelay
	// fabric is set once the node is part of one.
	fabric *fabric
}

// Connect implements Connector.
func (node *node) Connect(model.NodeName) {}

// Connected implements Connector: a connection stands to what is there and not
// cut off.
func (node *node) Connected(other model.NodeName) bool {
	return node.fabric.has(other) && !node.fabric.cut[[2]model.NodeName{node.mailbox.Self, other}]
}

// Disconnect implements Connector.
func (node *node) Disconnect(model.NodeName) {}

func newNode(name model.NodeName, limit int, seeds ...model.NodeName) *node {
	made := &node{mailbox: protocol.NewMailbox(name), table: steer.NewTable(steer.DefaultOptions())}
	made.dispatcher = protocol.NewDispatcher(made.mailbox)
	made.subscriber = NewSubscriber(SubscriberOptions{
		Seeds: seeds, Zone: "a", Serves: true,
		OnChange: func(changes directory.Changes, _ model.NodeName) { made.replica.Record(changes) },
	}, made.mailbox, made.dispatcher, made.table, made)
	made.replica = NewReplica(made.table, made.subscriber)
	made.publisher = NewPublisher(PublisherOptions{MaxFollowers: limit}, made.mailbox, made.dispatcher, made.replica, made.replica)
	made.reports = NewReportRelay(made.mailbox, made.dispatcher, made.subscriber.Following)
	return made
}

// fabric carries messages between members and balancers, but for pairs that
// are cut.
type fabric struct {
	now     time.Time
	members []*member
	nodes   []*node
	cut     map[[2]model.NodeName]bool
	// reports has the reports that members got.
	reports []HealthReport
	// packed counts the packed tables that each member sent.
	packed map[model.NodeName]int
}

func newFabric(members []*member, nodes ...*node) *fabric {
	made := &fabric{now: start, members: members, nodes: nodes, cut: make(map[[2]model.NodeName]bool), packed: make(map[model.NodeName]int)}
	for _, node := range nodes {
		node.fabric = made
	}
	return made
}

func (fabric *fabric) has(name model.NodeName) bool {
	for _, member := range fabric.members {
		if member.mailbox.Self == name {
			return true
		}
	}
	for _, node := range fabric.nodes {
		if node.mailbox.Self == name {
			return true
		}
	}
	return false
}

func (fabric *fabric) separate(one, other model.NodeName) {
	fabric.cut[[2]model.NodeName{one, other}] = true
	fabric.cut[[2]model.NodeName{other, one}] = true
}

func (fabric *fabric) run(duration time.Duration) {
	for end := fabric.now.Add(duration); fabric.now.Before(end); fabric.now = fabric.now.Add(10 * time.Millisecond) {
		for _, node := range fabric.nodes {
			node.dispatcher.Reconcile(fabric.now)
			node.subscriber.Reconcile(fabric.now)
			node.publisher.Reconcile(fabric.now)
			node.reports.Reconcile(fabric.now)
			fabric.carry(node.mailbox)
		}
		for _, member := range fabric.members {
			member.dispatcher.Reconcile(fabric.now)
			member.publisher.Reconcile(fabric.now)
			fabric.carry(member.mailbox)
		}
	}
}

func (fabric *fabric) carry(from *protocol.Mailbox) {
	for _, envelope := range from.Outbox.Drain() {
		if update, isUpdate := envelope.Message.(Update); isUpdate && len(update.Packed) > 0 {
			fabric.packed[envelope.From]++
		}
		if fabric.cut[[2]model.NodeName{envelope.From, envelope.To}] {
			continue
		}
		for _, member := range fabric.members {
			if member.mailbox.Self != envelope.To {
				continue
			}
			if report, isReport := envelope.Message.(HealthReport); isReport {
				fabric.reports = append(fabric.reports, report)
				continue
			}
			member.mailbox.Inbox.Put(envelope)
		}
		for _, node := range fabric.nodes {
			if node.mailbox.Self == envelope.To {
				node.mailbox.Inbox.Put(envelope)
			}
		}
	}
}

func TestBalancerThatIsCutOffFollowsAnother(t *testing.T) {
	first, second := newMember("a"), newMember("b")
	one, two, three := newNode("n1", 16, "a", "b"), newNode("n2", 16, "a", "b"), newNode("n3", 16, "a", "b")
	fabric := newFabric([]*member{first, second}, one, two, three)
	declare := func(version uint64) {
		first.declare(t, version)
		second.declare(t, version)
	}
	declare(1)
	fabric.run(5 * time.Second)
	fabric.separate("n1", "a")
	fabric.separate("n1", "b")
	fabric.run(2 * time.Second)
	declare(2)
	fabric.run(200 * time.Millisecond)
	require.Equal(t, uint64(2), one.table.Version())
	require.True(t, one.table.Fresh(fabric.now))
	require.Contains(t, []model.NodeName{"n2", "n3"}, one.subscriber.Following())

	one.mailbox.Send(one.subscriber.Following(), HealthReport{Token: 7, Balancer: "n1"})
	fabric.run(100 * time.Millisecond)
	require.Equal(t, []HealthReport{{Token: 7, Balancer: "n1", Hops: 1}}, fabric.reports, "reports are passed on to a member")

	clear(fabric.cut)
	fabric.run(3 * time.Second)
	require.Contains(t, []model.NodeName{"a", "b"}, one.subscriber.Following(), "members are followed again once they are reached")
}

// TestMembersTellNeighbours: balancers of all members learn of each other soon
// after a start, and keep what they know while they follow a balancer.
func TestMembersTellNeighbours(t *testing.T) {
	nodes := []*node{
		newNode("n1", 16, "a", "b"), newNode("n2", 16, "a", "b"), newNode("n3", 16, "a", "b"), newNode("n4", 16, "a", "b"),
	}
	fabric := newFabric([]*member{newMember("a"), newMember("b")}, nodes...)
	for _, member := range fabric.members {
		member.declare(t, 1)
	}
	fabric.run(800 * time.Millisecond)
	require.ElementsMatch(t, []model.NodeName{"n2", "n3", "n4"}, nodes[0].subscriber.Neighbours())
	require.ElementsMatch(t, []model.NodeName{"n1", "n2", "n3"}, nodes[3].subscriber.Neighbours())
	fabric.separate("n1", "a")
	fabric.separate("n1", "b")
	fabric.run(3 * time.Second)
	require.ElementsMatch(t, []model.NodeName{"n2", "n3", "n4"}, nodes[0].subscriber.Neighbours())
}

func TestNeighboursAreAllOrNone(t *testing.T) {
	for _, count := range []int{1, 5, mostNeighbours + 1, mostNeighbours + 2, 90} {
		var book peerBook
		for index := range count {
			book.hear(Peer{Name: model.NodeName(fmt.Sprintf("n%02d", index))}, start)
		}
		want := count - 1
		if count > mostNeighbours+1 {
			want = 0
		}
		require.Len(t, book.neighbours("n00"), want, "%d balancers", count)
		require.NotContains(t, book.neighbours("n00"), model.NodeName("n00"))
	}
}

// TestGrownSystemsShareNoLoad: balancers learn that they became too many.
func TestGrownSystemsShareNoLoad(t *testing.T) {
	var nodes []*node
	for index := range mostNeighbours + 2 {
		nodes = append(nodes, newNode(model.NodeName(fmt.Sprintf("n%02d", index)), 64, "a"))
	}
	only := newMember("a")
	only.declare(t, 1)
	fabric := newFabric([]*member{only}, nodes[:mostNeighbours+1]...)
	fabric.run(800 * time.Millisecond)
	require.Len(t, nodes[0].subscriber.Neighbours(), mostNeighbours)
	last := nodes[mostNeighbours+1]
	last.fabric = fabric
	fabric.nodes = append(fabric.nodes, last)
	fabric.run(800 * time.Millisecond)
	require.Empty(t, nodes[0].subscriber.Neighbours())
	require.Empty(t, last.subscriber.Neighbours())
}

// TestMembersAreTriedBeforeBalancers: a balancer whose member goes finds another
// member, although it knows other balancers.
func TestMembersAreTriedBeforeBalancers(t *testing.T) {
	for _, name := range []model.NodeName{"n1", "n2", "n3", "n4", "n5", "n6"} {
		one, two, three := newNode(name, 16, "a", "b"), newNode("x2", 16, "a", "b"), newNode("x3", 16, "a", "b")
		fabric := newFabric([]*member{newMember("a"), newMember("b")}, one, two, three)
		for _, member := range fabric.members {
			member.declare(t, 1)
		}
		fabric.run(5 * time.Second)
		require.NotEmpty(t, one.subscriber.peers)
		fabric.separate(name, one.subscriber.Following())
		followed := make(map[model.NodeName]bool)
		for range 150 {
			fabric.run(10 * time.Millisecond)
			followed[one.subscriber.Following()] = true
		}
		require.NotContains(t, followed, model.NodeName("x2"), "%s", name)
		require.NotContains(t, followed, model.NodeName("x3"), "%s", name)
		require.Contains(t, []model.NodeName{"a", "b"}, one.subscriber.Following())
	}
}

// TestBalancersThatAreCutOffTogetherConfirmNothing: the age of what they tell
// each other only grows.
func TestBalancersThatAreCutOffTogetherConfirmNothing(t *testing.T) {
	only := newMember("a")
	only.declare(t, 1)
	one, two := newNode("n1", 16, "a"), newNode("n2", 16, "a")
	fabric := newFabric([]*member{only}, one, two)
	fabric.run(5 * time.Second)
	fabric.separate("n1", "a")
	fabric.separate("n2", "a")
	fabric.run(steer.DefaultOptions().FreshFor + 300*time.Millisecond)
	require.False(t, one.table.Fresh(fabric.now))
	require.False(t, two.table.Fresh(fabric.now))
	only.declare(t, 2)
	fabric.run(5 * time.Second)
	require.Equal(t, uint64(1), one.table.Version())
	one.mailbox.Send("n2", HealthReport{Token: 7})
	fabric.run(time.Second)
	require.Empty(t, fabric.reports, "and reports do not travel between them for ever")
}

// TestMembersFeedNoMoreThanTheirLimit: with one member that feeds two, twenty
// balancers all have the newest table, through each other.
func TestMembersFeedNoMoreThanTheirLimit(t *testing.T) {
	only := newMember("a")
	only.publisher.options.MaxFollowers = 2
	only.declare(t, 1)
	var nodes []*node
	for index := range 20 {
		nodes = append(nodes, newNode(model.NodeName(fmt.Sprintf("n%02d", index)), 4, "a"))
	}
	fabric := newFabric([]*member{only}, nodes...)
	fabric.run(5 * time.Second)
	for version := uint64(2); version < 20; version++ {
		only.declare(t, version)
		fabric.run(300 * time.Millisecond)
		for _, node := range nodes {
			require.Equal(t, version, node.table.Version(), "%s follows %q", node.mailbox.Self, node.subscriber.Following())
			require.True(t, node.table.Fresh(fabric.now))
			require.LessOrEqual(t, node.publisher.Followers(), 4)
		}
	}
	require.Equal(t, 2, only.publisher.Followers())
}

// noView is the view of a balancer that knows nobody.
type noView struct{}

func (noView) Members() []model.NodeName { return nil }
func (noView) Depth() uint8              { return 1 }

func TestReplicaSendsWhatIsMissing(t *testing.T) {
	source := newMember("a")
	table := steer.NewTable(steer.DefaultOptions())
	replica := NewReplica(table, noView{})
	take := func() {
		changes := source.directory.ChangesSince(table.Revision())
		require.True(t, table.Apply(changes, start))
		replica.Record(changes)
	}
	source.declare(t, 1)
	take()
	require.True(t, replica.ChangesSince(0).Whole)
	for version := uint64(2); version < 8; version++ {
		source.declare(t, version)
		take()
	}
	changes := replica.ChangesSince(3)
	require.False(t, changes.Whole)
	require.Equal(t, model.Revision(7), changes.To)
	require.Len(t, changes.Routes, 1)
	current := replica.ChangesSince(7)
	require.Zero(t, current.Size())
	require.Equal(t, model.Revision(7), replica.ChangesSince(9).To, "a reader that is ahead gets nothing")
	for version := uint64(8); version < 8+2*recentEntries; version++ {
		source.declare(t, version)
		take()
	}
	require.True(t, replica.ChangesSince(7).Whole, "what is too long ago is sent as a whole")
	require.LessOrEqual(t, len(replica.recent), recentEntries)
}

func TestPeersAreOfBothZones(t *testing.T) {
	var book peerBook
	for index := range 10 {
		zone := model.ZoneName("near")
		if index%2 == 1 {
			zone = "far"
		}
		book.hear(Peer{Name: model.NodeName(fmt.Sprintf("n%d", index)), Zone: zone}, start)
	}
	require.Equal(t, []model.NodeName{"n5", "n6", "n7", "n8"}, book.choose("n4", "near"))
	require.Equal(t, []model.NodeName{"n9", "n0", "n1", "n2"}, book.choose("n8", "near"), "the order goes round")
	book.hear(Peer{Name: "n5", Zone: "far"}, start.Add(peerFor))
	book.dropOld(start.Add(peerFor + time.Millisecond))
	require.Equal(t, []model.NodeName{"n5"}, book.choose("n4", "near"))
	require.Empty(t, book.choose("n5", "far"), "a balancer is not told of itself")
	var empty peerBook
	require.Empty(t, empty.choose("n1", "near"))
}

package feed

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// member is a member of the control group: a directory with its publisher. It implements Source.
type member struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	directory  *directory.Directory
	publisher  *Publisher
	confirmed  bool
	revision   model.Revision
	// memberNames are the members of the group.
	memberNames []model.NodeName
}

// Confirmed implements Source.
func (member *member) Confirmed(time.Time) (time.Duration, bool) { return 0, member.confirmed }

// Depth implements Source.
func (member *member) Depth() uint8 { return 0 }

// Members implements Source.
func (member *member) Members() []model.NodeName { return member.memberNames }

func newMember(name model.NodeName) *member {
	created := &member{mailbox: protocol.NewMailbox(name), directory: directory.New(), confirmed: true, memberNames: []model.NodeName{"a", "b"}}
	created.dispatcher = protocol.NewDispatcher(created.mailbox)
	created.publisher = NewPublisher(PublisherOptions{MaxFollowers: 64, IsMember: true}, created.mailbox, created.dispatcher, created.directory, created)
	return created
}

// declare applies a declared configuration with one route, whose timeout is version seconds.
func (member *member) declare(t *testing.T, version uint64) {
	t.Helper()
	next := &declared.Configuration{Version: version, Services: []declared.Service{{Name: "feed"}}, Routes: []declared.Route{{
		Name: "a", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Duration(version) * time.Second,
		Kind: declared.KindSafe, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}},
	}}}
	difference := declared.Compare(member.directory.Configuration(), next)
	data, err := directory.EncodeCommand(directory.Command{Declare: &difference})
	require.NoError(t, err)
	member.revision++
	member.directory.Apply(member.revision, start, data)
}

// connector is a Connector that records the members that a balancer is connected to.
type connector map[model.NodeName]bool

// Connect implements Connector.
func (connector connector) Connect(member model.NodeName) { connector[member] = true }

// Connected implements Connector.
func (connector connector) Connected(member model.NodeName) bool { return connector[member] }

// Disconnect implements Connector.
func (connector connector) Disconnect(member model.NodeName) { delete(connector, member) }

// testHarness runs a balancer's subscriber and the members that it may follow on one simulated
// clock. Messages arrive at once, except those for which drop returns true.
type testHarness struct {
	t           *testing.T
	now         time.Time
	members     map[model.NodeName]*member
	mailbox     *protocol.Mailbox
	dispatcher  *protocol.Dispatcher
	subscriber  *Subscriber
	table       *steer.Table
	connections connector
	drop        func(envelope protocol.Envelope) bool
}

func newTestHarness(t *testing.T, members ...*member) *testHarness {
	created := &testHarness{
		t: t, now: start, members: make(map[model.NodeName]*member), mailbox: protocol.NewMailbox("balancer"),
		table: steer.NewTable(steer.DefaultOptions()), connections: make(connector),
		drop: func(protocol.Envelope) bool { return false },
	}
	var seeds []model.NodeName
	for _, member := range members {
		created.members[member.mailbox.Self] = member
		seeds = append(seeds, member.mailbox.Self)
	}
	created.dispatcher = protocol.NewDispatcher(created.mailbox)
	created.subscriber = NewSubscriber(SubscriberOptions{Seeds: seeds}, created.mailbox, created.dispatcher, created.table, created.connections)
	return created
}

// run advances the clock by duration in steps of 10 ms.
func (harness *testHarness) run(duration time.Duration) {
	for end := harness.now.Add(duration); harness.now.Before(end); harness.now = harness.now.Add(10 * time.Millisecond) {
		harness.dispatcher.Reconcile(harness.now)
		harness.subscriber.Reconcile(harness.now)
		harness.deliver(harness.mailbox)
		for _, member := range harness.members {
			member.dispatcher.Reconcile(harness.now)
			member.publisher.Reconcile(harness.now)
			harness.deliver(member.mailbox)
		}
	}
}

func (harness *testHarness) deliver(from *protocol.Mailbox) {
	for _, envelope := range from.Outbox.Drain() {
		switch to := harness.members[envelope.To]; {
		case harness.drop(envelope):
		case to != nil:
			to.mailbox.Inbox.Put(envelope)
		case envelope.To == harness.mailbox.Self:
			harness.mailbox.Inbox.Put(envelope)
		}
	}
}

func TestChangesReachTheBalancer(t *testing.T) {
	only := newMember("a")
	only.declare(t, 1)
	harness := newTestHarness(t, only)
	harness.run(200 * time.Millisecond)
	require.Equal(t, uint64(1), harness.table.Version())
	require.True(t, harness.table.Fresh(harness.now))
	only.declare(t, 2)
	harness.run(100 * time.Millisecond)
	require.Equal(t, uint64(2), harness.table.Version())
}

// TestOneNodeIsTriedAtATime guards against subscriptions at several nodes at once, when an answer
// takes longer than searchInterval.
func TestOneNodeIsTriedAtATime(t *testing.T) {
	first, second := newMember("a"), newMember("b")
	first.declare(t, 1)
	second.declare(t, 1)
	harness := newTestHarness(t, first, second)
	subscriptions := 0
	harness.drop = func(envelope protocol.Envelope) bool {
		if _, isSubscription := envelope.Message.(Subscribe); isSubscription {
			subscriptions++
		}
		_, isUpdate := envelope.Message.(Update)
		return isUpdate && harness.now.Sub(start) < 120*time.Millisecond
	}
	harness.run(140 * time.Millisecond)
	require.Equal(t, 1, subscriptions)
	harness.run(minAnswerTimeout + 50*time.Millisecond)
	require.Equal(t, 2, subscriptions, "the next node is tried after one that does not answer")
	require.True(t, harness.table.Serving())
}

func TestLostUpdateIsRequestedAgain(t *testing.T) {
	only := newMember("a")
	only.declare(t, 1)
	harness := newTestHarness(t, only)
	harness.run(200 * time.Millisecond)
	harness.drop = func(envelope protocol.Envelope) bool {
		update, isUpdate := envelope.Message.(Update)
		return isUpdate && update.Changes.To == 2
	}
	only.declare(t, 2)
	harness.run(30 * time.Millisecond)
	require.Equal(t, uint64(1), harness.table.Version())
	only.declare(t, 3)
	harness.run(200 * time.Millisecond)
	require.Equal(t, uint64(3), harness.table.Version())
}

func TestBalancerLeavesStaleMember(t *testing.T) {
	cases := []struct {
		name string
		fail func(harness *testHarness, member *member)
	}{
		{"without a quorum", func(_ *testHarness, member *member) { member.confirmed = false }},
		{"unresponsive", func(harness *testHarness, member *member) {
			name := member.mailbox.Self
			harness.drop = func(envelope protocol.Envelope) bool { return envelope.From == name || envelope.To == name }
		}},
		{"receives nothing", func(harness *testHarness, member *member) {
			name := member.mailbox.Self
			harness.drop = func(envelope protocol.Envelope) bool { return envelope.To == name }
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first, second := newMember("a"), newMember("b")
			first.declare(t, 1)
			second.declare(t, 1)
			harness := newTestHarness(t, first, second)
			harness.run(300 * time.Millisecond)
			followed := harness.members[harness.subscriber.Following()]
			other := first
			if followed == first {
				other = second
			}
			test.fail(harness, followed)
			other.declare(t, 2)
			harness.run(subscriptionTimeout + 2*time.Second)
			require.Equal(t, uint64(2), harness.table.Version())
			require.Equal(t, other.mailbox.Self, harness.subscriber.Following())
			require.Equal(t, connector{other.mailbox.Self: true}, harness.connections, "only the followed member stays connected")
		})
	}
}

func TestStaleMemberDoesNotRevertTable(t *testing.T) {
	behind, ahead := newMember("a"), newMember("b")
	behind.declare(t, 1)
	ahead.declare(t, 1)
	ahead.declare(t, 5)
	harness := newTestHarness(t, ahead)
	harness.run(200 * time.Millisecond)
	require.Equal(t, uint64(5), harness.table.Version())
	delete(harness.members, "b")
	harness.members["a"] = behind
	harness.subscriber.SetSeeds([]model.NodeName{"a"})
	harness.run(3 * time.Second)
	require.Equal(t, uint64(5), harness.table.Version())
	require.False(t, harness.table.Fresh(harness.now), "a member with an older revision does not confirm the table")
}

func TestTableOfMemberWithoutQuorumServesButIsNotFresh(t *testing.T) {
	only := newMember("a")
	only.declare(t, 4)
	only.confirmed = false
	harness := newTestHarness(t, only)
	harness.run(200 * time.Millisecond)
	require.True(t, harness.table.Serving())
	require.False(t, harness.table.Fresh(harness.now))
}

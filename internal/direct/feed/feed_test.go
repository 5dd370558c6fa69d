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

// member is one member's publisher with its directory.
type member struct {
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	directory  *directory.Directory
	publisher  *Publisher
	fresh      bool
	index      model.Revision
	// names are the members of the group.
	names []model.NodeName
}

// Confirmed implements Source.
func (member *member) Confirmed(time.Time) (time.Duration, bool) { return 0, member.fresh }

// Depth implements Source.
func (member *member) Depth() uint8 { return 0 }

// Members implements Source.
func (member *member) Members() []model.NodeName { return member.names }

func newMember(name model.NodeName) *member {
	created := &member{mailbox: protocol.NewMailbox(name), directory: directory.New(), fresh: true, names: []model.NodeName{"a", "b"}}
	created.dispatcher = protocol.NewDispatcher(created.mailbox)
	created.publisher = NewPublisher(PublisherOptions{MaxFollowers: 64, IsMember: true}, created.mailbox, created.dispatcher, created.directory, created)
	return created
}

func (member *member) declare(t *testing.T, version uint64) {
	t.Helper()
	next := &declared.Configuration{Version: version, Services: []declared.Service{{Name: "feed"}}, Routes: []declared.Route{{
		Name: "a", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Duration(version) * time.Second,
		Kind: declared.KindSafe, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}},
	}}}
	difference := declared.Compare(member.directory.Configuration(), next)
	data, err := directory.EncodeCommand(directory.Command{Declare: &difference})
	require.NoError(t, err)
	member.index++
	member.directory.Apply(member.index, start, data)
}

// connector records which members a balancer is connected to.
type connector map[model.NodeName]bool

// Connect implements Connector.
func (connector connector) Connect(member model.NodeName) { connector[member] = true }

// Connected implements Connector.
func (connector connector) Connected(member model.NodeName) bool { return connector[member] }

// Disconnect implements Connector.
func (connector connector) Disconnect(member model.NodeName) { delete(connector, member) }

// pair is a balancer's subscriber and the members that it may follow, on one
// clock. Messages arrive at once, unless lose tells otherwise.
type pair struct {
	t          *testing.T
	now        time.Time
	members    map[model.NodeName]*member
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	subscriber *Subscriber
	table      *steer.Table
	connected  connector
	lose       func(envelope protocol.Envelope) bool
}

func newPair(t *testing.T, members ...*member) *pair {
	made := &pair{
		t: t, now: start, members: make(map[model.NodeName]*member), mailbox: protocol.NewMailbox("balancer"),
		table: steer.NewTable(steer.DefaultOptions()), connected: make(connector),
		lose: func(protocol.Envelope) bool { return false },
	}
	var seeds []model.NodeName
	for _, member := range members {
		made.members[member.mailbox.Self] = member
		seeds = append(seeds, member.mailbox.Self)
	}
	made.dispatcher = protocol.NewDispatcher(made.mailbox)
	made.subscriber = NewSubscriber(SubscriberOptions{Seeds: seeds}, made.mailbox, made.dispatcher, made.table, made.connected)
	return made
}

// run lets time pass in steps of 10 ms.
func (pair *pair) run(duration time.Duration) {
	for end := pair.now.Add(duration); pair.now.Before(end); pair.now = pair.now.Add(10 * time.Millisecond) {
		pair.dispatcher.Reconcile(pair.now)
		pair.subscriber.Reconcile(pair.now)
		pair.carry(pair.mailbox)
		for _, member := range pair.members {
			member.dispatcher.Reconcile(pair.now)
			member.publisher.Reconcile(pair.now)
			pair.carry(member.mailbox)
		}
	}
}

func (pair *pair) carry(from *protocol.Mailbox) {
	for _, envelope := range from.Outbox.Drain() {
		switch to := pair.members[envelope.To]; {
		case pair.lose(envelope):
		case to != nil:
			to.mailbox.Inbox.Put(envelope)
		case envelope.To == pair.mailbox.Self:
			pair.mailbox.Inbox.Put(envelope)
		}
	}
}

func TestChangesReachTheBalancer(t *testing.T) {
	only := newMember("a")
	only.declare(t, 1)
	pair := newPair(t, only)
	pair.run(200 * time.Millisecond)
	require.Equal(t, uint64(1), pair.table.Version())
	require.True(t, pair.table.Fresh(pair.now))
	only.declare(t, 2)
	pair.run(100 * time.Millisecond)
	require.Equal(t, uint64(2), pair.table.Version())
}

// TestOneNodeIsAskedAtATime: an answer takes longer than the time between two
// attempts to connect.
func TestOneNodeIsAskedAtATime(t *testing.T) {
	first, second := newMember("a"), newMember("b")
	first.declare(t, 1)
	second.declare(t, 1)
	pair := newPair(t, first, second)
	asked := 0
	pair.lose = func(envelope protocol.Envelope) bool {
		if _, isQuestion := envelope.Message.(Subscribe); isQuestion {
			asked++
		}
		_, isAnswer := envelope.Message.(Update)
		return isAnswer && pair.now.Sub(start) < 120*time.Millisecond
	}
	pair.run(140 * time.Millisecond)
	require.Equal(t, 1, asked)
	pair.run(answerLeast + 50*time.Millisecond)
	require.Equal(t, 2, asked, "a node that does not answer is left")
	require.True(t, pair.table.Serving())
}

func TestLostUpdateIsAskedForAgain(t *testing.T) {
	only := newMember("a")
	only.declare(t, 1)
	pair := newPair(t, only)
	pair.run(200 * time.Millisecond)
	pair.lose = func(envelope protocol.Envelope) bool {
		update, isUpdate := envelope.Message.(Update)
		return isUpdate && update.Changes.To == 2
	}
	only.declare(t, 2)
	pair.run(30 * time.Millisecond)
	require.Equal(t, uint64(1), pair.table.Version())
	only.declare(t, 3)
	pair.run(200 * time.Millisecond)
	require.Equal(t, uint64(3), pair.table.Version())
}

func TestBalancerLeavesAMemberThatIsNotCurrent(t *testing.T) {
	cases := []struct {
		name string
		fail func(pair *pair, member *member)
	}{
		{"without a quorum", func(_ *pair, member *member) { member.fresh = false }},
		{"silent", func(pair *pair, member *member) {
			name := member.mailbox.Self
			pair.lose = func(envelope protocol.Envelope) bool { return envelope.From == name || envelope.To == name }
		}},
		{"does not hear", func(pair *pair, member *member) {
			name := member.mailbox.Self
			pair.lose = func(envelope protocol.Envelope) bool { return envelope.To == name }
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first, second := newMember("a"), newMember("b")
			first.declare(t, 1)
			second.declare(t, 1)
			pair := newPair(t, first, second)
			pair.run(300 * time.Millisecond)
			followed := pair.members[pair.subscriber.Following()]
			other := first
			if followed == first {
				other = second
			}
			test.fail(pair, followed)
			other.declare(t, 2)
			pair.run(subscriptionFor + 2*time.Second)
			require.Equal(t, uint64(2), pair.table.Version())
			require.Equal(t, other.mailbox.Self, pair.subscriber.Following())
			require.Equal(t, connector{other.mailbox.Self: true}, pair.connected, "only the followed member stays connected")
		})
	}
}

func TestMemberThatIsBehindDoesNotTurnTheTableBack(t *testing.T) {
	behind, ahead := newMember("a"), newMember("b")
	behind.declare(t, 1)
	ahead.declare(t, 1)
	ahead.declare(t, 5)
	pair := newPair(t, ahead)
	pair.run(200 * time.Millisecond)
	require.Equal(t, uint64(5), pair.table.Version())
	delete(pair.members, "b")
	pair.members["a"] = behind
	pair.subscriber.SetSeeds([]model.NodeName{"a"})
	pair.run(3 * time.Second)
	require.Equal(t, uint64(5), pair.table.Version())
	require.False(t, pair.table.Fresh(pair.now), "a member that is behind confirms nothing")
}

func TestTableOfAMemberWithoutQuorumServesUntilABetterOneComes(t *testing.T) {
	only := newMember("a")
	only.declare(t, 4)
	only.fresh = false
	pair := newPair(t, only)
	pair.run(200 * time.Millisecond)
	require.True(t, pair.table.Serving())
	require.False(t, pair.table.Fresh(pair.now))
}

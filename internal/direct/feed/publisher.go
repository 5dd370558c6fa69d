package feed

import (
	"slices"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// keepaliveInterval is the time between two signs of life to a balancer.
	keepaliveInterval = 250 * time.Millisecond
	// keepaliveSlack is how much earlier a sign of life may go out, so that a
	// balancer passes one on as soon as it came.
	keepaliveSlack = 30 * time.Millisecond
	// subscriptionFor is how long a balancer counts as a follower after its
	// last subscription.
	subscriptionFor = 4 * time.Second
	// pushPause is the least time between two updates to one balancer, so that
	// a burst of commits makes few messages; each follower adds pushPauseEach,
	// which bounds the messages a second.
	pushPause     = 15 * time.Millisecond
	pushPauseEach = time.Millisecond
)

// Store has what a publisher sends.
type Store interface {
	// Revision returns the revision of the latest change.
	Revision() model.Revision
	// ChangesSince returns what changed after a revision.
	ChangesSince(from model.Revision) directory.Changes
}

// Source is what a publisher reads of its node.
type Source interface {
	// Confirmed returns how long ago a quorum was confirmed, and whether that
	// is recent enough for the store to count as current at now.
	Confirmed(now time.Time) (time.Duration, bool)
	// Members returns the names of the group's members, sorted.
	Members() []model.NodeName
	// Depth returns the number of balancers between this node and the member
	// that it hears of: zero for a member.
	Depth() uint8
}

// follower is one balancer that follows this node.
type follower struct {
	// have is the revision that the follower named last, at its latest subscription.
	have    model.Revision
	heardAt time.Time
	sentAt  time.Time
	sent    model.Revision
	fresh   bool
	members []model.NodeName
	peers   []model.NodeName
	// neighbours are those that the follower was told of last.
	neighbours     []model.NodeName
	toldNeighbours bool
	peer           Peer
	serves         bool
}

// Publisher is the controller that sends a node's store to balancers.
type Publisher struct {
	mailbox       *protocol.Mailbox
	subscriptions *board.Queue[protocol.Envelope]
	others        *board.Queue[protocol.Envelope]
	store         Store
	source        Source
	options       PublisherOptions
	followers     map[model.NodeName]*follower
	// refused are the balancers that were told to follow another node, and get
	// one answer each.
	refused map[model.NodeName]*follower
	// peers chooses the balancers that each follower is told of.
	peers peerBook
	// shownPeers is peers for other goroutines.
	shownPeers atomic.Pointer[[]Peer]
	// shownRevisions are the revisions that the followers have, for other goroutines.
	shownRevisions atomic.Pointer[[]model.Revision]
	// toldAt is when the other members were last told of the followers.
	toldAt time.Time
	// toldFollowers is the number of followers then.
	toldFollowers int
	prepared      preparedChanges
}

// PublisherOptions are what a publisher works with.
type PublisherOptions struct {
	// MaxFollowers bounds the balancers that are fed.
	MaxFollowers int
	// IsMember tells that the node is a member, which tells the other
	// members of its followers.
	IsMember bool
}

// NewPublisher returns the publisher of one node.
func NewPublisher(options PublisherOptions, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, store Store, source Source) *Publisher {
	return &Publisher{
		mailbox:       mailbox,
		subscriptions: dispatcher.Handle(Subscribe{}),
		others:        dispatcher.Handle(Followers{}),
		store:         store,
		prepared:      newPreparedChanges(store),
		source:        source,
		options:       options,
		followers:     make(map[model.NodeName]*follower),
		refused:       make(map[model.NodeName]*follower),
	}
}

// Name implements board.Controller.
func (publisher *Publisher) Name() string { return "direct feed" }

// Sources returns the channels whose notices call for a Reconcile.
func (publisher *Publisher) Sources() []<-chan struct{} {
	return []<-chan struct{}{publisher.subscriptions.Watch()}
}

// Followers returns the number of balancers that follow this node.
func (publisher *Publisher) Followers() int { return len(publisher.followers) }

// Peers returns the balancers that are known here and at other members. It may
// be called from any goroutine; the list must not be modified.
func (publisher *Publisher) Peers() []Peer {
	if peers := publisher.shownPeers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// Behind returns how many of the balancers that follow this node did not have a revision
// yet when they subscribed last, a second ago at the most. It may be called from any
// goroutine.
func (publisher *Publisher) Behind(revision model.Revision) int {
	shown := publisher.shownRevisions.Load()
	if shown == nil {
		return 0
	}
	behind := 0
	for _, have := range *shown {
		if have < revision {
			behind++
		}
	}
	return behind
}

func (publisher *Publisher) showRevisions() {
	revisions := make([]model.Revision, 0, len(publisher.followers))
	for _, known := range publisher.followers {
		revisions = append(revisions, known.have)
	}
	publisher.shownRevisions.Store(&revisions)
}

// Reconcile implements board.Controller.
func (publisher *Publisher) Reconcile(now time.Time) {
	publisher.takeSubscriptions(now)
	publisher.takeOthers(now)
	publisher.dropSilent(now)
	publisher.shownPeers.Store(publisher.peers.list())
	publisher.showRevisions()
	publisher.tellMembers(now)
	batch := batch{
		prepared: &publisher.prepared,
		revision: publisher.store.Revision(),
		members:  publisher.source.Members(),
		depth:    publisher.source.Depth(),
		pause:    pushPause + pushPauseEach*time.Duration(len(publisher.followers)),
	}
	batch.age, batch.fresh = publisher.source.Confirmed(now)
	for _, name := range sortedNames(publisher.followers) {
		known := publisher.followers[name]
		if known.due(now, &batch) {
			publisher.push(now, name, known, batch.update(known.sent))
		}
	}
	for _, name := range sortedNames(publisher.refused) {
		publisher.push(now, name, publisher.refused[name], batch.refusal(publisher.refused[name].sent))
	}
	clear(publisher.refused)
}

// dropSilent forgets followers that no longer subscribe.
func (publisher *Publisher) dropSilent(now time.Time) {
	for name, known := range publisher.followers {
		if now.Sub(known.heardAt) > subscriptionFor {
			delete(publisher.followers, name)
		}
	}
	publisher.peers.dropOld(now)
}

const (
	// tellInterval is the time between two messages to the other members, and
	// tellPause the least time after one when more balancers follow.
	tellInterval = 2 * time.Second
	tellPause    = 200 * time.Millisecond
	// toldPeers bounds the balancers that the other members are told of.
	toldPeers = 32
)

// takeOthers takes in which balancers follow other members.
func (publisher *Publisher) takeOthers(now time.Time) {
	for _, received := range protocol.Receive[Followers](publisher.others) {
		message := received.Message
		for _, told := range message.Peers {
			publisher.peers.hear(told, now)
		}
	}
}

// tellMembers tells the other members of the followers that others may follow.
func (publisher *Publisher) tellMembers(now time.Time) {
	since := now.Sub(publisher.toldAt)
	grown := len(publisher.followers) > publisher.toldFollowers && since >= tellPause
	if !publisher.options.IsMember || !grown && since < tellInterval {
		return
	}
	publisher.toldAt = now
	publisher.toldFollowers = len(publisher.followers)
	var told []Peer
	for _, name := range sortedNames(publisher.followers) {
		if known := publisher.followers[name]; known.serves && len(told) < toldPeers {
			told = append(told, known.peer)
		}
	}
	for _, member := range publisher.source.Members() {
		if member != publisher.mailbox.Self && len(told) > 0 {
			publisher.mailbox.Send(member, Followers{Peers: told})
		}
	}
}

// batch makes the updates of one Reconcile.
type batch struct {
	prepared *preparedChanges
	revision model.Revision
	age      time.Duration
	fresh    bool
	members  []model.NodeName
	depth    uint8
	pause    time.Duration
}

func (batch *batch) update(from model.Revision) Update {
	changes := batch.prepared.since(from)
	return Update{Changes: changes.same, Packed: changes.packed, Fresh: batch.fresh, Age: batch.age, Depth: batch.depth, Members: batch.members}
}

// refusal returns the only answer to a balancer that is to follow another node. Few changes
// go with it, a large table does not: after a mass start all balancers ask the few members
// of their settings first, whose links would carry the whole table to each of them, so that
// the time until all have one would grow with the balancers and with the targets. Without
// it a balancer is at another member within milliseconds. What says nothing of the present
// table must not confirm an older one.
func (batch *batch) refusal(from model.Revision) Update {
	update := batch.update(from)
	update.Elsewhere = true
	if len(update.Packed) > 0 {
		update.Changes = directory.Changes{}
		update.Packed = nil
		update.Fresh = false
	}
	return update
}

func (publisher *Publisher) takeSubscriptions(now time.Time) {
	for _, received := range protocol.Receive[Subscribe](publisher.subscriptions) {
		asked := received.Message
		heard := Peer{Name: received.From, Zone: asked.Zone, Renewals: asked.Renewals}
		known := publisher.followers[received.From]
		switch {
		case known != nil:
		case len(publisher.followers) >= publisher.options.MaxFollowers:
			known = &follower{}
			publisher.refused[received.From] = known
		default:
			known = &follower{}
			publisher.followers[received.From] = known
		}
		if asked.Serves {
			publisher.peers.hear(heard, now)
		}
		*known = follower{heardAt: now, have: asked.Have, sent: asked.Have, peer: heard, serves: asked.Serves}
	}
}

// due tells whether the follower gets an update now.
func (known *follower) due(now time.Time, batch *batch) bool {
	since := now.Sub(known.sentAt)
	changed := batch.revision > known.sent || batch.fresh != known.fresh
	return since >= keepaliveInterval-keepaliveSlack || changed && since >= batch.pause
}

func (publisher *Publisher) push(now time.Time, name model.NodeName, known *follower, update Update) {
	if slices.Equal(known.members, update.Members) {
		update.Members = nil
	} else {
		known.members = update.Members
	}
	if peers := publisher.peers.choose(name, known.peer.Zone); !slices.Equal(known.peers, peers) {
		update.Peers = peers
		known.peers = peers
	}
	if publisher.options.IsMember {
		publisher.tellNeighbours(name, known, &update)
	}
	known.sent = max(known.sent, update.Changes.To)
	known.sentAt = now
	known.fresh = update.Fresh
	publisher.mailbox.Send(name, update)
}

// tellNeighbours tells the follower with which balancers it shares the load of
// targets. Members do so alone: they know of all balancers.
func (publisher *Publisher) tellNeighbours(name model.NodeName, known *follower, update *Update) {
	neighbours := publisher.peers.neighbours(name)
	if !known.toldNeighbours || !slices.Equal(known.neighbours, neighbours) {
		update.NeighboursTold = true
		update.Neighbours = neighbours
		known.toldNeighbours = true
		known.neighbours = neighbours
	}
}

func sortedNames(followers map[model.NodeName]*follower) []model.NodeName {
	names := make([]model.NodeName, 0, len(followers))
	for name := range followers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

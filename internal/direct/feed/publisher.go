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
	// keepaliveInterval is the time between two updates to a follower when nothing changes.
	keepaliveInterval = 250 * time.Millisecond
	// keepaliveSlack is how much earlier than the interval a keepalive may be sent, so that a
	// balancer relays a keepalive as soon as it receives one.
	keepaliveSlack = 30 * time.Millisecond
	// subscriptionTimeout is how long a balancer remains a follower after its last subscription.
	subscriptionTimeout = 4 * time.Second
	// minPushInterval is the least time between two updates to one follower, so that a burst of
	// commits causes few messages. Each follower adds pushIntervalPerFollower, which bounds the
	// total number of messages per second.
	minPushInterval         = 15 * time.Millisecond
	pushIntervalPerFollower = time.Millisecond
)

// Store provides the changes that a publisher sends.
type Store interface {
	// Revision returns the revision of the latest change.
	Revision() model.Revision
	// ChangesSince returns the changes after the revision from.
	ChangesSince(from model.Revision) directory.Changes
}

// Source provides the state of the publisher's node that goes into each update.
type Source interface {
	// Confirmed returns the time since a quorum was last confirmed, and reports whether that is
	// recent enough for the store to be current at now.
	Confirmed(now time.Time) (time.Duration, bool)
	// Members returns the names of the group's members, sorted.
	Members() []model.NodeName
	// Depth returns the number of balancers on the path from the member to this node, including
	// this node: zero for a member.
	Depth() uint8
}

// followerState is the state of one balancer that follows this node. Each subscription resets it,
// so the first update afterwards is sent at once and names peers, neighbours and members again.
type followerState struct {
	// reportedRevision is the revision that the follower had at its latest subscription.
	reportedRevision model.Revision
	subscribedAt     time.Time
	sentAt           time.Time
	// sentRevision is the revision that the follower has once it has received all updates.
	sentRevision model.Revision
	// lastFresh to lastNeighbours hold what was most recently sent since the latest subscription.
	lastFresh      bool
	lastMembers    []model.NodeName
	lastPeers      []model.NodeName
	lastNeighbours []model.NodeName
	neighboursSent bool
	// peer is how other balancers would follow this one; serves means that they may.
	peer   Peer
	serves bool
}

// Publisher is the controller that sends the changes of a node's store to the balancers that follow
// the node.
type Publisher struct {
	mailbox       *protocol.Mailbox
	subscriptions *board.Queue[protocol.Envelope]
	announcements *board.Queue[protocol.Envelope]
	store         Store
	source        Source
	options       PublisherOptions
	followers     map[model.NodeName]*followerState
	// refused are the balancers that subscribed while there were MaxFollowers already. Each gets a
	// single answer, which tells it to follow another node.
	refused map[model.NodeName]*followerState
	// peers are the balancers that may be named to followers.
	peers peerSet
	// peersSnapshot has the contents of peers, for other goroutines.
	peersSnapshot atomic.Pointer[[]Peer]
	// revisionsSnapshot has the reported revisions of the followers, for other goroutines.
	revisionsSnapshot atomic.Pointer[[]model.Revision]
	// announcedAt is the time of the latest announcement of the followers to the other members.
	announcedAt time.Time
	// announcedFollowers is the number of followers at that time.
	announcedFollowers int
	prepared           preparedCache
}

// PublisherOptions are the options of a publisher.
type PublisherOptions struct {
	// MaxFollowers bounds the balancers that follow the node.
	MaxFollowers int
	// IsMember means that the node is a member. A member announces its followers to the other
	// members and sends the neighbours to its followers.
	IsMember bool
}

// NewPublisher returns the publisher of a node.
func NewPublisher(options PublisherOptions, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, store Store, source Source) *Publisher {
	return &Publisher{
		mailbox:       mailbox,
		subscriptions: dispatcher.Handle(Subscribe{}),
		announcements: dispatcher.Handle(Followers{}),
		store:         store,
		prepared:      newPreparedCache(store),
		source:        source,
		options:       options,
		followers:     make(map[model.NodeName]*followerState),
		refused:       make(map[model.NodeName]*followerState),
	}
}

// Name implements board.Controller.
func (publisher *Publisher) Name() string { return "direct feed" }

// Sources returns the channels whose notices trigger a Reconcile.
func (publisher *Publisher) Sources() []<-chan struct{} {
	return []<-chan struct{}{publisher.subscriptions.Watch()}
}

// Followers returns the number of balancers that follow this node. It must not be called
// concurrently with Reconcile.
func (publisher *Publisher) Followers() int { return len(publisher.followers) }

// Peers returns the balancers that others may follow, as known from subscriptions at this node and
// announcements of other members. It may be called from any goroutine; the list must not be
// modified.
func (publisher *Publisher) Peers() []Peer {
	if peers := publisher.peersSnapshot.Load(); peers != nil {
		return *peers
	}
	return nil
}

// Behind returns how many of the followers did not have the revision yet when they last subscribed,
// normally at most a second ago. It may be called from any goroutine.
func (publisher *Publisher) Behind(revision model.Revision) int {
	revisions := publisher.revisionsSnapshot.Load()
	if revisions == nil {
		return 0
	}
	behind := 0
	for _, have := range *revisions {
		if have < revision {
			behind++
		}
	}
	return behind
}

// updateRevisionsSnapshot copies the reported revisions for other goroutines.
func (publisher *Publisher) updateRevisionsSnapshot() {
	revisions := make([]model.Revision, 0, len(publisher.followers))
	for _, follower := range publisher.followers {
		revisions = append(revisions, follower.reportedRevision)
	}
	publisher.revisionsSnapshot.Store(&revisions)
}

// Reconcile implements board.Controller.
func (publisher *Publisher) Reconcile(now time.Time) {
	publisher.handleSubscriptions(now)
	publisher.handleAnnouncements(now)
	publisher.removeExpiredFollowers(now)
	publisher.peersSnapshot.Store(publisher.peers.list())
	publisher.updateRevisionsSnapshot()
	publisher.announceFollowers(now)
	batch := batch{
		prepared:    &publisher.prepared,
		revision:    publisher.store.Revision(),
		members:     publisher.source.Members(),
		depth:       publisher.source.Depth(),
		minInterval: minPushInterval + pushIntervalPerFollower*time.Duration(len(publisher.followers)),
	}
	batch.age, batch.fresh = publisher.source.Confirmed(now)
	for _, name := range sortedNames(publisher.followers) {
		follower := publisher.followers[name]
		if follower.due(now, &batch) {
			publisher.push(now, name, follower, batch.update(follower.sentRevision))
		}
	}
	for _, name := range sortedNames(publisher.refused) {
		publisher.push(now, name, publisher.refused[name], batch.refusal(publisher.refused[name].sentRevision))
	}
	clear(publisher.refused)
}

// removeExpiredFollowers removes followers that no longer subscribe, and expired peers.
func (publisher *Publisher) removeExpiredFollowers(now time.Time) {
	for name, follower := range publisher.followers {
		if now.Sub(follower.subscribedAt) > subscriptionTimeout {
			delete(publisher.followers, name)
		}
	}
	publisher.peers.removeExpired(now)
}

const (
	// announceInterval is the time between two announcements to the other members. When the number
	// of followers has grown, the next one is sent after minAnnounceInterval.
	announceInterval    = 2 * time.Second
	minAnnounceInterval = 200 * time.Millisecond
	// maxAnnouncedPeers bounds the balancers in an announcement.
	maxAnnouncedPeers = 32
)

// handleAnnouncements records the peers that follow other members.
func (publisher *Publisher) handleAnnouncements(now time.Time) {
	for _, received := range protocol.Receive[Followers](publisher.announcements) {
		message := received.Message
		for _, peer := range message.Peers {
			publisher.peers.observe(peer, now)
		}
	}
}

// announceFollowers sends the other members the followers that other balancers may follow.
func (publisher *Publisher) announceFollowers(now time.Time) {
	elapsed := now.Sub(publisher.announcedAt)
	grown := len(publisher.followers) > publisher.announcedFollowers && elapsed >= minAnnounceInterval
	if !publisher.options.IsMember || !grown && elapsed < announceInterval {
		return
	}
	publisher.announcedAt = now
	publisher.announcedFollowers = len(publisher.followers)
	var peers []Peer
	for _, name := range sortedNames(publisher.followers) {
		if follower := publisher.followers[name]; follower.serves && len(peers) < maxAnnouncedPeers {
			peers = append(peers, follower.peer)
		}
	}
	for _, member := range publisher.source.Members() {
		if member != publisher.mailbox.Self && len(peers) > 0 {
			publisher.mailbox.Send(member, Followers{Peers: peers})
		}
	}
}

// batch creates the updates of one Reconcile.
type batch struct {
	prepared *preparedCache
	revision model.Revision
	age      time.Duration
	fresh    bool
	members  []model.NodeName
	depth    uint8
	// minInterval is the least time between two updates to one follower.
	minInterval time.Duration
}

// update returns the update for a follower that has the revision from.
func (batch *batch) update(from model.Revision) Update {
	changes := batch.prepared.since(from)
	return Update{Changes: changes.changes, Packed: changes.packed, Fresh: batch.fresh, Age: batch.age, Depth: batch.depth, Members: batch.members}
}

// refusal returns the only answer to a balancer that should follow another node. It leaves out
// changes that are so many that they are packed. After a mass start all balancers subscribe first
// at the few members in their settings. If these sent the full table to each of them over their
// links, the time until all balancers have a table would grow with the number of balancers and of
// targets. Without the table, a balancer reaches another member within milliseconds. A refusal that
// leaves out changes must not confirm the balancer's older table.
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

// handleSubscriptions adds or renews the followers that subscribed, and refuses new ones when there
// are MaxFollowers already.
func (publisher *Publisher) handleSubscriptions(now time.Time) {
	for _, received := range protocol.Receive[Subscribe](publisher.subscriptions) {
		request := received.Message
		peer := Peer{Name: received.From, Zone: request.Zone, Renewals: request.Renewals}
		follower := publisher.followers[received.From]
		switch {
		case follower != nil:
		case len(publisher.followers) >= publisher.options.MaxFollowers:
			follower = &followerState{}
			publisher.refused[received.From] = follower
		default:
			follower = &followerState{}
			publisher.followers[received.From] = follower
		}
		if request.Serves {
			publisher.peers.observe(peer, now)
		}
		*follower = followerState{subscribedAt: now, reportedRevision: request.Have, sentRevision: request.Have, peer: peer, serves: request.Serves}
	}
}

// due reports whether the follower gets an update at now.
func (follower *followerState) due(now time.Time, batch *batch) bool {
	elapsed := now.Sub(follower.sentAt)
	changed := batch.revision > follower.sentRevision || batch.fresh != follower.lastFresh
	return elapsed >= keepaliveInterval-keepaliveSlack || changed && elapsed >= batch.minInterval
}

// push sends an update to a follower. It leaves out the members if they did not change, and adds
// the peers and neighbours if they did.
func (publisher *Publisher) push(now time.Time, name model.NodeName, follower *followerState, update Update) {
	if slices.Equal(follower.lastMembers, update.Members) {
		update.Members = nil
	} else {
		follower.lastMembers = update.Members
	}
	if peers := publisher.peers.choose(name, follower.peer.Zone); !slices.Equal(follower.lastPeers, peers) {
		update.Peers = peers
		follower.lastPeers = peers
	}
	if publisher.options.IsMember {
		publisher.addNeighbours(name, follower, &update)
	}
	follower.sentRevision = max(follower.sentRevision, update.Changes.To)
	follower.sentAt = now
	follower.lastFresh = update.Fresh
	publisher.mailbox.Send(name, update)
}

// addNeighbours adds the balancers to exchange load reports with to the update, if they changed.
// Only members do so, because they know all balancers.
func (publisher *Publisher) addNeighbours(name model.NodeName, follower *followerState, update *Update) {
	neighbours := publisher.peers.neighbours(name)
	if !follower.neighboursSent || !slices.Equal(follower.lastNeighbours, neighbours) {
		update.NeighboursTold = true
		update.Neighbours = neighbours
		follower.neighboursSent = true
		follower.lastNeighbours = neighbours
	}
}

func sortedNames(followers map[model.NodeName]*followerState) []model.NodeName {
	names := make([]model.NodeName, 0, len(followers))
	for name := range followers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

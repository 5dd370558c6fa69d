package feed

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// subscribeInterval is the time between two subscriptions at the followed node.
	subscribeInterval = time.Second
	// searchInterval is the time between attempts at two nodes while no node is followed.
	searchInterval = 40 * time.Millisecond
	// maxConfirmationAge is the age of the latest quorum confirmation above which the balancer
	// leaves the followed node and tries others.
	maxConfirmationAge = 700 * time.Millisecond
	// minAnswerTimeout is how long a connected node may take to answer before the next one is
	// tried. The timeout doubles with each node that does not answer, up to maxAnswerTimeout. A
	// full table takes a while on a slow link, and subscriptions at several nodes at once would
	// bring a full table from each.
	minAnswerTimeout = 150 * time.Millisecond
	maxAnswerTimeout = 1200 * time.Millisecond
	// memberRetryInterval is the time between attempts at two members while another balancer is
	// followed.
	memberRetryInterval = time.Second
	// maxDepth bounds the number of balancers on the path from a member to a balancer, including
	// that balancer.
	maxDepth = 4
)

// Connector opens and closes connections to members and balancers.
type Connector interface {
	// Connect opens a connection to the node and keeps it open until Disconnect.
	Connect(node model.NodeName)
	// Connected reports whether the connection is established.
	Connected(node model.NodeName) bool
	// Disconnect closes the connection.
	Disconnect(node model.NodeName)
}

// SubscriberOptions are the options of a subscriber.
type SubscriberOptions struct {
	// Seeds are the members that the settings name.
	Seeds []model.NodeName
	// Zone is the balancer's zone.
	Zone model.ZoneName
	// Serves means that other balancers may follow this one.
	Serves bool
	// Renewals is the address at which this balancer accepts renewals of targets; empty if it
	// accepts none.
	Renewals string
	// OnChange, if not nil, is called with the changes of each update that changed the table, and
	// with the node that sent it.
	OnChange func(changes directory.Changes, from model.NodeName)
}

// Subscriber is the controller that keeps a balancer's table up to date. It chooses the node to
// follow and applies the updates that it receives.
type Subscriber struct {
	options   SubscriberOptions
	mailbox   *protocol.Mailbox
	updates   *board.Queue[protocol.Envelope]
	table     *steer.Table
	connector Connector
	// seeds are the members that the settings name, members the members to try, which include the
	// seeds, and peers the balancers to try after them.
	seeds   []model.NodeName
	members []model.NodeName
	peers   []model.NodeName
	// following is the followed node; empty while one is searched for.
	following model.NodeName
	// followingSnapshot and membersSnapshot are following and members, for other goroutines.
	followingSnapshot atomic.Value
	membersSnapshot   atomic.Pointer[[]model.NodeName]
	// neighbours are the balancers to exchange load reports with; nil until the first update with
	// neighbours.
	neighbours atomic.Pointer[[]model.NodeName]
	// depth is one more than that of the followed node.
	depth atomic.Uint32
	// newSeeds are the seeds that the next Reconcile will use; nil if they did not change.
	newSeeds atomic.Pointer[[]model.NodeName]
	// connected are the nodes to which the connector keeps a connection.
	connected map[model.NodeName]bool
	// confirmedAt is the time of the latest quorum confirmation from a followed node; before the
	// first one, the time of the first Reconcile.
	confirmedAt time.Time
	// subscribedAt is the time of the latest regular subscription at the followed node.
	subscribedAt time.Time
	// attemptedAt is the time of the latest attempt at a node that was not followed.
	attemptedAt time.Time
	// attempted is the node of that attempt. answered means that it answered, and answerTimeout is
	// how long it may take once it is connected.
	attempted     model.NodeName
	answered      bool
	answerTimeout time.Duration
	// nextCandidate is the index of the next node to try, modulo the number of nodes to try.
	nextCandidate int
}

// NewSubscriber returns the controller that keeps table up to date.
func NewSubscriber(options SubscriberOptions, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, table *steer.Table, connector Connector) *Subscriber {
	subscriber := &Subscriber{
		options:       options,
		mailbox:       mailbox,
		updates:       dispatcher.Handle(Update{}),
		table:         table,
		connector:     connector,
		seeds:         slices.Clone(options.Seeds),
		members:       slices.Clone(options.Seeds),
		connected:     make(map[model.NodeName]bool),
		answerTimeout: minAnswerTimeout,
	}
	subscriber.updateSnapshots()
	return subscriber
}

// Name implements board.Controller.
func (subscriber *Subscriber) Name() string { return "direct table" }

// Sources returns the channels whose notices trigger a Reconcile.
func (subscriber *Subscriber) Sources() []<-chan struct{} {
	return []<-chan struct{}{subscriber.updates.Watch()}
}

// SetSeeds replaces the seeds. It takes effect with the next Reconcile. It may be called from any
// goroutine.
func (subscriber *Subscriber) SetSeeds(seeds []model.NodeName) {
	newSeeds := slices.Clone(seeds)
	subscriber.newSeeds.Store(&newSeeds)
}

// applyNewSeeds uses the seeds of the latest SetSeeds. Previous seeds remain members to try until
// an update names the members.
func (subscriber *Subscriber) applyNewSeeds() {
	if newSeeds := subscriber.newSeeds.Swap(nil); newSeeds != nil {
		subscriber.seeds = *newSeeds
		subscriber.members = union(subscriber.members, *newSeeds)
	}
}

// Following returns the followed node, or the empty name if there is none. It may be called from
// any goroutine.
func (subscriber *Subscriber) Following() model.NodeName {
	name, _ := subscriber.followingSnapshot.Load().(model.NodeName)
	return name
}

// FollowedMember returns the followed node if it is a member, and the empty name otherwise. It may
// be called from any goroutine.
func (subscriber *Subscriber) FollowedMember() model.NodeName {
	following := subscriber.Following()
	if !slices.Contains(subscriber.Members(), following) {
		return ""
	}
	return following
}

// Members returns the known members of the control group, including the seeds. It may be called
// from any goroutine; the names must not be modified.
func (subscriber *Subscriber) Members() []model.NodeName { return *subscriber.membersSnapshot.Load() }

// Neighbours returns the balancers to exchange load reports with. It may be called from any
// goroutine; the names must not be modified.
func (subscriber *Subscriber) Neighbours() []model.NodeName {
	if neighbours := subscriber.neighbours.Load(); neighbours != nil {
		return *neighbours
	}
	return nil
}

// Depth returns the number of balancers on the path from the member to this balancer, including
// this one. It may be called from any goroutine.
func (subscriber *Subscriber) Depth() uint8 { return uint8(subscriber.depth.Load()) }

// updateSnapshots copies the followed node and the members for other goroutines.
func (subscriber *Subscriber) updateSnapshots() {
	members := subscriber.members
	subscriber.membersSnapshot.Store(&members)
	subscriber.followingSnapshot.Store(subscriber.following)
}

// Reconcile implements board.Controller.
func (subscriber *Subscriber) Reconcile(now time.Time) {
	if subscriber.confirmedAt.IsZero() {
		subscriber.confirmedAt = now
	}
	subscriber.applyNewSeeds()
	for _, received := range protocol.Receive[Update](subscriber.updates) {
		update := received.Message
		subscriber.applyUpdate(now, received.From, update)
	}
	if now.Sub(subscriber.confirmedAt) > maxConfirmationAge {
		subscriber.unfollow()
	}
	subscriber.updateSnapshots()
	switch {
	case subscriber.following == "":
		subscriber.search(now)
	case now.Sub(subscriber.subscribedAt) >= subscribeInterval:
		subscriber.subscribedAt = now
		subscriber.subscribe(subscriber.following)
	case !subscriber.isMember(subscriber.following):
		subscriber.tryNext(now, memberRetryInterval, subscriber.membersInOrder())
	}
}

// search tries the next node. It does so after searchInterval if the previous one is not connected,
// or answered and is not followed; otherwise after answerTimeout.
func (subscriber *Subscriber) search(now time.Time) {
	interval := searchInterval
	if !subscriber.answered && subscriber.attempted != "" && subscriber.connector.Connected(subscriber.attempted) {
		interval = subscriber.answerTimeout
	}
	if now.Sub(subscriber.attemptedAt) < interval {
		return
	}
	if interval == subscriber.answerTimeout {
		subscriber.answerTimeout = min(2*subscriber.answerTimeout, maxAnswerTimeout)
	}
	subscriber.tryNext(now, interval, subscriber.candidates())
}

func (subscriber *Subscriber) isMember(node model.NodeName) bool {
	return slices.Contains(subscriber.members, node)
}

// candidates returns the nodes to try in turn: first all members, then the peers.
func (subscriber *Subscriber) candidates() []model.NodeName {
	return append(subscriber.membersInOrder(), subscriber.peers...)
}

// membersInOrder returns the members in the order in which this balancer tries them. The order
// starts at a hash of the balancer's name, so that the balancers spread over the members.
func (subscriber *Subscriber) membersInOrder() []model.NodeName {
	members := subscriber.members
	if len(members) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(string(subscriber.mailbox.Self)) % uint64(len(members)))
	return slices.Concat(members[start:], members[:start])
}

// applyUpdate applies an update of the node from. If changes before those in the update are missing
// and from is the followed node, it subscribes again with the table's revision. An update that
// cannot be unpacked is ignored.
func (subscriber *Subscriber) applyUpdate(now time.Time, from model.NodeName, update Update) {
	if len(update.Packed) > 0 {
		changes, err := unpack(update.Packed)
		if err != nil {
			return
		}
		update.Changes = changes
	}
	if len(update.Members) > 0 {
		subscriber.members = union(update.Members, subscriber.seeds)
	}
	if len(update.Peers) > 0 {
		subscriber.peers = update.Peers
	}
	if update.NeighboursTold {
		subscriber.neighbours.Store(&update.Neighbours)
	}
	subscriber.answered = subscriber.answered || from == subscriber.attempted
	previousRevision := subscriber.table.Revision()
	current := subscriber.table.Apply(update.Changes, now)
	if subscriber.table.Revision() > previousRevision && subscriber.options.OnChange != nil {
		subscriber.options.OnChange(update.Changes, from)
	}
	switch {
	case current && update.Fresh:
		subscriber.handleConfirmation(now, from, update)
	case !current && update.Changes.From > previousRevision && from == subscriber.following:
		subscriber.subscribe(from)
	}
}

// handleConfirmation records that the table was current update.Age ago, and follows the sender if
// that is better than the followed node. It leaves the followed node if that is too deep, as in a
// cycle of balancers.
func (subscriber *Subscriber) handleConfirmation(now time.Time, from model.NodeName, update Update) {
	confirmedAt := now.Add(-update.Age)
	subscriber.table.Confirm(confirmedAt)
	withinDepth := update.Depth < maxDepth
	if !update.Elsewhere && withinDepth && update.Age <= maxConfirmationAge {
		subscriber.followIfBetter(now, from)
	}
	if from != subscriber.following {
		return
	}
	subscriber.depth.Store(uint32(update.Depth) + 1)
	switch {
	case !withinDepth:
		subscriber.unfollow()
	case confirmedAt.After(subscriber.confirmedAt):
		subscriber.confirmedAt = confirmedAt
	}
}

// unfollow stops following the node, if any. The search for another one begins with the members.
func (subscriber *Subscriber) unfollow() {
	if subscriber.following != "" {
		subscriber.following = ""
		subscriber.nextCandidate = 0
	}
}

// followIfBetter follows a node that is current if no node is followed, or if the node is a member
// and the followed one is not. It closes the connections to all other nodes.
func (subscriber *Subscriber) followIfBetter(now time.Time, node model.NodeName) {
	better := subscriber.isMember(node) && !subscriber.isMember(subscriber.following)
	if node == subscriber.following || subscriber.following != "" && !better {
		return
	}
	subscriber.following = node
	subscriber.answerTimeout = minAnswerTimeout
	subscriber.subscribedAt = now
	for other := range subscriber.connected {
		if other != node {
			subscriber.disconnect(other)
		}
	}
}

func (subscriber *Subscriber) disconnect(node model.NodeName) {
	subscriber.connector.Disconnect(node)
	delete(subscriber.connected, node)
}

// tryNext connects to the next of nodes and subscribes there, at most once per interval.
func (subscriber *Subscriber) tryNext(now time.Time, interval time.Duration, nodes []model.NodeName) {
	if now.Sub(subscriber.attemptedAt) < interval || len(nodes) == 0 {
		return
	}
	subscriber.attemptedAt = now
	node := nodes[subscriber.nextCandidate%len(nodes)]
	subscriber.nextCandidate++
	subscriber.attempted = node
	subscriber.answered = false
	if !subscriber.connected[node] {
		subscriber.connected[node] = true
		subscriber.connector.Connect(node)
	}
	subscriber.subscribe(node)
}

// subscribe sends the node a subscription with the table's revision.
func (subscriber *Subscriber) subscribe(node model.NodeName) {
	subscriber.mailbox.Send(node, Subscribe{
		Have:     subscriber.table.Revision(),
		Zone:     subscriber.options.Zone,
		Serves:   subscriber.options.Serves,
		Renewals: subscriber.options.Renewals,
	})
}

// union returns the sorted union of two lists of names.
func union(first, second []model.NodeName) []model.NodeName {
	names := append(slices.Clone(first), second...)
	slices.Sort(names)
	return slices.Compact(names)
}

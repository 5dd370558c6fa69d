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
	// subscribeInterval is the time between two subscriptions at the member
	// that is followed.
	subscribeInterval = time.Second
	// searchInterval is the time between two subscriptions while there is no
	// table, and between two members that are tried.
	searchInterval = 40 * time.Millisecond
	// silenceLimit is how old the word of a quorum may get before another node
	// is tried.
	silenceLimit = 700 * time.Millisecond
	// answerLeast is how long a node that is connected may take to answer before
	// the next one is asked; each time that passes without an answer doubles it,
	// up to answerMost. A whole table takes a while on a slow link, and asking
	// several nodes at once would bring as many of them.
	answerLeast = 150 * time.Millisecond
	answerMost  = 1200 * time.Millisecond
	// returnInterval is the time between two members that are tried while a
	// balancer is followed.
	returnInterval = time.Second
	// maximumDepth bounds the balancers between a balancer and the member that
	// it hears of.
	maximumDepth = 4
)

// Connector makes and closes connections to members and balancers.
type Connector interface {
	// Connect keeps a connection to the node from now on.
	Connect(node model.NodeName)
	// Connected tells whether the connection stands.
	Connected(node model.NodeName) bool
	// Disconnect closes it.
	Disconnect(node model.NodeName)
}

// SubscriberOptions are what a subscriber works with.
type SubscriberOptions struct {
	// Seeds are the members of the settings.
	Seeds []model.NodeName
	// Zone is the balancer's zone.
	Zone model.ZoneName
	// Serves tells that other balancers may follow this one.
	Serves bool
	// Renewals is the address at which this balancer takes renewals; empty when
	// it takes none.
	Renewals string
	// OnChange, when it is not nil, is called with each update that changed
	// the table.
	OnChange func(changes directory.Changes, from model.NodeName)
}

// Subscriber is the controller that keeps a balancer's table.
type Subscriber struct {
	options   SubscriberOptions
	mailbox   *protocol.Mailbox
	updates   *board.Queue[protocol.Envelope]
	table     *steer.Table
	connector Connector
	// seeds are the members of the settings, members those to try, and peers
	// the balancers to try after them.
	seeds   []model.NodeName
	members []model.NodeName
	peers   []model.NodeName
	// following is the node whose updates are awaited; empty while all known
	// nodes are asked.
	following model.NodeName
	// shown and shownMembers are following and members for other goroutines.
	shown        atomic.Value
	shownMembers atomic.Pointer[[]model.NodeName]
	// neighbours are the balancers that share the load of targets.
	neighbours atomic.Pointer[[]model.NodeName]
	// depth is one more than that of the followed node.
	depth     atomic.Uint32
	newSeeds  atomic.Pointer[[]model.NodeName]
	connected map[model.NodeName]bool
	freshAt   time.Time
	askedAt   time.Time
	triedAt   time.Time
	// tried is the node that was asked last while searching, answered tells
	// whether it did, and patience is how long it may take once it is connected.
	tried    model.NodeName
	answered bool
	patience time.Duration
	position int
}

// NewSubscriber returns the controller that keeps table.
func NewSubscriber(options SubscriberOptions, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, table *steer.Table, connector Connector) *Subscriber {
	created := &Subscriber{
		options:   options,
		mailbox:   mailbox,
		updates:   dispatcher.Handle(Update{}),
		table:     table,
		connector: connector,
		seeds:     slices.Clone(options.Seeds),
		members:   slices.Clone(options.Seeds),
		connected: make(map[model.NodeName]bool),
		patience:  answerLeast,
	}
	created.show()
	return created
}

// Name implements board.Controller.
func (subscriber *Subscriber) Name() string { return "direct table" }

// Sources returns the channels whose notices call for a Reconcile.
func (subscriber *Subscriber) Sources() []<-chan struct{} {
	return []<-chan struct{}{subscriber.updates.Watch()}
}

// SetSeeds replaces the members of the settings. It may be called from any
// goroutine.
func (subscriber *Subscriber) SetSeeds(seeds []model.NodeName) {
	replaced := slices.Clone(seeds)
	subscriber.newSeeds.Store(&replaced)
}

func (subscriber *Subscriber) takeSeeds() {
	if replaced := subscriber.newSeeds.Swap(nil); replaced != nil {
		subscriber.seeds = *replaced
		subscriber.members = merged(subscriber.members, *replaced)
	}
}

// Following returns the node that is followed, or the empty name.
// It may be called from any goroutine.
func (subscriber *Subscriber) Following() model.NodeName {
	name, _ := subscriber.shown.Load().(model.NodeName)
	return name
}

// FollowedMember returns the member that is followed, or the empty name when none
// is. It may be called from any goroutine.
func (subscriber *Subscriber) FollowedMember() model.NodeName {
	following := subscriber.Following()
	if !slices.Contains(subscriber.Members(), following) {
		return ""
	}
	return following
}

// Members returns the members of the control group that are known. It may be
// called from any goroutine; the names must not be modified.
func (subscriber *Subscriber) Members() []model.NodeName { return *subscriber.shownMembers.Load() }

// Neighbours returns the balancers to tell of the load of targets. It may be
// called from any goroutine; the names must not be modified.
func (subscriber *Subscriber) Neighbours() []model.NodeName {
	if neighbours := subscriber.neighbours.Load(); neighbours != nil {
		return *neighbours
	}
	return nil
}

// Depth returns the number of balancers between this one and the member that it
// hears of, counting this one. It may be called from any goroutine.
func (subscriber *Subscriber) Depth() uint8 { return uint8(subscriber.depth.Load()) }

func (subscriber *Subscriber) show() {
	members := subscriber.members
	subscriber.shownMembers.Store(&members)
	subscriber.shown.Store(subscriber.following)
}

// Reconcile implements board.Controller.
func (subscriber *Subscriber) Reconcile(now time.Time) {
	if subscriber.freshAt.IsZero() {
		subscriber.freshAt = now
	}
	subscriber.takeSeeds()
	for _, received := range protocol.Receive[Update](subscriber.updates) {
		update := received.Message
		subscriber.take(now, received.From, update)
	}
	if now.Sub(subscriber.freshAt) > silenceLimit {
		subscriber.lose()
	}
	subscriber.show()
	switch {
	case subscriber.following == "":
		subscriber.searchAnew(now)
	case now.Sub(subscriber.askedAt) >= subscribeInterval:
		subscriber.askedAt = now
		subscriber.ask(subscriber.following)
	case !subscriber.isMember(subscriber.following):
		subscriber.search(now, returnInterval, subscriber.membersInOrder())
	}
}

// searchAnew asks the next node once the one before it does not connect, or
// does not answer.
func (subscriber *Subscriber) searchAnew(now time.Time) {
	pause := searchInterval
	if !subscriber.answered && subscriber.tried != "" && subscriber.connector.Connected(subscriber.tried) {
		pause = subscriber.patience
	}
	if now.Sub(subscriber.triedAt) < pause {
		return
	}
	if pause == subscriber.patience {
		subscriber.patience = min(2*subscriber.patience, answerMost)
	}
	subscriber.search(now, pause, subscriber.candidates())
}

func (subscriber *Subscriber) isMember(node model.NodeName) bool {
	return slices.Contains(subscriber.members, node)
}

// candidates are the nodes to try in turn: all members, beginning at a place of
// this balancer's own so that balancers spread over them, and then balancers.
func (subscriber *Subscriber) candidates() []model.NodeName {
	return append(subscriber.membersInOrder(), subscriber.peers...)
}

func (subscriber *Subscriber) membersInOrder() []model.NodeName {
	members := subscriber.members
	if len(members) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(string(subscriber.mailbox.Self)) % uint64(len(members)))
	return slices.Concat(members[start:], members[:start])
}

// take applies an update. A gap makes the subscriber ask again from what it
// has.
func (subscriber *Subscriber) take(now time.Time, from model.NodeName, update Update) {
	if len(update.Packed) > 0 {
		changes, err := unpack(update.Packed)
		if err != nil {
			return
		}
		update.Changes = changes
	}
	if len(update.Members) > 0 {
		subscriber.members = merged(update.Members, subscriber.seeds)
	}
	if len(update.Peers) > 0 {
		subscriber.peers = update.Peers
	}
	if update.NeighboursTold {
		subscriber.neighbours.Store(&update.Neighbours)
	}
	subscriber.answered = subscriber.answered || from == subscriber.tried
	before := subscriber.table.Revision()
	current := subscriber.table.Apply(update.Changes, now)
	if subscriber.table.Revision() > before && subscriber.options.OnChange != nil {
		subscriber.options.OnChange(update.Changes, from)
	}
	switch {
	case current && update.Fresh:
		subscriber.confirm(now, from, update)
	case !current && update.Changes.From > before && from == subscriber.following:
		subscriber.ask(from)
	}
}

// confirm takes in that the table was current a while ago.
func (subscriber *Subscriber) confirm(now time.Time, from model.NodeName, update Update) {
	confirmedAt := now.Add(-update.Age)
	subscriber.table.Confirm(confirmedAt)
	near := update.Depth < maximumDepth
	if !update.Elsewhere && near && update.Age <= silenceLimit {
		subscriber.consider(now, from)
	}
	if from != subscriber.following {
		return
	}
	subscriber.depth.Store(uint32(update.Depth) + 1)
	switch {
	case !near:
		subscriber.lose()
	case confirmedAt.After(subscriber.freshAt):
		subscriber.freshAt = confirmedAt
	}
}

// lose ends the following of a node; the search for another one begins at the
// members.
func (subscriber *Subscriber) lose() {
	if subscriber.following != "" {
		subscriber.following = ""
		subscriber.position = 0
	}
}

// consider follows a node that is current when none is followed, and a member
// rather than another balancer.
func (subscriber *Subscriber) consider(now time.Time, node model.NodeName) {
	better := subscriber.isMember(node) && !subscriber.isMember(subscriber.following)
	if node == subscriber.following || subscriber.following != "" && !better {
		return
	}
	subscriber.following = node
	subscriber.patience = answerLeast
	subscriber.askedAt = now
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

// search asks nodes in turn.
func (subscriber *Subscriber) search(now time.Time, pause time.Duration, nodes []model.NodeName) {
	if now.Sub(subscriber.triedAt) < pause || len(nodes) == 0 {
		return
	}
	subscriber.triedAt = now
	node := nodes[subscriber.position%len(nodes)]
	subscriber.position++
	subscriber.tried = node
	subscriber.answered = false
	if !subscriber.connected[node] {
		subscriber.connected[node] = true
		subscriber.connector.Connect(node)
	}
	subscriber.ask(node)
}

func (subscriber *Subscriber) ask(node model.NodeName) {
	subscriber.mailbox.Send(node, Subscribe{
		Have:     subscriber.table.Revision(),
		Zone:     subscriber.options.Zone,
		Serves:   subscriber.options.Serves,
		Renewals: subscriber.options.Renewals,
	})
}

// merged returns the sorted union of two lists of names.
func merged(first, second []model.NodeName) []model.NodeName {
	union := append(slices.Clone(first), second...)
	slices.Sort(union)
	return slices.Compact(union)
}

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
	// silenceLimit is how long the followed member may be silent, or without a
	// quorum, before another one is tried.
	silenceLimit = 700 * time.Millisecond
)

// Connector makes and closes connections to members.
type Connector interface {
	// Connect keeps a connection to the member from now on.
	Connect(member model.NodeName)
	// Disconnect closes it.
	Disconnect(member model.NodeName)
}

// Subscriber is the controller that keeps a balancer's table.
type Subscriber struct {
	mailbox   *protocol.Mailbox
	updates   *board.Queue[protocol.Envelope]
	table     *steer.Table
	connector Connector

	// seeds are the members of the settings, known the members to try.
	seeds []model.NodeName
	known []model.NodeName
	// following is the member whose updates are awaited; empty while all
	// known members are asked.
	following model.NodeName
	// shown is following for other goroutines.
	shown     atomic.Value
	newSeeds  atomic.Pointer[[]model.NodeName]
	connected map[model.NodeName]bool
	freshAt   time.Time
	askedAt   time.Time
	searching time.Time
	position  int
	changes   func(directory.Changes, model.NodeName)
}

// NewSubscriber returns the controller that keeps table. onChange, which may
// be nil, is called with each update that changed the table.
func NewSubscriber(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, table *steer.Table, connector Connector,
	seeds []model.NodeName, onChange func(directory.Changes, model.NodeName)) *Subscriber {
	return &Subscriber{
		mailbox:   mailbox,
		updates:   dispatcher.Handle(Update{}),
		table:     table,
		connector: connector,
		seeds:     slices.Clone(seeds),
		known:     slices.Clone(seeds),
		connected: make(map[model.NodeName]bool),
		changes:   onChange,
	}
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
		subscriber.known = merged(subscriber.known, *replaced)
	}
}

// Following returns the member that is followed, or the empty name.
// It may be called from any goroutine.
func (subscriber *Subscriber) Following() model.NodeName {
	name, _ := subscriber.shown.Load().(model.NodeName)
	return name
}

// Reconcile implements board.Controller.
func (subscriber *Subscriber) Reconcile(now time.Time) {
	if subscriber.freshAt.IsZero() {
		subscriber.freshAt = now
	}
	subscriber.takeSeeds()
	for _, envelope := range subscriber.updates.Drain() {
		update, _ := envelope.Message.(Update)
		subscriber.take(now, envelope.From, update)
	}
	if now.Sub(subscriber.freshAt) > silenceLimit {
		subscriber.following = ""
	}
	subscriber.shown.Store(subscriber.following)
	if subscriber.following == "" {
		subscriber.search(now)
		return
	}
	if now.Sub(subscriber.askedAt) >= subscribeInterval {
		subscriber.ask(now, subscriber.following)
	}
}

// take applies an update. A gap makes the subscriber ask again from what it
// has.
func (subscriber *Subscriber) take(now time.Time, from model.NodeName, update Update) {
	if len(update.Members) > 0 {
		subscriber.known = merged(update.Members, subscriber.seeds)
	}
	before := subscriber.table.Revision()
	current := subscriber.table.Apply(update.Changes, now)
	if subscriber.table.Revision() > before && subscriber.changes != nil {
		subscriber.changes(update.Changes, from)
	}
	switch {
	case current && update.Fresh:
		subscriber.table.Confirm(now)
		subscriber.follow(now, from)
	case !current && update.Changes.From > before && from == subscriber.following:
		subscriber.ask(now, from)
	}
}

// follow keeps the connection to the first member that is current and closes
// the others.
func (subscriber *Subscriber) follow(now time.Time, member model.NodeName) {
	if subscriber.following == "" {
		subscriber.following = member
		for other := range subscriber.connected {
			if other != member {
				subscriber.connector.Disconnect(other)
				delete(subscriber.connected, other)
			}
		}
	}
	if member == subscriber.following {
		subscriber.freshAt = now
	}
}

// search asks known members in turn, beginning at a place of this balancer's
// own so that balancers spread over the members.
func (subscriber *Subscriber) search(now time.Time) {
	if now.Sub(subscriber.searching) < searchInterval || len(subscriber.known) == 0 {
		return
	}
	subscriber.searching = now
	start := int(xxhash.Sum64String(string(subscriber.mailbox.Self)) % uint64(len(subscriber.known)))
	member := subscriber.known[(start+subscriber.position)%len(subscriber.known)]
	subscriber.position++
	if !subscriber.connected[member] {
		subscriber.connected[member] = true
		subscriber.connector.Connect(member)
	}
	subscriber.ask(now, member)
}

func (subscriber *Subscriber) ask(now time.Time, member model.NodeName) {
	subscriber.askedAt = now
	subscriber.mailbox.Send(member, Subscribe{Have: subscriber.table.Revision()})
}

// merged returns the sorted union of two lists of names.
func merged(first, second []model.NodeName) []model.NodeName {
	union := append(slices.Clone(first), second...)
	slices.Sort(union)
	return slices.Compact(union)
}

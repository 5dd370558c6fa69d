package feed

import (
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// keepaliveInterval is the time between two signs of life to a balancer.
	keepaliveInterval = 250 * time.Millisecond
	// subscriptionFor is how long a balancer counts as a follower after its
	// last subscription.
	subscriptionFor = 4 * time.Second
	// pushPause is the least time between two updates to one balancer, so that
	// a burst of commits makes few messages.
	pushPause = 15 * time.Millisecond
)

// Source is what a publisher reads of its member.
type Source interface {
	// Fresh tells whether the member knows of a confirmed quorum at now.
	Fresh(now time.Time) bool
	// Members returns the names of the group's members, sorted.
	Members() []model.NodeName
}

// follower is one balancer that follows this member.
type follower struct {
	heardAt time.Time
	sentAt  time.Time
	sent    model.Revision
	fresh   bool
	members []model.NodeName
}

// Publisher is the controller that sends the directory to balancers.
type Publisher struct {
	mailbox       *protocol.Mailbox
	subscriptions *board.Queue[protocol.Envelope]
	directory     *directory.Directory
	source        Source
	followers     map[model.NodeName]*follower
}

// NewPublisher returns the publisher of one member.
func NewPublisher(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, directory *directory.Directory, source Source) *Publisher {
	return &Publisher{
		mailbox:       mailbox,
		subscriptions: dispatcher.Handle(Subscribe{}),
		directory:     directory,
		source:        source,
		followers:     make(map[model.NodeName]*follower),
	}
}

// Name implements board.Controller.
func (publisher *Publisher) Name() string { return "direct feed" }

// Sources returns the channels whose notices call for a Reconcile.
func (publisher *Publisher) Sources() []<-chan struct{} {
	return []<-chan struct{}{publisher.subscriptions.Watch()}
}

// Followers returns the number of balancers that follow this member.
func (publisher *Publisher) Followers() int { return len(publisher.followers) }

// Reconcile implements board.Controller.
func (publisher *Publisher) Reconcile(now time.Time) {
	publisher.takeSubscriptions(now)
	revision := publisher.directory.Revision()
	fresh := publisher.source.Fresh(now)
	members := publisher.source.Members()
	var same directory.Changes
	for _, name := range sortedNames(publisher.followers) {
		known := publisher.followers[name]
		if now.Sub(known.heardAt) > subscriptionFor {
			delete(publisher.followers, name)
			continue
		}
		if !known.due(now, revision, fresh) {
			continue
		}
		if same.To != revision || same.From != known.sent || same.To == 0 {
			same = publisher.directory.ChangesSince(known.sent)
		}
		publisher.push(now, name, known, Update{Changes: same, Fresh: fresh, Members: members})
	}
}

func (publisher *Publisher) takeSubscriptions(now time.Time) {
	for _, envelope := range publisher.subscriptions.Drain() {
		asked, _ := envelope.Message.(Subscribe)
		known := publisher.followers[envelope.From]
		if known == nil {
			known = &follower{}
			publisher.followers[envelope.From] = known
		}
		known.heardAt = now
		known.sent = asked.Have
		known.sentAt = time.Time{}
		known.members = nil
	}
}

// due tells whether the follower gets an update now.
func (known *follower) due(now time.Time, revision model.Revision, fresh bool) bool {
	since := now.Sub(known.sentAt)
	changed := revision > known.sent || fresh != known.fresh
	return since >= keepaliveInterval || changed && since >= pushPause
}

func (publisher *Publisher) push(now time.Time, name model.NodeName, known *follower, update Update) {
	if slices.Equal(known.members, update.Members) {
		update.Members = nil
	} else {
		known.members = update.Members
	}
	known.sent = max(known.sent, update.Changes.To)
	known.sentAt = now
	known.fresh = update.Fresh
	publisher.mailbox.Send(name, update)
}

func sortedNames(followers map[model.NodeName]*follower) []model.NodeName {
	names := make([]model.NodeName, 0, len(followers))
	for name := range followers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

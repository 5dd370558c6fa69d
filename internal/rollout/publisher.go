package rollout

import (
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Source has the configuration that a publisher sends.
type Source interface {
	// Current returns the latest configuration.
	Current() *model.Configuration
	// DeltasSince returns the deltas from revision to the latest
	// configuration, and whether they are still known.
	DeltasSince(revision model.Revision) ([]model.Delta, bool)
}

// Confirmation is the proof of how recent a publisher's configuration is.
type Confirmation struct {
	Committed   model.Revision
	ConfirmedAt time.Time
}

// Publisher sends each subscriber what it lacks: deltas, or a snapshot when
// the deltas do not reach back. Each update is encoded once for all
// subscribers at the same revision. It is used by one controller, which tells
// it what subscribers confirm; relays and control members both run one.
type Publisher struct {
	mailbox     *protocol.Mailbox
	source      Source
	encoder     *protocol.UpdateEncoder
	subscribers map[model.NodeName]*subscription
	// lacking are the subscribers that may lack something. The others hold,
	// or were sent, the revision published.
	outdated  map[model.NodeName]struct{}
	published model.Revision
	// packed is the latest snapshot that was encoded. It serves until the
	// deltas no longer lead from it to the present, because encoding one takes
	// long and nodes often restart together.
	cached encodedSnapshot
}

// packedSnapshot is one encoded configuration.
type encodedSnapshot struct {
	configuration *model.Configuration
	update        protocol.PackedUpdate
}

type subscription struct {
	// sent is the revision that the subscriber has once all sent arrives.
	sent model.Revision
	// confirmed is the revision that the subscriber last confirmed.
	confirmed model.Revision
	sentAt    time.Time
	// heardAt is when the subscriber last confirmed or subscribed.
	heardAt time.Time
	// described tells that the subscriber was sent the type descriptions of
	// updates.
	hasDescriptions bool
	// snapshot tells that the subscriber needs a snapshot.
	needsSnapshot  bool
	snapshotSentAt time.Time
}

// NewPublisher returns a publisher without subscribers.
func NewPublisher(mailbox *protocol.Mailbox, source Source) *Publisher {
	return &Publisher{
		mailbox:     mailbox,
		source:      source,
		encoder:     protocol.NewUpdateEncoder(),
		subscribers: make(map[model.NodeName]*subscription),
		outdated:    make(map[model.NodeName]struct{}),
	}
}

// Confirm records that subscriber holds revision with digest, and adds it when
// it is new. A zero digest is not compared. It returns false when the digest
// differs, in which case the subscriber gets a snapshot.
func (publisher *Publisher) Confirm(now time.Time, subscriber model.NodeName, revision model.Revision, digest uint64) bool {
	entry, known := publisher.subscribers[subscriber]
	if !known {
		entry = &subscription{sent: revision}
		publisher.subscribers[subscriber] = entry
	}
	entry.heardAt = now
	if revision < entry.confirmed {
		entry.sent = revision
	}
	entry.confirmed = revision
	if revision > entry.sent || now.Sub(entry.sentAt) >= resendAfter {
		entry.sent = revision
	}
	current := publisher.source.Current()
	differs := digest != 0 && revision == current.Revision && digest != current.Digest()
	entry.needsSnapshot = entry.needsSnapshot || differs
	if entry.needsSnapshot || entry.sent < current.Revision {
		publisher.outdated[subscriber] = struct{}{}
	}
	return !differs
}

// Resync sends subscriber what follows the revision that it has, or a snapshot,
// even when it was sent before. Subscribers ask for it at a new publisher, and
// when an update did not fit.
func (publisher *Publisher) Resync(now time.Time, subscriber model.NodeName, request protocol.Subscribe) {
	publisher.Confirm(now, subscriber, request.Have, request.Digest)
	publisher.subscribers[subscriber].sent = request.Have
	publisher.subscribers[subscriber].hasDescriptions = request.Types == publisher.encoder.Types()
	publisher.outdated[subscriber] = struct{}{}
}

// Remove removes a subscriber.
func (publisher *Publisher) Remove(subscriber model.NodeName) {
	delete(publisher.subscribers, subscriber)
	delete(publisher.outdated, subscriber)
}

// Subscribers returns the number of subscribers.
func (publisher *Publisher) Subscribers() int { return len(publisher.subscribers) }

// Publish sends what subscribers lack. One that has been silent for longer than
// a lease gets nothing until it is heard again: it is dead, or went to another
// publisher. It looks at all subscribers only once for each revision.
func (publisher *Publisher) Publish(now time.Time, confirmation Confirmation) {
	current := publisher.source.Current()
	if current.Revision != publisher.published {
		publisher.published = current.Revision
		for name := range publisher.subscribers {
			publisher.outdated[name] = struct{}{}
		}
	}
	if len(publisher.outdated) == 0 {
		return
	}
	var names []model.NodeName
	for _, name := range slices.Sorted(maps.Keys(publisher.outdated)) {
		if now.Sub(publisher.subscribers[name].heardAt) <= inactiveAfter {
			names = append(names, name)
		}
	}
	clear(publisher.outdated)
	names = publisher.sendSnapshots(now, names, confirmation)
	publisher.sendDeltas(now, names, confirmation)
}

// sendSnapshots sends a snapshot to those who need one, and returns those who
// can go on with deltas. A subscriber gets at most one in resendAfter.
func (publisher *Publisher) sendSnapshots(now time.Time, names []model.NodeName, confirmation Confirmation) []model.NodeName {
	var ready []model.NodeName
	for _, name := range names {
		entry := publisher.subscribers[name]
		if !entry.needsSnapshot && publisher.reachableByDeltas(entry.sent) {
			ready = append(ready, name)
			continue
		}
		if !entry.snapshotSentAt.IsZero() && now.Sub(entry.snapshotSentAt) < resendAfter {
			publisher.outdated[name] = struct{}{}
			continue
		}
		if publisher.sendSnapshot(now, name, confirmation) {
			ready = append(ready, name)
		}
	}
	return ready
}

// leads tells whether few enough deltas lead from revision to the present.
func (publisher *Publisher) reachableByDeltas(revision model.Revision) bool {
	if revision >= publisher.source.Current().Revision {
		return true
	}
	deltas, reaches := publisher.source.DeltasSince(revision)
	return reaches && len(deltas) <= maximumDeltasPerUpdate
}

func (publisher *Publisher) sendSnapshot(now time.Time, name model.NodeName, confirmation Confirmation) bool {
	entry := publisher.subscribers[name]
	if !publisher.cachedSnapshotUsable(entry) && !publisher.encodeSnapshot(confirmation) {
		return false
	}
	entry.snapshotSentAt = now
	entry.needsSnapshot = false
	publisher.send(now, name, publisher.cached.update, publisher.cached.configuration.Revision)
	return true
}

// serves tells whether the packed snapshot helps a subscriber. One that holds a
// wrong configuration of a later revision would ignore it.
func (publisher *Publisher) cachedSnapshotUsable(entry *subscription) bool {
	packed, current := publisher.cached.configuration, publisher.source.Current()
	if packed == nil || packed == current {
		return packed != nil
	}
	return packed.Revision < current.Revision && packed.Revision > entry.confirmed && publisher.reachableByDeltas(packed.Revision)
}

// pack encodes the present configuration and tells whether it could.
func (publisher *Publisher) encodeSnapshot(confirmation Confirmation) bool {
	current := publisher.source.Current()
	update, err := publisher.encode(protocol.Update{Snapshot: current}, confirmation)
	if err != nil {
		return false
	}
	publisher.cached = encodedSnapshot{configuration: current, update: update}
	return true
}

// sendDeltas sends what follows the revision that each subscriber was sent.
func (publisher *Publisher) sendDeltas(now time.Time, names []model.NodeName, confirmation Confirmation) {
	behind := make(map[model.Revision][]model.NodeName)
	for _, name := range names {
		if sent := publisher.subscribers[name].sent; sent < publisher.source.Current().Revision {
			behind[sent] = append(behind[sent], name)
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(behind)) {
		deltas, _ := publisher.source.DeltasSince(revision)
		update, err := publisher.encode(protocol.Update{Deltas: deltas}, confirmation)
		if err != nil {
			continue
		}
		for _, name := range behind[revision] {
			publisher.send(now, name, update, deltas[len(deltas)-1].To)
		}
	}
}

// encode packs an update. Every type in an Update is known to the codec, so a
// failure is a programming error that the codec's own tests catch.
func (publisher *Publisher) encode(update protocol.Update, confirmation Confirmation) (protocol.PackedUpdate, error) {
	update.Committed = confirmation.Committed
	update.ConfirmedAt = confirmation.ConfirmedAt
	return publisher.encoder.Encode(update)
}

func (publisher *Publisher) send(now time.Time, name model.NodeName, packed protocol.PackedUpdate, to model.Revision) {
	entry := publisher.subscribers[name]
	entry.sent = to
	entry.sentAt = now
	if !entry.hasDescriptions {
		entry.hasDescriptions = true
		packed = publisher.encoder.Describe(packed)
	}
	publisher.mailbox.Send(name, packed)
}

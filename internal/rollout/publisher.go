package rollout

import (
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Source provides the configuration that a publisher sends.
type Source interface {
	// Current returns the latest configuration.
	Current() *model.Configuration
	// DeltasSince returns the deltas that lead from revision to the latest configuration, and
	// whether all of them are still known.
	DeltasSince(revision model.Revision) ([]model.Delta, bool)
}

// Confirmation says how recent a publisher's configuration is: the latest committed revision that
// is known, and when a quorum of the control group last confirmed it.
type Confirmation struct {
	Committed   model.Revision
	ConfirmedAt time.Time
}

// Publisher sends each subscriber the deltas that follow its revision, or a snapshot when the
// source does not have all of them or they are too many. It encodes each update once for all
// subscribers at the same revision. Relays and control members both run one. It is not safe for
// concurrent use: the controller that owns it also passes it the confirmations of subscribers.
type Publisher struct {
	mailbox     *protocol.Mailbox
	source      Source
	encoder     *protocol.UpdateEncoder
	subscribers map[model.NodeName]*subscription
	// outdated has the subscribers that may need an update. All others have, or were sent, the
	// revision published.
	outdated  map[model.NodeName]struct{}
	published model.Revision
	// cached is the latest encoded snapshot. It is reused as long as deltas lead from it to the
	// current revision, because encoding a snapshot takes long and nodes often restart together.
	cached encodedSnapshot
}

// encodedSnapshot is a configuration and the update that carries it as a snapshot.
type encodedSnapshot struct {
	configuration *model.Configuration
	update        protocol.PackedUpdate
}

// subscription is the publisher's state of one subscriber.
type subscription struct {
	// sent is the revision that the subscriber has once all sent updates arrive.
	sent model.Revision
	// confirmed is the revision that the subscriber last confirmed.
	confirmed model.Revision
	sentAt    time.Time
	// lastActiveAt is when the subscriber last confirmed a revision or subscribed.
	lastActiveAt time.Time
	// hasDescriptions means that the subscriber has, or was sent, the type descriptions of updates.
	hasDescriptions bool
	// needsSnapshot means that the subscriber's configuration is wrong and must be replaced.
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

// Confirm records that the subscriber has the revision with the digest, and adds the subscriber if
// it is new. It reports whether the digest matches: false means that it differs from that of the
// current configuration at the same revision, and the subscriber then gets a snapshot. A zero digest
// is not compared.
func (publisher *Publisher) Confirm(now time.Time, subscriber model.NodeName, revision model.Revision, digest uint64) bool {
	entry, known := publisher.subscribers[subscriber]
	if !known {
		entry = &subscription{sent: revision}
		publisher.subscribers[subscriber] = entry
	}
	entry.lastActiveAt = now
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

// Resync makes the next Publish send the subscriber the deltas that follow the revision that it has,
// or a snapshot, even if they were sent before. Subscribers request it when they switch to a
// publisher, and when an update does not continue their configuration or cannot be decoded.
func (publisher *Publisher) Resync(now time.Time, subscriber model.NodeName, request protocol.Subscribe) {
	publisher.Confirm(now, subscriber, request.Have, request.Digest)
	publisher.subscribers[subscriber].sent = request.Have
	publisher.subscribers[subscriber].hasDescriptions = request.Types == publisher.encoder.TypesID()
	publisher.outdated[subscriber] = struct{}{}
}

// Remove removes a subscriber.
func (publisher *Publisher) Remove(subscriber model.NodeName) {
	delete(publisher.subscribers, subscriber)
	delete(publisher.outdated, subscriber)
}

// Subscribers returns the number of subscribers.
func (publisher *Publisher) Subscribers() int { return len(publisher.subscribers) }

// Publish sends updates to the subscribers that need one. A subscriber that sent nothing for longer
// than inactiveAfter, the length of a lease, gets nothing until it sends something again: it has
// failed, or uses another publisher. Publish goes over all subscribers only once for each revision.
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
		if now.Sub(publisher.subscribers[name].lastActiveAt) <= inactiveAfter {
			names = append(names, name)
		}
	}
	clear(publisher.outdated)
	names = publisher.sendSnapshots(now, names, confirmation)
	publisher.sendDeltas(now, names, confirmation)
}

// sendSnapshots sends a snapshot to the subscribers that need one, and returns those that can
// continue with deltas, if they need any. A subscriber gets at most one snapshot per resendAfter.
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

// reachableByDeltas reports whether the source has the deltas that lead from revision to the current
// one, and they are at most maximumDeltasPerUpdate.
func (publisher *Publisher) reachableByDeltas(revision model.Revision) bool {
	if revision >= publisher.source.Current().Revision {
		return true
	}
	deltas, reaches := publisher.source.DeltasSince(revision)
	return reaches && len(deltas) <= maximumDeltasPerUpdate
}

// sendSnapshot sends the cached snapshot, or a new one if that is not usable for the subscriber. It
// reports whether it sent one: a new one may fail to be encoded.
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

// cachedSnapshotUsable reports whether the cached snapshot brings the subscriber up to date,
// together with the deltas that follow it. A subscriber that has a wrong configuration of the same
// or a later revision needs a snapshot of the current one, because it ignores older ones.
func (publisher *Publisher) cachedSnapshotUsable(entry *subscription) bool {
	cached, current := publisher.cached.configuration, publisher.source.Current()
	if cached == nil || cached == current {
		return cached != nil
	}
	return cached.Revision < current.Revision && cached.Revision > entry.confirmed && publisher.reachableByDeltas(cached.Revision)
}

// encodeSnapshot encodes the current configuration as the cached snapshot, and reports whether it
// succeeded.
func (publisher *Publisher) encodeSnapshot(confirmation Confirmation) bool {
	current := publisher.source.Current()
	update, err := publisher.encode(protocol.Update{Snapshot: current}, confirmation)
	if err != nil {
		return false
	}
	publisher.cached = encodedSnapshot{configuration: current, update: update}
	return true
}

// sendDeltas sends each subscriber the deltas that follow the revision that it was sent.
func (publisher *Publisher) sendDeltas(now time.Time, names []model.NodeName, confirmation Confirmation) {
	namesBySent := make(map[model.Revision][]model.NodeName)
	for _, name := range names {
		if sent := publisher.subscribers[name].sent; sent < publisher.source.Current().Revision {
			namesBySent[sent] = append(namesBySent[sent], name)
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(namesBySent)) {
		deltas, _ := publisher.source.DeltasSince(revision)
		update, err := publisher.encode(protocol.Update{Deltas: deltas}, confirmation)
		if err != nil {
			continue
		}
		for _, name := range namesBySent[revision] {
			publisher.send(now, name, update, deltas[len(deltas)-1].To)
		}
	}
}

// encode adds the confirmation to the update and encodes it. The codec knows every type in an
// Update, so a failure is a programming error, which the codec's own tests catch.
func (publisher *Publisher) encode(update protocol.Update, confirmation Confirmation) (protocol.PackedUpdate, error) {
	update.Committed = confirmation.Committed
	update.ConfirmedAt = confirmation.ConfirmedAt
	return publisher.encoder.Encode(update)
}

// send sends the update, which brings the subscriber to the revision to. It adds the type
// descriptions if the subscriber may not have them.
func (publisher *Publisher) send(now time.Time, name model.NodeName, packed protocol.PackedUpdate, to model.Revision) {
	entry := publisher.subscribers[name]
	entry.sent = to
	entry.sentAt = now
	if !entry.hasDescriptions {
		entry.hasDescriptions = true
		packed = publisher.encoder.WithDescriptions(packed)
	}
	publisher.mailbox.Send(name, packed)
}

package rollout

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Reporter provides the load and the empty buckets that an agent reports with its heartbeats.
// Balancers have none.
type Reporter interface {
	// Load returns the load of the agent's target, or nil while the agent does not know its target.
	Load() *model.TargetLoad
	// EmptyBuckets returns the buckets that have no flows, as of the configuration revision at.
	EmptyBuckets(at model.Revision) []model.BucketEmpty
}

// SubscriberOptions are the settings of a Subscriber.
type SubscriberOptions struct {
	Self        model.NodeName
	Role        model.Role
	Zone        model.ZoneName
	Incarnation model.Incarnation
	// Relays lists the relays in order of preference.
	Relays []model.NodeName
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// Pause detects pauses of the process. It may be nil if no other part of the process uses it.
	Pause *Pause
}

const (
	// earliestHeartbeat is the shortest time between a heartbeat and an early one, which reports a
	// new revision.
	earliestHeartbeat = 100 * time.Millisecond
	// recomputeInterval is the time between two digests that are computed from every row, which takes
	// time proportional to the size of the configuration.
	recomputeInterval = 30 * time.Second
	// acknowledgementTimeout is how long after a heartbeat its acknowledgement is accepted.
	acknowledgementTimeout = 2 * LeaseLength
)

// Subscriber is the controller that keeps a node's configuration up to date. It subscribes at a
// relay, applies updates in order, sends heartbeats and extends the lease.
//
// A process that has just started installs no configuration until a relay has answered one of its
// heartbeats as current, that is, under a grant that the control leader issued when it already knew
// this process. The configuration must have at least the revision that was committed at that grant.
// A restarted node therefore never starts with a lower revision than it ran before the restart.
type Subscriber struct {
	options  SubscriberOptions
	mailbox  *protocol.Mailbox
	store    *Store
	lease    *Lease
	loads    *LoadView
	reporter Reporter

	acknowledgements *board.Queue[protocol.Envelope]
	updates          *board.Queue[protocol.Envelope]
	loadDigests      *board.Queue[protocol.Envelope]

	decoder  *protocol.UpdateDecoder
	receiver *Receiver
	// mayInstall means that a current relay has confirmed the received configuration since the
	// process started, so that it may be installed.
	mayInstall   bool
	confirmation relayConfirmation
	selector     *relaySelector

	// resubscribe means that the next run sends a Subscribe message.
	resubscribe bool
	sequence    uint64
	// heartbeatSentAt has the time at which each heartbeat of the last acknowledgementTimeout was
	// sent, by sequence.
	heartbeatSentAt map[uint64]time.Time
	lastSent        time.Time
	lastApplied     model.Revision
	// nextHeartbeat is when the next heartbeat is due, unless a new revision makes it early.
	nextHeartbeat time.Time
	// jitter, from 0 to 1, differs between nodes. It spreads out heartbeats that would otherwise be
	// sent at the same time.
	jitter  float64
	leaving bool

	digestRecomputedAt time.Time
}

// relayConfirmation is the latest answer of a current relay to a heartbeat that the node sent at
// askedAt. committed is the revision that was committed when the leader issued the relay's grant, up
// to LeaseLength before the answer. The answer is valid until that grant expires.
type relayConfirmation struct {
	committed model.Revision
	askedAt   time.Time
	until     time.Time
}

// NewSubscriber returns the subscriber of one node. The reporter may be nil.
func NewSubscriber(options SubscriberOptions, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher,
	store *Store, lease *Lease, loads *LoadView, reporter Reporter) *Subscriber {
	if options.Pause == nil {
		options.Pause = NewPause()
	}
	return &Subscriber{
		options:          options,
		mailbox:          mailbox,
		store:            store,
		lease:            lease,
		loads:            loads,
		reporter:         reporter,
		acknowledgements: dispatcher.Handle(protocol.HeartbeatAck{}),
		updates:          dispatcher.Handle(protocol.PackedUpdate{}),
		loadDigests:      dispatcher.Handle(protocol.LoadDigest{}),
		decoder:          protocol.NewUpdateDecoder(),
		receiver:         NewReceiver(&History{}),
		selector:         newRelaySelector(options),
		heartbeatSentAt:  make(map[uint64]time.Time),
		jitter:           nodeJitter(options.Self),
	}
}

// Name implements board.Controller.
func (subscriber *Subscriber) Name() string { return "subscriber" }

// Queues returns the queues whose messages should run the controller at once. Load digests wait for
// its next run.
func (subscriber *Subscriber) Queues() []*board.Queue[protocol.Envelope] {
	return []*board.Queue[protocol.Envelope]{subscriber.acknowledgements, subscriber.updates}
}

// Reconcile implements board.Controller.
func (subscriber *Subscriber) Reconcile(now time.Time) {
	subscriber.options.Pause.recordRun(now)
	subscriber.receiveUpdates()
	subscriber.receiveAcknowledgements(now)
	subscriber.install(now)
	subscriber.endPause(now)
	subscriber.receiveLoads()
	if len(subscriber.options.Relays) == 0 {
		return
	}
	subscriber.chooseRelay(now)
	subscriber.sendSubscribe(now)
	subscriber.sendHeartbeat(now)
}

// chooseRelay uses the relay that the selector chooses. After a switch it unsubscribes from the
// previous one.
func (subscriber *Subscriber) chooseRelay(now time.Time) {
	previous := subscriber.selector.current()
	if !subscriber.selector.advance(now) {
		return
	}
	subscriber.resubscribe = true
	if subscriber.selector.current() != previous && !subscriber.leaving {
		subscriber.mailbox.Send(previous, protocol.Unsubscribe{Incarnation: subscriber.options.Incarnation})
	}
}

// RelayName returns the relay that the node uses at present, or an empty name if none is configured.
// It may be called from any goroutine.
func (subscriber *Subscriber) RelayName() model.NodeName { return subscriber.selector.current() }

// Confirmed reports whether the node has a valid lease: the control leader confirmed its running
// configuration, through its relay. The node is then ready.
func (subscriber *Subscriber) Confirmed(now time.Time) bool { return subscriber.lease.Valid(now) }

func (subscriber *Subscriber) receiveUpdates() {
	for _, envelope := range subscriber.updates.Drain() {
		packed, isPacked := envelope.Message.(protocol.PackedUpdate)
		if !isPacked {
			continue
		}
		update, err := subscriber.decoder.Decode(packed)
		if err != nil {
			subscriber.resubscribe = true
			continue
		}
		subscriber.apply(update)
	}
}

// apply applies an update to the receiver, and resubscribes if deltas are missing.
func (subscriber *Subscriber) apply(update protocol.Update) {
	if update.Snapshot != nil {
		subscriber.receiver.ApplySnapshot(update.Snapshot)
	}
	if subscriber.receiver.ApplyDeltas(update.Deltas).Resync {
		subscriber.resubscribe = true
	}
}

func (subscriber *Subscriber) receiveAcknowledgements(now time.Time) {
	for _, envelope := range subscriber.acknowledgements.Drain() {
		acknowledgement, isAcknowledgement := envelope.Message.(protocol.HeartbeatAck)
		if !isAcknowledgement {
			continue
		}
		sentAt, awaited := subscriber.heartbeatSentAt[acknowledgement.Sequence]
		if !awaited {
			continue
		}
		subscriber.acknowledge(now, envelope.From, sentAt, acknowledgement)
	}
	for sequence, sentAt := range subscriber.heartbeatSentAt {
		if now.Sub(sentAt) > acknowledgementTimeout {
			delete(subscriber.heartbeatSentAt, sequence)
		}
	}
}

// acknowledge processes the acknowledgement of the heartbeat that was sent at sentAt. All durations
// in it count from that moment, so a network delay can only shorten a lease.
func (subscriber *Subscriber) acknowledge(now time.Time, relay model.NodeName, sentAt time.Time, acknowledgement protocol.HeartbeatAck) {
	if acknowledgement.LeaseFor > 0 {
		subscriber.lease.Extend(sentAt.Add(acknowledgement.LeaseFor))
	}
	until := sentAt.Add(acknowledgement.CurrentFor)
	if acknowledgement.CurrentFor <= 0 || !now.Before(until) {
		return
	}
	subscriber.confirmation = relayConfirmation{committed: acknowledgement.Committed, askedAt: sentAt, until: until}
	subscriber.selector.confirm(now, relay, acknowledgement.CurrentFor)
}

// install installs the received configuration in the node's store: a higher revision, or a repaired
// configuration of the running revision.
func (subscriber *Subscriber) install(now time.Time) {
	received := subscriber.receiver.Current()
	if !subscriber.mayInstall {
		if !now.Before(subscriber.confirmation.until) || received.Revision < subscriber.confirmation.committed {
			return
		}
		subscriber.mayInstall = true
	}
	running := subscriber.store.Current()
	if received.Revision > running.Revision {
		subscriber.store.Advance(received)
		return
	}
	if received.Revision == running.Revision && received != running {
		subscriber.store.Repair(received)
	}
}

// endPause ends a pause of the process once a current relay has answered a heartbeat that was sent
// after it, and the node runs at least the revision that the answer gives as committed.
func (subscriber *Subscriber) endPause(now time.Time) {
	confirmed := subscriber.confirmation
	if now.Before(confirmed.until) && subscriber.store.Current().Revision >= confirmed.committed {
		subscriber.options.Pause.confirm(confirmed.askedAt)
	}
}

func (subscriber *Subscriber) receiveLoads() {
	for _, envelope := range subscriber.loadDigests.Drain() {
		if digest, isDigest := envelope.Message.(protocol.LoadDigest); isDigest {
			subscriber.loads.Put(digest.Loads)
		}
	}
}

func (subscriber *Subscriber) sendSubscribe(now time.Time) {
	if !subscriber.resubscribe || subscriber.leaving {
		return
	}
	subscriber.resubscribe = false
	received := subscriber.receiver.Current()
	subscriber.mailbox.Send(subscriber.selector.current(), protocol.Subscribe{
		Role:        subscriber.options.Role,
		Zone:        subscriber.options.Zone,
		Incarnation: subscriber.options.Incarnation,
		Have:        received.Revision,
		Digest:      received.Digest(),
		Types:       subscriber.decoder.TypesID(),
	})
	subscriber.nextHeartbeat = now
}

// Incarnation returns the incarnation in the node's heartbeats.
func (subscriber *Subscriber) Incarnation() model.Incarnation { return subscriber.options.Incarnation }

package relay

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// Options are the settings of a relay.
type Options struct {
	Self        model.NodeName
	Zone        model.ZoneName
	Incarnation model.Incarnation
	// Control lists the control members, or the relays through which this relay reaches them.
	Control []model.NodeName
	// ReportInterval is the time between reports to control.
	ReportInterval time.Duration
}

// Controller is the controller that implements a relay. It performs no input or output and reads no
// clock: it reads messages from queues, writes messages to the mailbox, and gets the time as a
// parameter.
type Controller struct {
	options Options
	mailbox *protocol.Mailbox
	queues  queues

	decoder   *protocol.UpdateDecoder
	receiver  *rollout.Receiver
	publisher *rollout.Publisher
	// confirmation is the latest one that control sent. The relay sends it on unchanged, so that it
	// never shows its configuration as more recent than control confirmed.
	confirmation rollout.Confirmation

	upstream   *upstream
	nodes      *nodeTable
	claims     *claimRouter
	loads      *loadAggregator
	downstream *downstreamRelays
	// deferredCheckedAt is when the relay last checked whether the deferred heartbeats can be
	// answered.
	deferredCheckedAt time.Time
}

// queues are the inboxes of the controller, one for each type of message.
type queues struct {
	updates       *board.Queue[protocol.Envelope]
	reportAcks    *board.Queue[protocol.Envelope]
	subscribes    *board.Queue[protocol.Envelope]
	unsubscribes  *board.Queue[protocol.Envelope]
	heartbeats    *board.Queue[protocol.Envelope]
	loads         *board.Queue[protocol.Envelope]
	claimRequests *board.Queue[protocol.Envelope]
	claimOutcomes *board.Queue[protocol.Envelope]
	claimReplies  *board.Queue[protocol.Envelope]
	// reports come from relays that have this one as their upstream. passed has messages that such
	// relays forward to control, and control's answers to them.
	reports *board.Queue[protocol.Envelope]
	passed  *board.Queue[protocol.Envelope]
}

// NewController returns the controller of one relay.
func NewController(options Options, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher) *Controller {
	receiver := rollout.NewReceiver(&rollout.History{})
	publisher := rollout.NewPublisher(mailbox, receiver)
	downstream := newDownstreamRelays(options, mailbox, publisher)
	return &Controller{
		options: options,
		mailbox: mailbox,
		queues: queues{
			updates:       dispatcher.Handle(protocol.PackedUpdate{}),
			reportAcks:    dispatcher.Handle(protocol.ReportAck{}),
			subscribes:    dispatcher.Handle(protocol.Subscribe{}),
			unsubscribes:  dispatcher.Handle(protocol.Unsubscribe{}),
			heartbeats:    dispatcher.Handle(protocol.Heartbeat{}),
			loads:         dispatcher.Handle(protocol.LoadDigest{}),
			claimRequests: dispatcher.Handle(protocol.ClaimRequest{}),
			claimOutcomes: dispatcher.Handle(protocol.ClaimOutcome{}),
			claimReplies:  dispatcher.Handle(protocol.ClaimReply{}),
			reports:       dispatcher.Handle(protocol.Report{}),
			passed:        dispatcher.Handle(protocol.Passed{}),
		},
		decoder:    protocol.NewUpdateDecoder(),
		receiver:   receiver,
		publisher:  publisher,
		upstream:   newUpstream(options),
		nodes:      newNodeTable(),
		claims:     newClaimRouter(mailbox, downstream),
		loads:      newLoadAggregator(mailbox),
		downstream: downstream,
	}
}

// Name implements board.Controller.
func (controller *Controller) Name() string { return "relay" }

// Queues returns the queues whose messages should run the controller at once. Load digests and
// unsubscriptions wait for its next run.
func (controller *Controller) Queues() []*board.Queue[protocol.Envelope] {
	all := controller.queues
	return []*board.Queue[protocol.Envelope]{
		all.updates, all.reportAcks, all.subscribes, all.heartbeats,
		all.claimRequests, all.claimOutcomes, all.claimReplies,
		all.reports, all.passed,
	}
}

// Reconcile implements board.Controller.
func (controller *Controller) Reconcile(now time.Time) {
	controller.receiveUpdates(now)
	controller.receiveReportAcks(now)
	controller.receiveSubscribes(now)
	controller.receiveUnsubscribes()
	controller.receiveHeartbeats(now)
	controller.upstream.advance(now)
	controller.expireNodes(now)
	controller.downstream.reconcile(now, controller.queues, controller.upstream.member())
	controller.publisher.Publish(now, controller.confirmation)
	controller.answerHeartbeats(now)
	controller.report(now)
	controller.claims.reconcile(now, controller.queues, controller.upstream.leader(now))
	controller.loads.reconcile(now, controller.queues.loads, controller.receiver.Current(), controller.nodes)
}

// Revision returns the revision of the configuration that the relay has.
func (controller *Controller) Revision() model.Revision {
	return controller.receiver.Current().Revision
}

// Confirmed reports whether the relay is current: at now it has a valid grant of the control leader
// and has the revision that the grant confirms.
func (controller *Controller) Confirmed(now time.Time) bool {
	_, found := controller.upstream.grantFor(now, controller.Revision(), anySequence)
	return found
}

func (controller *Controller) receiveUpdates(now time.Time) {
	for _, envelope := range controller.queues.updates.Drain() {
		packed, isPacked := envelope.Message.(protocol.PackedUpdate)
		if !isPacked {
			continue
		}
		update, err := controller.decoder.Decode(packed)
		if err != nil {
			controller.resync(envelope.From)
			continue
		}
		controller.apply(envelope.From, update)
	}
}

// apply applies an update to the relay's configuration. It asks the sender for the missing deltas
// if the update does not continue the configuration.
func (controller *Controller) apply(from model.NodeName, update protocol.Update) {
	if update.Snapshot != nil {
		controller.receiver.ApplySnapshot(update.Snapshot)
	}
	if controller.receiver.ApplyDeltas(update.Deltas).Resync {
		controller.resync(from)
	}
	if update.Committed >= controller.confirmation.Committed && update.ConfirmedAt.After(controller.confirmation.ConfirmedAt) {
		controller.confirmation = rollout.Confirmation{Committed: update.Committed, ConfirmedAt: update.ConfirmedAt}
	}
}

// resync asks an upstream process for the deltas that follow the relay's configuration.
func (controller *Controller) resync(member model.NodeName) {
	configuration := controller.receiver.Current()
	controller.mailbox.Send(member, protocol.Subscribe{
		Role:        model.RoleRelay,
		Zone:        controller.options.Zone,
		Incarnation: controller.options.Incarnation,
		Have:        configuration.Revision,
		Digest:      configuration.Digest(),
		Types:       controller.decoder.TypesID(),
	})
}

func (controller *Controller) receiveReportAcks(now time.Time) {
	for _, envelope := range controller.queues.reportAcks.Drain() {
		if acknowledgement, isAck := envelope.Message.(protocol.ReportAck); isAck {
			controller.upstream.acknowledge(now, envelope.From, acknowledgement, controller.nodes)
		}
	}
}

func (controller *Controller) receiveSubscribes(now time.Time) {
	for _, envelope := range controller.queues.subscribes.Drain() {
		if subscribe, isSubscribe := envelope.Message.(protocol.Subscribe); isSubscribe {
			controller.publisher.Resync(now, envelope.From, subscribe)
		}
	}
}

func (controller *Controller) receiveUnsubscribes() {
	for _, envelope := range controller.queues.unsubscribes.Drain() {
		if unsubscribe, isUnsubscribe := envelope.Message.(protocol.Unsubscribe); isUnsubscribe {
			controller.nodes.markMoved(envelope.From, unsubscribe.Incarnation)
			controller.publisher.Remove(envelope.From)
		}
	}
}

func (controller *Controller) receiveHeartbeats(now time.Time) {
	for _, envelope := range controller.queues.heartbeats.Drain() {
		heartbeat, isHeartbeat := envelope.Message.(protocol.Heartbeat)
		if !isHeartbeat || !controller.nodes.receive(now, envelope.From, heartbeat) {
			continue
		}
		if heartbeat.Leaving {
			controller.publisher.Remove(envelope.From)
			continue
		}
		controller.confirmNode(now, envelope.From, heartbeat)
	}
}

// confirmNode reports to the publisher the revision that the node has received. The digest is
// compared only if the node also runs that revision: a node that has just started holds a
// configuration that it has not installed yet.
func (controller *Controller) confirmNode(now time.Time, name model.NodeName, heartbeat protocol.Heartbeat) {
	digest := heartbeat.Digest
	if heartbeat.Received != heartbeat.Applied {
		digest = 0
	}
	digestMatches := controller.publisher.Confirm(now, name, heartbeat.Received, digest)
	controller.nodes.rows[name].digestMatches = digestMatches
}

// expireNodes stops sending updates to nodes that the node table expires.
func (controller *Controller) expireNodes(now time.Time) {
	for _, name := range controller.nodes.expire(now) {
		controller.publisher.Remove(name)
	}
}

// answerHeartbeats acknowledges the heartbeats that can be answered now. The first heartbeats of a
// node are deferred until control knows the node. They are checked again after each grant and every
// deferredInterval. Checking them after each message would take time quadratic in the number of nodes
// when many arrive together.
func (controller *Controller) answerHeartbeats(now time.Time) {
	includeDeferred := now.Sub(controller.deferredCheckedAt) >= deferredInterval || controller.upstream.grantedAt.After(controller.deferredCheckedAt)
	if includeDeferred {
		controller.deferredCheckedAt = now
	}
	for _, name := range controller.nodes.unanswered(includeDeferred) {
		controller.answer(now, name)
	}
}

// answer acknowledges the node's latest heartbeat, or defers the answer while no grant covers the
// node yet. The acknowledgement extends the node's lease only if the node runs at least the
// revision that the grant confirms and its digest matches.
func (controller *Controller) answer(now time.Time, name model.NodeName) {
	node := controller.nodes.rows[name]
	acknowledgement := protocol.HeartbeatAck{Sequence: node.heartbeat.Sequence}
	currentGrant, confirmed := controller.upstream.grantFor(now, controller.Revision(), node.knownSince)
	if !confirmed && controller.upstream.hasLeader(now) && now.Sub(node.receivedAt) < answerTimeout {
		controller.nodes.deferAnswer(name)
		return
	}
	if confirmed {
		acknowledgement.CurrentFor = currentGrant.until.Sub(now)
		acknowledgement.Committed = currentGrant.committed
	}
	leaseGrant, leased := controller.upstream.grantFor(now, node.heartbeat.Applied, node.countedSince)
	if leased && node.digestMatches {
		acknowledgement.LeaseFor = leaseGrant.until.Sub(now)
		controller.nodes.extendLease(name, leaseGrant.until.Add(rollout.ClockMargin))
	}
	node.answered = true
	controller.mailbox.Send(name, acknowledgement)
}

// report sends control the changes since the last acknowledged report, if a report is due.
func (controller *Controller) report(now time.Time) {
	member, full, due := controller.upstream.reportDue(now, controller.nodes.urgent())
	if !due {
		return
	}
	report := protocol.Report{
		Zone:        controller.options.Zone,
		Incarnation: controller.options.Incarnation,
		Full:        full,
		Applied:     controller.Revision(),
		FreshWithin: rollout.FreshWithin,
	}
	report.Sequence = controller.upstream.nextSequence(now)
	content := controller.nodes.report(now, report.Sequence, full)
	report.Nodes = content.nodes
	report.Loads = content.loads
	report.Floors = controller.nodes.floorReports(controller.receiver.Current())
	controller.mailbox.Send(member, report)
}

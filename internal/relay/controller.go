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
	// Control lists the control members, or relays through which to reach
	// them.
	Control []model.NodeName
	// ReportInterval is the time between reports to control.
	ReportInterval time.Duration
}

// Controller is the relay's one controller. It is pure: it reads queues,
// writes queues, and takes the time as given.
type Controller struct {
	options Options
	mailbox *protocol.Mailbox
	queues  queues

	decoder   *protocol.UpdateDecoder
	receiver  *rollout.Receiver
	publisher *rollout.Publisher
	// confirmation is the latest that control sent; the relay passes it on
	// and never advances it.
	confirmation rollout.Confirmation

	upstream *upstream
	nodes    *nodeTable
	claims   *claimRouter
	loads    *loadFolder
	passage  *passage
	// heldAt is when the nodes that wait for control were last looked at.
	heldAt time.Time
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
	// reports and passed come from relays below this one.
	reports *board.Queue[protocol.Envelope]
	passed  *board.Queue[protocol.Envelope]
}

// NewController returns the controller of one relay.
func NewController(options Options, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher) *Controller {
	receiver := rollout.NewReceiver(&rollout.History{})
	publisher := rollout.NewPublisher(mailbox, receiver)
	passage := newPassage(options, mailbox, publisher)
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
		decoder:   protocol.NewUpdateDecoder(),
		receiver:  receiver,
		publisher: publisher,
		upstream:  newUpstream(options),
		nodes:     newNodeTable(),
		claims:    newClaimRouter(mailbox, passage),
		loads:     newLoadFolder(mailbox),
		passage:   passage,
	}
}

// Name implements board.Controller.
func (controller *Controller) Name() string { return "relay" }

// Queues returns the queues whose notices should run the controller at once.
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
	controller.forgetNodes(now)
	controller.passage.reconcile(now, controller.queues, controller.upstream.member())
	controller.publisher.Publish(now, controller.confirmation)
	controller.answerHeartbeats(now)
	controller.report(now)
	controller.claims.reconcile(now, controller.queues, controller.upstream.leader(now))
	controller.loads.reconcile(now, controller.queues.loads, controller.receiver.Current(), controller.nodes)
}

// Revision returns the revision of the configuration that the relay holds.
func (controller *Controller) Revision() model.Revision {
	return controller.receiver.Current().Revision
}

// Confirmed tells whether the control leader confirms this relay at present.
func (controller *Controller) Confirmed(now time.Time) bool {
	_, found := controller.upstream.grantFor(now, controller.Revision(), latestSequence)
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

func (controller *Controller) apply(from model.NodeName, update protocol.Update) {
	if update.Snapshot != nil {
		controller.receiver.Snapshot(update.Snapshot)
	}
	if controller.receiver.Deltas(update.Deltas).Resync {
		controller.resync(from)
	}
	if update.Committed >= controller.confirmation.Committed && update.ConfirmedAt.After(controller.confirmation.ConfirmedAt) {
		controller.confirmation = rollout.Confirmation{Committed: update.Committed, ConfirmedAt: update.ConfirmedAt}
	}
}

// resync asks a control member for what follows the held configuration.
func (controller *Controller) resync(member model.NodeName) {
	held := controller.receiver.Current()
	controller.mailbox.Send(member, protocol.Subscribe{
		Role:        model.RoleRelay,
		Zone:        controller.options.Zone,
		Incarnation: controller.options.Incarnation,
		Have:        held.Revision,
		Digest:      held.Digest(),
		Types:       controller.decoder.Types(),
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
			controller.nodes.move(envelope.From, unsubscribe.Incarnation)
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

// confirmNode tells the publisher what the node runs. A node that has only
// just started runs nothing yet but was already sent what it waits to install.
func (controller *Controller) confirmNode(now time.Time, name model.NodeName, heartbeat protocol.Heartbeat) {
	digest := heartbeat.Digest
	if heartbeat.Received != heartbeat.Applied {
		digest = 0
	}
	agrees := controller.publisher.Confirm(now, name, heartbeat.Received, digest)
	controller.nodes.rows[name].agrees = agrees
}

func (controller *Controller) forgetNodes(now time.Time) {
	for _, name := range controller.nodes.forget(now) {
		controller.publisher.Remove(name)
	}
}

// answerHeartbeats acknowledges the heartbeats that can be answered now. The
// first ones of a node wait until control knows the node, and are looked at
// again after each grant and at an interval: with each message it would cost
// the square of the nodes when many arrive together.
func (controller *Controller) answerHeartbeats(now time.Time) {
	held := now.Sub(controller.heldAt) >= heldInterval || controller.upstream.grantedAt.After(controller.heldAt)
	if held {
		controller.heldAt = now
	}
	for _, name := range controller.nodes.unanswered(held) {
		controller.answer(now, name)
	}
}

func (controller *Controller) answer(now time.Time, name model.NodeName) {
	node := controller.nodes.rows[name]
	acknowledgement := protocol.HeartbeatAck{Sequence: node.heartbeat.Sequence}
	current, confirmed := controller.upstream.grantFor(now, controller.Revision(), node.knownSince)
	if !confirmed && controller.upstream.mayConfirm(now) && now.Sub(node.receivedAt) < answerWithin {
		controller.nodes.hold(name)
		return
	}
	if confirmed {
		acknowledgement.CurrentFor = current.until.Sub(now)
		acknowledgement.Committed = current.committed
	}
	lease, leased := controller.upstream.grantFor(now, node.heartbeat.Applied, node.countedSince)
	if leased && node.agrees {
		acknowledgement.LeaseFor = lease.until.Sub(now)
		controller.nodes.extendLease(name, lease.until.Add(rollout.ClockMargin))
	}
	node.answered = true
	controller.mailbox.Send(name, acknowledgement)
}

// report sends control what changed since the last acknowledged report.
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

package feed

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// maxHops bounds the balancers that forward a report, because two balancers that are cut off from
// all members may follow each other for a moment.
const maxHops = 3

// ReportRelay is the controller that forwards other balancers' reports about targets to the node
// that this balancer follows.
type ReportRelay struct {
	mailbox      *protocol.Mailbox
	health       *board.Queue[protocol.Envelope]
	outcomes     *board.Queue[protocol.Envelope]
	followedNode func() model.NodeName
}

// NewReportRelay returns the controller. followedNode returns the node that gets the reports, or
// the empty name if there is none.
func NewReportRelay(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, followedNode func() model.NodeName) *ReportRelay {
	return &ReportRelay{
		mailbox:      mailbox,
		health:       dispatcher.Handle(HealthReport{}),
		outcomes:     dispatcher.Handle(OutcomeReport{}),
		followedNode: followedNode,
	}
}

// Name implements board.Controller.
func (relay *ReportRelay) Name() string { return "passed reports" }

// Sources returns the channels whose notices trigger a Reconcile.
func (relay *ReportRelay) Sources() []<-chan struct{} {
	return []<-chan struct{}{relay.health.Watch(), relay.outcomes.Watch()}
}

// Reconcile implements board.Controller.
func (relay *ReportRelay) Reconcile(time.Time) {
	for _, received := range protocol.Receive[HealthReport](relay.health) {
		report := received.Message
		if node, forward := relay.nextHop(received.From, report.Hops); forward {
			report.Hops++
			relay.mailbox.Send(node, report)
		}
	}
	for _, received := range protocol.Receive[OutcomeReport](relay.outcomes) {
		report := received.Message
		if node, forward := relay.nextHop(received.From, report.Hops); forward {
			report.Hops++
			relay.mailbox.Send(node, report)
		}
	}
}

// nextHop returns the node to forward a report to, and reports whether to forward it at all. from
// is the node that sent it.
func (relay *ReportRelay) nextHop(from model.NodeName, hops uint8) (model.NodeName, bool) {
	node := relay.followedNode()
	return node, node != "" && node != from && hops < maxHops
}

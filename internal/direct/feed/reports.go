package feed

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// maximumHops bounds the balancers that pass a report on: two balancers that
// are cut off from all members may follow each other for a moment.
const maximumHops = 3

// ReportRelay is the controller that passes on what other balancers found out
// about targets, to the node that this one follows.
type ReportRelay struct {
	mailbox  *protocol.Mailbox
	health   *board.Queue[protocol.Envelope]
	outcomes *board.Queue[protocol.Envelope]
	follows  func() model.NodeName
}

// NewReportRelay returns the controller. follows returns the node that gets the
// reports.
func NewReportRelay(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, follows func() model.NodeName) *ReportRelay {
	return &ReportRelay{
		mailbox:  mailbox,
		health:   dispatcher.Handle(HealthReport{}),
		outcomes: dispatcher.Handle(OutcomeReport{}),
		follows:  follows,
	}
}

// Name implements board.Controller.
func (reports *ReportRelay) Name() string { return "passed reports" }

// Sources returns the channels whose notices call for a Reconcile.
func (reports *ReportRelay) Sources() []<-chan struct{} {
	return []<-chan struct{}{reports.health.Watch(), reports.outcomes.Watch()}
}

// Reconcile implements board.Controller.
func (reports *ReportRelay) Reconcile(time.Time) {
	for _, received := range protocol.Receive[HealthReport](reports.health) {
		report := received.Message
		if node, passes := reports.next(received.From, report.Hops); passes {
			report.Hops++
			reports.mailbox.Send(node, report)
		}
	}
	for _, received := range protocol.Receive[OutcomeReport](reports.outcomes) {
		report := received.Message
		if node, passes := reports.next(received.From, report.Hops); passes {
			report.Hops++
			reports.mailbox.Send(node, report)
		}
	}
}

// next returns the node that gets a report, unless it goes no further.
func (reports *ReportRelay) next(from model.NodeName, hops uint8) (model.NodeName, bool) {
	node := reports.follows()
	return node, node != "" && node != from && hops < maximumHops
}

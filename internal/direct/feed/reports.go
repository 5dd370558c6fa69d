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

// Reports is the controller that passes on what other balancers found out
// about targets, to the node that this one follows.
type Reports struct {
	mailbox *protocol.Mailbox
	reports *board.Queue[protocol.Envelope]
	follows func() model.NodeName
}

// NewReports returns the controller. follows returns the node that gets the
// reports.
func NewReports(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, follows func() model.NodeName) *Reports {
	return &Reports{mailbox: mailbox, reports: dispatcher.Handle(HealthReport{}), follows: follows}
}

// Name implements board.Controller.
func (reports *Reports) Name() string { return "passed reports" }

// Sources returns the channels whose notices call for a Reconcile.
func (reports *Reports) Sources() []<-chan struct{} {
	return []<-chan struct{}{reports.reports.Watch()}
}

// Reconcile implements board.Controller.
func (reports *Reports) Reconcile(time.Time) {
	for _, envelope := range reports.reports.Drain() {
		report, _ := envelope.Message.(HealthReport)
		node := reports.follows()
		if node == "" || node == envelope.From || report.Hops >= maximumHops {
			continue
		}
		report.Hops++
		reports.mailbox.Send(node, report)
	}
}

package load

import (
	"slices"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Connector makes and closes connections to other balancers.
type Connector interface {
	// Connect keeps a connection to the node from now on.
	Connect(node model.NodeName)
	// Disconnect gives up the connection.
	Disconnect(node model.NodeName)
}

// LinkOutlet sends reports over the links between processes, which prove who
// sends. It is for one goroutine.
type LinkSender struct {
	mailbox   *protocol.Mailbox
	connector Connector
	// connected are the nodes that were told last.
	connected []model.NodeName
}

var _ Sender = (*LinkSender)(nil)

// NewLinkOutlet returns an outlet that makes its connections by connector.
func NewLinkSender(mailbox *protocol.Mailbox, connector Connector) *LinkSender {
	return &LinkSender{mailbox: mailbox, connector: connector}
}

// Tell implements Outlet.
func (outlet *LinkSender) Send(nodes []model.NodeName, report Report) {
	if !slices.Equal(nodes, outlet.connected) {
		outlet.connect(nodes)
	}
	report.Entries = slices.Clone(report.Entries)
	for _, node := range nodes {
		outlet.mailbox.Send(node, report)
	}
}

// connect keeps connections to the nodes. Of two nodes that tell each other, the
// one with the lower name connects.
func (outlet *LinkSender) connect(nodes []model.NodeName) {
	for _, node := range outlet.connected {
		if outlet.dials(node) && !slices.Contains(nodes, node) {
			outlet.connector.Disconnect(node)
		}
	}
	for _, node := range nodes {
		if outlet.dials(node) && !slices.Contains(outlet.connected, node) {
			outlet.connector.Connect(node)
		}
	}
	outlet.connected = slices.Clone(nodes)
}

func (outlet *LinkSender) dials(node model.NodeName) bool { return outlet.mailbox.Self < node }

// MailboxOutlet sends reports over links that stand for other reasons, as those of
// members with each other and with their balancers do.
type MailboxSender struct {
	Mailbox *protocol.Mailbox
}

var _ Sender = MailboxSender{}

// Tell implements Outlet.
func (outlet MailboxSender) Send(nodes []model.NodeName, report Report) {
	report.Entries = slices.Clone(report.Entries)
	for _, node := range nodes {
		outlet.Mailbox.Send(node, report)
	}
}

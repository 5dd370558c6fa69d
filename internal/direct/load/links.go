package load

import (
	"slices"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Connector opens and closes connections to other balancers.
type Connector interface {
	// Connect opens a connection to the node and keeps it open.
	Connect(node model.NodeName)
	// Disconnect closes the connection to the node.
	Disconnect(node model.NodeName)
}

// LinkSender sends reports over the authenticated links between processes. It opens the links
// that it needs. It must not be used by more than one goroutine.
type LinkSender struct {
	mailbox   *protocol.Mailbox
	connector Connector
	// connected are the recipients of the last report.
	connected []model.NodeName
}

var _ Sender = (*LinkSender)(nil)

// NewLinkSender returns a LinkSender that opens its connections with connector.
func NewLinkSender(mailbox *protocol.Mailbox, connector Connector) *LinkSender {
	return &LinkSender{mailbox: mailbox, connector: connector}
}

// Send implements Sender.
func (sender *LinkSender) Send(nodes []model.NodeName, report Report) {
	if !slices.Equal(nodes, sender.connected) {
		sender.connect(nodes)
	}
	report.Entries = slices.Clone(report.Entries)
	for _, node := range nodes {
		sender.mailbox.Send(node, report)
	}
}

// connect opens and closes connections so that they match the nodes. Of two nodes that report to
// each other, the one with the lower name connects.
func (sender *LinkSender) connect(nodes []model.NodeName) {
	for _, node := range sender.connected {
		if sender.dials(node) && !slices.Contains(nodes, node) {
			sender.connector.Disconnect(node)
		}
	}
	for _, node := range nodes {
		if sender.dials(node) && !slices.Contains(sender.connected, node) {
			sender.connector.Connect(node)
		}
	}
	sender.connected = slices.Clone(nodes)
}

// dials reports whether this node, rather than the other one, opens the connection.
func (sender *LinkSender) dials(node model.NodeName) bool { return sender.mailbox.Self < node }

// MailboxSender sends reports over links that other components keep open, such as those between
// members and from members to their balancers.
type MailboxSender struct {
	Mailbox *protocol.Mailbox
}

var _ Sender = MailboxSender{}

// Send implements Sender.
func (sender MailboxSender) Send(nodes []model.NodeName, report Report) {
	report.Entries = slices.Clone(report.Entries)
	for _, node := range nodes {
		sender.Mailbox.Send(node, report)
	}
}

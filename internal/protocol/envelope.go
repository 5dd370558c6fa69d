// Package protocol defines the control messages between the processes of the system. A message is
// sent as an encoding/gob value inside an Envelope. Package transport carries envelopes over the
// network; the simulation delivers them in memory.
//
// The package that defines a message must register its concrete type with Register or RegisterAs.
package protocol

import (
	"encoding/gob"
	"reflect"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// Envelope is a control message with its sender and receiver. Delivery is not guaranteed: senders
// repeat messages or resynchronize.
type Envelope struct {
	From    model.NodeName
	To      model.NodeName
	Message any
}

// Mailbox has the queues through which the controllers of a process send and receive messages. The
// transport, or the simulated network, moves envelopes from the outbox of one process to the inbox
// of another. The Dispatcher moves them from the inbox to the queues for their types.
type Mailbox struct {
	Self   model.NodeName
	Inbox  *board.Queue[Envelope]
	Outbox *board.Queue[Envelope]

	routes routes
}

// mailboxCapacity bounds each queue of a process: inbox, outbox, and the queue of each message type,
// in messages.
const mailboxCapacity = 1 << 16

// NewMailbox returns an empty mailbox for the process named self.
func NewMailbox(self model.NodeName) *Mailbox {
	return &Mailbox{
		Self:   self,
		Inbox:  board.NewQueue[Envelope]("inbox", mailboxCapacity),
		Outbox: board.NewQueue[Envelope]("outbox", mailboxCapacity),
	}
}

// Send queues message for the process named to. If the latest message from that process came
// through another relay, the message is sent back through that relay.
func (mailbox *Mailbox) Send(to model.NodeName, message any) {
	if nextHop, found := mailbox.routes.find(to); found {
		message = Passed{Relay: to, Message: message}
		to = nextHop
	}
	mailbox.Outbox.Put(Envelope{From: mailbox.Self, To: to, Message: message})
}

// Register registers the concrete type of message with encoding/gob under the type's name, which is
// sent with every message.
func Register(message any) { gob.RegisterName(reflect.TypeOf(message).String(), message) }

// RegisterAs registers the concrete type of message under a short code, which is sent in place of
// the type's name. It is meant for messages that are sent often. Each code must be unique.
func RegisterAs(code string, message any) { gob.RegisterName(code, message) }

// ReachedViaRelay reports whether the latest message from the process named name was forwarded by a
// relay. Only a process whose dispatcher accepts forwarded messages knows of such processes.
func (mailbox *Mailbox) ReachedViaRelay(name model.NodeName) bool {
	_, found := mailbox.routes.find(name)
	return found
}

// Package protocol defines the control messages between the system's own
// processes. Messages travel as encoding/gob values inside an Envelope; the
// transport package carries them, and simulation carries them in memory.
//
// A message's concrete type must be registered with Register or RegisterAs by
// the package that defines it.
package protocol

import (
	"encoding/gob"
	"reflect"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// Envelope is one control message on its way. Delivery is not assured: every
// sender repeats or resynchronizes.
type Envelope struct {
	From    model.NodeName
	To      model.NodeName
	Message any
}

// Mailbox is how controllers send and receive: rows on the blackboard. The
// transport, or the simulated network, moves the outbox of one process to the
// inbox of another. A role's dispatcher sorts the inbox into typed queues.
type Mailbox struct {
	Self   model.NodeName
	Inbox  *board.Queue[Envelope]
	Outbox *board.Queue[Envelope]

	routes routes
}

// mailboxCapacity bounds each direction, in messages.
const mailboxCapacity = 1 << 16

// NewMailbox returns an empty mailbox of the process named self.
func NewMailbox(self model.NodeName) *Mailbox {
	return &Mailbox{
		Self:   self,
		Inbox:  board.NewQueue[Envelope]("inbox", mailboxCapacity),
		Outbox: board.NewQueue[Envelope]("outbox", mailboxCapacity),
	}
}

// Send posts message for the process named to. One that was heard through
// another relay is answered the same way.
func (mailbox *Mailbox) Send(to model.NodeName, message any) {
	if neighbour, far := mailbox.routes.find(to); far {
		message = Passed{Relay: to, Message: message}
		to = neighbour
	}
	mailbox.Outbox.Put(Envelope{From: mailbox.Self, To: to, Message: message})
}

// Register makes the concrete type of message known to the codec. The type's
// name goes with every message.
func Register(message any) { gob.RegisterName(reflect.TypeOf(message).String(), message) }

// RegisterAs registers a message that is sent often under a short code, which
// goes with every message in place of the type's name. Codes are unique.
func RegisterAs(code string, message any) { gob.RegisterName(code, message) }

// ReachedViaRelay reports whether the process named name was last heard through a relay.
func (mailbox *Mailbox) ReachedViaRelay(name model.NodeName) bool {
	_, far := mailbox.routes.find(name)
	return far
}

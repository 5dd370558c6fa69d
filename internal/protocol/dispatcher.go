package protocol

import (
	"reflect"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/board"
)

// Dispatcher is the controller that moves each message from a process's inbox to the queue for its
// type, which is read by the controller that handles the type.
type Dispatcher struct {
	mailbox *Mailbox
	queues  map[reflect.Type]*board.Queue[Envelope]
	// acceptsForwarded means that forwarded messages are unwrapped here instead of being handled as
	// messages of type Passed.
	acceptsForwarded bool
	// unhandled counts messages of types that no controller handles.
	unhandled atomic.Uint64
}

// NewDispatcher returns a dispatcher without queues. Queues are added with Handle before the first
// Reconcile.
func NewDispatcher(mailbox *Mailbox) *Dispatcher {
	return &Dispatcher{mailbox: mailbox, queues: make(map[reflect.Type]*board.Queue[Envelope])}
}

// Handle returns the queue for messages of the same type as example. The first call for a type
// creates the queue.
func (dispatcher *Dispatcher) Handle(example any) *board.Queue[Envelope] {
	messageType := reflect.TypeOf(example)
	if queue, exists := dispatcher.queues[messageType]; exists {
		return queue
	}
	queue := board.NewQueue[Envelope](messageType.String(), mailboxCapacity)
	dispatcher.queues[messageType] = queue
	return queue
}

// AcceptForwarded makes the dispatcher unwrap forwarded messages (Passed), so that they appear to
// come from the far relay itself. Control members call it before the first Reconcile.
func (dispatcher *Dispatcher) AcceptForwarded() { dispatcher.acceptsForwarded = true }

// Name implements board.Controller.
func (dispatcher *Dispatcher) Name() string { return "dispatcher" }

// Reconcile implements board.Controller. Messages of types that have no queue are dropped and
// counted.
func (dispatcher *Dispatcher) Reconcile(time.Time) {
	for _, envelope := range dispatcher.mailbox.Inbox.Drain() {
		if dispatcher.acceptsForwarded {
			envelope = dispatcher.unwrap(envelope)
		}
		if queue, exists := dispatcher.queues[reflect.TypeOf(envelope.Message)]; exists {
			queue.Put(envelope)
		} else {
			dispatcher.unhandled.Add(1)
		}
	}
}

// unwrap returns a forwarded message as if its far relay had sent it directly, and records through
// which neighbour the relay is reached. Other messages are returned unchanged; their senders are
// connected directly.
func (dispatcher *Dispatcher) unwrap(envelope Envelope) Envelope {
	passed, isPassed := envelope.Message.(Passed)
	if !isPassed {
		dispatcher.mailbox.routes.removeRoute(envelope.From)
		return envelope
	}
	dispatcher.mailbox.routes.learn(passed.Relay, envelope.From)
	return Envelope{From: passed.Relay, To: envelope.To, Message: passed.Message}
}

package protocol

import (
	"reflect"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/board"
)

// Dispatcher is the controller that sorts a process's inbox into the queues
// of the controllers that handle each type of message.
type Dispatcher struct {
	mailbox *Mailbox
	queues  map[reflect.Type]*board.Queue[Envelope]
	// acceptsPassed tells that messages which relays passed on end here.
	acceptsPassed bool
	// unhandled counts messages that no controller handles.
	unhandled atomic.Uint64
}

// NewDispatcher returns a dispatcher without routes. Routes are added before
// the first Reconcile.
func NewDispatcher(mailbox *Mailbox) *Dispatcher {
	return &Dispatcher{mailbox: mailbox, queues: make(map[reflect.Type]*board.Queue[Envelope])}
}

// Handle routes messages of the same type as example to a new queue, which it
// returns. A second call for the same type returns the same queue.
func (dispatcher *Dispatcher) Handle(example any) *board.Queue[Envelope] {
	kind := reflect.TypeOf(example)
	if queue, exists := dispatcher.queues[kind]; exists {
		return queue
	}
	queue := board.NewQueue[Envelope](kind.String(), mailboxCapacity)
	dispatcher.queues[kind] = queue
	return queue
}

// AcceptForwarded makes messages that relays passed on count as those of the far
// relay. Control members call it before the first Reconcile.
func (dispatcher *Dispatcher) AcceptForwarded() { dispatcher.acceptsPassed = true }

// Name implements board.Controller.
func (dispatcher *Dispatcher) Name() string { return "dispatcher" }

// Reconcile implements board.Controller. Messages without a route are
// dropped and counted.
func (dispatcher *Dispatcher) Reconcile(time.Time) {
	for _, envelope := range dispatcher.mailbox.Inbox.Drain() {
		if dispatcher.acceptsPassed {
			envelope = dispatcher.unwrap(envelope)
		}
		if queue, exists := dispatcher.queues[reflect.TypeOf(envelope.Message)]; exists {
			queue.Put(envelope)
		} else {
			dispatcher.unhandled.Add(1)
		}
	}
}

// unwrap returns the message of the far relay and learns the way back to it.
func (dispatcher *Dispatcher) unwrap(envelope Envelope) Envelope {
	passed, isPassed := envelope.Message.(Passed)
	if !isPassed {
		dispatcher.mailbox.routes.forget(envelope.From)
		return envelope
	}
	dispatcher.mailbox.routes.learn(passed.Relay, envelope.From)
	return Envelope{From: passed.Relay, To: envelope.To, Message: passed.Message}
}

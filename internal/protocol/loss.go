package protocol

// LossReason tells why a received message was not handled.
type LossReason string

// The reasons.
const (
	// LossFull: the queue was full.
	LossFull LossReason = "queue full"
	// LossWrongType: the queue is for messages of another type.
	LossWrongType LossReason = "other type"
	// LossNoHandler: no controller handles the type.
	LossNoHandler LossReason = "no handler"
)

// Loss names messages that were received and not handled.
type Loss struct {
	// Queue is the name of the queue that lost them.
	Queue  string
	Reason LossReason
}

// inboxName is the name under which messages without a handler are counted.
const inboxName = "inbox"

// EachLoss calls visit with the number of messages that were lost since the
// start, for each queue and reason. It may be called from any goroutine after the
// first Reconcile.
func (dispatcher *Dispatcher) EachLoss(visit func(loss Loss, count uint64)) {
	visit(Loss{Queue: inboxName, Reason: LossNoHandler}, dispatcher.unhandled.Load())
	visit(Loss{Queue: inboxName, Reason: LossFull}, dispatcher.mailbox.Inbox.Dropped())
	for _, queue := range dispatcher.queues {
		visit(Loss{Queue: queue.Name(), Reason: LossFull}, queue.Dropped())
		visit(Loss{Queue: queue.Name(), Reason: LossWrongType}, queue.Refused())
	}
}

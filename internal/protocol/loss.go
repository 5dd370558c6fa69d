package protocol

// LossReason is the reason why a received message was not handled.
type LossReason string

// The reasons.
const (
	// LossFull means that the queue was full.
	LossFull LossReason = "queue full"
	// LossWrongType means that the message was in a queue for another message type.
	LossWrongType LossReason = "other type"
	// LossNoHandler means that no controller handles messages of the type.
	LossNoHandler LossReason = "no handler"
)

// Loss classifies received messages that were not handled.
type Loss struct {
	// Queue is the name of the queue that dropped or refused them.
	Queue  string
	Reason LossReason
}

// inboxQueueName is the name of the inbox. Messages without a handler are counted under it.
const inboxQueueName = "inbox"

// EachLoss calls visit with the number of messages that were lost since the start of the process,
// for each queue and reason. After the first Reconcile it may be called from any goroutine.
func (dispatcher *Dispatcher) EachLoss(visit func(loss Loss, count uint64)) {
	visit(Loss{Queue: inboxQueueName, Reason: LossNoHandler}, dispatcher.unhandled.Load())
	visit(Loss{Queue: inboxQueueName, Reason: LossFull}, dispatcher.mailbox.Inbox.Dropped())
	for _, queue := range dispatcher.queues {
		visit(Loss{Queue: queue.Name(), Reason: LossFull}, queue.Dropped())
		visit(Loss{Queue: queue.Name(), Reason: LossWrongType}, queue.Refused())
	}
}

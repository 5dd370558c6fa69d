package transport

import (
	"sync"
	"time"

	"merlinpaddle/internal/protocol"
)

const (
	// sendQueueCapacity is the maximum number of messages that wait for one peer.
	sendQueueCapacity = 4096
	// maxQueueAge is the maximum time that a message waits. Control messages are repeated, so sending
	// an older one would only delay newer ones.
	maxQueueAge = 2 * time.Second
)

// sendQueue holds the messages that wait for one peer. If it is full, its oldest message is dropped.
type sendQueue struct {
	lock    sync.Mutex
	waiting []queuedEnvelope
	// notice receives a value after a put.
	notice chan struct{}
	// countDrop is called for each dropped message with the reason.
	countDrop func(reason string)
}

type queuedEnvelope struct {
	envelope protocol.Envelope
	queuedAt time.Time
}

func newSendQueue(countDrop func(reason string)) *sendQueue {
	return &sendQueue{notice: make(chan struct{}, 1), countDrop: countDrop}
}

// put appends envelope. It drops the oldest message if the queue is full.
func (queue *sendQueue) put(envelope protocol.Envelope, now time.Time) {
	queue.lock.Lock()
	if len(queue.waiting) >= sendQueueCapacity {
		queue.waiting = queue.waiting[1:]
		queue.countDrop(dropFull)
	}
	queue.waiting = append(queue.waiting, queuedEnvelope{envelope: envelope, queuedAt: now})
	queue.lock.Unlock()
	select {
	case queue.notice <- struct{}{}:
	default:
	}
}

// take removes all messages and returns those that are not older than maxQueueAge. The others are
// dropped and counted.
func (queue *sendQueue) take(now time.Time) []protocol.Envelope {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	var fresh []protocol.Envelope
	for _, queued := range queue.waiting {
		if now.Sub(queued.queuedAt) > maxQueueAge {
			queue.countDrop(dropOld)
			continue
		}
		fresh = append(fresh, queued.envelope)
	}
	queue.waiting = nil
	return fresh
}

package protocol

import (
	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// Received is a message of a known type, and its sender.
type Received[Message any] struct {
	From    model.NodeName
	Message Message
}

// Receive removes and returns the messages of a queue that is for one type of
// message. A message of another type is refused and counted by the queue
// (board.Queue.Refused); taking it for an empty one would change state.
func Receive[Message any](queue *board.Queue[Envelope]) []Received[Message] {
	envelopes := queue.Drain()
	if len(envelopes) == 0 {
		return nil
	}
	received := make([]Received[Message], 0, len(envelopes))
	for _, envelope := range envelopes {
		message, matches := envelope.Message.(Message)
		if !matches {
			queue.CountRefused()
			continue
		}
		received = append(received, Received[Message]{From: envelope.From, Message: message})
	}
	return received
}

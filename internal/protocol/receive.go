package protocol

import (
	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// Received is a message of a known type with its sender.
type Received[Message any] struct {
	From    model.NodeName
	Message Message
}

// Receive removes and returns the messages of a queue that is for one message type. A message of
// another type is discarded and counted (board.Queue.Refused). If it were handled as a zero value
// of the expected type, it would change the receiver's state.
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

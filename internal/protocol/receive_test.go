package protocol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/board"
)

type greeting struct{ Text string }

type farewell struct{}

func TestReceiveRefusesOtherTypes(t *testing.T) {
	queue := board.NewQueue[Envelope]("greetings", 8)
	queue.Put(Envelope{From: "a", Message: greeting{Text: "one"}})
	queue.Put(Envelope{From: "b", Message: farewell{}})
	queue.Put(Envelope{From: "b"})
	queue.Put(Envelope{From: "c", Message: greeting{Text: "two"}})
	require.Equal(t, []Received[greeting]{
		{From: "a", Message: greeting{Text: "one"}},
		{From: "c", Message: greeting{Text: "two"}},
	}, Receive[greeting](queue))
	require.Equal(t, uint64(2), queue.Refused())
	require.Empty(t, Receive[greeting](queue))
}

func TestDispatcherCountsLosses(t *testing.T) {
	mailbox := NewMailbox("self")
	dispatcher := NewDispatcher(mailbox)
	greetings := dispatcher.Handle(greeting{})
	mailbox.Inbox.Put(Envelope{From: "a", Message: greeting{}})
	mailbox.Inbox.Put(Envelope{From: "a", Message: farewell{}})
	dispatcher.Reconcile(time.Time{})
	greetings.Put(Envelope{From: "a", Message: farewell{}})
	Receive[greeting](greetings)
	losses := make(map[Loss]uint64)
	dispatcher.EachLoss(func(loss Loss, count uint64) {
		if count > 0 {
			losses[loss] = count
		}
	})
	require.Equal(t, map[Loss]uint64{
		{Queue: "protocol.greeting", Reason: LossWrongType}: 1,
		{Queue: "inbox", Reason: LossNoHandler}:             1,
	}, losses)
}

package outcome

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var worked = requests.Target{Token: 7, ID: 7}

func TestReportsSayNothingWhileAllIsAnswered(t *testing.T) {
	mailbox := protocol.NewMailbox("balancer")
	tracker := NewTracker(mailbox, func() model.NodeName { return "member" })
	tracker.Began(worked, start)
	tracker.Ended(worked, requests.Answered, time.Millisecond)
	tracker.Reconcile(start.Add(reportInterval))
	require.Empty(t, mailbox.Outbox.Drain())
	tracker.Ended(worked, requests.Answered, time.Millisecond)
	tracker.Ended(worked, requests.Unanswered, time.Millisecond)
	tracker.Ended(worked, requests.Withdrawn, time.Millisecond)
	tracker.Reconcile(start.Add(reportInterval + time.Millisecond))
	require.Empty(t, mailbox.Outbox.Drain(), "not before the interval")
	tracker.Reconcile(start.Add(2 * reportInterval))
	sent := mailbox.Outbox.Drain()
	require.Len(t, sent, 1)
	require.Equal(t, feed.OutcomeReport{Counts: []feed.OutcomeCount{{Token: 7, Answered: 1, Unanswered: 1}}}, sent[0].Message)
	tracker.Reconcile(start.Add(3 * reportInterval))
	require.Empty(t, mailbox.Outbox.Drain(), "each outcome is told once")
}

// TestSprayedFlowsSayNothing: a balancer that sees parts of its flows takes
// answered requests for unanswered ones.
func TestSprayedFlowsSayNothing(t *testing.T) {
	mailbox := protocol.NewMailbox("balancer")
	tracker := NewTracker(mailbox, func() model.NodeName { return "member" })
	for range 20 {
		tracker.SequenceChecked(false)
	}
	tracker.Ended(worked, requests.Unanswered, time.Second)
	tracker.Reconcile(start.Add(reportInterval))
	require.Empty(t, mailbox.Outbox.Drain())
}

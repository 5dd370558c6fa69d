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

var target = requests.Target{Token: 7, ID: 7}

func TestNoReportWhileAllRequestsAreAnswered(t *testing.T) {
	mailbox := protocol.NewMailbox("balancer")
	tracker := NewTracker(mailbox, func() model.NodeName { return "member" })
	tracker.Began(target, start)
	tracker.Ended(target, requests.Answered, time.Millisecond)
	tracker.Reconcile(start.Add(reportInterval))
	require.Empty(t, mailbox.Outbox.Drain())
	tracker.Ended(target, requests.Answered, time.Millisecond)
	tracker.Ended(target, requests.Unanswered, time.Millisecond)
	tracker.Ended(target, requests.Withdrawn, time.Millisecond)
	tracker.Reconcile(start.Add(reportInterval + time.Millisecond))
	require.Empty(t, mailbox.Outbox.Drain(), "before the interval has passed")
	tracker.Reconcile(start.Add(2 * reportInterval))
	sent := mailbox.Outbox.Drain()
	require.Len(t, sent, 1)
	require.Equal(t, feed.OutcomeReport{Counts: []feed.OutcomeCount{{Token: 7, Answered: 1, Unanswered: 1}}}, sent[0].Message)
	tracker.Reconcile(start.Add(3 * reportInterval))
	require.Empty(t, mailbox.Outbox.Drain(), "each outcome is reported once")
}

// TestNoReportWhereFlowsAreSprayed: a balancer that sees only parts of its flows takes answered
// requests for unanswered ones.
func TestNoReportWhereFlowsAreSprayed(t *testing.T) {
	mailbox := protocol.NewMailbox("balancer")
	tracker := NewTracker(mailbox, func() model.NodeName { return "member" })
	for range 20 {
		tracker.SequenceChecked(false)
	}
	tracker.Ended(target, requests.Unanswered, time.Second)
	tracker.Reconcile(start.Add(reportInterval))
	require.Empty(t, mailbox.Outbox.Drain())
}

package outcome

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is one packet of a flow, or a wait before the next one.
type step struct {
	segment steer.Segment
	target  directory.TargetID
	wait    time.Duration
}

func packet(port uint16, sequence, acknowledgement uint32, change func(segment *steer.Segment)) step {
	segment := steer.Segment{
		Caller:   netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port),
		Service:  netip.MustParseAddrPort("198.18.0.1:443"),
		Sequence: sequence, Acknowledgement: acknowledgement,
	}
	if change != nil {
		change(&segment)
	}
	return step{segment: segment, target: 7}
}

func asks(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, func(segment *steer.Segment) { segment.HasData = true })
}

func acknowledges(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, nil)
}

func closes(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, func(segment *steer.Segment) { segment.Closing = true })
}

func wait(duration time.Duration) step { return step{wait: duration} }

func TestRequestsAreCountedByTheirOutcome(t *testing.T) {
	other := asks(1, 1, 1)
	other.target = 8
	cases := []struct {
		name                 string
		steps                []step
		answered, unanswered uint32
	}{
		{"answered", []step{asks(1, 1, 1), acknowledges(1, 100, 50)}, 1, 0},
		{"answered by the next request's acknowledgement", []step{asks(1, 1, 1), asks(1, 100, 50)}, 1, 0},
		{"answered and closed", []step{asks(1, 1, 1), closes(1, 100, 50)}, 1, 0},
		{"two requests", []step{asks(1, 1, 1), acknowledges(1, 100, 50), asks(1, 100, 50), acknowledges(1, 200, 90)}, 2, 0},
		{"numbers that wrap", []step{asks(1, 1, 0xFFFFFFF0), acknowledges(1, 100, 0x10)}, 1, 0},
		{"not yet answered", []step{asks(1, 1, 1), wait(hangAfter - reportInterval)}, 0, 0},
		{"hangs", []step{asks(1, 1, 1), wait(hangAfter)}, 0, 1},
		{"long upload, answered", []step{asks(1, 1, 1), wait(hangAfter / 2), asks(1, 1201, 1), wait(hangAfter - reportInterval), acknowledges(1, 2401, 50)}, 1, 0},
		{"data that is sent again does not prolong", []step{asks(1, 1, 1), wait(hangAfter / 2), asks(1, 1, 1), wait(hangAfter / 2)}, 0, 1},
		{"caller gives up", []step{asks(1, 1, 1), closes(1, 100, 1)}, 0, 1},
		{"caller aborts", []step{asks(1, 1, 1), packet(1, 100, 1, func(segment *steer.Segment) { segment.Abort = true })}, 0, 1},
		{"flow without a request", []step{acknowledges(1, 1, 1), closes(1, 1, 1)}, 0, 0},
		{"address taken by another flow", []step{other, closes(1, 5, 5)}, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker(protocol.NewMailbox("balancer"), func() model.NodeName { return "" })
			now := start
			for _, step := range test.steps {
				now = now.Add(step.wait)
				if step.wait > 0 {
					tracker.dropHung(now)
					continue
				}
				tracker.Note(step.segment, step.target, now)
			}
			require.Equal(t, test.answered, tracker.counts[7].Answered)
			require.Equal(t, test.unanswered, tracker.counts[7].Unanswered)
		})
	}
}

func TestReportsSayNothingWhileAllIsAnswered(t *testing.T) {
	mailbox := protocol.NewMailbox("balancer")
	tracker := NewTracker(mailbox, func() model.NodeName { return "member" })
	note := func(step step, now time.Time) { tracker.Note(step.segment, step.target, now) }
	note(asks(1, 1, 1), start)
	note(acknowledges(1, 100, 50), start)
	tracker.Reconcile(start.Add(reportInterval))
	require.Empty(t, mailbox.Outbox.Drain())
	note(asks(1, 100, 50), start.Add(reportInterval))
	note(acknowledges(1, 200, 90), start.Add(reportInterval))
	note(asks(2, 1, 1), start.Add(reportInterval))
	note(closes(2, 100, 1), start.Add(reportInterval))
	tracker.Reconcile(start.Add(reportInterval + time.Millisecond))
	require.Empty(t, mailbox.Outbox.Drain(), "not before the interval")
	tracker.Reconcile(start.Add(2 * reportInterval))
	sent := mailbox.Outbox.Drain()
	require.Len(t, sent, 1)
	require.Equal(t, feed.OutcomeReport{Counts: []feed.OutcomeCount{{ID: 7, Answered: 1, Unanswered: 1}}}, sent[0].Message)
	tracker.Reconcile(start.Add(3 * reportInterval))
	require.Empty(t, mailbox.Outbox.Drain(), "each outcome is told once")
}

func TestWatchedFlowsAreBounded(t *testing.T) {
	tracker := NewTracker(protocol.NewMailbox("balancer"), func() model.NodeName { return "" })
	for port := range uint16(flowsKept + 500) {
		step := asks(port+1, 1, 1)
		tracker.Note(step.segment, step.target, start)
	}
	require.Len(t, tracker.requests, flowsKept)
	tracker.dropHung(start.Add(hangAfter))
	require.Empty(t, tracker.requests)
}

func BenchmarkNote(b *testing.B) {
	tracker := NewTracker(protocol.NewMailbox("balancer"), func() model.NodeName { return "" })
	ask, answer := asks(1, 1, 1), acknowledges(1, 100, 50)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Note(ask.segment, 7, start)
		tracker.Note(answer.segment, 7, start)
	}
}

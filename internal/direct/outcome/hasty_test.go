package outcome

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

var route = netip.MustParseAddrPort("198.18.0.1:443")

func answerOf(took time.Duration, bytes int) requests.Answer {
	return requests.Answer{Target: worked, Route: route, Latency: took, Bytes: bytes}
}

func TestAnswersThatAreFarSoonerAndShorterAreHasty(t *testing.T) {
	cases := []struct {
		name  string
		known int
		took  time.Duration
		bytes int
		hasty bool
	}{
		{"an error", 100, 3 * time.Millisecond, 200, true},
		{"as usual", 100, 20 * time.Millisecond, 800, false},
		{"soon and whole", 100, 3 * time.Millisecond, 800, false},
		{"a little sooner and short", 100, 11 * time.Millisecond, 200, false},
		{"short and worked on", 100, 20 * time.Millisecond, 200, false},
		{"too few are known", usualFrom - 1, 3 * time.Millisecond, 200, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			known := make(usualAnswers)
			for range test.known {
				require.False(t, known.learn(answerOf(20*time.Millisecond, 800)))
			}
			require.Equal(t, test.hasty, known.learn(answerOf(test.took, test.bytes)))
		})
	}
}

// TestServiceWhoseAnswersChangeIsFollowed: what was hasty becomes usual.
func TestServiceWhoseAnswersChangeIsFollowed(t *testing.T) {
	known := make(usualAnswers)
	for range 100 {
		known.learn(answerOf(20*time.Millisecond, 800))
	}
	answers := 0
	for known.learn(answerOf(3*time.Millisecond, 200)) {
		answers++
		require.Less(t, answers, 1000)
	}
	require.Greater(t, answers, 100, "a target that fails for some seconds does not move it")
}

func TestHastyAnswersAreTold(t *testing.T) {
	mailbox := protocol.NewMailbox("balancer")
	tracker := NewTracker(mailbox, func() model.NodeName { return "member" })
	answered := func(took time.Duration, bytes int) {
		tracker.AnswerStarted(answerOf(took, bytes))
		tracker.Ended(worked, requests.Answered, took)
	}
	for range usualFrom {
		answered(20*time.Millisecond, 800)
	}
	tracker.Reconcile(start.Add(reportInterval))
	require.Empty(t, mailbox.Outbox.Drain())
	answered(3*time.Millisecond, 200)
	answered(20*time.Millisecond, 800)
	tracker.Reconcile(start.Add(2 * reportInterval))
	sent := mailbox.Outbox.Drain()
	require.Len(t, sent, 1)
	require.Equal(t, feed.OutcomeReport{Counts: []feed.OutcomeCount{{Token: 7, Answered: 2, Hasty: 1}}}, sent[0].Message)
}

// playHasty lets time pass; hasty returns the part of ten requests a step that each target
// answers hastily.
func (bench *bench) playHasty(duration time.Duration, hasty func(id directory.Token) float64) map[directory.Token]Cause {
	causes := make(map[directory.Token]Cause)
	for end := bench.now.Add(duration); bench.now.Before(end); bench.now = bench.now.Add(stepLength) {
		var report feed.OutcomeReport
		for _, target := range bench.targets {
			if !target.Aside {
				report.Counts = append(report.Counts, feed.OutcomeCount{Token: target.Token, Answered: 10, Hasty: uint32(10 * hasty(target.Token))})
			}
		}
		bench.judge.Take(report, bench.now)
		verdict := bench.judge.Decide(bench.targets, bench.now)
		for id, cause := range verdict.Causes {
			causes[id] = cause
		}
		bench.carryOut(verdict)
	}
	return causes
}

func TestTargetsThatAnswerWithErrorsAreSetAside(t *testing.T) {
	share := func(bad float64, count int) func(directory.Token) float64 {
		return func(id directory.Token) float64 {
			if int(id) <= count {
				return bad
			}
			return 0
		}
	}
	cases := []struct {
		name  string
		hasty func(directory.Token) float64
		want  int
	}{
		{"one that fails all", share(1, 1), 1},
		{"one that fails some", share(0.3, 1), 0},
		{"all fail: the cause is elsewhere", share(1, 14), 0},
		{"more than may be set aside", share(1, 6), 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(14)
			causes := bench.playHasty(2*time.Second, test.hasty)
			require.Len(t, causes, test.want)
			for _, cause := range causes {
				require.Equal(t, CauseHasty, cause)
			}
		})
	}
}

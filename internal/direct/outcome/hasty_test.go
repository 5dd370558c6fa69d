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

// answerOf returns an answer of the target on the route.
func answerOf(took time.Duration, bytes int) requests.Answer {
	return requests.Answer{Target: target, Route: route, Latency: took, Bytes: bytes}
}

func TestAnswersMuchSoonerAndShorterThanUsualAreHasty(t *testing.T) {
	cases := []struct {
		name    string
		answers int
		took    time.Duration
		bytes   int
		hasty   bool
	}{
		{"an error", 100, 3 * time.Millisecond, 200, true},
		{"as usual", 100, 20 * time.Millisecond, 800, false},
		{"soon but of usual size", 100, 3 * time.Millisecond, 800, false},
		{"a little sooner and short", 100, 11 * time.Millisecond, 200, false},
		{"short but after the usual time", 100, 20 * time.Millisecond, 200, false},
		{"too few answers for a baseline", minBaselineAnswers - 1, 3 * time.Millisecond, 200, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			baselines := make(baselines)
			for range test.answers {
				require.False(t, baselines.observe(answerOf(20*time.Millisecond, 800)))
			}
			require.Equal(t, test.hasty, baselines.observe(answerOf(test.took, test.bytes)))
		})
	}
}

// TestBaselineFollowsLastingChange checks that hasty answers become usual if they persist.
func TestBaselineFollowsLastingChange(t *testing.T) {
	baselines := make(baselines)
	for range 100 {
		baselines.observe(answerOf(20*time.Millisecond, 800))
	}
	answers := 0
	for baselines.observe(answerOf(3*time.Millisecond, 200)) {
		answers++
		require.Less(t, answers, 1000)
	}
	require.Greater(t, answers, 100, "a target that fails for some seconds does not move the baseline")
}

func TestHastyAnswersAreReported(t *testing.T) {
	mailbox := protocol.NewMailbox("balancer")
	tracker := NewTracker(mailbox, func() model.NodeName { return "member" })
	answered := func(took time.Duration, bytes int) {
		tracker.AnswerStarted(answerOf(took, bytes))
		tracker.Ended(target, requests.Answered, took)
	}
	for range minBaselineAnswers {
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

// runHasty simulates the duration. Each target that is not ejected answers ten requests a step;
// hasty returns the share of them that it answers hastily. It returns the causes of all
// ejections.
func (simulation *simulation) runHasty(duration time.Duration, hasty func(id directory.Token) float64) map[directory.Token]Cause {
	causes := make(map[directory.Token]Cause)
	for end := simulation.now.Add(duration); simulation.now.Before(end); simulation.now = simulation.now.Add(stepLength) {
		var report feed.OutcomeReport
		for _, target := range simulation.targets {
			if !target.Aside {
				report.Counts = append(report.Counts, feed.OutcomeCount{Token: target.Token, Answered: 10, Hasty: uint32(10 * hasty(target.Token))})
			}
		}
		simulation.ejector.AddReport(report, simulation.now)
		changes := simulation.ejector.Decide(simulation.targets, simulation.now)
		for id, cause := range changes.Causes {
			causes[id] = cause
		}
		simulation.apply(changes)
	}
	return causes
}

func TestTargetsWithHastyAnswersAreEjected(t *testing.T) {
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
		{"one target answers only hastily", share(1, 1), 1},
		{"one target answers some requests hastily", share(0.3, 1), 0},
		{"all targets fail, so the cause is elsewhere", share(1, 14), 0},
		{"more targets fail than may be ejected", share(1, 6), 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(14)
			causes := simulation.runHasty(2*time.Second, test.hasty)
			require.Len(t, causes, test.want)
			for _, cause := range causes {
				require.Equal(t, CauseHasty, cause)
			}
		})
	}
}

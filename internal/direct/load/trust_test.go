package load

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/requests"
)

// These tests guard against refusals by a balancer that has just started and whose flows are
// sprayed. Where routers send each packet of a flow to any balancer, one balancer sees a request
// and another one the acknowledgement of its answer. Requests then seem to stay open for a
// second, targets that answer at once seem full, and counts must not be used. The shares of gaps
// and of unanswered requests both begin at zero, so a balancer without samples took that for
// sufficient evidence and refused one in twenty new flows in the first two seconds although
// targets were idle. The log lines of these refusals showed four to eight requests counted,
// "missed 0.00 of 0" to "0.10 of 10", and "gaps 0.00 of 0" to "0.19 of 9". The first samples are
// biased as well: an answer is seen at once, an unanswered request only after a second.

// simulateSprayedFlows simulates a balancer that sees the answer of one in so many requests as
// there are balancers. perSecond is the request rate. It calls check every 10 ms.
func simulateSprayedFlows(seed int64, balancers int, perSecond int, duration time.Duration, check func(reliability *reliability, now time.Time)) {
	random := rand.New(rand.NewSource(seed))
	reliability := &reliability{}
	var pending []time.Time
	for now := start; now.Before(start.Add(duration)); now = now.Add(10 * time.Millisecond) {
		for len(pending) > 0 && now.Sub(pending[0]) >= requests.AnswerTimeout {
			reliability.unanswered.Note(true)
			pending = pending[1:]
		}
		if random.Intn(100) < perSecond {
			reliability.noteRequest(now)
			if random.Intn(balancers) == 0 {
				reliability.unanswered.Note(false)
			} else {
				pending = append(pending, now)
			}
		}
		check(reliability, now)
	}
}

func TestCountsOfSprayedFlowsNeverBecomeSufficientEvidence(t *testing.T) {
	for _, balancers := range []int{3, 4, 12} {
		for _, perSecond := range []int{1, 5, 25, 100} {
			t.Run(fmt.Sprintf("%d balancers, %d requests a second", balancers, perSecond), func(t *testing.T) {
				for seed := range int64(20) {
					simulateSprayedFlows(seed, balancers, perSecond, 20*time.Second, func(reliability *reliability, now time.Time) {
						require.False(t, reliability.sufficientEvidence(now), "seed %d, %s after the start", seed, now.Sub(start))
					})
				}
			})
		}
	}
}

// TestCountsOfCompleteFlowsSoonBecomeSufficientEvidence: a balancer under load refuses flows that
// targets cannot serve in time from a few seconds after its start.
func TestCountsOfCompleteFlowsSoonBecomeSufficientEvidence(t *testing.T) {
	for _, perSecond := range []int{25, 100} {
		sufficientAt := time.Duration(0)
		simulateSprayedFlows(1, 1, perSecond, 5*time.Second, func(reliability *reliability, now time.Time) {
			if sufficientAt == 0 && reliability.sufficientEvidence(now) {
				sufficientAt = now.Sub(start)
			}
		})
		require.Positive(t, sufficientAt)
		require.LessOrEqual(t, sufficientAt, 3*time.Second)
	}
}

// TestSufficientEvidenceNeedsRequestsTimeAndContinuity: a balancer that has seen no request has no
// evidence, however long it has run. One whose flows show gaps sees only parts of them.
func TestSufficientEvidenceNeedsRequestsTimeAndContinuity(t *testing.T) {
	reliability := &reliability{}
	require.True(t, reliability.usable(), "counts may be used to choose a target")
	require.False(t, reliability.sufficientEvidence(start.Add(time.Hour)))
	reliability.noteRequest(start)
	for range 100 {
		reliability.unanswered.Note(false)
	}
	require.False(t, reliability.sufficientEvidence(start.Add(requests.AnswerTimeout)), "no unanswered request could have been seen yet")
	require.True(t, reliability.sufficientEvidence(start.Add(minObservationTime)))
	for range 10 {
		reliability.continuity.Note(false)
	}
	require.False(t, reliability.sufficientEvidence(start.Add(minObservationTime)))
}

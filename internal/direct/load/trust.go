package load

import (
	"sync/atomic"
	"time"

	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

const (
	// maxUnansweredShare is the largest share of unanswered requests at which counts are used.
	maxUnansweredShare = 0.3
	// minObservationTime is how long after the first request the counts become sufficient
	// evidence. Answers are seen at once, but unanswered requests only after
	// requests.AnswerTimeout, so before then no request seems unanswered. The same time again
	// lets unanswered requests take effect in the average.
	minObservationTime = 2 * requests.AnswerTimeout
)

// reliability decides whether a balancer sees enough packets of its flows to count their
// requests. Where it does not, requests seem to stay open too long, and the counts do not
// reflect the load of targets.
type reliability struct {
	continuity requests.Continuity
	// unanswered is the share of requests for which this balancer saw no answer.
	unanswered requests.Share
	// firstRequestAt is when the first request began, in Unix nanoseconds; zero before it.
	firstRequestAt atomic.Int64
}

// noteRequest records that a request began.
func (reliability *reliability) noteRequest(now time.Time) {
	if reliability.firstRequestAt.Load() == 0 {
		reliability.firstRequestAt.CompareAndSwap(0, now.UnixNano())
	}
}

// usable reports whether there is no evidence against the counts, so that they may be used to
// choose a target. This is so for a balancer that has just started.
func (reliability *reliability) usable() bool {
	return reliability.unanswered.Value() <= maxUnansweredShare && reliability.continuity.Complete()
}

// sufficientEvidence reports whether there is enough evidence for the counts to refuse a flow based
// on them: the share of unanswered requests would be low enough even if all requests before the
// first observed one had been unanswered.
func (reliability *reliability) sufficientEvidence(now time.Time) bool {
	firstRequestAt := reliability.firstRequestAt.Load()
	if firstRequestAt == 0 || now.UnixNano()-firstRequestAt < int64(minObservationTime) {
		return false
	}
	return reliability.unanswered.UpperBound() <= maxUnansweredShare && reliability.continuity.Complete()
}

// proportions returns the figures behind the decision: the share of data behind a gap, and the
// share of requests whose answer was not seen.
func (reliability *reliability) proportions() (gaps, unanswered steer.Proportion) {
	gaps.Share, gaps.Samples = reliability.continuity.Gaps()
	unanswered = steer.Proportion{Share: reliability.unanswered.Value(), Samples: reliability.unanswered.Samples()}
	return gaps, unanswered
}

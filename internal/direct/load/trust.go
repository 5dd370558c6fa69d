package load

import (
	"sync/atomic"
	"time"

	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

const (
	// missedMost is the largest share of unanswered requests with which counts are
	// used.
	missedMost = 0.3
	// provenAfter is how long after the first request counts prove nothing. Answers are seen
	// at once and misses after requests.HangAfter alone, so that before then no request seems
	// to go unanswered; as long again lets the misses weigh in the average.
	provenAfter = 2 * requests.HangAfter
)

// trust tells whether a balancer sees enough of its flows to count their
// requests. Where it does not, requests seem to stay open for long, and counts
// say nothing of what targets have to do.
type trust struct {
	flows requests.Continuity
	// missed is the share of requests that went unanswered, as far as was seen.
	missed requests.Share
	// begunAt is when the first request began, in Unix nanoseconds; zero without one.
	begunAt atomic.Int64
}

// began takes in that a request began.
func (trust *trust) began(now time.Time) {
	if trust.begunAt.Load() == 0 {
		trust.begunAt.CompareAndSwap(0, now.UnixNano())
	}
}

// holds tells whether nothing speaks against the counts, so that a choice may go by them.
// A balancer that has just started has nothing that does.
func (trust *trust) holds() bool { return trust.missed.Value() <= missedMost && trust.flows.Whole() }

// proven tells whether enough speaks for the counts to refuse a flow by them: even if all
// requests before the first one had been missed, few enough are.
func (trust *trust) proven(now time.Time) bool {
	begunAt := trust.begunAt.Load()
	if begunAt == 0 || now.UnixNano()-begunAt < int64(provenAfter) {
		return false
	}
	return trust.missed.Most() <= missedMost && trust.flows.Whole()
}

// proportions returns what the trust rests on: the share of data behind a gap, and that of
// requests whose answer was not seen.
func (trust *trust) proportions() (gaps, missed steer.Proportion) {
	gaps.Share, gaps.Samples = trust.flows.Gaps()
	missed = steer.Proportion{Share: trust.missed.Value(), Samples: trust.missed.Cases()}
	return gaps, missed
}

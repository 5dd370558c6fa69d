package load

import (
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

// missedMost is the largest share of unanswered requests with which counts are
// used.
const missedMost = 0.3

// trust tells whether a balancer sees enough of its flows to count their
// requests. Where it does not, requests seem to stay open for long, and counts
// are not used.
type trust struct {
	flows requests.Continuity
	// missed is the share of requests that went unanswered, as far as was seen.
	missed requests.Share
}

// holds tells whether counts are to be used.
func (trust *trust) holds() bool { return trust.missed.Value() <= missedMost && trust.flows.Whole() }

// proportions returns what the trust rests on: the share of data behind a gap, and that of
// requests whose answer was not seen.
func (trust *trust) proportions() (gaps, missed steer.Proportion) {
	gaps.Share, gaps.Cases = trust.flows.Gaps()
	missed = steer.Proportion{Share: trust.missed.Value(), Cases: trust.missed.Cases()}
	return gaps, missed
}

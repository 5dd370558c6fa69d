package load

import (
	"sync"

	"merlinpaddle/internal/direct/requests"
)

const (
	// missedWeight is the weight of one more request in the average.
	missedWeight = 0.05
	// missedMost is the largest share of unanswered requests with which counts
	// are used.
	missedMost = 0.3
)

// trust tells whether a balancer sees enough of its flows to count their
// requests. Where it does not, requests seem to stay open for long, and counts
// are not used.
type trust struct {
	flows requests.Continuity

	lock sync.Mutex
	// missed is the share of requests that went unanswered, as far as was seen.
	missed float64
}

// noteRequest takes in whether a request was answered.
func (trust *trust) noteRequest(answered bool) {
	trust.lock.Lock()
	defer trust.lock.Unlock()
	trust.missed *= 1 - missedWeight
	if !answered {
		trust.missed += missedWeight
	}
}

// holds tells whether counts are to be used.
func (trust *trust) holds() bool {
	trust.lock.Lock()
	defer trust.lock.Unlock()
	return trust.missed <= missedMost && trust.flows.Whole()
}

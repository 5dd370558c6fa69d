package steering

import (
	"math"
	"sync"
	"time"

	"merlinpaddle/internal/model"
)

const (
	// fullScore is the load score of a target with its maximum number of flows and no requests.
	fullScore = 16000
	// coldPenalty is added to the load score of a target in slow start.
	coldPenalty = fullScore / 4
	// unhealthyPenalty is added to the load score of a target whose back end fails, so that the other
	// target is chosen if there is one.
	unhealthyPenalty = 2 * fullScore
	// maximumScore marks a target that must not open a new flow.
	maximumScore = math.MaxUint16
	// maximumRequestShare bounds the effect of requests: any number of them raises the score of a
	// target by less than this fraction of the score of its flows and one more. So it also bounds the
	// imbalance of flows that requests may cause.
	maximumRequestShare = 0.3
	// requestWindow is the time constant of the average number of requests. It is much longer than
	// one request, so that random variation averages out, and shorter than most flows.
	requestWindow = 20 * time.Second
)

// Score returns the load score of a target: its flows relative to maximumFlows, raised by up to
// maximumRequestShare for requestsPerSlot, the number of running and waiting requests for each slot.
// The score is never maximumScore, and never zero, which stands for an unknown score.
func Score(load model.TargetLoad, requestsPerSlot float64, maximumFlows int) uint16 {
	perFlow := fullScore / float64(max(maximumFlows, 1))
	raise := maximumRequestShare * requestsPerSlot / (1 + requestsPerSlot)
	// The requests are weighted by one flow more, so that they also count at a target without flows.
	score := 1 + perFlow*float64(load.Flows) + raise*perFlow*float64(load.Flows+1)
	if load.Cold {
		score += coldPenalty
	}
	if !load.Healthy {
		score += unhealthyPenalty
	}
	return uint16(min(score, maximumScore-1))
}

// requestAverage is an exponentially weighted moving average of the number of running and waiting
// requests for each slot. Its methods may be called concurrently.
type requestAverage struct {
	lock  sync.Mutex
	at    time.Time
	value float64
}

// observe adds the current load to the average and returns the average.
func (average *requestAverage) observe(now time.Time, load model.TargetLoad) float64 {
	present := float64(load.Running+load.Waiting) / float64(max(load.Slots, 1))
	average.lock.Lock()
	defer average.lock.Unlock()
	if elapsed := now.Sub(average.at); elapsed > 0 {
		weight := 1 - math.Exp(-float64(elapsed)/float64(requestWindow))
		average.value += weight * (present - average.value)
		average.at = now
	}
	return average.value
}

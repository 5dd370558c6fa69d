package requests

import (
	"math"
	"sync"
)

// defaultWeight is the weight of one more sample in a Share whose Weight is zero.
const defaultWeight = 0.05

// Share is the share of recent samples in which a condition held: an exponentially weighted moving
// average that starts at zero. With few samples the true share is uncertain; it lies between Value,
// which assumes that the condition never held before the first sample, and UpperBound, which
// assumes that it always did. It is safe for concurrent use.
type Share struct {
	// Weight is the weight of one more sample; zero selects defaultWeight. It must be set before
	// the first sample.
	Weight float64

	lock  sync.Mutex
	value float64
	// samples is the number of samples since the start.
	samples int
}

// weight returns the weight of one more sample.
func (share *Share) weight() float64 {
	if share.Weight == 0 {
		return defaultWeight
	}
	return share.Weight
}

// Note records one more sample and whether the condition held in it.
func (share *Share) Note(held bool) {
	share.lock.Lock()
	defer share.lock.Unlock()
	weight := share.weight()
	share.samples++
	share.value *= 1 - weight
	if held {
		share.value += weight
	}
}

// Value returns the lower bound of the share, from 0 to 1.
func (share *Share) Value() float64 {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.value
}

// Samples returns the number of samples recorded since the start.
func (share *Share) Samples() int {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.samples
}

// UpperBound returns the upper bound of the share: 1 without samples, approaching Value as samples
// accumulate.
func (share *Share) UpperBound() float64 {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.value + math.Pow(1-share.weight(), float64(share.samples))
}

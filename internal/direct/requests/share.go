package requests

import (
	"math"
	"sync"
)

// usualWeight is the weight of one more case in a share that states none.
const defaultWeight = 0.05

// Share is the share of late cases in which something held, an exponential
// average. While cases are few the share lies anywhere between Value, as if it had
// held in none before the first one, and Most, as if it had held in all. It is safe
// for many goroutines.
type Share struct {
	// Weight is the weight of one more case; zero for usualWeight. It is set before the
	// first case.
	Weight float64

	lock  sync.Mutex
	value float64
	cases int
}

// weight returns the weight of one more case.
func (share *Share) weight() float64 {
	if share.Weight == 0 {
		return defaultWeight
	}
	return share.Weight
}

// Note takes in one more case.
func (share *Share) Note(holds bool) {
	share.lock.Lock()
	defer share.lock.Unlock()
	weight := share.weight()
	share.cases++
	share.value *= 1 - weight
	if holds {
		share.value += weight
	}
}

// Value returns the share, from 0 to 1: the least that it can be.
func (share *Share) Value() float64 {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.value
}

// Cases returns how many cases were taken in since the start.
func (share *Share) Samples() int {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.cases
}

// Most returns the most that the share can be, from 1 without a case down to Value after
// many.
func (share *Share) UpperBound() float64 {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.value + math.Pow(1-share.weight(), float64(share.cases))
}

package requests

import "sync"

// usualWeight is the weight of one more case in a share that states none.
const usualWeight = 0.05

// Share is the share of late cases in which something held, an exponential
// average that begins at zero. It is safe for many goroutines.
type Share struct {
	// Weight is the weight of one more case; zero for usualWeight. It is set before the
	// first case.
	Weight float64

	lock  sync.Mutex
	value float64
	cases int
}

// Note takes in one more case.
func (share *Share) Note(holds bool) {
	share.lock.Lock()
	defer share.lock.Unlock()
	weight := share.Weight
	if weight == 0 {
		weight = usualWeight
	}
	share.cases++
	share.value *= 1 - weight
	if holds {
		share.value += weight
	}
}

// Value returns the share, from 0 to 1.
func (share *Share) Value() float64 {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.value
}

// Cases returns how many cases were taken in since the start.
func (share *Share) Cases() int {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.cases
}

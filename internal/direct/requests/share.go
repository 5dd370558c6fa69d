package requests

import "sync"

// shareWeight is the weight of one more case in a share.
const shareWeight = 0.05

// Share is the share of late cases in which something held, an exponential
// average that begins at zero. It is safe for many goroutines.
type Share struct {
	lock  sync.Mutex
	value float64
}

// Note takes in one more case.
func (share *Share) Note(holds bool) {
	share.lock.Lock()
	defer share.lock.Unlock()
	share.value *= 1 - shareWeight
	if holds {
		share.value += shareWeight
	}
}

// Value returns the share, from 0 to 1.
func (share *Share) Value() float64 {
	share.lock.Lock()
	defer share.lock.Unlock()
	return share.value
}

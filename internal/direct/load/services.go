package load

import (
	"sync"
	"time"
)

// serviceWeight is the weight of one more answer in the average serving time of a
// service, which has the answers of many targets.
const serviceWeight = 0.02

// serviceTimes has the average serving time of each service, in nanoseconds.
// Services are few, and stay.
type serviceTimes struct {
	lock     sync.RWMutex
	averages map[string]float64
}

// learn takes in how long a request would have taken on an idle target.
func (times *serviceTimes) learn(service string, alone float64) {
	times.lock.Lock()
	defer times.lock.Unlock()
	if times.averages == nil {
		times.averages = make(map[string]float64)
	}
	times.averages[service] = averaged(times.averages[service], alone, serviceWeight)
}

func (times *serviceTimes) typical(service string) time.Duration {
	times.lock.RLock()
	defer times.lock.RUnlock()
	return time.Duration(times.averages[service])
}

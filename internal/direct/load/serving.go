package load

import (
	"sync"
	"time"
)

const (
	// targetWeight and serviceWeight are the weights of one more answer in the
	// average serving time of a target and of a service, which has the answers of
	// many targets.
	targetWeight  = 0.1
	serviceWeight = 0.02
	// leastAnswers is the number of answers from which an average is used: single
	// requests differ, and a service that is overloaded from its start on shows no
	// more than the first few on idle targets.
	leastAnswers = 8
)

// average is a running average of serving times on idle targets.
type average struct {
	// value is in nanoseconds.
	value   float64
	answers int
}

// learn takes one more answer in. The first answers weigh alike, so that one of them
// that is out of the ordinary does not last.
func (average *average) learn(alone, weight float64) {
	average.answers++
	weight = max(weight, 1/float64(average.answers))
	average.value += weight * (alone - average.value)
}

// time returns the average, or zero while too few answers came.
func (average *average) time() time.Duration {
	if average.answers < leastAnswers {
		return 0
	}
	return time.Duration(average.value)
}

// serviceTimes has the average serving time of each service. Services are few, and
// stay.
type serviceTimes struct {
	lock     sync.RWMutex
	averages map[string]average
}

// learn takes in how long a request would have taken on an idle target.
func (times *serviceTimes) learn(service string, alone float64) {
	times.lock.Lock()
	defer times.lock.Unlock()
	if times.averages == nil {
		times.averages = make(map[string]average)
	}
	known := times.averages[service]
	known.learn(alone, serviceWeight)
	times.averages[service] = known
}

func (times *serviceTimes) typical(service string) time.Duration {
	times.lock.RLock()
	defer times.lock.RUnlock()
	known := times.averages[service]
	return known.time()
}

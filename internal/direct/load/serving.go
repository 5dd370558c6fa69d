package load

import (
	"slices"
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

// ServingTime is how long a request takes on an idle target of a service.
type ServingTime struct {
	Service string
	Time    time.Duration
}

// serviceTimes has the serving time of each service: what this balancer saw, and what
// others told. Services are few, and stay.
type serviceTimes struct {
	lock  sync.RWMutex
	seen  map[string]*average
	heard map[string]time.Duration
}

// learn takes in how long a request would have taken on an idle target.
func (times *serviceTimes) learn(service string, alone float64) {
	times.lock.Lock()
	defer times.lock.Unlock()
	if times.seen == nil {
		times.seen = make(map[string]*average)
	}
	known := times.seen[service]
	if known == nil {
		known = &average{}
		times.seen[service] = known
	}
	known.learn(alone, serviceWeight)
}

// hear replaces what others told.
func (times *serviceTimes) hear(told []ServingTime) {
	times.lock.Lock()
	defer times.lock.Unlock()
	times.heard = make(map[string]time.Duration, len(told))
	for _, serving := range told {
		if serving.Time > 0 {
			times.heard[serving.Service] = serving.Time
		}
	}
}

// typical returns what others told, or else what this balancer saw; zero when neither is
// known. A balancer that started under load saw crowded targets alone.
func (times *serviceTimes) typical(service string) time.Duration {
	times.lock.RLock()
	defer times.lock.RUnlock()
	if heard := times.heard[service]; heard > 0 {
		return heard
	}
	if known := times.seen[service]; known != nil {
		return known.time()
	}
	return 0
}

// all returns what this balancer saw, by the names of services.
func (times *serviceTimes) all() []ServingTime {
	times.lock.RLock()
	defer times.lock.RUnlock()
	var all []ServingTime
	for service, known := range times.seen {
		if serving := known.time(); serving > 0 {
			all = append(all, ServingTime{Service: service, Time: serving})
		}
	}
	slices.SortFunc(all, compareServices)
	return all
}

func compareServices(left, right ServingTime) int {
	switch {
	case left.Service < right.Service:
		return -1
	case left.Service > right.Service:
		return 1
	}
	return 0
}

// medians returns the median time of each service over what balancers told: a few that
// started under load know only crowded targets.
func medians(told [][]ServingTime) []ServingTime {
	times := make(map[string][]time.Duration)
	for _, servings := range told {
		for _, serving := range servings {
			times[serving.Service] = append(times[serving.Service], serving.Time)
		}
	}
	var all []ServingTime
	for service, known := range times {
		slices.Sort(known)
		all = append(all, ServingTime{Service: service, Time: known[len(known)/2]})
	}
	slices.SortFunc(all, compareServices)
	return all
}

package load

import (
	"slices"
	"sync"
	"time"
)

const (
	// targetWeight and serviceWeight are the weights of a new answer in the average service time
	// of a target and of a service. The latter is lower because a service gets the answers of
	// many targets.
	targetWeight  = 0.1
	serviceWeight = 0.02
	// minAnswers is the number of answers from which an average is used. Single requests vary;
	// and with a service that is overloaded from its start, only the first few answers come from
	// idle targets.
	minAnswers = 8
)

// average is a running average of service times on idle targets.
type average struct {
	// value is in nanoseconds.
	value   float64
	answers int
}

// add updates the average with a sample, in nanoseconds. The first samples have equal weight, so
// that an early outlier does not persist.
func (average *average) add(sample, weight float64) {
	average.answers++
	weight = max(weight, 1/float64(average.answers))
	average.value += weight * (sample - average.value)
}

// estimate returns the average, or zero while there are too few answers.
func (average *average) estimate() time.Duration {
	if average.answers < minAnswers {
		return 0
	}
	return time.Duration(average.value)
}

// ServingTime is the service time of a service: how long a request takes on one of its idle
// targets.
type ServingTime struct {
	Service string
	Time    time.Duration
}

// serviceTimes holds the service time of each service, both as observed by this balancer and as
// reported by other nodes. Entries are never removed because services are few and long-lived.
type serviceTimes struct {
	lock     sync.RWMutex
	observed map[string]*average
	reported map[string]time.Duration
}

// add updates the observed average of the service with the time that a request would have taken on
// an idle target, in nanoseconds.
func (times *serviceTimes) add(service string, idleTime float64) {
	times.lock.Lock()
	defer times.lock.Unlock()
	if times.observed == nil {
		times.observed = make(map[string]*average)
	}
	observed := times.observed[service]
	if observed == nil {
		observed = &average{}
		times.observed[service] = observed
	}
	observed.add(idleTime, serviceWeight)
}

// setReported replaces the service times reported by other nodes.
func (times *serviceTimes) setReported(reported []ServingTime) {
	times.lock.Lock()
	defer times.lock.Unlock()
	times.reported = make(map[string]time.Duration, len(reported))
	for _, entry := range reported {
		if entry.Time > 0 {
			times.reported[entry.Service] = entry.Time
		}
	}
}

// typical returns the reported service time, or else the one that this balancer observed; zero if
// neither is known. The reported one comes first because a balancer that started under load has
// only observed saturated targets.
func (times *serviceTimes) typical(service string) time.Duration {
	times.lock.RLock()
	defer times.lock.RUnlock()
	if reported := times.reported[service]; reported > 0 {
		return reported
	}
	if observed := times.observed[service]; observed != nil {
		return observed.estimate()
	}
	return 0
}

// observedTimes returns the service times that this balancer observed, sorted by service name.
func (times *serviceTimes) observedTimes() []ServingTime {
	times.lock.RLock()
	defer times.lock.RUnlock()
	var all []ServingTime
	for service, observed := range times.observed {
		if serviceTime := observed.estimate(); serviceTime > 0 {
			all = append(all, ServingTime{Service: service, Time: serviceTime})
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

// medians returns the median service time of each service over the reports of balancers. A few
// balancers that started under load and only observed saturated targets don't affect a median.
func medians(reports [][]ServingTime) []ServingTime {
	times := make(map[string][]time.Duration)
	for _, reported := range reports {
		for _, entry := range reported {
			times[entry.Service] = append(times[entry.Service], entry.Time)
		}
	}
	var all []ServingTime
	for service, samples := range times {
		slices.Sort(samples)
		all = append(all, ServingTime{Service: service, Time: samples[len(samples)/2]})
	}
	slices.SortFunc(all, compareServices)
	return all
}

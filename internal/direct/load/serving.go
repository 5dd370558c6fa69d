package load

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// targetWeight is the weight of one more answer in the average serving time of a target.
	targetWeight = 0.1
	// leastAnswers is the number of answers from which an average is used: single
	// requests differ, and a service that is overloaded from its start on shows no
	// more than the first few on idle targets.
	leastAnswers = 8
	// blockAnswers is the number of answers whose mean is taken as one sample of a
	// service's serving time: requests of one kind that differ by half of their mean give a
	// mean that is an eighth off.
	blockAnswers = 16
	// windowBlocks is the number of samples in which the least one is looked for; it holds
	// until as many more came. Callers come and go within some ten seconds, in which a
	// balancer under load hears of a thousand answers.
	windowBlocks = 64
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

// floor is the serving time of a service: the least mean of a block of answers of late. How
// crowded targets are is not always known, as while the members that add up loads are away;
// answers then seem to take as long as their queue, and a mean over all of them made targets
// with an idle slot look too slow for new flows. Waiting only ever adds, so that the least
// is nearest to the truth (a windowed minimum, as in Cardwell and others, BBR, 2016).
type floor struct {
	block average
	// present and former are the least samples of the window that fills and of the one
	// before it, infinite without any, and blocks the number of samples in the first.
	present, former float64
	blocks          int
}

func newFloor() *floor { return &floor{present: math.Inf(1), former: math.Inf(1)} }

// learn takes in how long a request would have taken on an idle target.
func (floor *floor) learn(alone float64) {
	floor.block.learn(alone, 0)
	if floor.block.answers < blockAnswers {
		return
	}
	floor.present = min(floor.present, floor.block.value)
	floor.block = average{}
	floor.blocks++
	if floor.blocks == windowBlocks {
		floor.former, floor.present, floor.blocks = floor.present, math.Inf(1), 0
	}
}

// time returns the serving time, or zero while too few answers came.
func (floor *floor) time() time.Duration {
	least := min(floor.present, floor.former)
	if math.IsInf(least, 1) {
		return floor.block.time()
	}
	return time.Duration(least)
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
	seen  map[string]*floor
	heard map[string]time.Duration
}

// learn takes in how long a request would have taken on an idle target.
func (times *serviceTimes) learn(service string, alone float64) {
	times.lock.Lock()
	defer times.lock.Unlock()
	if times.seen == nil {
		times.seen = make(map[string]*floor)
	}
	known := times.seen[service]
	if known == nil {
		known = newFloor()
		times.seen[service] = known
	}
	known.learn(alone)
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

// typical returns the less of what this balancer saw and what others told; zero when
// neither is known.
func (times *serviceTimes) typical(service string) time.Duration {
	times.lock.RLock()
	defer times.lock.RUnlock()
	var seen time.Duration
	if known := times.seen[service]; known != nil {
		seen = known.time()
	}
	heard := times.heard[service]
	if seen == 0 || heard == 0 {
		return max(seen, heard)
	}
	return min(seen, heard)
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

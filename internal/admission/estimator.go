package admission

import (
	"time"

	"merlinpaddle/internal/model"
)

// initialServiceTime is the service time that is assumed for a class until its first
// request is answered.
const initialServiceTime = 50 * time.Millisecond

// smoothingFactor is the weight of a new measurement in the moving average.
const smoothingFactor = 0.125

// estimator keeps, for each request class, an exponentially weighted moving average of
// the time for which a request holds a slot.
type estimator struct {
	averages map[model.RequestClass]time.Duration
}

func newEstimator() *estimator {
	return &estimator{averages: make(map[model.RequestClass]time.Duration)}
}

// observe records that a request of class held a slot for the time held.
func (estimator *estimator) observe(class model.RequestClass, held time.Duration) {
	average, known := estimator.averages[class]
	if !known {
		estimator.averages[class] = held
		return
	}
	estimator.averages[class] = average + time.Duration(float64(held-average)*smoothingFactor)
}

// serviceTime returns the time for which a request of class is expected to hold a slot.
func (estimator *estimator) serviceTime(class model.RequestClass) time.Duration {
	if average, known := estimator.averages[class]; known {
		return average
	}
	return initialServiceTime
}

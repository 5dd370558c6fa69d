package world

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// Service times and failures of back ends.
const (
	// truncatedShare is the share, from 0 to 1, of answers whose body is truncated.
	truncatedShare = 0.005
	meanCallTime   = 40 * time.Millisecond
	meanUploadTime = 1200 * time.Millisecond
	// maximumServiceTime bounds the service time of a request that does not stall.
	maximumServiceTime = 8 * time.Second
)

// backend simulates a target's back end: it runs requests and reports to the checkers which of them
// really ran. It belongs to one incarnation of its target.
type backend struct {
	world  *World
	random *kernel.Random
	// truncation decides which answers are truncated and which requests stall.
	truncation        *kernel.Random
	targetIncarnation checker.TargetIncarnation
	stopped           bool
	// running is the number of requests in progress.
	running int
}

func newBackend(world *World, targetIncarnation checker.TargetIncarnation, random, truncation *kernel.Random) *backend {
	return &backend{world: world, random: random, truncation: truncation, targetIncarnation: targetIncarnation}
}

// run executes one request and calls done when it ends, unless the back end stops before. The complete
// that done receives is true if the answer has its full length.
func (backend *backend) run(payload requestPayload, done func(complete bool)) {
	backend.running++
	backend.world.checks.requests.Ran(payload.attempt, backend.targetIncarnation, backend.world.run.Elapsed())
	backend.world.run.Scheduler.After(backend.serviceTime(payload.class), func() {
		if backend.stopped {
			return
		}
		backend.running--
		backend.world.checks.requests.Finished(payload.attempt)
		done(!backend.truncation.Chance(truncatedShare))
	})
}

// serviceTime returns how long a request runs. A stalled request ends only after its caller has
// given up.
func (backend *backend) serviceTime(class model.RequestClass) time.Duration {
	mean := meanCallTime
	if class == model.ClassUpload {
		mean = meanUploadTime
	}
	serviceTime := min(backend.random.Exponential(mean)+time.Millisecond, maximumServiceTime)
	if backend.truncation.Chance(backend.world.options.StalledRequestShare) {
		return requestTimeout + serviceTime
	}
	return serviceTime
}

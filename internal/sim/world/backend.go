package world

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// What the back end's work takes and how it ends.
const (
	// shortBodies is the share of answers whose body is cut short.
	truncatedShare = 0.005
	meanCallTime   = 40 * time.Millisecond
	meanUploadTime = 1200 * time.Millisecond
	// longestRun bounds a service time.
	maximumServiceTime = 8 * time.Second
)

// backend is the stand-in for a back end: it runs what it is given and writes
// a ledger of what truly ran. It belongs to one life of its target.
type backend struct {
	world  *World
	random *kernel.Random
	// cuts decides which answers are cut short.
	truncation *kernel.Random
	place      checker.Place
	stopped    bool
	// running is the number of requests in progress.
	running int
}

func newBackend(world *World, place checker.Place, random, truncation *kernel.Random) *backend {
	return &backend{world: world, random: random, truncation: truncation, place: place}
}

// run executes one request and calls done at its end, unless the back end
// dies before. whole tells that the answer has its full length.
func (backend *backend) run(payload requestPayload, done func(complete bool)) {
	backend.running++
	backend.world.checks.requests.Ran(payload.attempt, backend.place, backend.world.run.Elapsed())
	backend.world.run.Scheduler.After(backend.serviceTime(payload.class), func() {
		if backend.stopped {
			return
		}
		backend.running--
		backend.world.checks.requests.Finished(payload.attempt)
		done(!backend.truncation.Chance(truncatedShare))
	})
}

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

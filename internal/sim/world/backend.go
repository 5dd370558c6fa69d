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
	shortBodies = 0.005
	meanCall    = 40 * time.Millisecond
	meanUpload  = 1200 * time.Millisecond
	// longestRun bounds a service time.
	longestRun = 8 * time.Second
)

// backend is the stand-in for a back end: it runs what it is given and writes
// a ledger of what truly ran. It belongs to one life of its target.
type backend struct {
	world  *World
	random *kernel.Random
	// cuts decides which answers are cut short.
	cuts  *kernel.Random
	place checker.TargetIncarnation
	dead  bool
	// running is the number of requests in progress.
	running int
}

func newBackend(world *World, place checker.TargetIncarnation, random, cuts *kernel.Random) *backend {
	return &backend{world: world, random: random, cuts: cuts, place: place}
}

// run executes one request and calls done at its end, unless the back end
// dies before. whole tells that the answer has its full length.
func (backend *backend) run(one request, done func(whole bool)) {
	backend.running++
	backend.world.check.requests.Ran(one.attempt, backend.place, backend.world.run.Elapsed())
	backend.world.run.Scheduler.After(backend.serviceTime(one.class), func() {
		if backend.dead {
			return
		}
		backend.running--
		backend.world.check.requests.Finished(one.attempt)
		done(!backend.cuts.Chance(shortBodies))
	})
}

func (backend *backend) serviceTime(class model.RequestClass) time.Duration {
	mean := meanCall
	if class == model.ClassUpload {
		mean = meanUpload
	}
	usual := min(backend.random.Exponential(mean)+time.Millisecond, longestRun)
	if backend.cuts.Chance(backend.world.options.StalledRuns) {
		return requestTimeout + usual
	}
	return usual
}

package directworld

import "time"

// narrowLinkRate is what the links of the scenarios carry, in bytes a second: an
// upload takes a quarter of a second of it.
const narrowLinkRate = 250_000

// uploadsPerSecond is about half of what the links of all balancers carry.
const uploadsPerSecond = 8

func narrowLinkOptions(options *Options) {
	options.Affine = true
	options.CallsOnly = true
	options.LinkRate = narrowLinkRate
}

// narrowLinks has uploads and calls beside each other.
func narrowLinks(world *World) {
	world.uploads.runAtRate(uploadsPerSecond, func() {
		world.calls.RunAtRate(callCapacityPerSecond/4, 4*time.Second, 20*time.Second)
	})
	world.checks.checkTimelyCalls(0.8, 1.1)
	world.checks.checkTimelyUploads(0.65, 1.2)
}

// fullLinks has twice as many uploads as the links carry.
func fullLinks(world *World) {
	world.uploads.runAtRate(4*uploadsPerSecond, func() {
		world.calls.RunAtRate(callCapacityPerSecond/4, 4*time.Second, 20*time.Second)
	})
	world.checks.checkTimelyCalls(0.75, 1.1)
	// Half can be carried at all.
	world.checks.checkTimelyUploads(0.2, 2.5)
}

// run makes uploads at a rate while others run, and counts those that begin when
// the calls of others are counted.
func (uploads *uploads) runAtRate(perSecond int, others func()) {
	uploads.perSecond = perSecond
	uploads.running = true
	uploads.scheduleNext()
	uploads.world.after(4*time.Second, func() { uploads.counting = true })
	uploads.world.after(24*time.Second, func() {
		uploads.counting = false
		uploads.running = false
	})
	others()
	uploads.world.RunFor(uploadDeadline)
}

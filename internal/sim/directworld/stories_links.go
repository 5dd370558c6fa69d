package directworld

import "time"

// narrowLinkRate is the capacity of each balancer's link in the scenarios, in bytes per second. The
// transmission of one upload takes a quarter of a second.
const narrowLinkRate = 250_000

// uploadsPerSecond is the rate of uploads, about half of what the links of all balancers can carry.
const uploadsPerSecond = 8

// narrowLinkOptions sets narrow links, makes routers keep flows on one balancer and reserves the feed
// service for calls.
func narrowLinkOptions(options *Options) {
	options.Affine = true
	options.CallsOnly = true
	options.LinkRate = narrowLinkRate
}

// narrowLinks runs uploads and calls at the same time, within the capacity of the links.
func narrowLinks(world *World) {
	world.uploads.runAtRate(uploadsPerSecond, func() {
		world.calls.RunAtRate(callCapacityPerSecond/4, 4*time.Second, 20*time.Second)
	})
	world.checks.checkTimelyCalls(0.8, 1.1)
	world.checks.checkTimelyUploads(0.65, 1.2)
}

// fullLinks runs twice as many uploads as the links can carry, and calls.
func fullLinks(world *World) {
	world.uploads.runAtRate(4*uploadsPerSecond, func() {
		world.calls.RunAtRate(callCapacityPerSecond/4, 4*time.Second, 20*time.Second)
	})
	world.checks.checkTimelyCalls(0.75, 1.1)
	// The links can carry only half of the uploads.
	world.checks.checkTimelyUploads(0.2, 2.5)
}

// runAtRate starts uploads at a mean rate for 24 seconds, while others runs the world with calls. It
// counts the uploads that begin after the first 4 seconds, when the calls of others are counted too,
// and finally runs the world for uploadDeadline, so that the last uploads can end.
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

package directworld

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/sim/kernel"
)

// callsOnlyOptions reserves the feed service for calls and makes routers keep flows on one
// balancer.
func callsOnlyOptions(options *Options) {
	options.Affine = true
	options.CallsOnly = true
}

// callCapacityPerSecond is the number of calls per second that the feed service of the default size
// can serve.
const callCapacityPerSecond = 300

// pickFeedTarget returns a random ready target of the feed service.
func (world *World) pickFeedTarget() *target {
	var ready []*target
	for _, target := range world.targets {
		if target.service == serviceFeed && target.alive && target.state == directory.TargetReady {
			ready = append(ready, target)
		}
	}
	return kernel.Pick(world.random, ready)
}

// heavyLoad runs calls at 70% of the capacity with one slow target. A target is replaced and a
// balancer restarts meanwhile.
func heavyLoad(world *World) {
	world.pickFeedTarget().slots.slowdown = 3
	world.after(4*time.Second, func() {
		replaced := world.pickFeedTarget()
		world.AddTarget(replaced.service, replaced.zone)
		replaced.Drain()
		world.restartBalancer(kernel.Pick(world.random, world.balancers), 300*time.Millisecond)
	})
	world.calls.RunAtRate(callCapacityPerSecond*7/10, 2*time.Second, 12*time.Second)
	world.checks.checkTimelyCalls(0.93, 1.1)
}

// erringTargets makes a target answer errors for 6 seconds while calls run, twice. The second time
// the leader is killed when the errors end.
func erringTargets(world *World) {
	for round := range 2 {
		chosen := world.pickFeedTarget()
		world.after(6*time.Second, func() {
			world.recordDisturbance("errors", chosen.address.String())
			chosen.answersErrors = true
		})
		world.after(12*time.Second, func() {
			world.checks.checkEjected(chosen)
			if leader := world.leader(); leader != nil && round == 1 {
				leader.Kill()
				world.after(time.Second, leader.Start)
			}
			chosen.answersErrors = false
		})
		world.calls.RunAtRate(callCapacityPerSecond/3, 2*time.Second, 16*time.Second)
		world.checks.awaitEjection(chosen, false, reinstatementBound)
	}
}

// overload runs a third more calls than targets can serve.
func overload(world *World) {
	world.calls.RunAtRate(callCapacityPerSecond*4/3, 4*time.Second, 12*time.Second)
	world.checks.checkTimelyCalls(0.6, 1.05)
}

// largeBalancerCount is a number of balancers at which they no longer report load to each other, but
// to a member, which sums it up.
const largeBalancerCount = 24

// largeOptions sets calls and a large number of balancers.
func largeOptions(options *Options) {
	callsOnlyOptions(options)
	options.Balancers = largeBalancerCount
}

// largeOverload runs a third more calls than targets can serve, through many balancers. A member is
// killed meanwhile.
func largeOverload(world *World) {
	world.after(7*time.Second, func() {
		killed := kernel.Pick(world.random, world.members)
		killed.Kill()
		world.after(time.Second, killed.Start)
	})
	world.calls.RunAtRate(callCapacityPerSecond*4/3, 4*time.Second, 12*time.Second)
	// Targets can serve three quarters of the calls. Load sums that pass through a member are older
	// than load reports between balancers.
	world.checks.checkTimelyCalls(0.5, 1.05)
}

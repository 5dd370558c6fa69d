package directworld

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/sim/kernel"
)

func callsOnlyOptions(options *Options) {
	options.Affine = true
	options.CallsOnly = true
}

// capacityPerSecond is the number of calls that a feed service of the default
// size serves in a second.
const callCapacityPerSecond = 300

// feedTarget returns a ready target of the feed service.
func (world *World) pickFeedTarget() *target {
	var ready []*target
	for _, target := range world.targets {
		if target.service == serviceFeed && target.alive && target.state == directory.TargetReady {
			ready = append(ready, target)
		}
	}
	return kernel.Pick(world.random, ready)
}

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

// erringTargets has a target that answers errors while callers press, twice.
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

func overload(world *World) {
	world.calls.RunAtRate(callCapacityPerSecond*4/3, 4*time.Second, 12*time.Second)
	world.checks.checkTimelyCalls(0.6, 1.05)
}

// largeBalancers is a number of balancers that share no load with each other.
const largeBalancerCount = 24

func largeOptions(options *Options) {
	callsOnlyOptions(options)
	options.Balancers = largeBalancerCount
}

func largeOverload(world *World) {
	world.after(7*time.Second, func() {
		killed := kernel.Pick(world.random, world.members)
		killed.Kill()
		world.after(time.Second, killed.Start)
	})
	world.calls.RunAtRate(callCapacityPerSecond*4/3, 4*time.Second, 12*time.Second)
	// Three quarters can be served at all; sums by way of a member are older than
	// reports of balancers to each other.
	world.checks.checkTimelyCalls(0.5, 1.05)
}

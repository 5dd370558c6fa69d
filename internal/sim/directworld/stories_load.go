package directworld

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/sim/kernel"
)

func callsOnly(options *Options) {
	options.Affine = true
	options.CallsOnly = true
}

// capacityPerSecond is the number of calls that a feed service of the default
// size serves in a second.
const capacityPerSecond = 300

// feedTarget returns a ready target of the feed service.
func (world *World) feedTarget() *target {
	var ready []*target
	for _, target := range world.targets {
		if target.service == serviceFeed && target.alive && target.state == directory.TargetReady {
			ready = append(ready, target)
		}
	}
	return kernel.Pick(world.random, ready)
}

func heavyLoad(world *World) {
	world.feedTarget().slots.slowness = 3
	world.after(4*time.Second, func() {
		replaced := world.feedTarget()
		world.AddTarget(replaced.service, replaced.zone)
		replaced.Drain()
		world.restartBalancer(kernel.Pick(world.random, world.balancers), 300*time.Millisecond)
	})
	world.calls.Press(capacityPerSecond*7/10, 2*time.Second, 12*time.Second)
	world.checks.timelyCalls(0.93, 1.1)
}

// erringTargets has a target that answers errors while callers press, twice.
func erringTargets(world *World) {
	for round := range 2 {
		chosen := world.feedTarget()
		world.after(6*time.Second, func() {
			world.disturb("errors", chosen.address.String())
			chosen.erring = true
		})
		world.after(12*time.Second, func() {
			world.checks.asideNow(chosen)
			if leader := world.leader(); leader != nil && round == 1 {
				leader.Kill()
				world.after(time.Second, leader.Start)
			}
			chosen.erring = false
		})
		world.calls.Press(capacityPerSecond/3, 2*time.Second, 16*time.Second)
		world.checks.becomesAside(chosen, false, returnsWithin)
	}
}

func overload(world *World) {
	world.calls.Press(capacityPerSecond*4/3, 4*time.Second, 12*time.Second)
	world.checks.timelyCalls(0.6, 1.05)
}

// largeBalancers is a number of balancers that share no load with each other.
const largeBalancers = 24

func large(options *Options) {
	callsOnly(options)
	options.Balancers = largeBalancers
}

func largeOverload(world *World) {
	world.after(7*time.Second, func() {
		killed := kernel.Pick(world.random, world.members)
		killed.Kill()
		world.after(time.Second, killed.Start)
	})
	world.calls.Press(capacityPerSecond*4/3, 4*time.Second, 12*time.Second)
	// Three quarters can be served at all; sums by way of a member are older than
	// reports of balancers to each other.
	world.checks.timelyCalls(0.5, 1.05)
}

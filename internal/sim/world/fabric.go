package world

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// balancerListInterval is how often the fabric reads the list of live balancers.
const balancerListInterval = 500 * time.Millisecond

// fabric simulates the network fabric. It spreads callers' packets over the balancers in its list,
// which lags behind their real state.
type fabric struct {
	world  *World
	random *kernel.Random
	// lag is the delay after which a change of the list takes effect.
	lag  time.Duration
	live []*balancer
	// sprayed counts the packets sent to a balancer, and dropped those sent while the list was empty.
	sprayed uint64
	dropped uint64
}

func newFabric(world *World, lag time.Duration) *fabric {
	return &fabric{world: world, random: world.run.Random("fabric"), lag: lag}
}

// start begins to read the list of live balancers.
func (fabric *fabric) start() {
	fabric.live = fabric.list()
	fabric.world.run.Scheduler.Every(balancerListInterval, func() bool {
		seen := fabric.list()
		fabric.world.run.Scheduler.After(fabric.lag, func() { fabric.live = seen })
		return true
	})
}

// list returns the balancers whose machines run. A frozen process counts as live, because the
// platform sees only the machine.
func (fabric *fabric) list() []*balancer {
	var live []*balancer
	for _, candidate := range fabric.world.balancers {
		if candidate.process.Running() && candidate.listed {
			live = append(live, candidate)
		}
	}
	return live
}

// spray sends a packet to a random balancer of the list.
func (fabric *fabric) spray(incoming packet) {
	if len(fabric.live) == 0 {
		fabric.dropped++
		return
	}
	fabric.sprayed++
	chosen := kernel.Pick(fabric.random, fabric.live)
	from := kernel.Endpoint{Name: callersName, Zone: callerZone}
	fabric.world.packets.Send(from, chosen.process.Endpoint, func() { chosen.receive(incoming) })
}

// callersName is the one network name that all callers share.
const callersName model.NodeName = "callers"

package world

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// listInterval is how often the fabric reads the list of live balancers.
const balancerListInterval = 500 * time.Millisecond

// fabric sprays callers' packets over the balancers that its lagging list has.
type fabric struct {
	world  *World
	random *kernel.Random
	// lag is how late the list is.
	lag  time.Duration
	live []*balancer
	// sprayed and dropped count packets; dropped ones found no balancer.
	sprayed uint64
	dropped uint64
}

func newFabric(world *World, lag time.Duration) *fabric {
	return &fabric{world: world, random: world.run.Random("fabric"), lag: lag}
}

// start begins to follow the list of live machines.
func (fabric *fabric) start() {
	fabric.live = fabric.list()
	fabric.world.run.Scheduler.Every(balancerListInterval, func() bool {
		seen := fabric.list()
		fabric.world.run.Scheduler.After(fabric.lag, func() { fabric.live = seen })
		return true
	})
}

// list returns the balancers whose machines run. A frozen process still counts
// as live: the platform sees the machine only.
func (fabric *fabric) list() []*balancer {
	var live []*balancer
	for _, candidate := range fabric.world.balancers {
		if candidate.process.Running() && candidate.listed {
			live = append(live, candidate)
		}
	}
	return live
}

// spray hands a packet to any listed balancer.
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

// callersName is the network name of all callers together.
const callersName model.NodeName = "callers"

package scenario

import (
	"time"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

func partitionDefinitions() []definition {
	return []definition{
		{
			name:    "zone-partition",
			summary: "a zone is cut off from the others for 10 to 20 s, one way or both, while operators write, and comes back",
			options: trafficFaults(zonesBySeed).with(func(options *world.Options) {
				// The product's timeout is longer than the cut.
				options.FlowIdleTimeout = flow.DefaultIdleTimeout
			}),
			play: underTraffic(defaultLoad(), zonePartition),
		},
		{
			name:    "agent-partition",
			summary: "agents that balancers still reach are cut off from every relay until they are declared failed; a flow is opened at one target only",
			options: trafficFaults(zonesBySeed),
			play:    underTraffic(pauseLoad(), agentPartition),
		},
		{
			name:    "lagging-machine-list",
			summary: "the platform's list of machines lags ten seconds while balancers and targets fail and return",
			options: trafficFaults(zonesBySeed).with(func(options *world.Options) {
				options.BalancerListLag = 10 * time.Second
				options.MachineListLag = 10 * time.Second
			}),
			play: underTraffic(defaultLoad(), laggingMachineList),
		},
	}
}

// zonePartition cuts one zone off from the others. Callers still reach all zones.
func zonePartition(world *world.World, random *kernel.Random) {
	stop := world.StartRacingOperators(2, time.Second)
	zone := kernel.Pick(random, world.Zones())
	var heal func()
	if random.Chance(0.5) {
		heal = world.Network().CutZone(zone, world.Zones())
	} else {
		heal = cutZoneOneWay(world, zone, random.Chance(0.5))
	}
	world.Run().Scheduler.RunFor(random.Between(10*time.Second, 20*time.Second))
	heal()
	world.Run().Scheduler.RunFor(8 * time.Second)
	stop()
}

// cutZoneOneWay cuts the messages that a zone sends to the others, or those that it receives.
func cutZoneOneWay(world *world.World, zone model.ZoneName, sending bool) (heal func()) {
	var heals []func()
	for _, other := range world.Zones() {
		switch {
		case other == zone:
		case sending:
			heals = append(heals, world.Network().CutZonesOneWay(zone, other))
		default:
			heals = append(heals, world.Network().CutZonesOneWay(other, zone))
		}
	}
	return func() {
		for _, healOne := range heals {
			healOne()
		}
	}
}

// agentPartition cuts random agents off from the relays: the messages that they send, those that
// they receive, or both.
func agentPartition(world *world.World, random *kernel.Random) {
	for range 3 {
		name := kernel.Pick(random, world.Targets(random.IntN(2)))
		world.AllowFlowLoss(name)
		var heals []func()
		direction := random.IntN(3)
		if direction != 0 {
			heals = append(heals, cutFromRelays(world, world.Target(name)))
		}
		if direction != 1 {
			heals = append(heals, cutTowardsRelays(world, world.Target(name)))
		}
		world.Run().Scheduler.RunFor(random.Between(2*time.Second, 10*time.Second))
		for _, heal := range heals {
			heal()
		}
		world.Run().Scheduler.RunFor(random.Between(0, 2*time.Second))
	}
}

func laggingMachineList(world *world.World, random *kernel.Random) {
	for range 3 {
		balancer := kernel.Pick(random, world.Balancers())
		balancer.Kill()
		name := kernel.Pick(random, world.Targets(random.IntN(2)))
		world.KillTarget(name)
		world.Run().Scheduler.RunFor(random.Between(time.Second, 8*time.Second))
		balancer.Start()
		world.StartTarget(name)
		world.Run().Scheduler.RunFor(random.Between(0, 3*time.Second))
	}
}

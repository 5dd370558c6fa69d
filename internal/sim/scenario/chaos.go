package scenario

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

const (
	// chaosRounds is the number of pairs of overlapping faults in one run.
	chaosRounds = 4
	// recoveryTime is how long processes get to reconnect after the last fault.
	recoveryTime = 12 * time.Second
)

func chaosDefinition() definition {
	return definition{
		name:    "chaos",
		summary: "all faults, two at a time: kill, freeze, slow, restart, cuts, loss, disks, clocks, drains, changes, joins and leaves",
		options: trafficFaults(zonesBySeed),
		play:    underTraffic(chaosLoad(), playChaos),
	}
}

// chaosLoad returns a lighter load than the default, because runs are long.
func chaosLoad() world.Load {
	load := defaultLoad()
	load.FlowsPerSecond = 4
	load.RequestsPerSecond = 5
	load.AtMostOnce = 0.6
	return load
}

// chaos is one run of the chaos scenario.
type chaos struct {
	*world.World
	random   *kernel.Random
	operator *world.Operator
}

// fault is a kind of fault or of planned change.
type fault struct {
	name string
	// begin starts the fault and returns the function that ends it.
	begin func(chaos *chaos) (end func())
	// delaysDrains says that a drain may not reach its target while the fault lasts.
	delaysDrains bool
}

// start begins the fault, and suspends the check of drains meanwhile if it delays them.
func (fault fault) start(chaos *chaos) (end func()) {
	if !fault.delaysDrains {
		return fault.begin(chaos)
	}
	resumeDrainCheck := chaos.AllowMissedDrains()
	heal := fault.begin(chaos)
	return func() {
		heal()
		resumeDrainCheck()
	}
}

func faults() []fault {
	return []fault{
		{name: "kill", begin: (*chaos).kill},
		{name: "freeze", begin: (*chaos).freeze, delaysDrains: true},
		{name: "slow", begin: (*chaos).slow},
		{name: "restart", begin: (*chaos).restart},
		{name: "one-way cut", begin: (*chaos).cutOneWay, delaysDrains: true},
		{name: "isolation", begin: (*chaos).isolate, delaysDrains: true},
		{name: "zone cut", begin: (*chaos).cutZone, delaysDrains: true},
		{name: "one-way zone cut", begin: (*chaos).cutZoneOneWay, delaysDrains: true},
		{name: "loss", begin: (*chaos).degradeLinks},
		{name: "failed sync", begin: (*chaos).failSync},
		{name: "torn write", begin: (*chaos).tearWrite},
		{name: "clock skew", begin: (*chaos).skewClock},
		{name: "drain", begin: (*chaos).drain},
		{name: "parameter changes", begin: (*chaos).changeParameters},
		{name: "balancer leaves", begin: (*chaos).replaceBalancer},
		{name: "target leaves", begin: (*chaos).removeTarget},
	}
}

func playChaos(world *world.World, random *kernel.Random) {
	chaos := &chaos{World: world, random: random, operator: world.NewOperator("planner")}
	stop := world.StartRacingOperators(2, time.Second)
	for range chaosRounds {
		chaos.round()
	}
	stop()
	chaos.startAll()
	chaos.pause(recoveryTime, recoveryTime)
}

// round starts two random faults that overlap, and ends them.
func (chaos *chaos) round() {
	all := faults()
	chaos.random.Shuffle(len(all), func(left, right int) { all[left], all[right] = all[right], all[left] })
	chaos.Run().Trace.Addf("chaos", "faults", "%s and %s", all[0].name, all[1].name)
	first := all[0].start(chaos)
	chaos.pause(0, time.Second)
	second := all[1].start(chaos)
	chaos.pause(time.Second, 6*time.Second)
	first()
	chaos.pause(0, 2*time.Second)
	second()
	chaos.pause(0, 3*time.Second)
}

// pause runs the world for a random time from low to high.
func (chaos *chaos) pause(low, high time.Duration) {
	chaos.Run().Scheduler.RunFor(chaos.random.Between(low, high))
}

// startAll thaws and starts all processes. A failed sync, or two faults on one process, may have
// left some stopped.
func (chaos *chaos) startAll() {
	for _, process := range chaos.processes() {
		process.Thaw()
		process.Start()
	}
}

func (chaos *chaos) targets() []model.NodeName {
	return append(chaos.Targets(0), chaos.Targets(1)...)
}

func (chaos *chaos) isTarget(process *kernel.Process) bool {
	for _, name := range chaos.targets() {
		if name == process.Name {
			return true
		}
	}
	return false
}

// processes returns all processes, ordered by role.
func (chaos *chaos) processes() []*kernel.Process {
	processes := append(append(chaos.Members(), chaos.Relays()...), chaos.Balancers()...)
	for _, name := range chaos.targets() {
		processes = append(processes, chaos.Target(name))
	}
	return processes
}

// pick returns a random process. Each role is equally likely.
func (chaos *chaos) pick() *kernel.Process {
	switch chaos.random.IntN(4) {
	case 0:
		return kernel.Pick(chaos.random, chaos.Members())
	case 1:
		return kernel.Pick(chaos.random, chaos.Relays())
	case 2:
		return kernel.Pick(chaos.random, chaos.Balancers())
	default:
		return chaos.Target(kernel.Pick(chaos.random, chaos.targets()))
	}
}

func (chaos *chaos) stop(process *kernel.Process) {
	if chaos.isTarget(process) {
		chaos.KillTarget(process.Name)
		return
	}
	process.Kill()
}

func (chaos *chaos) kill() (end func()) {
	process := chaos.pick()
	chaos.stop(process)
	return process.Start
}

func (chaos *chaos) restart() (end func()) {
	process := chaos.pick()
	chaos.stop(process)
	chaos.pause(0, 300*time.Millisecond)
	process.Start()
	return func() {}
}

// freeze freezes a process. A frozen target may lose its flows, because the freeze may last longer
// than the heartbeat timeout.
func (chaos *chaos) freeze() (end func()) {
	process := chaos.pick()
	if chaos.isTarget(process) {
		chaos.AllowFlowLoss(process.Name)
	}
	process.Freeze()
	return process.Thaw
}

func (chaos *chaos) slow() (end func()) {
	process := chaos.pick()
	process.SetRunDelay(chaos.random.Between(10*time.Millisecond, 300*time.Millisecond))
	heal := chaos.Network().AddDelay(process.Name, chaos.random.Between(0, 100*time.Millisecond))
	return func() {
		process.SetRunDelay(0)
		heal()
	}
}

func (chaos *chaos) cutOneWay() (end func()) {
	return chaos.Network().CutOneWay(chaos.pick().Name, chaos.pick().Name)
}

func (chaos *chaos) isolate() (end func()) {
	process := chaos.pick()
	if chaos.isTarget(process) {
		chaos.AllowFlowLoss(process.Name)
	}
	return chaos.Network().Isolate(process.Name)
}

func (chaos *chaos) cutZone() (end func()) {
	return chaos.Network().CutZone(kernel.Pick(chaos.random, chaos.Zones()), chaos.Zones())
}

func (chaos *chaos) cutZoneOneWay() (end func()) {
	return cutZoneOneWay(chaos.World, kernel.Pick(chaos.random, chaos.Zones()), chaos.random.Chance(0.5))
}

// degradeLinks makes all links lose, duplicate and reorder more messages and packets.
func (chaos *chaos) degradeLinks() (end func()) {
	messages, packets := chaos.Faults()
	worse := kernel.LinkFaults{Loss: 0.1, Duplication: 0.1, Jitter: 30 * time.Millisecond}
	chaos.SetFaults(worse, worse)
	return func() { chaos.SetFaults(messages, packets) }
}

func (chaos *chaos) failSync() (end func()) {
	index := chaos.random.IntN(len(chaos.Members()))
	chaos.FailSyncs(index, 1)
	return chaos.Members()[index].Start
}

// tearWrite kills and restarts a control member three times, so that a kill may tear a write.
func (chaos *chaos) tearWrite() (end func()) {
	process := kernel.Pick(chaos.random, chaos.Members())
	for range 3 {
		process.Kill()
		chaos.pause(0, 500*time.Millisecond)
		process.Start()
		chaos.pause(0, 500*time.Millisecond)
	}
	return process.Start
}

// skewClock restarts a process with a skewed clock.
func (chaos *chaos) skewClock() (end func()) {
	process := chaos.pick()
	chaos.stop(process)
	process.SetClock(skewedClock(chaos.random))
	process.Start()
	return func() {}
}

func (chaos *chaos) drain() (end func()) {
	service := chaos.random.IntN(2)
	name := kernel.Pick(chaos.random, chaos.Targets(service))
	chaos.operator.Drain(service, name)
	return func() { chaos.operator.Undrain(service, name) }
}

func (chaos *chaos) changeParameters() (end func()) {
	return chaos.StartRacingOperators(4, 100*time.Millisecond)
}

// replaceBalancer stops a balancer as planned; when the fault ends, it starts again and is listed.
func (chaos *chaos) replaceBalancer() (end func()) {
	index := chaos.random.IntN(len(chaos.Balancers()))
	process := chaos.Balancers()[index]
	chaos.DelistBalancer(index)
	chaos.pause(2*time.Second, 3*time.Second)
	process.Kill()
	return func() {
		process.Start()
		chaos.ListBalancer(index)
	}
}

// removeTarget removes a target from its service's parameters; when the fault ends, it is added
// again.
func (chaos *chaos) removeTarget() (end func()) {
	service := chaos.random.IntN(2)
	name := kernel.Pick(chaos.random, chaos.Targets(service))
	chaos.operator.RemoveTarget(service, name)
	return func() { chaos.operator.AddTarget(service, name) }
}

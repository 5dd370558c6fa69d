package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// coldLimit is the limit for cold targets in the scenarios that test it.
var coldLimit = declared.ColdLimit{Stated: true, Start: 2 * time.Second, PerSecond: 2}

const (
	// maxOrderAttempts and orderPause are how many times, and after which pause, an operator sends
	// an order until it is acknowledged.
	maxOrderAttempts = 40
	orderPause       = 100 * time.Millisecond
)

// sendZoneOrder sends an order to evacuate a zone, or to end its evacuation if end is true. It
// repeats the order at other members until it is acknowledged, and then calls acknowledged. After
// maxOrderAttempts attempts it gives up.
func (operator *operator) sendZoneOrder(zone model.ZoneName, end bool, acknowledged func()) {
	operator.world.checks.zones.orderSent(zone)
	operator.attemptZoneOrder(zone, end, maxOrderAttempts, operator.random.IntN(len(operator.world.listed())), acknowledged)
}

// attemptZoneOrder makes one attempt and schedules the next one if it is not acknowledged.
func (operator *operator) attemptZoneOrder(zone model.ZoneName, end bool, attempts, memberIndex int, acknowledged func()) {
	if attempts == 0 {
		return
	}
	world := operator.world
	waiting := true
	world.callMember(operator.endpoint(), world.listedMember(memberIndex),
		func(member *Member, now, deadline time.Time, done func(error)) {
			order := registrar.ZoneOrder{Zone: string(zone), End: end, CallerWaiting: func() bool { return waiting }}
			member.Registrar.Evacuate(now, order, deadline, done)
		}, func(err error) {
			waiting = false
			if err == nil {
				world.checks.zones.orderAcknowledged(zone, end)
				acknowledged()
				return
			}
			world.after(orderPause, func() { operator.attemptZoneOrder(zone, end, attempts-1, memberIndex+1, acknowledged) })
		})
}

// alternateEvacuations evacuates a random zone and ends the evacuation again, and so on until stop
// is called; an evacuation in progress is still ended. A random pause, shorter than the given one,
// follows each acknowledgement.
func (operator *operator) alternateEvacuations(pause time.Duration) (stop func()) {
	working := true
	var next func(zone model.ZoneName, end bool)
	next = func(zone model.ZoneName, end bool) {
		if !working && !end {
			return
		}
		operator.sendZoneOrder(zone, end, func() {
			operator.world.after(operator.random.Between(0, pause), func() {
				if end {
					zone = kernel.Pick(operator.random, zones)
				}
				next(zone, !end)
			})
		})
	}
	next(kernel.Pick(operator.random, zones), false)
	return func() { working = false }
}

// evacuations alternates evacuations through leader failures and partitions, then evacuates a zone
// and cuts a balancer off meanwhile.
func evacuations(world *World) {
	stop := world.operator.alternateEvacuations(400 * time.Millisecond)
	leaderLoss(world)
	for range 3 {
		world.partitionMember(kernel.Pick(world.random, world.members), 3*time.Second)
		world.RunFor(4 * time.Second)
	}
	stop()
	world.RunFor(8 * time.Second)
	if world.checks.zones.acknowledgedOrders < 10 {
		world.checks.violate(checker.InvariantProgress, "%d orders for zones were acknowledged", world.checks.zones.acknowledgedOrders)
	}
	world.operator.sendZoneOrder(zones[0], false, func() {})
	world.RunFor(12 * time.Second)
	world.cutFromMembers(world.balancers[:1], 6*time.Second)
	world.RunFor(11 * time.Second)
}

// evacuatedPowerLoss powers off all processes as soon as an order is acknowledged; in the last two
// rounds a member also loses its disk.
func evacuatedPowerLoss(world *World) {
	for round := range 4 {
		world.operator.sendZoneOrder(zones[0], round%2 == 1, func() { world.powerOffAll(round >= 2) })
		world.RunFor(world.random.Between(10*time.Second, 12*time.Second))
	}
	world.operator.sendZoneOrder(zones[1], false, func() {})
	world.RunFor(9 * time.Second)
}

// livingTargetsIn returns the living targets of a zone in any state.
func (world *World) livingTargetsIn(zone model.ZoneName) []*target {
	var found []*target
	for _, target := range world.targets {
		if target.zone == zone && target.alive {
			found = append(found, target)
		}
	}
	return found
}

// coldReturns lets the targets of each zone die and return cold, and then evacuates the zone and
// returns its targets cold.
func coldReturns(world *World) {
	for round := range 3 {
		zone := zones[round]
		world.cutFromMembers(world.balancers[round%2:round%2+1], 9*time.Second)
		world.recordDisturbance("zone loss", string(zone))
		for _, lost := range world.livingTargetsIn(zone) {
			service, address := lost.service, lost.address
			lost.Crash(round%2 == 0)
			world.after(2*time.Second, func() {
				returned := world.addTargetAt(service, zone, address)
				returned.coldUntil = world.Now().Add(coldLimit.Start)
			})
		}
		world.RunFor(3 * time.Second)
		world.restartBalancer(kernel.Pick(world.random, world.balancers), 300*time.Millisecond)
		world.RunFor(9 * time.Second)
		world.evacuateAndReturnCold(zone)
	}
}

// evacuateAndReturnCold evacuates a zone and makes its targets cold shortly before the evacuation
// ends.
func (world *World) evacuateAndReturnCold(zone model.ZoneName) {
	world.operator.sendZoneOrder(zone, false, func() {})
	world.RunFor(7 * time.Second)
	for _, target := range world.livingTargetsIn(zone) {
		target.coldUntil = world.Now().Add(coldLimit.Start)
	}
	world.RunFor(world.random.Between(0, 300*time.Millisecond))
	world.operator.sendZoneOrder(zone, true, func() {})
	world.RunFor(7 * time.Second)
}

package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// coldLimit is the bound of cold targets in the stories about them.
var coldLimit = declared.ColdLimit{Stated: true, Start: 2 * time.Second, PerSecond: 2}

const (
	// orderTries and orderPause are how often and after which pause an operator repeats
	// an order that was not acknowledged.
	maxOrderAttempts = 40
	orderPause       = 100 * time.Millisecond
)

// order gives an order for a zone, which is repeated at other members until it is
// acknowledged, and calls acknowledged then.
func (operator *operator) sendZoneOrder(zone model.ZoneName, end bool, acknowledged func()) {
	operator.world.checks.zones.orderSent(zone)
	operator.attemptZoneOrder(zone, end, maxOrderAttempts, operator.random.IntN(len(operator.world.members)), acknowledged)
}

func (operator *operator) attemptZoneOrder(zone model.ZoneName, end bool, attempts, memberIndex int, acknowledged func()) {
	if attempts == 0 {
		return
	}
	world := operator.world
	waiting := true
	world.call(operator.endpoint(), world.members[memberIndex%len(world.members)],
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

// switchZones empties a zone, takes it back a moment after that was acknowledged, and so
// on, until the returned function is called.
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

func evacuatedPowerLoss(world *World) {
	for round := range 4 {
		world.operator.sendZoneOrder(zones[0], round%2 == 1, func() { world.powerOffAll(round >= 2) })
		world.RunFor(world.random.Between(10*time.Second, 12*time.Second))
	}
	world.operator.sendZoneOrder(zones[1], false, func() {})
	world.RunFor(9 * time.Second)
}

// targetsOf returns the living ready targets of a zone.
func (world *World) livingTargetsIn(zone model.ZoneName) []*target {
	var found []*target
	for _, target := range world.targets {
		if target.zone == zone && target.alive {
			found = append(found, target)
		}
	}
	return found
}

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

// returnCold empties a zone, whose targets turn cold shortly before it is taken back.
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

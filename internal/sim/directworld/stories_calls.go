package directworld

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/sim/kernel"
)

// lateCalls lets a target leave without draining and crashes two others, whose late renewals arrive
// afterwards. A new target takes over the address of one of them.
func lateCalls(world *World) {
	for range 4 {
		leaving := world.pickReadyTargets(3)
		for index, target := range leaving {
			world.AddTarget(target.service, target.zone)
			if index == 0 {
				target.LeaveWithoutDraining()
				continue
			}
			world.recordDisturbance("death", target.address.String())
			target.scheduleLateRenewal(world.random.Between(time.Second, 6*time.Second))
			target.Crash(index == 1)
			if index == 1 {
				address, zone := target.address, target.zone
				service := target.service
				world.after(2*time.Second, func() { world.addTargetAt(service, zone, address) })
			}
		}
		world.RunFor(14 * time.Second)
	}
}

// unheardTargets starts targets whose first calls arrive after they have left. In every second round
// the leader is killed meanwhile.
func unheardTargets(world *World) {
	for round := range 5 {
		for range 3 {
			zone := kernel.Pick(world.random, zones)
			leaveAfter := world.random.Between(time.Second, 4*time.Second)
			world.startUnheardTarget(serviceFeed, zone, leaveAfter, leaveAfter+world.random.Between(500*time.Millisecond, 2*time.Second))
		}
		if round%2 == 1 {
			world.killLeaderAfter(4 * time.Second)
		}
		world.RunFor(10 * time.Second)
	}
}

// killLeaderAfter runs the world for a delay and then kills the member that led before it, for two seconds.
func (world *World) killLeaderAfter(delay time.Duration) {
	leader := world.leader()
	if leader == nil {
		return
	}
	world.RunFor(delay)
	leader.Kill()
	world.after(2*time.Second, leader.Start)
}

// unheardRestarts restarts targets that leave before the first call of their new start arrives, and adds
// a target for each. Some of their notices do not tell their start, and the leader changes in every second
// round.
func unheardRestarts(world *World) {
	for round := range 5 {
		for _, target := range world.pickReadyTargets(2) {
			world.AddTarget(target.service, target.zone)
			leaveAfter := world.random.Between(500*time.Millisecond, 3*time.Second)
			world.restartUnheard(target, world.random.Chance(0.5), leaveAfter, leaveAfter+world.random.Between(0, 3*time.Second))
		}
		if round%2 == 1 {
			world.killLeaderAfter(world.random.Between(time.Second, 4*time.Second))
		}
		world.RunFor(14 * time.Second)
	}
}

// foreignCalls sends calls that name the address of a living target: the first call of a target that
// ended before the living one started, with or without its start; and calls of another writer, some
// of them under the target's identifier. A target crashes meanwhile, and another one takes its address.
func foreignCalls(world *World) {
	for round := range 8 {
		for _, victim := range world.pickReadyTargets(3) {
			world.after(world.random.Between(0, 2*time.Second), func() { world.sendForeignCall(victim, world.random.IntN(4)) })
		}
		if round%2 == 0 {
			target := world.pickReadyTargets(1)[0]
			world.recordDisturbance("death", target.address.String())
			target.Crash(false)
			address, zone, service := target.address, target.zone, target.service
			world.after(world.random.Between(2*time.Second, 3*time.Second), func() { world.addTargetAt(service, zone, address) })
		}
		world.RunFor(7 * time.Second)
	}
}

// leavingAddresses sends such calls while the targets at the addresses leave without draining, and adds a
// target for each. In every second round, a target takes over the address after the leaving one has ended.
func leavingAddresses(world *World) {
	for round := range 5 {
		for _, leaver := range world.pickReadyTargets(2) {
			world.AddTarget(leaver.service, leaver.zone)
			leaver.LeaveWithoutDraining()
			for range 2 {
				world.after(world.random.Between(500*time.Millisecond, 6*time.Second), func() { world.sendForeignCall(leaver, world.random.IntN(4)) })
			}
			if round%2 == 1 {
				world.after(world.random.Between(10*time.Second, 11*time.Second), func() {
					world.addTargetAt(leaver.service, leaver.zone, leaver.address)
				})
			}
		}
		world.RunFor(18 * time.Second)
	}
}

const (
	// otherStart is the difference between the start of a living target and the one that a foreign
	// call tells, in milliseconds.
	otherStart directory.StartTime = 5000
	// undeclaredService is a service that no configuration declares.
	undeclaredService = "nobody"
)

// sendForeignCall sends a registration of the given kind that a living target did not send.
func (world *World) sendForeignCall(victim *target, kind int) {
	call := victim.registration()
	call.Sequence += 7 // above those of the target's next calls
	call.State = directory.TargetReady
	switch kind {
	case 0: // the late first call of an earlier target
		call.ID, call.Started = world.newTargetID(), victim.started-otherStart
	case 1: // the same from a target that does not tell its start
		call.ID, call.Started = world.newTargetID(), 0
	case 2: // another writer
		call.ID, call.Service, call.Started = world.newTargetID(), undeclaredService, victim.started+otherStart
	default: // another writer under the target's identifier
		call.Service, call.Started = undeclaredService, victim.started+otherStart
	}
	world.run.Trace.Add(victim.address.String(), "foreign call", "")
	world.sendRegistration(victim, call)
}

// startKnownBound is how long after the restart of a target every balancer must know its new start:
// its first registration is sent within a renewal interval, and a lost one is repeated after
// another interval.
const startKnownBound = 2 * renewalInterval

// restartedTargets restarts targets while late renewals of their previous incarnations arrive.
func restartedTargets(world *World) {
	for round := range 4 {
		var restarted []*target
		for _, target := range world.pickReadyTargets(3) {
			world.recordDisturbance("restart", target.address.String())
			target.scheduleLateRenewal(world.random.Between(0, 6*time.Second))
			restarted = append(restarted, target.Restart())
		}
		world.RunFor(startKnownBound)
		for _, target := range restarted {
			world.checks.checkStartKnown(target)
		}
		if round%2 == 1 {
			world.recordDisturbance("death", restarted[0].address.String())
			restarted[0].Crash(true)
		}
		world.RunFor(9 * time.Second)
	}
}

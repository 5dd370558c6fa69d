package directworld

import (
	"fmt"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

// leaderLoss kills, powers off or freezes the leader, while a target is replaced.
func leaderLoss(world *World) {
	for range 5 {
		leader := world.leader()
		if leader == nil {
			world.RunFor(2 * time.Second)
			continue
		}
		downFor := world.random.Between(100*time.Millisecond, 4*time.Second)
		switch world.random.IntN(3) {
		case 0:
			leader.Kill()
			world.after(downFor, leader.Start)
		case 1:
			leader.PowerOff()
			world.after(downFor, leader.Start)
		case 2:
			world.recordDisturbance("freeze", string(leader.process.Name))
			leader.process.Freeze()
			world.after(downFor, func() {
				world.recordDisturbance("thaw", string(leader.process.Name))
				leader.process.Thaw()
			})
		}
		for _, target := range world.pickReadyTargets(1) {
			target.Drain()
			world.AddTarget(target.service, target.zone)
		}
		world.RunFor(downFor + 4*time.Second)
	}
}

// partitionMember partitions a member for a duration in one of four random ways: it is isolated
// from all processes, its messages to other members are dropped, messages between it and other
// members are dropped both ways, or its messages to balancers are dropped.
func (world *World) partitionMember(member *Member, duration time.Duration) {
	name := member.process.Name
	var heals []func()
	kind := world.random.IntN(4)
	switch kind {
	case 0:
		heals = append(heals, world.control.Isolate(name))
	case 1, 2:
		for _, other := range world.members {
			if other == member {
				continue
			}
			heals = append(heals, world.control.CutOneWay(name, other.process.Name))
			if kind == 2 {
				heals = append(heals, world.control.CutOneWay(other.process.Name, name))
			}
		}
	case 3:
		for _, balancer := range world.balancers {
			heals = append(heals, world.control.CutOneWay(name, balancer.process.Name))
		}
	}
	world.recordDisturbance("cut", fmt.Sprintf("%s, kind %d", name, kind))
	world.after(duration, func() {
		world.recordDisturbance("heal", string(name))
		for _, heal := range heals {
			heal()
		}
	})
}

// coreCuts partitions the leader or another member, while a target is replaced.
func coreCuts(world *World) {
	for range 5 {
		member := kernel.Pick(world.random, world.members)
		if leader := world.leader(); leader != nil && world.random.Chance(0.6) {
			member = leader
		}
		duration := world.random.Between(time.Second, 6*time.Second)
		world.partitionMember(member, duration)
		for _, target := range world.pickReadyTargets(1) {
			target.Drain()
			world.AddTarget(target.service, target.zone)
		}
		world.RunFor(duration + 3*time.Second)
	}
}

// lostDisks wipes the disks of members one after the other, and of a random one when all lose
// power.
func lostDisks(world *World) {
	for range 4 {
		member := kernel.Pick(world.random, world.members)
		member.PowerOff()
		member.Wipe()
		world.RunFor(world.random.Between(100*time.Millisecond, 2*time.Second))
		member.Start()
		world.RunFor(6 * time.Second)
	}
	world.RunFor(2 * time.Second)
	world.powerOffAll(true)
}

// replacedMembers powers off members for good and adds empty ones, and finally restarts one that
// was off only for a while.
func replacedMembers(world *World) {
	for round := range 3 {
		removed := world.members[round]
		removed.PowerOff()
		world.RunFor(world.random.Between(100*time.Millisecond, 2*time.Second))
		world.AddMember(fmt.Sprintf("10.0.%d.1:7000", 100+round), removed.process.Zone)
		world.RunFor(10 * time.Second)
	}
	removed := world.members[3]
	removed.PowerOff()
	world.RunFor(9 * time.Second)
	removed.Start()
}

const (
	// catchUpTime is how long after its start a new member may need until the group counts on it.
	catchUpTime = 4 * time.Second
	// silentVoterTime is the time within which a voter that ended without notice loses its vote to a
	// learner: an election, which may have to be repeated, if it was the leader, SilentAfter, and two
	// membership changes.
	silentVoterTime = 2*(2*electionTimeout) + electionTimeout + 500*time.Millisecond
	// endedVoterTime is that time if the other members learn of the end.
	endedVoterTime = time.Second
	// leaderBound is how long after a disturbance that the group tolerates it may be without a leader.
	leaderBound = 6 * time.Second
)

// plannedReplacements replaces one or two members at once, three times: their successors start with
// empty disks, and the old members end for good. After that, one more member is lost for some
// seconds, or loses its disk for good. The group has to have a leader afterwards.
func plannedReplacements(world *World) {
	current := append([]*Member(nil), world.members...)
	sameZone := world.random.Chance(0.6)
	for round := range 3 {
		world.random.Shuffle(len(current), func(left, right int) { current[left], current[right] = current[right], current[left] })
		replaced := append([]*Member(nil), current[:1+world.random.IntN(2)]...)
		for index, old := range replaced {
			zone := old.process.Zone
			if !sameZone {
				zone = zones[(index+round)%len(zones)]
			}
			current[index] = world.AddMember(fmt.Sprintf("10.0.%d.1:7000", 100+10*round+index), zone)
		}
		world.endForGood(replaced, sameZone)
		world.RunFor(world.random.Between(0, 300*time.Millisecond))
		world.disturbMember(kernel.Pick(world.random, current))
		world.RunFor(leaderBound)
		if world.leader() == nil {
			world.checks.violate(checker.InvariantProgress, "no member leads %s after round %d of replacements", leaderBound, round)
		}
		world.RunFor(6 * time.Second)
	}
}

// endForGood ends members whose successors have just started, and returns when the group has to
// tolerate one more loss: the members stop as planned at random times; or they end without notice
// once their successors, which are in the same zones, have caught up; or one of them ends without
// notice earlier, and the others stop as planned.
func (world *World) endForGood(members []*Member, sameZone bool) {
	endAfter := func(delay time.Duration, member *Member, end func()) {
		world.after(delay, func() {
			member.delisted = true
			end()
		})
	}
	endFirst := members[0].Stop
	tolerantAfter := catchUpTime
	switch world.random.IntN(3) {
	case 0:
		if sameZone {
			world.RunFor(catchUpTime)
			for _, member := range members {
				member.delisted = true
				member.Kill()
			}
			return
		}
	case 1:
		endFirst = members[0].Kill
		tolerantAfter = time.Second + silentVoterTime
	}
	endAfter(world.random.Between(0, time.Second), members[0], endFirst)
	for _, member := range members[1:] {
		delay := world.random.Between(0, 5*time.Second)
		endAfter(delay, member, member.Stop)
		tolerantAfter = max(tolerantAfter, delay+leaveTimeout)
	}
	world.RunFor(tolerantAfter)
}

// disturbMember makes a member lose its disk, or freezes it or cuts it off for some seconds.
func (world *World) disturbMember(member *Member) {
	switch duration := world.random.Between(time.Second, 3*time.Second); world.random.IntN(4) {
	case 0:
		world.recordDisturbance("freeze", string(member.process.Name))
		member.process.Freeze()
		world.after(duration, func() {
			world.recordDisturbance("thaw", string(member.process.Name))
			member.process.Thaw()
		})
	case 1:
		world.partitionMember(member, duration)
	default:
		member.PowerOff()
		member.Wipe()
		world.after(world.random.Between(10*time.Millisecond, time.Second), member.Start)
	}
}

// powerOffAll powers off all members and balancers at the same time. All of them, except members
// that were not running, start again within 1.5 seconds. If wipeOne is true, a random member also
// loses its disk.
func (world *World) powerOffAll(wipeOne bool) {
	wiped := kernel.Pick(world.random, world.members)
	for _, member := range world.members {
		running := member.process.Running()
		member.PowerOff()
		if wipeOne && member == wiped {
			member.Wipe()
		}
		if running {
			world.after(world.random.Between(500*time.Millisecond, 1500*time.Millisecond), member.Start)
		}
	}
	for _, balancer := range world.balancers {
		world.restartBalancer(balancer, world.random.Between(500*time.Millisecond, 1500*time.Millisecond))
	}
}

// powerLoss powers off all processes four times; every second time a member also loses its disk.
func powerLoss(world *World) {
	for round := range 4 {
		world.powerOffAll(round%2 == 1)
		world.RunFor(world.random.Between(7*time.Second, 9*time.Second))
	}
}

// fullDisks fills the disk of the leader or another member for some seconds.
func fullDisks(world *World) {
	for range 4 {
		member := kernel.Pick(world.random, world.members)
		if leader := world.leader(); leader != nil && world.random.Chance(0.6) {
			member = leader
		}
		world.recordDisturbance("disk-full", string(member.process.Name))
		member.disk.SetCapacity(1)
		world.RunFor(world.random.Between(time.Second, 5*time.Second))
		member.disk.SetCapacity(0)
		world.recordDisturbance("disk-room", string(member.process.Name))
		world.RunFor(4 * time.Second)
	}
}

// fiveMembers wipes two members at the same time, three times, and then powers off all processes.
func fiveMembers(world *World) {
	world.RunFor(4 * time.Second)
	for range 3 {
		first := world.random.IntN(len(world.members))
		second := (first + 1 + world.random.IntN(len(world.members)-1)) % len(world.members)
		for _, index := range []int{first, second} {
			member := world.members[index]
			member.PowerOff()
			member.Wipe()
			world.after(world.random.Between(200*time.Millisecond, 2*time.Second), member.Start)
		}
		world.RunFor(10 * time.Second)
	}
	world.powerOffAll(false)
}

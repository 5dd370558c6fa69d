package directworld

import (
	"fmt"
	"slices"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

// replacedCore replaces one to all members of the group, three times. The successors start with empty
// disks in random zones. Once they have caught up, the old members stop as planned, all at once or up to
// a second apart, and in some rounds a successor is frozen, cut off or loses its disk meanwhile. After
// that, one more member is disturbed. The group has to have a leader afterwards.
func replacedCore(world *World) {
	current := append([]*Member(nil), world.members...)
	for round := range 3 {
		world.random.Shuffle(len(current), func(left, right int) { current[left], current[right] = current[right], current[left] })
		leaving := append([]*Member(nil), current[:1+world.random.IntN(len(current))]...)
		for index := range leaving {
			current[index] = world.addSuccessor(round, index)
		}
		world.RunFor(catchUpTime)
		if world.random.Chance(0.3) {
			world.disturbMember(kernel.Pick(world.random, current[:len(leaving)]))
			world.RunFor(world.random.Between(0, time.Second))
		}
		maxGap := kernel.Pick(world.random, []time.Duration{0, 100 * time.Millisecond, time.Second})
		world.stopForGood(leaving, maxGap)
		world.RunFor(catchUpTime)
		world.requireLeader("after %d members stopped in round %d", len(leaving), round)
		world.disturbMember(kernel.Pick(world.random, current))
		world.RunFor(leaderBound)
		world.requireLeader("after one more loss in round %d", round)
		world.RunFor(6 * time.Second)
	}
}

// addSuccessor adds a member with an empty disk in a random zone.
func (world *World) addSuccessor(round, index int) *Member {
	return world.AddMember(fmt.Sprintf("10.0.%d.1:7000", 100+10*round+index), kernel.Pick(world.random, zones))
}

// stopForGood stops members as planned, each up to maxGap after the one before, and returns when all
// have ended.
func (world *World) stopForGood(members []*Member, maxGap time.Duration) {
	var delay time.Duration
	for index, member := range members {
		if index > 0 && maxGap > 0 {
			delay += world.random.Between(0, maxGap)
		}
		world.after(delay, func() {
			member.delisted = true
			member.Stop()
		})
	}
	world.RunFor(delay + leaveTimeout)
}

// requireLeader reports a violation if no member leads.
func (world *World) requireLeader(when string, arguments ...any) {
	if world.leader() == nil {
		world.checks.violate(checker.InvariantProgress, "no member leads "+when, arguments...)
	}
}

// unannouncedEnds ends members without notice, some rounds after each other. Before each end, one to as
// many successors as the group has voters start in random zones. Once the vote of the ended member has
// moved, another member loses its disk, is frozen or is cut off. The group has to have a leader
// afterwards.
func unannouncedEnds(world *World) {
	current := append([]*Member(nil), world.members...)
	for round := range 3 {
		for index := range 1 + world.random.IntN(len(current)) {
			current = append(current, world.addSuccessor(round, index))
		}
		world.RunFor(catchUpTime)
		position := world.random.IntN(len(current))
		if leader := slices.Index(current, world.leader()); leader >= 0 && world.random.Chance(0.5) {
			position = leader
		}
		ended := current[position]
		current = slices.Delete(current, position, position+1)
		ended.delisted = true
		ended.Kill()
		world.RunFor(world.voteMoveTime())
		world.disturbMember(kernel.Pick(world.random, current))
		world.RunFor(leaderBound)
		world.requireLeader("after %s ended without notice in round %d, and one more loss", ended.process.Name, round)
		world.RunFor(6 * time.Second)
		current = world.endSurplus(current)
	}
}

// voteMoveTime returns the time within which a voter that ended without notice loses its vote.
func (world *World) voteMoveTime() time.Duration {
	if world.options.EndsAreNoticed {
		return endedVoterTime
	}
	return silentVoterTime
}

// endSurplus stops members as planned until the initial number is left, and returns those.
func (world *World) endSurplus(current []*Member) []*Member {
	for len(current) > world.options.Members {
		surplus := current[0]
		current = current[1:]
		surplus.delisted = true
		surplus.Stop()
		world.RunFor(leaveTimeout)
	}
	return current
}

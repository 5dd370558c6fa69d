package world

import (
	"time"

	"merlinpaddle/internal/replica"
)

// membershipStep is how often a repair looks how far it has come.
const replacementPollInterval = 300 * time.Millisecond

// ReplaceMember takes a member with an empty disk into the group again: its
// old identity is removed, a learner of its name is added, the process starts,
// and the learner is promoted once it has caught up. It repeats each step
// until the group shows its result, and returns false when limit passed.
func (operator *Operator) ReplaceMember(index int, limit time.Duration) bool {
	world := operator.world
	replaced := world.members[index]
	old := world.memberID(index)
	for waited := time.Duration(0); waited < limit; waited += replacementPollInterval {
		if world.replacementStep(operator, replaced, old) {
			return true
		}
		world.run.Scheduler.RunFor(replacementPollInterval)
	}
	return false
}

// memberID returns the identity by which the group knows a member.
func (world *World) memberID(index int) replica.MemberID {
	for _, other := range world.members {
		if other.controller == nil || !other.process.Active() {
			continue
		}
		for _, known := range other.Status().Members {
			if known.Name == world.members[index].process.Name {
				return known.ID
			}
		}
	}
	return 0
}

// repairStep asks the leader for the next step; true when nothing is left.
func (world *World) replacementStep(operator *Operator, replaced *member, old replica.MemberID) bool {
	leader, leads := world.Leader()
	if !leads || world.members[leader] == replaced {
		return false
	}
	controller := world.members[leader].controller
	present, known := findMember(world.members[leader].Status().Members, replaced)
	ignore := func(error) {}
	switch {
	case known && present.ID == old:
		controller.RemoveMember(old, ignore)
	case !known:
		controller.AddLearner(replaced.process.Name, func(replica.MemberID, error) {})
	case !replaced.process.Running():
		replaced.process.Start()
	case present.Learner:
		controller.Promote(present.ID, ignore)
	default:
		return true
	}
	world.members[leader].process.Wake()
	return false
}

func findMember(members []replica.Member, wanted *member) (replica.Member, bool) {
	for _, known := range members {
		if known.Name == wanted.process.Name {
			return known, true
		}
	}
	return replica.Member{}, false
}

package world

import (
	"time"

	"merlinpaddle/internal/replica"
)

// replacementPollInterval is how often ReplaceMember checks its progress.
const replacementPollInterval = 300 * time.Millisecond

// ReplaceMember brings a member with an empty disk back into the group: it removes the member's old
// identity, adds a learner with the same name, starts the process, and promotes the learner once it
// has caught up. It repeats each step until the group's membership shows its result, and returns
// false if that takes longer than limit.
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

// memberID returns the identity by which the group knows a member, or 0.
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

// replacementStep asks the leader for the next step, and reports whether the replacement is complete.
func (world *World) replacementStep(operator *Operator, replaced *member, old replica.MemberID) bool {
	leader, leads := world.Leader()
	if !leads || world.members[leader] == replaced {
		return false
	}
	controller := world.members[leader].controller
	entry, known := findMember(world.members[leader].Status().Members, replaced)
	ignore := func(error) {}
	switch {
	case known && entry.ID == old:
		controller.RemoveMember(old, ignore)
	case !known:
		controller.AddLearner(replaced.process.Name, func(replica.MemberID, error) {})
	case !replaced.process.Running():
		replaced.process.Start()
	case entry.Learner:
		controller.Promote(entry.ID, ignore)
	default:
		return true
	}
	world.members[leader].process.Wake()
	return false
}

// findMember returns the group's entry for a member, and reports whether it has one.
func findMember(members []replica.Member, wanted *member) (replica.Member, bool) {
	for _, known := range members {
		if known.Name == wanted.process.Name {
			return known, true
		}
	}
	return replica.Member{}, false
}

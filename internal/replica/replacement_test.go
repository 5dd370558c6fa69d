package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/raft"
)

// idOf returns the ID under which the group lists a node, or zero.
func (simulation *simulation) idOf(name nodeName) raft.MemberID {
	leader := simulation.leader()
	if leader == nil {
		return 0
	}
	for _, member := range leader.controller.StatusAt(simulation.now).Members {
		if member.Name == name {
			return member.ID
		}
	}
	return 0
}

// changeMembership proposes a membership change to the current leader, and again
// after an error, until done returns true.
func (simulation *simulation) changeMembership(goal string, done func() bool, propose func(*Controller, func(error))) {
	simulation.test.Helper()
	waiting := false
	simulation.runWorkloadUntil(20*time.Second, goal, func() bool {
		leader := simulation.leader()
		if leader == nil || waiting {
			return leader != nil && done()
		}
		if done() {
			return true
		}
		waiting = true
		propose(leader.controller, func(error) { waiting = false })
		return false
	})
}

// replaceMember removes a member that lost its disk, adds it again as a learner
// and promotes it.
func (simulation *simulation) replaceMember(name nodeName) {
	simulation.test.Helper()
	previousID := simulation.idOf(name)
	simulation.changeMembership("the removal of "+string(name),
		func() bool { return simulation.idOf(name) != previousID },
		func(controller *Controller, done func(error)) { controller.RemoveMember(previousID, done) })
	simulation.changeMembership("the learner "+string(name),
		func() bool { return simulation.idOf(name) != 0 },
		func(controller *Controller, done func(error)) {
			controller.AddLearner(name, func(_ raft.MemberID, err error) { done(err) })
		})
	simulation.changeMembership("the promotion of "+string(name),
		func() bool { return simulation.isVoter(name) },
		func(controller *Controller, done func(error)) { controller.Promote(simulation.idOf(name), done) })
}

// isVoter reports whether the leader lists the member as a voter.
func (simulation *simulation) isVoter(name nodeName) bool {
	for _, member := range simulation.leader().controller.StatusAt(simulation.now).Members {
		if member.Name == name {
			return !member.Learner
		}
	}
	return false
}

// wipeDisk restarts a member with an empty disk.
func (simulation *simulation) wipeDisk(name nodeName) {
	simulation.stop(name)
	simulation.members[name].disk.Wipe()
	simulation.start(name)
}

// TestReplacementFollowedBySecondLoss wipes a disk, replaces the member and wipes
// a second member's disk right after the promotion.
func TestReplacementFollowedBySecondLoss(t *testing.T) {
	t.Parallel()
	for seed := range simulationSeeds {
		simulation := newSimulation(t, uint64(seed), "control-1", "control-2", "control-3")
		simulation.startAll()
		simulation.runWorkloadUntil(5*time.Second, "the first leader", func() bool { return simulation.leader() != nil })
		simulation.network.drop = 0.02
		simulation.network.maxDelay = 6 * clockStep
		simulation.runWorkload(time.Second, nil)
		first := simulation.randomMember().name
		simulation.wipeDisk(first)
		simulation.runWorkloadUntil(10*time.Second, "a leader", func() bool { return simulation.leader() != nil })
		simulation.replaceMember(first)
		second := simulation.randomMember().name
		for second == first {
			second = simulation.randomMember().name
		}
		simulation.wipeDisk(second)
		simulation.runWorkloadUntil(10*time.Second, "a leader after the second loss", func() bool { return simulation.leader() != nil })
		simulation.replaceMember(second)
		simulation.runWorkload(300*time.Millisecond, nil)
		simulation.finish()
		require.NotEmpty(t, simulation.acknowledged)
	}
}

// TestLostDiskDoesNotVoteUnderItsPreviousID commits a change on two of three
// members, wipes the disk of one of the two and isolates the other. If the
// member with the empty disk voted for the third member, the change would be
// lost.
func TestLostDiskDoesNotVoteUnderItsPreviousID(t *testing.T) {
	cluster := newCluster(t, 3, "a", "b", "c")
	cluster.startAll()
	cluster.propose("first")
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	leader := cluster.awaitLeader().name
	var followers []nodeName
	for _, name := range cluster.names {
		if name != leader {
			followers = append(followers, name)
		}
	}
	behind, lost := followers[0], followers[1]
	cluster.isolate(behind)
	cluster.propose("second")
	cluster.stop(lost)
	cluster.members[lost].disk.Wipe()
	cluster.heal()
	cluster.isolate(leader)
	cluster.start(lost)
	require.NoError(t, cluster.members[lost].startErr)
	cluster.run(5 * time.Second)
	require.Nil(t, cluster.leader(), "two of three members, one with a lost disk, must not elect a leader")
	require.True(t, cluster.members[lost].controller.core == nil, "the lost disk must have no place in the group")

	cluster.heal()
	cluster.awaitLeader()
	cluster.runUntil(5*time.Second, "the refusal of the lost disk", func() bool {
		controller := cluster.members[lost].controller
		return controller.Refused() && controller.StatusAt(cluster.now).Refused
	})
	cluster.propose("third")
	cluster.runUntil(5*time.Second, "both members with a place to agree", func() bool {
		return cluster.members[leader].machine.Digest() == cluster.members[behind].machine.Digest()
	})
	require.Equal(t, []string{"first", "second", "third"}, cluster.members[behind].machine.commands)
}

// TestFounderThatLostItsDiskDoesNotFoundAgain wipes the founder's disk. The founder
// must be refused by the existing group and not create a second one.
func TestFounderThatLostItsDiskDoesNotFoundAgain(t *testing.T) {
	cluster := newCluster(t, 4, "a", "b", "c")
	cluster.startAll()
	cluster.propose("first")
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	cluster.stop("a")
	cluster.members["a"].disk.Wipe()
	cluster.start("a")
	cluster.runUntil(10*time.Second, "the refusal of the founder", func() bool {
		return cluster.members["a"].controller.Refused()
	})
	require.Nil(t, cluster.members["a"].controller.core)
	cluster.propose("second")
}

// TestLearnerIsPromotedOnlyWhenCaughtUp isolates a learner and checks that its
// promotion is refused until it has caught up.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	simulation := newSimulation(t, 5, "a", "b", "c", "d")
	cluster := simulation.cluster
	cluster.members["d"].joinsRunningGroup = true
	cluster.adjustOptions = func(options *Options) { options.Members = []nodeName{"a", "b", "c"} }
	cluster.startAll()
	cluster.propose("first")
	simulation.submitRate = 0
	simulation.changeMembership("the learner", func() bool { return simulation.idOf("d") != 0 },
		func(controller *Controller, done func(error)) {
			controller.AddLearner("d", func(_ raft.MemberID, err error) { done(err) })
		})
	cluster.runUntil(5*time.Second, "the learner's place", func() bool { return cluster.members["d"].controller.core != nil })
	cluster.isolate("d")
	for range 100 {
		cluster.propose("while the learner is isolated")
	}
	require.Equal(t, faults.LearnerBehind, faults.CodeOf(simulation.promote("d")))
	cluster.heal()
	cluster.runUntil(10*time.Second, "the learner to catch up", func() bool {
		return len(cluster.members["d"].machine.commands) == 101
	})
	cluster.run(2 * testHeartbeatInterval)
	require.NoError(t, simulation.promote("d"))
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
}

func (simulation *simulation) promote(name nodeName) error {
	answered := false
	var fault error
	simulation.leader().controller.Promote(simulation.idOf(name), func(err error) { answered, fault = true, err })
	simulation.runUntil(10*time.Second, "an answer to the promotion", func() bool { return answered })
	return fault
}

// TestRemovedMemberCannotDisruptTheGroup removes a member while it is isolated. When
// it returns, it must change neither the leader nor the term.
func TestRemovedMemberCannotDisruptTheGroup(t *testing.T) {
	simulation := newSimulation(t, 6, "a", "b", "c")
	cluster := simulation.cluster
	cluster.startAll()
	simulation.submitRate = 0
	leader := cluster.awaitLeader().name
	removed := cluster.names[0]
	if removed == leader {
		removed = cluster.names[1]
	}
	id := simulation.idOf(removed)
	cluster.isolate(removed)
	simulation.changeMembership("the removal", func() bool { return simulation.idOf(removed) == 0 },
		func(controller *Controller, done func(error)) { controller.RemoveMember(id, done) })
	cluster.run(time.Second)
	cluster.heal()
	term := cluster.awaitLeader().controller.StatusAt(cluster.now).Term
	cluster.run(3 * time.Second)
	require.Equal(t, leader, cluster.awaitLeader().name)
	require.Equal(t, term, cluster.awaitLeader().controller.StatusAt(cluster.now).Term)
}

// TestLeaderRemovesItself checks that the group continues with another leader after
// the leader removed itself.
func TestLeaderRemovesItself(t *testing.T) {
	simulation := newSimulation(t, 7, "a", "b", "c")
	cluster := simulation.cluster
	cluster.startAll()
	simulation.submitRate = 0
	previousLeader := cluster.awaitLeader()
	id := simulation.idOf(previousLeader.name)
	var fault error
	answered := false
	previousLeader.controller.RemoveMember(id, func(err error) { answered, fault = true, err })
	cluster.runUntil(5*time.Second, "the removal", func() bool { return answered })
	require.NoError(t, fault)
	cluster.runUntil(5*time.Second, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != previousLeader
	})
	cluster.propose("without the previous leader")
	require.Zero(t, simulation.idOf(previousLeader.name))
}

// TestMembershipChangesOneAtATime proposes two changes at once. The second one is
// refused, and its answer arrives first.
func TestMembershipChangesOneAtATime(t *testing.T) {
	cluster := newCluster(t, 8, "a", "b", "c")
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.propose("an entry of the leader's term")
	var errs []error
	record := func(_ raft.MemberID, err error) { errs = append(errs, err) }
	leader.controller.AddLearner("d", record)
	leader.controller.AddLearner("e", record)
	cluster.runUntil(5*time.Second, "two answers", func() bool { return len(errs) == 2 })
	require.Equal(t, faults.MembershipChangePending, faults.CodeOf(errs[0]))
	require.NoError(t, errs[1])
}

// TestCandidatesAreAdmittedTogether checks that one membership change gives all
// candidates a place, each bound to its disk. A candidate that loses its disk before
// the change does not get the place of the lost disk.
func TestCandidatesAreAdmittedTogether(t *testing.T) {
	cluster := newCluster(t, 9, "a", "b", "c", "d", "e", "f", "g", "h")
	cluster.adjustOptions = func(options *Options) { options.Members = []nodeName{"a", "b", "c"} }
	joining := []nodeName{"d", "e", "f", "g", "h"}
	for _, name := range joining {
		cluster.members[name].joinsRunningGroup = true
	}
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.propose("an entry of the leader's term")
	candidates := func() []Candidate { return leader.controller.StatusAt(cluster.now).Candidates }
	cluster.runUntil(5*time.Second, "all candidates", func() bool { return len(candidates()) == len(joining) })
	admitted := candidates()
	cluster.stop("h")
	cluster.members["h"].disk.Wipe()
	cluster.start("h")
	var outcome error
	answered := false
	leader.controller.Admit(admitted, func(err error) { answered, outcome = true, err })
	cluster.runUntil(5*time.Second, "the admission", func() bool { return answered })
	require.NoError(t, outcome)
	cluster.runUntil(2*time.Second, "the places", func() bool {
		status := leader.controller.StatusAt(cluster.now)
		placed := 0
		for _, name := range joining[:4] {
			if process := cluster.members[name].controller; process.StatusAt(cluster.now).Self != 0 {
				placed++
			}
		}
		return placed == 4 && len(status.Members) == len(cluster.names)
	})
	for position, known := range leader.controller.StatusAt(cluster.now).Members[3:] {
		require.Equal(t, joining[position], known.Name)
		require.Equal(t, admitted[position].Disk, known.Disk)
		require.True(t, known.Learner)
	}
	require.Zero(t, cluster.members["h"].controller.StatusAt(cluster.now).Self, "the place is bound to the lost disk")
}

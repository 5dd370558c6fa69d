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

// change repeats a membership change at whoever leads until it is done.
func (simulation *simulation) change(what string, done func() bool, ask func(*Controller, func(error))) {
	simulation.test.Helper()
	waiting := false
	simulation.await(20*time.Second, what, func() bool {
		leader := simulation.leader()
		if leader == nil || waiting {
			return leader != nil && done()
		}
		if done() {
			return true
		}
		waiting = true
		ask(leader.controller, func(error) { waiting = false })
		return false
	})
}

// replace gives a member with a lost disk a new place.
func (simulation *simulation) replace(name nodeName) {
	simulation.test.Helper()
	former := simulation.idOf(name)
	simulation.change("the removal of "+string(name),
		func() bool { return simulation.idOf(name) != former },
		func(controller *Controller, done func(error)) { controller.RemoveMember(former, done) })
	simulation.change("the learner "+string(name),
		func() bool { return simulation.idOf(name) != 0 },
		func(controller *Controller, done func(error)) {
			controller.AddLearner(name, func(_ raft.MemberID, err error) { done(err) })
		})
	simulation.change("the promotion of "+string(name),
		func() bool { return simulation.votes(name) },
		func(controller *Controller, done func(error)) { controller.Promote(simulation.idOf(name), done) })
}

func (simulation *simulation) votes(name nodeName) bool {
	for _, member := range simulation.leader().controller.StatusAt(simulation.now).Members {
		if member.Name == name {
			return !member.Learner
		}
	}
	return false
}

func (simulation *simulation) wipe(name nodeName) {
	simulation.stop(name)
	simulation.members[name].disk.Wipe()
	simulation.start(name)
}

// TestReplacementFollowedBySecondLoss loses a disk, replaces the member and
// loses a second disk right after the promotion.
func TestReplacementFollowedBySecondLoss(t *testing.T) {
	t.Parallel()
	for seed := range simulationSeeds {
		simulation := newSimulation(t, uint64(seed), "control-1", "control-2", "control-3")
		simulation.startAll()
		simulation.await(5*time.Second, "the first leader", func() bool { return simulation.leader() != nil })
		simulation.network.drop = 0.02
		simulation.network.maxDelay = 6 * clockStep
		simulation.advance(time.Second, nil)
		first := simulation.pick().name
		simulation.wipe(first)
		simulation.await(10*time.Second, "a leader", func() bool { return simulation.leader() != nil })
		simulation.replace(first)
		second := simulation.pick().name
		for second == first {
			second = simulation.pick().name
		}
		simulation.wipe(second)
		simulation.await(10*time.Second, "a leader after the second loss", func() bool { return simulation.leader() != nil })
		simulation.replace(second)
		simulation.advance(300*time.Millisecond, nil)
		simulation.finish()
		require.NotEmpty(t, simulation.acknowledged)
	}
}

// TestLostDiskDoesNotVoteUnderItsFormerID commits a change on two of three
// members, loses the disk of one of the two and cuts off the other. If the
// member with the empty disk voted, the change would be lost.
func TestLostDiskDoesNotVoteUnderItsFormerID(t *testing.T) {
	cluster := newCluster(t, 3, "a", "b", "c")
	cluster.startAll()
	cluster.propose("first")
	cluster.until(5*time.Second, "equal state", cluster.converged)
	leader := cluster.awaitLeader().name
	var others []nodeName
	for _, name := range cluster.names {
		if name != leader {
			others = append(others, name)
		}
	}
	behind, lost := others[0], others[1]
	cluster.isolate(behind)
	cluster.propose("second")
	cluster.stop(lost)
	cluster.members[lost].disk.Wipe()
	cluster.heal()
	cluster.isolate(leader)
	cluster.start(lost)
	require.NoError(t, cluster.members[lost].startFault)
	cluster.run(5 * time.Second)
	require.Nil(t, cluster.leader(), "two of three members, one with a lost disk, must not elect a leader")
	require.True(t, cluster.members[lost].controller.core == nil, "the lost disk must have no place in the group")

	cluster.heal()
	cluster.awaitLeader()
	cluster.until(5*time.Second, "the refusal of the lost disk", func() bool {
		controller := cluster.members[lost].controller
		return controller.Refused() && controller.StatusAt(cluster.now).Refused
	})
	cluster.propose("third")
	cluster.until(5*time.Second, "both sound members to agree", func() bool {
		return cluster.members[leader].machine.Digest() == cluster.members[behind].machine.Digest()
	})
	require.Equal(t, []string{"first", "second", "third"}, cluster.members[behind].machine.commands)
}

// TestFounderThatLostItsDiskDoesNotFoundAgain loses the disk of the founder.
func TestFounderThatLostItsDiskDoesNotFoundAgain(t *testing.T) {
	cluster := newCluster(t, 4, "a", "b", "c")
	cluster.startAll()
	cluster.propose("first")
	cluster.until(5*time.Second, "equal state", cluster.converged)
	cluster.stop("a")
	cluster.members["a"].disk.Wipe()
	cluster.start("a")
	cluster.until(10*time.Second, "the refusal of the founder", func() bool {
		return cluster.members["a"].controller.Refused()
	})
	require.Nil(t, cluster.members["a"].controller.core)
	cluster.propose("second")
}

// TestLearnerIsPromotedOnlyWhenCaughtUp cuts a learner off and asks for its
// promotion.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	simulation := newSimulation(t, 5, "a", "b", "c", "d")
	cluster := simulation.cluster
	cluster.members["d"].joins = true
	cluster.options = func(options *Options) { options.Members = []nodeName{"a", "b", "c"} }
	cluster.startAll()
	cluster.propose("first")
	simulation.submitRate = 0
	simulation.change("the learner", func() bool { return simulation.idOf("d") != 0 },
		func(controller *Controller, done func(error)) {
			controller.AddLearner("d", func(_ raft.MemberID, err error) { done(err) })
		})
	cluster.until(5*time.Second, "the learner's place", func() bool { return cluster.members["d"].controller.core != nil })
	cluster.isolate("d")
	for range 100 {
		cluster.propose("while the learner is cut off")
	}
	require.Equal(t, faults.LearnerBehind, faults.CodeOf(simulation.promote("d")))
	cluster.heal()
	cluster.until(10*time.Second, "the learner to catch up", func() bool {
		return len(cluster.members["d"].machine.commands) == 101
	})
	cluster.run(2 * testHeartbeatInterval)
	require.NoError(t, simulation.promote("d"))
	cluster.until(5*time.Second, "equal state", cluster.converged)
}

func (simulation *simulation) promote(name nodeName) error {
	answered := false
	var fault error
	simulation.leader().controller.Promote(simulation.idOf(name), func(err error) { answered, fault = true, err })
	simulation.until(10*time.Second, "an answer to the promotion", func() bool { return answered })
	return fault
}

// TestRemovedMemberCannotDisturb removes a member that does not hear of it.
func TestRemovedMemberCannotDisturb(t *testing.T) {
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
	simulation.change("the removal", func() bool { return simulation.idOf(removed) == 0 },
		func(controller *Controller, done func(error)) { controller.RemoveMember(id, done) })
	cluster.run(time.Second)
	cluster.heal()
	term := cluster.awaitLeader().controller.StatusAt(cluster.now).Term
	cluster.run(3 * time.Second)
	require.Equal(t, leader, cluster.awaitLeader().name)
	require.Equal(t, term, cluster.awaitLeader().controller.StatusAt(cluster.now).Term)
}

// TestLeaderRemovesItself shows that the group goes on without it.
func TestLeaderRemovesItself(t *testing.T) {
	simulation := newSimulation(t, 7, "a", "b", "c")
	cluster := simulation.cluster
	cluster.startAll()
	simulation.submitRate = 0
	former := cluster.awaitLeader()
	id := simulation.idOf(former.name)
	var fault error
	answered := false
	former.controller.RemoveMember(id, func(err error) { answered, fault = true, err })
	cluster.until(5*time.Second, "the removal", func() bool { return answered })
	require.NoError(t, fault)
	cluster.until(5*time.Second, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != former
	})
	cluster.propose("without the former leader")
	require.Zero(t, simulation.idOf(former.name))
}

// TestMembershipChangesOneAtATime asks for two changes at once.
func TestMembershipChangesOneAtATime(t *testing.T) {
	cluster := newCluster(t, 8, "a", "b", "c")
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.propose("an entry of the leader's term")
	var errs []error
	note := func(_ raft.MemberID, err error) { errs = append(errs, err) }
	leader.controller.AddLearner("d", note)
	leader.controller.AddLearner("e", note)
	cluster.until(5*time.Second, "two answers", func() bool { return len(errs) == 2 })
	require.Equal(t, faults.MembershipChangePending, faults.CodeOf(errs[0]))
	require.NoError(t, errs[1])
}

// TestCandidatesAreAdmittedTogether: all empty disks that ask get a place, each tied to its
// disk, by one change of the membership. A candidate whose disk is lost meanwhile does not
// get the place of the lost one.
func TestCandidatesAreAdmittedTogether(t *testing.T) {
	cluster := newCluster(t, 9, "a", "b", "c", "d", "e", "f", "g", "h")
	cluster.options = func(options *Options) { options.Members = []nodeName{"a", "b", "c"} }
	joining := []nodeName{"d", "e", "f", "g", "h"}
	for _, name := range joining {
		cluster.members[name].joins = true
	}
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.propose("an entry of the leader's term")
	candidates := func() []Candidate { return leader.controller.StatusAt(cluster.now).Candidates }
	cluster.until(5*time.Second, "all candidates", func() bool { return len(candidates()) == len(joining) })
	admitted := candidates()
	cluster.stop("h")
	cluster.members["h"].disk.Wipe()
	cluster.start("h")
	var outcome error
	answered := false
	leader.controller.Admit(admitted, func(err error) { answered, outcome = true, err })
	cluster.until(5*time.Second, "the admission", func() bool { return answered })
	require.NoError(t, outcome)
	cluster.until(2*time.Second, "the places", func() bool {
		status := leader.controller.StatusAt(cluster.now)
		placed := 0
		for _, name := range joining[:4] {
			if process := cluster.members[name].controller; process.StatusAt(cluster.now).Self != 0 {
				placed++
			}
		}
		return placed == 4 && len(status.Members) == len(cluster.names)
	})
	for place, known := range leader.controller.StatusAt(cluster.now).Members[3:] {
		require.Equal(t, joining[place], known.Name)
		require.Equal(t, admitted[place].Disk, known.Disk)
		require.True(t, known.Learner)
	}
	require.Zero(t, cluster.members["h"].controller.StatusAt(cluster.now).Self, "another disk has its place")
}

package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leave starts a planned stop and returns whether it has ended, and its error.
func leave(process *member) (ended *bool, fault *error) {
	ended, fault = new(bool), new(error)
	process.controller.Leave(func(err error) { *ended, *fault = true, err })
	return ended, fault
}

// follower returns a running member that does not lead.
func (cluster *cluster) follower() *member {
	leader := cluster.awaitLeader()
	for _, name := range cluster.names {
		if process := cluster.members[name]; process != leader && process.controller != nil {
			return process
		}
	}
	cluster.test.Fatal("no follower runs")
	return nil
}

// TestLeavingMemberWaitsForItsRelease checks that the leader counts a member as leaving while it asks,
// that its stop goes on once it is released, and that the leader then forgets the request.
func TestLeavingMemberWaitsForItsRelease(t *testing.T) {
	cluster := newCluster(t, 31, "a", "b", "c")
	cluster.startAll()
	leaving := cluster.follower()
	id := leaving.controller.StatusAt(cluster.now).Self
	ended, fault := leave(leaving)
	cluster.run(3 * leaveExpiry)
	require.False(t, *ended, "nobody has released the member")
	leader := cluster.awaitLeader()
	require.Equal(t, []MemberID{id}, leader.controller.StatusAt(cluster.now).Leaving)
	leader.controller.Release(id)
	cluster.runUntil(time.Second, "the release", func() bool { return *ended })
	require.NoError(t, *fault)
	cluster.run(leaveExpiry + time.Second)
	require.Empty(t, leader.controller.StatusAt(cluster.now).Leaving)
}

// TestLeavingLeaderHandsOver checks that a leaving leader hands leadership to a member that is not
// leaving, and asks that one for its release.
func TestLeavingLeaderHandsOver(t *testing.T) {
	for seed := range uint64(20) {
		cluster := newCluster(t, 100+seed, "a", "b", "c")
		cluster.startAll()
		cluster.propose("before")
		leader, other := cluster.awaitLeader(), cluster.follower()
		leave(other)
		cluster.run(200 * time.Millisecond)
		ended, _ := leave(leader)
		var next *member
		cluster.runUntil(2*testElectionTimeout, "the request at another leader", func() bool {
			next = cluster.leader()
			return next != nil && next != leader && len(next.controller.StatusAt(cluster.now).Leaving) == 2
		})
		require.NotEqual(t, other, next, "seed %d", seed)
		next.controller.Release(leader.controller.StatusAt(cluster.now).Self)
		cluster.runUntil(time.Second, "the release", func() bool { return *ended })
	}
}

// TestOnlyVoterLeavesAtOnce checks that a stop does not wait for a group in which nobody else votes.
func TestOnlyVoterLeavesAtOnce(t *testing.T) {
	cluster := newCluster(t, 33, "a")
	cluster.startAll()
	ended, _ := leave(cluster.awaitLeader())
	cluster.run(100 * time.Millisecond)
	require.True(t, *ended)
}

// TestLeaveEndsWithTheMember checks that the callers of planned stops are answered when the member
// stops, and when a later stop begins.
func TestLeaveEndsWithTheMember(t *testing.T) {
	cluster := newCluster(t, 34, "a", "b", "c")
	cluster.startAll()
	leaving := cluster.follower()
	first, _ := leave(leaving)
	cluster.step()
	second, fault := leave(leaving)
	cluster.step()
	require.True(t, *first)
	require.False(t, *second)
	cluster.stop(leaving.name)
	require.True(t, *second)
	require.Error(t, *fault)
}

// TestRequestOfAnEarlierRunHasNoLastingEffect checks that a member that restarts is not counted as
// leaving any more once its earlier request has expired.
func TestRequestOfAnEarlierRunHasNoLastingEffect(t *testing.T) {
	cluster := newCluster(t, 35, "a", "b", "c")
	cluster.startAll()
	leaving := cluster.follower()
	leave(leaving)
	cluster.run(200 * time.Millisecond)
	cluster.stop(leaving.name)
	cluster.start(leaving.name)
	cluster.run(leaveExpiry + time.Second)
	require.Empty(t, cluster.awaitLeader().controller.StatusAt(cluster.now).Leaving)
}

// TestLeavingVotersKeepTheirLeader guards against leaving voters that pass leadership on to each other
// until they end, so that no leader leads for long enough to promote the learners that could replace
// them.
func TestLeavingVotersKeepTheirLeader(t *testing.T) {
	simulation := newSimulation(t, 36, "a", "b", "c", "d")
	cluster := simulation.cluster
	cluster.members["d"].joinsRunningGroup = true
	cluster.adjustOptions = func(options *Options) { options.Members = []nodeName{"a", "b", "c"} }
	cluster.startAll()
	simulation.submitRate = 0
	simulation.changeMembership("the learner", func() bool { return simulation.idOf("d") != 0 },
		func(controller *Controller, done func(error)) {
			controller.AddLearner("d", func(_ MemberID, err error) { done(err) })
		})
	for _, name := range []nodeName{"a", "b", "c"} {
		leave(cluster.members[name])
	}
	cluster.run(2 * testElectionTimeout)
	leader := cluster.awaitLeader()
	term := leader.controller.StatusAt(cluster.now).Term
	cluster.run(time.Second)
	require.Equal(t, leader, cluster.awaitLeader())
	require.Equal(t, term, leader.controller.StatusAt(cluster.now).Term)
	require.Len(t, leader.controller.StatusAt(cluster.now).Leaving, 3, "the leader counts itself as leaving")
	require.NoError(t, simulation.promote("d"))
	cluster.runUntil(time.Second, "leadership of the member that stays", func() bool { return cluster.leader() == cluster.members["d"] })
}

package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
)

// freezeLeader pauses the leader for longer than every time-out and lets the
// others commit a change.
func freezeLeader(cluster *cluster) *member {
	frozen := cluster.awaitLeader()
	frozen.pausedUntil = cluster.now.Add(20 * testElectionTimeout)
	cluster.until(10*time.Second, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != frozen
	})
	cluster.propose("while the leader is frozen")
	for cluster.now.Before(frozen.pausedUntil) {
		cluster.step()
	}
	return frozen
}

// TestFrozenLeaderServesNoStaleRead asks the leader for a read at the moment
// it wakes, before it has heard of its successor, and lets it see no messages
// at first, as if they were still on their way.
func TestFrozenLeaderServesNoStaleRead(t *testing.T) {
	cluster := newCluster(t, 11, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	frozen := freezeLeader(cluster)
	require.Equal(t, []string{"before"}, frozen.machine.commands)
	require.False(t, frozen.controller.StatusAt(cluster.now).Leading, "a frozen leader must not look like one when it wakes")

	answered := false
	frozen.controller.ReadBarrier(func(err error) {
		answered = true
		if err == nil {
			require.Len(t, frozen.machine.commands, 2, "a read that is served must show the change")
			return
		}
		require.Contains(t, []faults.Code{faults.NotLeader, faults.LeadershipUnconfirmed}, faults.CodeOf(err))
	})
	// The time that the process took before it was frozen is still in use.
	frozen.controller.Reconcile(cluster.now.Add(-19 * testElectionTimeout))
	cluster.until(5*time.Second, "an answer to the read", func() bool { return answered })
}

// TestFrozenLeaderCommitsNoWrite proposes to the leader at the moment it wakes.
func TestFrozenLeaderCommitsNoWrite(t *testing.T) {
	cluster := newCluster(t, 12, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	frozen := freezeLeader(cluster)
	var fault error
	answered := false
	frozen.controller.Submit([]byte("late"), func(_ []byte, err error) { answered, fault = true, err })
	frozen.controller.Reconcile(cluster.now.Add(-19 * testElectionTimeout))
	cluster.until(5*time.Second, "an answer to the write", func() bool { return answered })
	require.Contains(t, []faults.Code{faults.NotLeader, faults.ProposalReplaced, faults.ProposalOutcomeUnknown}, faults.CodeOf(fault))
	cluster.propose("after")
	cluster.until(5*time.Second, "equal state", cluster.converged)
	require.Equal(t, []string{"before", "while the leader is frozen", "after"}, frozen.machine.commands)
}

// TestCutOffLeaderStepsDown shows check-quorum: without a quorum's answers a
// leader gives up, and calls that wait on it are answered.
func TestCutOffLeaderStepsDown(t *testing.T) {
	cluster := newCluster(t, 13, "a", "b", "c")
	cluster.startAll()
	former := cluster.awaitLeader()
	cluster.isolate(former.name)
	var codes []faults.Code
	former.controller.Submit([]byte("cut off"), func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) })
	former.controller.ReadBarrier(func(err error) { codes = append(codes, faults.CodeOf(err)) })
	cluster.run(2 * testElectionTimeout)
	require.NotEqual(t, former.name, former.controller.StatusAt(cluster.now).Leader)
	cluster.until(5*time.Second, "answers to both calls", func() bool { return len(codes) == 2 })
	require.Equal(t, []faults.Code{faults.LeadershipUnconfirmed, faults.ProposalOutcomeUnknown}, codes)
}

// TestReturningMemberDoesNotDeposeLeader shows pre-vote: a member that was cut
// off for long raises no term.
func TestReturningMemberDoesNotDeposeLeader(t *testing.T) {
	cluster := newCluster(t, 14, "a", "b", "c")
	cluster.startAll()
	leader := cluster.awaitLeader()
	term := leader.controller.StatusAt(cluster.now).Term
	for _, name := range cluster.names {
		if name != leader.name {
			cluster.isolate(name)
			break
		}
	}
	cluster.run(20 * testElectionTimeout)
	cluster.heal()
	cluster.run(5 * testElectionTimeout)
	require.Equal(t, leader.name, cluster.awaitLeader().name)
	require.Equal(t, term, leader.controller.StatusAt(cluster.now).Term)
}

// TestTransferOfLeadership hands leadership over faster than an election
// timeout, and refuses proposals meanwhile as not proposed.
func TestTransferOfLeadership(t *testing.T) {
	cluster := newCluster(t, 15, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	former := cluster.awaitLeader()
	var transferFault, proposalFault error
	answers := 0
	former.controller.TransferLeadership(func(err error) { answers, transferFault = answers+1, err })
	former.controller.Submit([]byte("meanwhile"), func(_ []byte, err error) { answers, proposalFault = answers+1, err })
	started := cluster.now
	cluster.until(testElectionTimeout, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != former
	})
	require.Less(t, cluster.now.Sub(started), testElectionTimeout)
	require.Equal(t, 2, answers)
	require.NoError(t, transferFault)
	require.Equal(t, faults.NotLeader, faults.CodeOf(proposalFault))
}

// TestTransferWithoutSuccessorFails leaves the leader in office.
func TestTransferWithoutSuccessorFails(t *testing.T) {
	cluster := newCluster(t, 16, "a")
	cluster.startAll()
	leader := cluster.awaitLeader()
	var fault error
	leader.controller.TransferLeadership(func(err error) { fault = err })
	cluster.step()
	require.Equal(t, faults.NoSuccessor, faults.CodeOf(fault))
	cluster.propose("still leading")
}

// TestConfirmedAtIsToldToFollowers shows that followers learn when a quorum
// last confirmed the leader, and that it stops when the leader is cut off.
func TestConfirmedAtIsToldToFollowers(t *testing.T) {
	cluster := newCluster(t, 17, "a", "b", "c")
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.run(time.Second)
	for _, name := range cluster.names {
		age := cluster.now.Sub(cluster.members[name].controller.StatusAt(cluster.now).ConfirmedAt)
		require.GreaterOrEqual(t, age, time.Duration(0))
		require.Less(t, age, 4*testHeartbeatInterval)
	}
	cluster.isolate(leader.name)
	cutAt := cluster.now
	cluster.run(time.Second)
	require.False(t, leader.controller.StatusAt(cluster.now).ConfirmedAt.After(cutAt))
}

// TestUnansweredCallsEndWhenTheMemberStops answers every call exactly once.
func TestUnansweredCallsEndWhenTheMemberStops(t *testing.T) {
	cluster := newCluster(t, 18, "a", "b", "c")
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.isolate(leader.name)
	var codes []faults.Code
	note := func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) }
	leader.controller.Submit([]byte("proposed"), note)
	cluster.step()
	leader.controller.Submit([]byte("not taken"), note)
	leader.controller.Stop()
	leader.controller.Submit([]byte("too late"), note)
	require.Equal(t, []faults.Code{faults.ProposalOutcomeUnknown, faults.MemberStopped, faults.MemberStopped}, codes)
}

package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
)

// pauseLeader pauses the leader for longer than every timeout while the other
// members commit a change. It returns the paused member when it resumes.
func pauseLeader(cluster *cluster) *member {
	paused := cluster.awaitLeader()
	paused.pausedUntil = cluster.now.Add(20 * testElectionTimeout)
	cluster.runUntil(10*time.Second, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != paused
	})
	cluster.propose("while the leader is paused")
	for cluster.now.Before(paused.pausedUntil) {
		cluster.step()
	}
	return paused
}

// TestPausedLeaderServesNoStaleRead requests a read from a paused leader when it
// resumes. It has received no message from its successor yet, as if they were
// still in transit, and would serve stale state if it trusted its lease.
func TestPausedLeaderServesNoStaleRead(t *testing.T) {
	cluster := newCluster(t, 11, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	paused := pauseLeader(cluster)
	require.Equal(t, []string{"before"}, paused.machine.commands)
	require.False(t, paused.controller.StatusAt(cluster.now).Leading, "a paused leader must not report that it leads when it resumes")

	answered := false
	paused.controller.ReadBarrier(func(err error) {
		answered = true
		if err == nil {
			require.Len(t, paused.machine.commands, 2, "a read that is served must show the change")
			return
		}
		require.Contains(t, []faults.Code{faults.NotLeader, faults.LeadershipUnconfirmed}, faults.CodeOf(err))
	})
	// The process uses a time that it read before it was paused.
	paused.controller.Reconcile(cluster.now.Add(-19 * testElectionTimeout))
	cluster.runUntil(5*time.Second, "an answer to the read", func() bool { return answered })
}

// TestPausedLeaderCommitsNoWrite proposes a command to a paused leader when it
// resumes and its successor has committed another one.
func TestPausedLeaderCommitsNoWrite(t *testing.T) {
	cluster := newCluster(t, 12, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	paused := pauseLeader(cluster)
	var fault error
	answered := false
	paused.controller.Submit([]byte("late"), func(_ []byte, err error) { answered, fault = true, err })
	paused.controller.Reconcile(cluster.now.Add(-19 * testElectionTimeout))
	cluster.runUntil(5*time.Second, "an answer to the write", func() bool { return answered })
	require.Contains(t, []faults.Code{faults.NotLeader, faults.ProposalReplaced, faults.ProposalOutcomeUnknown}, faults.CodeOf(fault))
	cluster.propose("after")
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	require.Equal(t, []string{"before", "while the leader is paused", "after"}, paused.machine.commands)
}

// TestPartitionedLeaderStepsDown tests check-quorum: a leader without replies from
// a quorum steps down, and its pending calls are answered.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	cluster := newCluster(t, 13, "a", "b", "c")
	cluster.startAll()
	previousLeader := cluster.awaitLeader()
	cluster.isolate(previousLeader.name)
	var codes []faults.Code
	previousLeader.controller.Submit([]byte("cut off"), func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) })
	previousLeader.controller.ReadBarrier(func(err error) { codes = append(codes, faults.CodeOf(err)) })
	cluster.run(2 * testElectionTimeout)
	require.NotEqual(t, previousLeader.name, previousLeader.controller.StatusAt(cluster.now).Leader)
	cluster.runUntil(5*time.Second, "answers to both calls", func() bool { return len(codes) == 2 })
	require.Equal(t, []faults.Code{faults.LeadershipUnconfirmed, faults.ProposalOutcomeUnknown}, codes)
}

// TestReturningMemberDoesNotDeposeLeader tests pre-vote: a member that was
// partitioned for a long time does not raise the term.
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

// TestTransferOfLeadership checks that a transfer takes less than an election
// timeout and that proposals are refused as not proposed during the transfer.
func TestTransferOfLeadership(t *testing.T) {
	cluster := newCluster(t, 15, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	previousLeader := cluster.awaitLeader()
	var transferFault, proposalFault error
	answers := 0
	previousLeader.controller.TransferLeadership(func(err error) { answers, transferFault = answers+1, err })
	previousLeader.controller.Submit([]byte("meanwhile"), func(_ []byte, err error) { answers, proposalFault = answers+1, err })
	started := cluster.now
	cluster.runUntil(testElectionTimeout, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != previousLeader
	})
	require.Less(t, cluster.now.Sub(started), testElectionTimeout)
	require.Equal(t, 2, answers)
	require.NoError(t, transferFault)
	require.Equal(t, faults.NotLeader, faults.CodeOf(proposalFault))
}

// TestTransferWithoutSuccessorFails checks that the only member cannot transfer
// leadership and continues to lead.
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

// TestConfirmedAtIsSentToFollowers checks that followers receive the time at which
// a quorum last confirmed the leader, and that the leader's time does not advance
// while it is partitioned.
func TestConfirmedAtIsSentToFollowers(t *testing.T) {
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

// TestEveryCallIsAnsweredWhenTheMemberStops checks that proposed, queued and later
// calls are each answered exactly once.
func TestEveryCallIsAnsweredWhenTheMemberStops(t *testing.T) {
	cluster := newCluster(t, 18, "a", "b", "c")
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.isolate(leader.name)
	var codes []faults.Code
	record := func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) }
	leader.controller.Submit([]byte("proposed"), record)
	cluster.step()
	leader.controller.Submit([]byte("queued"), record)
	leader.controller.Stop()
	leader.controller.Submit([]byte("too late"), record)
	require.Equal(t, []faults.Code{faults.ProposalOutcomeUnknown, faults.MemberStopped, faults.MemberStopped}, codes)
}

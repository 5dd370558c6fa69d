package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// acknowledgeAll lets members acknowledge the leader's whole log and its latest heartbeat round.
func acknowledgeAll(raft *Raft, members ...MemberID) {
	for _, member := range members {
		step(raft, Message{Kind: MessageHeartbeatReply, From: member, Term: raft.Term(), Round: raft.round})
		step(raft, Message{Kind: MessageAppendReply, From: member, Term: raft.Term(), LogIndex: raft.log.lastIndex()})
	}
}

// TestDemotedVoterDoesNotCount checks that a demoted voter keeps its ID, and that entries are committed
// by a majority of the remaining voters from the demotion on.
func TestDemotedVoterDoesNotCount(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	acknowledgeAll(raft, 2)
	index, _, err := raft.Demote(testStart, 3)
	require.NoError(t, err)
	drainReady(raft)
	require.Less(t, raft.log.committed, index, "the leader alone is no majority of the two voters")
	acknowledgeAll(raft, 3)
	require.Less(t, raft.log.committed, index, "the demoted member does not count")
	acknowledgeAll(raft, 2)
	require.Equal(t, index, raft.log.committed)
	member, present := raft.CommittedConfiguration().Find(3)
	require.True(t, present)
	require.True(t, member.Learner)
}

// TestRefusedDemotions checks that learners, unknown members and the last voter are not demoted, and
// that a demotion waits for the previous change.
func TestRefusedDemotions(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	acknowledgeAll(raft, 2)
	_, _, err := raft.Demote(testStart, 9)
	require.ErrorIs(t, err, ErrUnknownMember)
	_, _, err = raft.Demote(testStart, 3)
	require.NoError(t, err)
	_, _, err = raft.Demote(testStart, 2)
	require.ErrorIs(t, err, ErrChangePending)
	drainReady(raft)
	acknowledgeAll(raft, 2)
	_, _, err = raft.Demote(testStart, 3)
	require.ErrorIs(t, err, ErrUnknownMember, "it is a learner already")
	_, _, err = raft.Demote(testStart, 2)
	require.NoError(t, err)
	drainReady(raft)
	require.Equal(t, 1, raft.CommittedConfiguration().VoterCount())
	_, _, err = raft.Demote(testStart, 1)
	require.ErrorIs(t, err, ErrLastVoter)
}

// TestLeaderDemotesItself checks that a leader steps down once its own demotion is committed, and then
// starts no election.
func TestLeaderDemotesItself(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	acknowledgeAll(raft, 2)
	_, _, err := raft.Demote(testStart, 1)
	require.NoError(t, err)
	drainReady(raft)
	acknowledgeAll(raft, 2)
	require.Equal(t, Leader, raft.Role(), "one of the two other voters is no majority")
	acknowledgeAll(raft, 3)
	require.Equal(t, Follower, raft.Role())
	raft.Tick(testStart.Add(10 * testElectionTimeout))
	require.Equal(t, Follower, raft.Role())
}

// TestLeadershipIsNotTransferredToExcludedMember checks that the leader keeps its leadership if all
// other voters are excluded.
func TestLeadershipIsNotTransferredToExcludedMember(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	acknowledgeAll(raft, 2, 3)
	require.NoError(t, raft.TransferLeadership(testStart, 2))
	require.Equal(t, MemberID(3), raft.transferTarget)
	require.NoError(t, raft.TransferLeadership(testStart, 3))
	require.Equal(t, MemberID(2), raft.transferTarget)
	require.ErrorIs(t, raft.TransferLeadership(testStart, 2, 3), ErrNoSuccessor)
	require.Equal(t, MemberID(2), raft.transferTarget, "the refused transfer changed nothing")
}

package raft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// followerOf returns member 1 after it received a heartbeat of the leader.
func followerOf(leader MemberID) *Raft {
	raft := newMember(1, 1)
	step(raft, Message{Kind: MessageHeartbeat, From: leader, Term: 1})
	return raft
}

// TestFollowersOfEndedLeaderCampaignInTurn guards against a group that waits for an election timeout
// although its leader is known to have ended: the follower with the lowest ID campaigns first, and the
// next one two heartbeat intervals later.
func TestFollowersOfEndedLeaderCampaignInTurn(t *testing.T) {
	first := followerOf(3)
	first.PeerEnded(testStart, 3)
	require.Zero(t, first.Leader())
	require.Equal(t, testStart.Add(testHeartbeatInterval/2), first.electionDeadline)
	first.Tick(first.electionDeadline)
	require.Equal(t, PreCandidate, first.Role())

	second := followerOf(3)
	second.options.ID = 2
	second.PeerEnded(testStart, 3)
	require.Equal(t, testStart.Add(testHeartbeatInterval/2+2*testHeartbeatInterval), second.electionDeadline)
	second = followerOf(3)
	second.options.ID = 2
	second.PeerEnded(testStart, 1)
	require.Equal(t, MemberID(3), second.Leader(), "another follower has ended")
	second.PeerEnded(testStart, 3)
	require.Equal(t, testStart.Add(testHeartbeatInterval/2), second.electionDeadline, "an ended member has no turn")
}

// TestLostRequestIsRepeatedWithinTheTurn guards against followers of an ended leader that split the votes
// because one message was lost: the first one repeats its request before the turn of the next one.
func TestLostRequestIsRepeatedWithinTheTurn(t *testing.T) {
	first, second := followerOf(3), followerOf(3)
	second.options.ID = 2
	first.PeerEnded(testStart, 3)
	second.PeerEnded(testStart, 3)
	now := testStart.Add(testHeartbeatInterval / 2)
	first.Tick(now)
	require.NotEmpty(t, kindsTo(2, drainReady(first)), "the request that is lost")

	now = now.Add(testHeartbeatInterval)
	for range 2 { // the pre-vote and the vote
		first.Tick(now)
		second.Tick(now)
		now = now.Add(testHeartbeatInterval / 4) // the way of a request
		for _, request := range drainReady(first) {
			if request.To == 2 {
				second.Step(now, request)
			}
		}
		second.Tick(now)
		require.Equal(t, Follower, second.Role())
		for _, reply := range drainReady(second) {
			first.Step(now, reply)
		}
	}
	require.Equal(t, Leader, first.Role())
}

// TestEndedLeaderIsNotAlive checks that a follower grants pre-votes once its leader has ended, and follows
// it again after its next message.
func TestEndedLeaderIsNotAlive(t *testing.T) {
	raft := followerOf(3)
	preVote := Message{Kind: MessagePreVote, From: 2, Term: 2, LogIndex: 9, LogTerm: 1}
	require.True(t, step(raft, preVote)[0].Reject)
	raft.PeerEnded(testStart, 3)
	require.False(t, step(raft, preVote)[0].Reject)
	step(raft, Message{Kind: MessageHeartbeat, From: 3, Term: 1})
	require.Equal(t, MemberID(3), raft.Leader())
	require.True(t, step(raft, preVote)[0].Reject)
}

// TestEndLastsUntilTheNextMessage checks that the leader reports a member as ended until it answers.
func TestEndLastsUntilTheNextMessage(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	acknowledgeAll(raft, 2, 3)
	raft.PeerEnded(testStart, 3)
	raft.PeerEnded(testStart, 1)
	ended := func() []bool {
		var ended []bool
		for _, peer := range raft.Status(testStart).Peers {
			ended = append(ended, peer.Ended)
		}
		return ended
	}
	require.Equal(t, []bool{false, false, true}, ended(), "a member never takes itself for ended")
	require.Equal(t, Leader, raft.Role())
	acknowledgeAll(raft, 3)
	require.Equal(t, []bool{false, false, false}, ended())
}

// TestVoteRequestsAreRepeated guards against an election that takes an election timeout longer because one
// message was lost: a campaign repeats its requests to the voters that have not answered.
func TestVoteRequestsAreRepeated(t *testing.T) {
	raft := newMember(1, 1)
	raft.Tick(testStart)
	start := testStart.Add(2 * testElectionTimeout)
	requests := func(at time.Duration) []MessageKind {
		raft.Tick(start.Add(at))
		messages := drainReady(raft)
		return append(kindsTo(2, messages), kindsTo(3, messages)...)
	}
	require.Equal(t, []MessageKind{MessagePreVote, MessagePreVote}, requests(0))
	require.Empty(t, requests(testHeartbeatInterval-1))
	require.Equal(t, []MessageKind{MessagePreVote, MessagePreVote}, requests(testHeartbeatInterval))
	raft.Step(start.Add(testHeartbeatInterval), Message{Kind: MessagePreVoteReply, From: 2, To: 1, Group: testGroup, Term: 2})
	require.Len(t, drainReady(raft), 2, "the votes are requested at once")
	raft.Step(start.Add(testHeartbeatInterval), Message{Kind: MessageVoteReply, From: 3, To: 1, Group: testGroup, Term: 2, Reject: true})
	require.Equal(t, []MessageKind{MessageVote}, requests(2*testHeartbeatInterval), "member 3 has answered")
	raft.Step(start.Add(2*testHeartbeatInterval), Message{Kind: MessageVoteReply, From: 2, To: 1, Group: testGroup, Term: 2})
	require.Equal(t, Leader, raft.Role())
	require.NotContains(t, requests(3*testHeartbeatInterval), MessageVote)
}

package raft

import "time"

// heartbeatsPerTurn is the time between the campaigns of two followers of an ended leader, in heartbeat
// intervals. A candidate repeats a lost request one interval later, and the answer must arrive before the
// next follower's campaign.
const heartbeatsPerTurn = 2

// PeerEnded records that the process of a member has ended: its machine refused a connection. The
// record lasts until the member's next message. A frozen, slow or unreachable process refuses no
// connection. A follower whose leader has ended starts an election without waiting for the election
// timeout. The voters do so one after the other, so that they do not split the votes; the first of them
// waits for half a heartbeat interval, in which the others learn of the end too.
func (raft *Raft) PeerEnded(now time.Time, id MemberID) {
	raft.advanceClock(now)
	if id == 0 || id == raft.options.ID {
		return
	}
	raft.ended[id] = true
	if raft.role != Follower || raft.leader != id {
		return
	}
	raft.leader = 0
	turn := time.Duration(raft.rankAmongRunningVoters()*heartbeatsPerTurn) * raft.options.HeartbeatInterval
	wait := raft.options.HeartbeatInterval/2 + turn
	if campaignAt := raft.now.Add(wait); campaignAt.Before(raft.electionDeadline) {
		raft.electionDeadline = campaignAt
	}
}

// rankAmongRunningVoters returns the number of voters with a lower ID that are not known to have ended.
func (raft *Raft) rankAmongRunningVoters() int {
	rank := 0
	for _, member := range raft.configuration().Members {
		if !member.Learner && member.ID < raft.options.ID && !raft.ended[member.ID] {
			rank++
		}
	}
	return rank
}

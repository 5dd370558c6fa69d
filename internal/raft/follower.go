package raft

import (
	"fmt"
	"time"
)

// followLeader records a sign of life from the term's leader.
func (raft *Raft) followLeader(message Message) {
	if raft.role == Leader {
		panic(fmt.Sprintf("raft: members %d and %d both lead term %d", raft.options.ID, message.From, raft.term))
	}
	if raft.role != Follower || raft.leader != message.From {
		raft.becomeFollower(raft.term, message.From)
	}
	raft.leaderHeardAt = raft.now
	raft.resetElectionDeadline()
}

// handleAppend merges the leader's entries. The reply leaves only after they
// are durable, because Ready hands out messages after entries.
func (raft *Raft) handleAppend(message Message) {
	if message.LogIndex < raft.log.committed {
		raft.acknowledgeAppend(message.From, raft.log.committed)
		return
	}
	if !raft.log.matches(message.LogIndex, message.LogTerm) {
		raft.rejectAppend(message)
		return
	}
	if truncatedAt := raft.log.merge(message.Entries); truncatedAt != 0 {
		raft.dropConfigurations(truncatedAt)
	}
	for _, entry := range message.Entries {
		raft.noteConfiguration(entry)
	}
	last := message.LogIndex + uint64(len(message.Entries))
	raft.commitTo(min(message.Commit, last))
	raft.acknowledgeAppend(message.From, last)
}

func (raft *Raft) acknowledgeAppend(leader MemberID, index uint64) {
	raft.send(Message{Kind: MessageAppendReply, To: leader, LogIndex: index})
}

func (raft *Raft) rejectAppend(message Message) {
	hintIndex, hintTerm := raft.log.conflictHint(message.LogIndex, message.LogTerm)
	raft.send(Message{
		Kind:      MessageAppendReply,
		To:        message.From,
		LogIndex:  message.LogIndex,
		Reject:    true,
		HintIndex: hintIndex,
		HintTerm:  hintTerm,
	})
}

// takeCommit takes the commit index, which the leader limits to what this
// member acknowledged, and tells whether the log reaches it.
func (raft *Raft) takeCommit(message Message) bool {
	if message.Commit > raft.log.lastIndex() {
		raft.fault = ErrLostEntries
		return false
	}
	raft.commitTo(message.Commit)
	return true
}

// handleHeartbeat takes the commit index and answers the round.
func (raft *Raft) handleHeartbeat(message Message) {
	if !raft.takeCommit(message) {
		return
	}
	raft.noteLeaderCommit(message.LeaderCommit)
	if message.ConfirmedAt != 0 {
		raft.toldConfirmedAt = time.Unix(0, message.ConfirmedAt)
	}
	raft.send(Message{Kind: MessageHeartbeatReply, To: message.From, Round: message.Round})
}

// noteLeaderCommit remembers how far the leader has committed. While the log
// has not reached an earlier such index, a later one does not replace it: under
// a stream of changes the follower is always a little behind the latest.
func (raft *Raft) noteLeaderCommit(index uint64) {
	if raft.toldCommit == 0 {
		raft.toldCommit = index
		raft.toldCommitAt = raft.now
	}
	raft.noteReached()
}

// noteReached notes that the log reached the commit index that the leader told.
func (raft *Raft) noteReached() {
	if raft.toldCommit != 0 && raft.log.committed >= raft.toldCommit {
		raft.currentAt = raft.toldCommitAt
		raft.toldCommit = 0
	}
}

// commitTo raises the commit index and settles the configurations below it.
func (raft *Raft) commitTo(index uint64) {
	raft.log.commitTo(index)
	raft.noteReached()
	for len(raft.configurations) > 1 && raft.configurations[1].index <= raft.log.committed {
		raft.configurations = raft.configurations[1:]
	}
}

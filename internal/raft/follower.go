package raft

import (
	"fmt"
	"time"
)

// followLeader records contact from the leader of the current term.
func (raft *Raft) followLeader(message Message) {
	if raft.role == Leader {
		panic(fmt.Sprintf("raft: members %d and %d both lead term %d", raft.options.ID, message.From, raft.term))
	}
	if raft.role != Follower || raft.leader != message.From {
		raft.becomeFollower(raft.term, message.From)
	}
	raft.leaderContactAt = raft.now
	raft.resetElectionDeadline()
}

// handleAppend merges the leader's entries. The reply is sent only after they
// are durable: the caller of Ready persists entries before it sends messages.
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
		raft.truncateConfigurations(truncatedAt)
	}
	for _, entry := range message.Entries {
		raft.activateConfiguration(entry)
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

// updateCommit commits up to the message's commit index, which the leader
// limits to what this member acknowledged. It reports whether the log reaches
// that index; if not, acknowledged entries were lost and the member must stop.
func (raft *Raft) updateCommit(message Message) bool {
	if message.Commit > raft.log.lastIndex() {
		raft.fault = ErrLostEntries
		return false
	}
	raft.commitTo(message.Commit)
	return true
}

// handleHeartbeat updates the commit index and acknowledges the round.
func (raft *Raft) handleHeartbeat(message Message) {
	if !raft.updateCommit(message) {
		return
	}
	raft.recordLeaderCommit(message.LeaderCommit)
	if message.ConfirmedAt != 0 {
		raft.leaderConfirmedAt = time.Unix(0, message.ConfirmedAt)
	}
	raft.send(Message{Kind: MessageHeartbeatReply, To: message.From, Round: message.Round})
}

// recordLeaderCommit records the leader's commit index. A later index does not
// replace an earlier one that this member has not reached yet: under constant
// writes a follower is always slightly behind the latest index.
func (raft *Raft) recordLeaderCommit(index uint64) {
	if raft.pendingLeaderCommit == 0 {
		raft.pendingLeaderCommit = index
		raft.pendingLeaderCommitAt = raft.now
	}
	raft.updateCurrentAt()
}

// updateCurrentAt sets currentAt once this member has committed up to the
// recorded leader commit index.
func (raft *Raft) updateCurrentAt() {
	if raft.pendingLeaderCommit != 0 && raft.log.committed >= raft.pendingLeaderCommit {
		raft.currentAt = raft.pendingLeaderCommitAt
		raft.pendingLeaderCommit = 0
	}
}

// commitTo raises the commit index and drops the configurations that a later
// committed one replaces.
func (raft *Raft) commitTo(index uint64) {
	raft.log.commitTo(index)
	raft.updateCurrentAt()
	for len(raft.configurations) > 1 && raft.configurations[1].index <= raft.log.committed {
		raft.configurations = raft.configurations[1:]
	}
}

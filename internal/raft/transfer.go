package raft

import (
	"slices"
	"time"
)

// TransferLeadership transfers leadership to the voter whose log is most up to
// date, but to none of the excluded ones. Proposals are refused meanwhile. If the
// transfer has not succeeded after an election timeout, it is abandoned and this
// leader accepts proposals again.
func (raft *Raft) TransferLeadership(now time.Time, excluded ...MemberID) error {
	raft.advanceClock(now)
	if raft.role != Leader {
		return ErrNotLeader
	}
	target := raft.successor(excluded)
	if target == 0 {
		return ErrNoSuccessor
	}
	raft.transferTarget = target
	raft.transferExpires = raft.now.Add(raft.options.ElectionTimeout)
	raft.appendTo(target)
	raft.continueTransfer()
	return nil
}

// MayTransferLeadership reports whether this member leads and a voter that is not
// excluded can take its leadership over.
func (raft *Raft) MayTransferLeadership(excluded ...MemberID) bool {
	return raft.role == Leader && raft.successor(excluded) != 0
}

// successor returns the other voter with the longest acknowledged log among
// those that answered a recent heartbeat round and are not excluded, or zero.
func (raft *Raft) successor(excluded []MemberID) MemberID {
	var best MemberID
	for _, member := range raft.configuration().Members {
		progress := raft.progress[member.ID]
		unresponsive := progress.acknowledgedRound+lossTimeoutRounds < raft.confirmedRound
		if member.Learner || member.ID == raft.options.ID || unresponsive || slices.Contains(excluded, member.ID) {
			continue
		}
		if best == 0 || progress.Match > raft.progress[best].Match {
			best = member.ID
		}
	}
	return best
}

// continueTransfer makes the transfer's target start an election once it holds
// the leader's complete log.
func (raft *Raft) continueTransfer() {
	progress := raft.progress[raft.transferTarget]
	if raft.transferTarget == 0 || progress == nil || progress.Match < raft.log.lastIndex() {
		return
	}
	raft.send(Message{Kind: MessageTimeoutNow, To: raft.transferTarget})
}

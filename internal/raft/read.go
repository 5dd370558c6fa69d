package raft

import "time"

// ReadState is the result of one ReadIndex. The read may be served once the
// state machine has applied Index. A failed read must be requested again.
type ReadState struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// ReadIndex requests a log index that covers everything committed before the
// call, for a linearizable read. The result, a ReadState with the given id, is
// returned by Ready only after a quorum has acknowledged a heartbeat round that
// started after the call. This does not depend on clocks: a leader that was
// paused and resumes cannot serve a read under an expired lease.
func (raft *Raft) ReadIndex(now time.Time, id uint64) error {
	raft.advanceClock(now)
	if raft.role != Leader {
		return ErrNotLeader
	}
	if !raft.hasCommittedInTerm() {
		raft.deferredReads = append(raft.deferredReads, id)
		return nil
	}
	raft.startRead(id)
	return nil
}

func (raft *Raft) startRead(id uint64) {
	raft.pendingReads = append(raft.pendingReads, pendingRead{id: id, index: raft.log.committed, round: raft.round + 1})
	raft.roundRequested = true
}

// startDeferredReads starts the reads that arrived before the leader had
// committed an entry of its term: until then it does not know the group's
// commit index.
func (raft *Raft) startDeferredReads() {
	waiting := raft.deferredReads
	raft.deferredReads = nil
	for _, id := range waiting {
		raft.startRead(id)
	}
}

// answerConfirmedReads answers the reads whose heartbeat round a quorum has
// acknowledged.
func (raft *Raft) answerConfirmedReads() {
	kept := raft.pendingReads[:0]
	for _, read := range raft.pendingReads {
		if read.round > raft.confirmedRound {
			kept = append(kept, read)
			continue
		}
		raft.readStates = append(raft.readStates, ReadState{ID: read.id, Index: read.index})
	}
	raft.pendingReads = kept
}

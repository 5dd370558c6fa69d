package raft

import "time"

// progressState is the mode in which the leader replicates to a follower.
type progressState uint8

const (
	// progressProbe sends one append at a time to find the last index at which
	// the logs match.
	progressProbe progressState = iota
	// progressReplicate sends appends without waiting for replies, up to the
	// limit of in-flight appends.
	progressReplicate
	// progressSnapshot sends a snapshot one chunk at a time.
	progressSnapshot
)

// inflightAppend is an append that the follower has not acknowledged, with the
// heartbeat round in which it was sent.
type inflightAppend struct {
	lastIndex uint64
	round     uint64
}

// Progress is the leader's view of one follower.
type Progress struct {
	// Match is the highest index known to be durable on the follower.
	Match uint64
	// Next is the next index to send.
	Next uint64
	// sentCommit is the highest commit index sent to the follower.
	sentCommit uint64
	state      progressState
	// probing is set while a probe, sent in probeRound, is unanswered.
	probing    bool
	probeRound uint64
	inflight   []inflightAppend
	// acknowledgedRound is the latest heartbeat round that the follower answered.
	acknowledgedRound uint64
	// snapshot is being sent to the follower. snapshotOffset is the offset of the
	// last sent chunk and snapshotRound the round in which it was sent.
	snapshot       *Snapshot
	snapshotOffset uint64
	snapshotRound  uint64
	// trackedSince is when this leader began to send to the follower.
	trackedSince time.Time
	// lastReplyAt is when the follower's latest reply was received.
	lastReplyAt time.Time
}

func (progress *Progress) becomeProbe() {
	progress.state = progressProbe
	progress.probing = false
	progress.inflight = nil
	progress.snapshot = nil
	progress.Next = progress.Match + 1
}

func (progress *Progress) becomeReplicate() {
	progress.state = progressReplicate
	progress.probing = false
	progress.inflight = nil
	progress.snapshot = nil
	progress.Next = progress.Match + 1
}

func (progress *Progress) becomeSnapshot(snapshot *Snapshot, round uint64) {
	progress.state = progressSnapshot
	progress.inflight = nil
	progress.snapshot = snapshot
	progress.snapshotOffset = 0
	progress.snapshotRound = round
}

// acknowledge records that the follower holds the log up to index durably.
// It reports whether Match advanced.
func (progress *Progress) acknowledge(index uint64) bool {
	advanced := index > progress.Match
	progress.Match = max(progress.Match, index)
	progress.Next = max(progress.Next, progress.Match+1)
	kept := progress.inflight[:0]
	for _, message := range progress.inflight {
		if message.lastIndex > index {
			kept = append(kept, message)
		}
	}
	progress.inflight = kept
	return advanced
}

// mayAppend reports whether another append may be sent now.
func (progress *Progress) mayAppend(maxInflight int) bool {
	switch progress.state {
	case progressProbe:
		return !progress.probing
	case progressReplicate:
		return len(progress.inflight) < maxInflight
	default:
		return false
	}
}

// recordAppend records that entries up to lastIndex were sent in round.
func (progress *Progress) recordAppend(lastIndex, round uint64) {
	if progress.state == progressProbe {
		progress.probing = true
		progress.probeRound = round
		return
	}
	progress.inflight = append(progress.inflight, inflightAppend{lastIndex: lastIndex, round: round})
	progress.Next = lastIndex + 1
}

// lossTimeoutRounds is the number of heartbeat rounds after which an
// unanswered message is considered lost: the follower has answered that many
// later rounds.
const lossTimeoutRounds = 2

// detectLoss makes appends that are unanswered after lossTimeoutRounds be sent
// again. answeredRound is the heartbeat round that the follower just answered.
func (progress *Progress) detectLoss(answeredRound uint64) {
	switch progress.state {
	case progressProbe:
		if progress.probing && answeredRound >= progress.probeRound+lossTimeoutRounds {
			progress.probing = false
		}
	case progressReplicate:
		if len(progress.inflight) > 0 && answeredRound >= progress.inflight[0].round+lossTimeoutRounds {
			progress.becomeProbe()
		}
	}
}

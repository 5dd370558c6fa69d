package raft

import "time"

// progressState tells how the leader sends to a follower.
type progressState uint8

const (
	// progressProbe sends one append at a time to find the matching place.
	progressProbe progressState = iota
	// progressReplicate sends optimistically, bounded by in-flight messages.
	progressReplicate
	// progressSnapshot sends a snapshot chunk by chunk.
	progressSnapshot
)

// inflightAppend is one append that the follower has not acknowledged.
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
	// toldCommit is the highest commit index that was sent to it.
	toldCommit uint64
	state      progressState
	// probing tells that a probe is under way since probeRound.
	probing    bool
	probeRound uint64
	inflight   []inflightAppend
	// acknowledgedRound is the latest heartbeat round that it answered.
	acknowledgedRound uint64
	snapshot          *Snapshot
	snapshotOffset    uint64
	snapshotRound     uint64
	// addedAt is when this leader began to send to the follower.
	addedAt time.Time
	// heardAt is when the follower last answered.
	heardAt time.Time
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
// It returns whether that is news.
func (progress *Progress) acknowledge(index uint64) bool {
	news := index > progress.Match
	progress.Match = max(progress.Match, index)
	progress.Next = max(progress.Next, progress.Match+1)
	kept := progress.inflight[:0]
	for _, message := range progress.inflight {
		if message.lastIndex > index {
			kept = append(kept, message)
		}
	}
	progress.inflight = kept
	return news
}

// mayAppend tells whether another append may be sent now.
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

// appended records that entries up to lastIndex were sent in round.
func (progress *Progress) appended(lastIndex, round uint64) {
	if progress.state == progressProbe {
		progress.probing = true
		progress.probeRound = round
		return
	}
	progress.inflight = append(progress.inflight, inflightAppend{lastIndex: lastIndex, round: round})
	progress.Next = lastIndex + 1
}

// lossRounds is the number of heartbeat rounds after which an unanswered
// message counts as lost.
const lossRounds = 2

// checkLoss makes messages that are unanswered for lossRounds count as lost.
func (progress *Progress) checkLoss(answeredRound uint64) {
	switch progress.state {
	case progressProbe:
		if progress.probing && answeredRound >= progress.probeRound+lossRounds {
			progress.probing = false
		}
	case progressReplicate:
		if len(progress.inflight) > 0 && answeredRound >= progress.inflight[0].round+lossRounds {
			progress.becomeProbe()
		}
	}
}

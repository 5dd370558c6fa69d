package raft

import (
	"slices"
	"time"
)

// Propose appends a command to the leader's log and returns its index and term.
func (raft *Raft) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	raft.advanceClock(now)
	if err := raft.checkProposal(); err != nil {
		return 0, 0, err
	}
	return raft.appendEntry(EntryCommand, command), raft.term, nil
}

// checkProposal returns the reason why nothing can be proposed now, or nil.
func (raft *Raft) checkProposal() error {
	switch {
	case raft.role != Leader:
		return ErrNotLeader
	case raft.transferTarget != 0:
		return ErrTransferring
	case raft.log.lastIndex()-raft.log.committed >= uint64(raft.options.MaxUncommitted):
		return ErrTooManyUncommitted
	}
	return nil
}

// appendEntry adds one entry to the leader's log and returns its index.
func (raft *Raft) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{
		Index: raft.log.lastIndex() + 1,
		Term:  raft.term,
		At:    raft.logTime(),
		Kind:  kind,
		Data:  data,
	}
	raft.appendedAt = raft.now
	raft.log.append(entry)
	raft.activateConfiguration(entry)
	raft.appendRequested = true
	return entry.Index
}

// logTime returns the log time of the next entry: the leader's clock, but never before the previous
// entry's time. If the clock was set back, the log time goes on from that entry by the elapsed time, so
// that what expires by it does not wait until the clock has caught up.
func (raft *Raft) logTime() int64 {
	previous := raft.log.lastAt()
	if !raft.appendedAt.IsZero() {
		previous += raft.now.Sub(raft.appendedAt).Nanoseconds()
	}
	return max(raft.now.UnixNano(), previous)
}

// flush sends the requested heartbeat round, appends and commit notices, each
// once for everything that arrived since the last Ready.
func (raft *Raft) flush() {
	if raft.role != Leader {
		return
	}
	if raft.roundRequested {
		raft.roundRequested = false
		raft.startRound()
	}
	if raft.appendRequested {
		raft.appendRequested = false
		raft.appendToAll()
	}
	raft.sendCommitNotices()
}

// sendCommitNotices sends each member the commit index, limited to the entries it
// holds, unless it was sent that index before. The member can then apply entries
// without waiting for the next heartbeat. A heartbeat round for each commit would
// cost twice the messages.
func (raft *Raft) sendCommitNotices() {
	for _, member := range raft.configuration().Members {
		progress := raft.progress[member.ID]
		commit := min(progress.Match, raft.log.committed)
		if member.ID == raft.options.ID || commit <= progress.sentCommit {
			continue
		}
		progress.sentCommit = commit
		raft.send(Message{Kind: MessageCommit, To: member.ID, Commit: commit})
	}
}

// startRound starts a heartbeat round: it sends a heartbeat to every other member.
func (raft *Raft) startRound() {
	raft.round++
	raft.unconfirmedRounds = append(raft.unconfirmedRounds, heartbeatRound{round: raft.round, at: raft.now})
	raft.heartbeatDue = raft.now.Add(raft.options.HeartbeatInterval)
	for _, member := range raft.configuration().Members {
		if member.ID == raft.options.ID {
			continue
		}
		progress := raft.progress[member.ID]
		commit := min(progress.Match, raft.log.committed)
		progress.sentCommit = max(progress.sentCommit, commit)
		raft.send(Message{
			Kind:   MessageHeartbeat,
			To:     member.ID,
			Round:  raft.round,
			Commit: commit,

			LeaderCommit: raft.log.committed,
			ConfirmedAt:  unixNano(raft.confirmedAt),
		})
	}
	raft.confirmRounds()
}

// unixNano returns at in nanoseconds since 1970, or zero for the zero time.
func unixNano(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func (raft *Raft) appendToAll() {
	for _, member := range raft.configuration().Members {
		if member.ID != raft.options.ID {
			raft.appendTo(member.ID)
		}
	}
}

// appendTo sends as many appends as the follower's progress allows.
func (raft *Raft) appendTo(id MemberID) {
	progress := raft.progress[id]
	if progress == nil {
		return
	}
	for progress.mayAppend(raft.options.MaxInflight) && raft.needsAppend(progress) {
		if !raft.sendAppend(id, progress) {
			return
		}
	}
}

// needsAppend reports whether there is something to send: new entries, or a
// probe for a follower whose log is not known to match yet.
func (raft *Raft) needsAppend(progress *Progress) bool {
	if progress.Next <= raft.log.lastIndex() {
		return true
	}
	return progress.state == progressProbe && progress.Match < raft.log.lastIndex()
}

// sendAppend sends one batch of entries. If the term of the entry before them is
// no longer known because the log was compacted, it starts a snapshot transfer
// instead. It reports whether entries were sent.
func (raft *Raft) sendAppend(id MemberID, progress *Progress) bool {
	previous := progress.Next - 1
	previousTerm, known := raft.log.term(previous)
	if !known || (previousTerm == 0 && previous > 0) {
		raft.startSnapshotTransfer(id, progress)
		return false
	}
	entries := raft.log.batch(progress.Next, raft.options.MaxBatchEntries, raft.options.MaxBatchBytes)
	raft.send(Message{
		Kind:     MessageAppend,
		To:       id,
		LogIndex: previous,
		LogTerm:  previousTerm,
		Entries:  entries,
		Commit:   raft.log.committed,
	})
	last := previous + uint64(len(entries))
	progress.sentCommit = max(progress.sentCommit, min(last, raft.log.committed))
	progress.recordAppend(last, raft.round)
	return true
}

func (raft *Raft) handleFollowerReply(message Message) {
	progress := raft.progress[message.From]
	if raft.role != Leader || progress == nil {
		return
	}
	progress.lastReplyAt = raft.now
	switch message.Kind {
	case MessageAppendReply:
		raft.handleAppendReply(message, progress)
	case MessageHeartbeatReply:
		raft.handleHeartbeatReply(message, progress)
	case MessageSnapshotReply:
		raft.handleSnapshotReply(message, progress)
	}
}

func (raft *Raft) handleAppendReply(message Message, progress *Progress) {
	if message.Reject {
		raft.handleAppendRejection(message, progress)
		return
	}
	if message.LogIndex > raft.log.lastIndex() {
		return
	}
	progress.acknowledge(message.LogIndex)
	caughtUpBySnapshot := progress.state == progressSnapshot && message.LogIndex >= progress.snapshot.Index
	if progress.state == progressProbe || caughtUpBySnapshot {
		progress.becomeReplicate()
	}
	raft.advanceCommit()
	raft.appendTo(message.From)
	raft.continueTransfer()
}

// handleAppendRejection moves the probe back, skipping the indexes that the
// follower's hint rules out.
func (raft *Raft) handleAppendRejection(message Message, progress *Progress) {
	if progress.state == progressSnapshot || message.LogIndex <= progress.Match {
		return
	}
	if progress.state == progressProbe && message.LogIndex != progress.Next-1 {
		return
	}
	hint, _ := raft.log.conflictHint(message.HintIndex, message.HintTerm)
	if message.HintIndex < raft.log.base {
		hint = message.HintIndex
	}
	progress.becomeProbe()
	progress.Next = max(progress.Match, min(hint, message.LogIndex-1)) + 1
	raft.appendTo(message.From)
}

func (raft *Raft) handleHeartbeatReply(message Message, progress *Progress) {
	if message.Round > raft.round {
		return
	}
	progress.acknowledgedRound = max(progress.acknowledgedRound, message.Round)
	raft.confirmRounds()
	progress.detectLoss(message.Round)
	raft.resendSnapshotChunk(message.From, progress, message.Round)
	raft.appendTo(message.From)
}

// advanceCommit commits the entries that a quorum of voters holds durably.
// Entries of earlier terms are committed only together with a later one of the
// leader's own term. A leader that committed the loss of its own vote steps down.
func (raft *Raft) advanceCommit() {
	index := raft.quorumValue(func(progress *Progress) uint64 { return progress.Match })
	if index <= raft.log.committed {
		return
	}
	if term, _ := raft.log.term(index); term != raft.term {
		return
	}
	raft.commitTo(index)
	raft.startDeferredReads()
	if !raft.configuration().IsVoter(raft.options.ID) && !raft.committedConfiguration().IsVoter(raft.options.ID) {
		raft.becomeFollower(raft.term, 0)
	}
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (raft *Raft) quorumValue(value func(*Progress) uint64) uint64 {
	var values []uint64
	for _, member := range raft.configuration().Members {
		if !member.Learner {
			values = append(values, value(raft.progress[member.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-raft.configuration().Quorum()]
}

// confirmRounds finds the latest heartbeat round that a quorum answered. The
// time at which that round was sent is the time of the latest confirmation of
// leadership.
func (raft *Raft) confirmRounds() {
	if self := raft.progress[raft.options.ID]; self != nil {
		self.acknowledgedRound = raft.round
	}
	round := raft.quorumValue(func(progress *Progress) uint64 { return progress.acknowledgedRound })
	if round <= raft.confirmedRound {
		return
	}
	raft.confirmedRound = round
	for len(raft.unconfirmedRounds) > 0 && raft.unconfirmedRounds[0].round <= round {
		raft.confirmedAt = raft.unconfirmedRounds[0].at
		raft.unconfirmedRounds = raft.unconfirmedRounds[1:]
	}
	raft.answerConfirmedReads()
}

// syncProgress makes the progress table match the configuration in effect.
func (raft *Raft) syncProgress() {
	configuration := raft.configuration()
	for id := range raft.progress {
		if _, present := configuration.Find(id); !present {
			delete(raft.progress, id)
		}
	}
	for _, member := range configuration.Members {
		if raft.progress[member.ID] != nil {
			continue
		}
		progress := &Progress{Next: raft.log.lastIndex() + 1, trackedSince: raft.now}
		if member.ID == raft.options.ID {
			progress.Match = raft.log.stable
			progress.acknowledgedRound = raft.round
		}
		raft.progress[member.ID] = progress
	}
}

package raft

import (
	"slices"
	"time"
)

// Propose appends a command to the leader's log and returns its place.
func (raft *Raft) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	raft.observe(now)
	if err := raft.mayPropose(); err != nil {
		return 0, 0, err
	}
	return raft.appendEntry(EntryCommand, command), raft.term, nil
}

func (raft *Raft) mayPropose() error {
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

// appendEntry adds one entry to the leader's log. The log's own time is the
// leader's clock, but never behind the previous entry.
func (raft *Raft) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{
		Index: raft.log.lastIndex() + 1,
		Term:  raft.term,
		At:    max(raft.now.UnixNano(), raft.log.lastAt()),
		Kind:  kind,
		Data:  data,
	}
	raft.log.append(entry)
	raft.noteConfiguration(entry)
	raft.appendWanted = true
	return entry.Index
}

// flush turns wanted rounds and appends into messages, once for everything
// that came since the last Ready.
func (raft *Raft) flush() {
	if raft.role != Leader {
		return
	}
	if raft.roundWanted {
		raft.roundWanted = false
		raft.startRound()
	}
	if raft.appendWanted {
		raft.appendWanted = false
		raft.appendToAll()
	}
	raft.tellCommit()
}

// tellCommit sends the commit index to members that hold it and have not been
// sent it, so that they apply without waiting for the next heartbeat. A whole
// round for each commit would cost twice the messages.
func (raft *Raft) tellCommit() {
	for _, member := range raft.configuration().Members {
		progress := raft.progress[member.ID]
		commit := min(progress.Match, raft.log.committed)
		if member.ID == raft.options.ID || commit <= progress.toldCommit {
			continue
		}
		progress.toldCommit = commit
		raft.send(Message{Kind: MessageCommit, To: member.ID, Commit: commit})
	}
}

// startRound sends one heartbeat to every member.
func (raft *Raft) startRound() {
	raft.round++
	raft.sentRounds = append(raft.sentRounds, sentRound{round: raft.round, at: raft.now})
	raft.heartbeatDue = raft.now.Add(raft.options.HeartbeatInterval)
	for _, member := range raft.configuration().Members {
		if member.ID == raft.options.ID {
			continue
		}
		progress := raft.progress[member.ID]
		commit := min(progress.Match, raft.log.committed)
		progress.toldCommit = max(progress.toldCommit, commit)
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

// appendTo sends what the follower's progress allows.
func (raft *Raft) appendTo(id MemberID) {
	progress := raft.progress[id]
	if progress == nil {
		return
	}
	for progress.mayAppend(raft.options.MaxInflight) && raft.hasNews(progress) {
		if !raft.sendAppend(id, progress) {
			return
		}
	}
}

// hasNews tells whether there is something to send: new entries, or a probe
// for a follower whose log is not known to match yet.
func (raft *Raft) hasNews(progress *Progress) bool {
	if progress.Next <= raft.log.lastIndex() {
		return true
	}
	return progress.state == progressProbe && progress.Match < raft.log.lastIndex()
}

// sendAppend sends one batch; when the log no longer reaches back far enough
// it starts a snapshot transfer and returns false.
func (raft *Raft) sendAppend(id MemberID, progress *Progress) bool {
	previous := progress.Next - 1
	previousTerm, known := raft.log.term(previous)
	if !known || (previousTerm == 0 && previous > 0) {
		raft.startSnapshot(id, progress)
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
	progress.toldCommit = max(progress.toldCommit, min(last, raft.log.committed))
	progress.appended(last, raft.round)
	return true
}

func (raft *Raft) handleFollowerReply(message Message) {
	progress := raft.progress[message.From]
	if raft.role != Leader || progress == nil {
		return
	}
	progress.heardAt = raft.now
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
		raft.handleRejection(message, progress)
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

// handleRejection moves the probe back, skipping places that the follower's
// hint rules out.
func (raft *Raft) handleRejection(message Message, progress *Progress) {
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
	progress.checkLoss(message.Round)
	raft.resendSnapshotChunk(message.From, progress, message.Round)
	raft.appendTo(message.From)
}

// advanceCommit commits what a quorum of voters holds durably. Entries of
// earlier terms are committed only below one of the leader's own term.
func (raft *Raft) advanceCommit() {
	index := raft.quorumValue(func(progress *Progress) uint64 { return progress.Match })
	if index <= raft.log.committed {
		return
	}
	if term, _ := raft.log.term(index); term != raft.term {
		return
	}
	raft.commitTo(index)
	raft.releaseWaitingReads()
	if !raft.configuration().IsVoter(raft.options.ID) && raft.committedConfiguration().Removed(raft.options.ID) {
		raft.becomeFollower(raft.term, 0)
	}
}

// quorumValue returns the highest value that a quorum of voters reached.
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

// confirmRounds finds the latest round that a quorum answered, and with it the
// time at which leadership was last confirmed: when that round began.
func (raft *Raft) confirmRounds() {
	if self := raft.progress[raft.options.ID]; self != nil {
		self.acknowledgedRound = raft.round
	}
	round := raft.quorumValue(func(progress *Progress) uint64 { return progress.acknowledgedRound })
	if round <= raft.confirmedRound {
		return
	}
	raft.confirmedRound = round
	for len(raft.sentRounds) > 0 && raft.sentRounds[0].round <= round {
		raft.confirmedAt = raft.sentRounds[0].at
		raft.sentRounds = raft.sentRounds[1:]
	}
	raft.releaseConfirmedReads()
}

// syncProgress makes the progress table match the configuration.
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
		progress := &Progress{Next: raft.log.lastIndex() + 1, addedAt: raft.now}
		if member.ID == raft.options.ID {
			progress.Match = raft.log.stable
			progress.acknowledgedRound = raft.round
		}
		raft.progress[member.ID] = progress
	}
}

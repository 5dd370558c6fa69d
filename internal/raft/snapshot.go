package raft

import "bytes"

// incomingSnapshot collects the chunks of a snapshot that a follower receives.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  bytes.Buffer
}

func (raft *Raft) startSnapshotTransfer(id MemberID, progress *Progress) {
	if raft.snapshot.Index == 0 {
		return
	}
	snapshot := raft.snapshot
	progress.becomeSnapshot(&snapshot, raft.round)
	raft.sendSnapshotChunk(id, progress)
}

func (raft *Raft) sendSnapshotChunk(id MemberID, progress *Progress) {
	data := progress.snapshot.Data
	start := min(progress.snapshotOffset, uint64(len(data)))
	end := min(start+uint64(raft.options.ChunkBytes), uint64(len(data)))
	progress.snapshotRound = raft.round
	raft.send(Message{
		Kind: MessageSnapshot,
		To:   id,
		Chunk: &SnapshotChunk{
			Meta:   progress.snapshot.SnapshotMeta,
			Offset: start,
			Total:  uint64(len(data)),
			Data:   data[start:end],
		},
	})
}

// resendSnapshotChunk sends a chunk again that was not answered within
// lossTimeoutRounds.
func (raft *Raft) resendSnapshotChunk(id MemberID, progress *Progress, answeredRound uint64) {
	if progress.state == progressSnapshot && answeredRound >= progress.snapshotRound+lossTimeoutRounds {
		raft.sendSnapshotChunk(id, progress)
	}
}

func (raft *Raft) handleSnapshotReply(message Message, progress *Progress) {
	if progress.state != progressSnapshot || message.LogIndex != progress.snapshot.Index {
		return
	}
	if message.Offset == progress.snapshotOffset {
		return
	}
	progress.snapshotOffset = message.Offset
	raft.sendSnapshotChunk(message.From, progress)
}

// handleSnapshot collects a chunk and installs the snapshot once it is complete.
// Until then it replies with the next missing offset, whether or not the chunk
// arrived in order. A snapshot that this member has already committed is
// acknowledged without being installed.
func (raft *Raft) handleSnapshot(message Message) {
	chunk := message.Chunk
	if chunk == nil {
		return
	}
	meta := chunk.Meta
	if meta.Index <= raft.log.committed {
		raft.acknowledgeAppend(message.From, raft.log.committed)
		return
	}
	incoming := &raft.incoming
	if incoming.index != meta.Index || incoming.term != meta.Term {
		raft.incoming = incomingSnapshot{index: meta.Index, term: meta.Term}
	}
	if chunk.Offset == uint64(incoming.data.Len()) {
		incoming.data.Write(chunk.Data)
	}
	if uint64(incoming.data.Len()) < chunk.Total {
		raft.send(Message{
			Kind:     MessageSnapshotReply,
			To:       message.From,
			LogIndex: meta.Index,
			Offset:   uint64(incoming.data.Len()),
		})
		return
	}
	raft.installSnapshot(Snapshot{SnapshotMeta: meta, Data: incoming.data.Bytes()})
	raft.incoming = incomingSnapshot{}
	raft.acknowledgeAppend(message.From, raft.log.committed)
}

// installSnapshot replaces the log with a snapshot. If the log already holds the
// snapshot's last entry, it only commits up to that entry and keeps the log,
// since the leader may have counted later entries as acknowledged.
func (raft *Raft) installSnapshot(snapshot Snapshot) {
	if raft.log.matches(snapshot.Index, snapshot.Term) {
		raft.commitTo(snapshot.Index)
		return
	}
	raft.log.restore(snapshot.SnapshotMeta)
	raft.configurations = []loggedConfiguration{{
		index:         snapshot.Index,
		configuration: snapshot.Configuration.Clone(),
	}}
	raft.snapshot = snapshot
	raft.installedSnapshot = &snapshot
}

// Compact records that a snapshot is durable and removes the log entries up to
// keepAfter, which is at most the snapshot's index, from memory.
func (raft *Raft) Compact(snapshot Snapshot, keepAfter uint64) {
	if snapshot.Index <= raft.snapshot.Index {
		return
	}
	raft.snapshot = snapshot
	raft.log.compact(min(keepAfter, snapshot.Index))
}

// AppliedSnapshotMeta returns the metadata of a snapshot of the applied state,
// whose log time is at.
func (raft *Raft) AppliedSnapshotMeta(at int64) SnapshotMeta {
	applied := raft.log.applied
	term, _ := raft.log.term(applied)
	return SnapshotMeta{
		Index:         applied,
		Term:          term,
		At:            at,
		Configuration: raft.configurationAsOf(applied).Clone(),
	}
}

// configurationAsOf returns the latest configuration at or below index. The
// index must be applied and at or after the entry of the committed
// configuration.
func (raft *Raft) configurationAsOf(index uint64) Configuration {
	found := raft.configurations[0].configuration
	for _, candidate := range raft.configurations {
		if candidate.index <= index {
			found = candidate.configuration
		}
	}
	return found
}

package raft

import "merlinpaddle/internal/protocol"

// MessageKind is the type of a request or reply.
type MessageKind uint8

// The kinds of messages.
const (
	// MessagePreVote asks whether the receiver would vote for the sender, without
	// starting an election. Term is the term that the election would have.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	// MessageVote asks for a vote in Term.
	MessageVote
	MessageVoteReply
	// MessageAppend replicates entries after the entry (LogIndex, LogTerm).
	MessageAppend
	// MessageAppendReply acknowledges the log up to LogIndex, or rejects an append.
	MessageAppendReply
	// MessageHeartbeat maintains leadership and carries the number of its
	// heartbeat round.
	MessageHeartbeat
	MessageHeartbeatReply
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply requests the chunk at Offset.
	MessageSnapshotReply
	// MessageTimeoutNow makes the receiver start an election immediately.
	MessageTimeoutNow
	// MessageCommit carries a new commit index. It has no reply; if it is lost,
	// the next heartbeat or append carries the index.
	MessageCommit
)

// Message is sent from one member's core to another's.
type Message struct {
	Kind  MessageKind
	Group uint64
	From  MemberID
	To    MemberID
	Term  uint64
	// LogIndex and LogTerm identify the entry before those of an append or the
	// last entry of a candidate's log. In replies LogIndex is the acknowledged or
	// rejected index.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64
	Reject   bool
	// HintIndex and HintTerm identify, in a rejected append, the last entry of
	// the follower's log that may match the leader's.
	HintIndex uint64
	HintTerm  uint64
	// Round is the number of the leader's heartbeat round.
	Round uint64
	// LeaderCommit is the leader's commit index in a heartbeat. Commit is limited
	// to what the receiver acknowledged, so it may be lower.
	LeaderCommit uint64
	// ConfirmedAt is when a quorum last confirmed the leader, in nanoseconds
	// since 1970 on the leader's clock.
	ConfirmedAt int64
	// Transfer marks the election of a planned leadership transfer. Such a vote
	// request is considered even while the current leader is alive.
	Transfer bool
	// Chunk is set in snapshot messages; Offset in their replies.
	Chunk  *SnapshotChunk
	Offset uint64
}

// SnapshotChunk is one piece of a snapshot's data.
type SnapshotChunk struct {
	Meta   SnapshotMeta
	Offset uint64
	Total  uint64
	Data   []byte
}

func init() { protocol.RegisterAs("m", Message{}) }

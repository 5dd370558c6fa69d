package raft

import "merlinpaddle/internal/protocol"

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	// MessagePreVote asks whether an election could be won, without starting
	// one. Term is the term that the sender would use.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	// MessageVote asks for a vote in Term.
	MessageVote
	MessageVoteReply
	// MessageAppend replicates entries after the entry (LogIndex, LogTerm).
	MessageAppend
	// MessageAppendReply acknowledges the log up to LogIndex, or rejects.
	MessageAppendReply
	// MessageHeartbeat keeps leadership and carries a round number.
	MessageHeartbeat
	MessageHeartbeatReply
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply tells which offset the receiver wants next.
	MessageSnapshotReply
	// MessageTimeoutNow makes the receiver start an election at once.
	MessageTimeoutNow
	// MessageCommit tells a new commit index. It is not answered; when it is
	// lost, the next heartbeat or append tells the same.
	MessageCommit
)

// Message travels between the cores of two members.
type Message struct {
	Kind  MessageKind
	Group uint64
	From  MemberID
	To    MemberID
	Term  uint64
	// LogIndex and LogTerm are the previous entry of an append, the last
	// entry of a candidate, or the acknowledged or rejected place.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64
	Reject   bool
	// HintIndex and HintTerm tell, in a rejected append, where the
	// follower's log may match.
	HintIndex uint64
	HintTerm  uint64
	// Round is the number of the leader's heartbeat round.
	Round uint64
	// LeaderCommit is the leader's own commit index in a heartbeat. Commit is
	// limited to what the receiver acknowledged, so it may be lower.
	LeaderCommit uint64
	// ConfirmedAt is when a quorum last confirmed the leader, in nanoseconds
	// since 1970 on the leader's clock.
	ConfirmedAt int64
	// Transfer marks the election of a planned leadership transfer; it may
	// break the stickiness of the present leader.
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

package mutant

import (
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

// changeConsensus applies change to each Raft message between members.
func changeConsensus(parts *world.Parts, change func(envelope protocol.Envelope, message raft.Message) raft.Message) {
	parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
		if message, isConsensus := envelope.Message.(raft.Message); isConsensus {
			envelope.Message = change(envelope, message)
		}
		return []protocol.Envelope{envelope}
	}
}

func voteGivenTwice() Mutant {
	return Mutant{
		Name:   "vote-given-twice",
		Breaks: "a member votes for every candidate of a term",
		// The Raft core panics when it receives a message of another leader of its term.
		Expect:   []checker.Invariant{checker.InvariantOneLeader, checker.InvariantNoPanic},
		Scenario: slowElections(),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			changeConsensus(parts, func(_ protocol.Envelope, message raft.Message) raft.Message {
				if message.Kind == raft.MessageVoteReply {
					message.Reject = false
				}
				return message
			})
		},
	}
}

func appendAcknowledgedUnstored() Mutant {
	return Mutant{
		Name:     "append-unstored",
		Breaks:   "a follower acknowledges all entries that were sent to it, stored or not",
		Expect:   []checker.Invariant{checker.InvariantCommittedKept, checker.InvariantLinearizable, checker.InvariantProgress},
		Scenario: namedScenario("leader-loss"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			sent := make(map[model.NodeName]uint64)
			changeConsensus(parts, func(envelope protocol.Envelope, message raft.Message) raft.Message {
				switch message.Kind {
				case raft.MessageAppend:
					sent[envelope.To] = message.LogIndex + uint64(len(message.Entries))
				case raft.MessageAppendReply:
					message.Reject = false
					message.LogIndex = max(message.LogIndex, sent[envelope.From])
				}
				return message
			})
		},
	}
}

// lastFoundingMember is the highest ID of the initial members of the group. Members that were added
// later have higher IDs.
const lastFoundingMember raft.MemberID = 3

func learnerPromotedEarly() Mutant {
	return Mutant{
		Name:     "learner-promoted-early",
		Breaks:   "a new member is promoted before it has the log",
		Expect:   []checker.Invariant{checker.InvariantCommittedKept, checker.InvariantLinearizable, checker.InvariantProgress},
		Scenario: namedScenario("lost-disk"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			var committed uint64
			changeConsensus(parts, func(_ protocol.Envelope, message raft.Message) raft.Message {
				committed = max(committed, message.Commit)
				if message.Kind == raft.MessageAppendReply && message.From > lastFoundingMember {
					message.Reject = false
					message.LogIndex = max(message.LogIndex, committed)
				}
				return message
			})
		},
	}
}

func memberBackUnderOldID() Mutant {
	return Mutant{
		Name:     "member-back-under-old-id",
		Breaks:   "a member that lost its disk rejoins under its old ID and votes again",
		Expect:   []checker.Invariant{checker.InvariantCommittedKept, checker.InvariantLinearizable},
		Scenario: disksLostUnnoticed(),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			accepted := make(map[model.NodeName]replica.JoinReply)
			parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
				if reply, isReply := envelope.Message.(replica.JoinReply); isReply {
					envelope.Message = previousJoinReply(accepted, envelope.To, reply)
				}
				return []protocol.Envelope{envelope}
			}
		},
	}
}

// previousJoinReply records the replies that accept a member, and replaces a later rejection of the
// same member by the recorded reply with the rejection's Disk.
func previousJoinReply(accepted map[model.NodeName]replica.JoinReply, member model.NodeName, reply replica.JoinReply) replica.JoinReply {
	if reply.Accepted {
		accepted[member] = reply
		return reply
	}
	previous, known := accepted[member]
	if !known {
		return reply
	}
	previous.Disk = reply.Disk
	return previous
}

func readNotConfirmed() Mutant {
	return Mutant{
		Name:     "read-not-confirmed",
		Breaks:   "a member answers reads without confirming that it is still the leader",
		Expect:   []checker.Invariant{checker.InvariantLinearizable},
		Scenario: namedScenario("clock-skew"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.ReadConfirmation = func(world.ReadConfirmer) world.ReadConfirmer { return confirmsAll{} }
		},
	}
}

// confirmsAll confirms every read at once.
type confirmsAll struct{}

// ReadBarrier implements world.ReadConfirmer.
func (confirmsAll) ReadBarrier(done func(err error)) { done(nil) }

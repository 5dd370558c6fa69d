package raft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

const (
	testGroup             = 9
	testElectionTimeout   = 100 * time.Millisecond
	testHeartbeatInterval = 20 * time.Millisecond
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func configurationWithVoters(ids ...MemberID) Configuration {
	var configuration Configuration
	for _, id := range ids {
		configuration.Members = append(configuration.Members, Member{ID: id, Name: model.NodeName(rune('a' + id)), Disk: uint64(id)})
		configuration.NextID = id + 1
	}
	return configuration
}

func entriesWithTerms(terms ...uint64) []Entry {
	var entries []Entry
	for position, term := range terms {
		entries = append(entries, Entry{Index: uint64(position + 1), Term: term, At: int64(position)})
	}
	return entries
}

// newMember returns member 1 of three with the given log.
func newMember(term uint64, terms ...uint64) *Raft {
	return New(Options{
		ID:                1,
		Group:             testGroup,
		ElectionTimeout:   testElectionTimeout,
		HeartbeatInterval: testHeartbeatInterval,
		Seed:              1,
	}, State{
		HardState: HardState{Term: term},
		Snapshot:  Snapshot{SnapshotMeta: SnapshotMeta{Configuration: configurationWithVoters(1, 2, 3)}},
		Entries:   entriesWithTerms(terms...),
	})
}

// drainReady processes the member's work until there is none and returns its messages.
func drainReady(raft *Raft) []Message {
	var messages []Message
	for {
		ready := raft.Ready()
		if ready.Empty() {
			return messages
		}
		messages = append(messages, ready.Messages...)
		raft.Advance(ready)
	}
}

// step delivers a message to member 1 and returns the messages it sends.
func step(raft *Raft, message Message) []Message {
	message.To = 1
	message.Group = testGroup
	raft.Step(testStart, message)
	return drainReady(raft)
}

// electLeader makes the member leader of the next term with member 2's votes.
func electLeader(t *testing.T, raft *Raft) {
	t.Helper()
	raft.Tick(testStart)
	raft.Tick(testStart.Add(2 * testElectionTimeout))
	drainReady(raft)
	step(raft, Message{Kind: MessagePreVoteReply, From: 2, Term: raft.Term() + 1})
	step(raft, Message{Kind: MessageVoteReply, From: 2, Term: raft.Term()})
	require.Equal(t, Leader, raft.Role())
}

func TestVotes(t *testing.T) {
	cases := []struct {
		name     string
		votedFor MemberID
		message  Message
		granted  bool
	}{
		{"equal log", 0, Message{Term: 3, LogIndex: 3, LogTerm: 2}, true},
		{"longer log", 0, Message{Term: 3, LogIndex: 4, LogTerm: 2}, true},
		{"later last term, shorter log", 0, Message{Term: 3, LogIndex: 1, LogTerm: 3}, true},
		{"shorter log", 0, Message{Term: 3, LogIndex: 2, LogTerm: 2}, false},
		{"earlier last term, longer log", 0, Message{Term: 3, LogIndex: 9, LogTerm: 1}, false},
		{"voted for another in this term", 3, Message{Term: 2, LogIndex: 9, LogTerm: 2}, false},
		{"voted for the same in this term", 2, Message{Term: 2, LogIndex: 9, LogTerm: 2}, true},
	}
	for _, vote := range cases {
		t.Run(vote.name, func(t *testing.T) {
			raft := newMember(2, 1, 1, 2)
			raft.vote = vote.votedFor
			message := vote.message
			message.Kind = MessageVote
			message.From = 2
			replies := step(raft, message)
			require.Len(t, replies, 1)
			require.Equal(t, MessageVoteReply, replies[0].Kind)
			require.Equal(t, !vote.granted, replies[0].Reject)
		})
	}
}

// TestVoteIsDurableBeforeItIsSent checks that the Ready that contains the vote
// reply also contains the vote in its hard state. Without it, a member could
// vote twice in one term after a crash.
func TestVoteIsDurableBeforeItIsSent(t *testing.T) {
	raft := newMember(2, 1, 1, 2)
	raft.Step(testStart, Message{Kind: MessageVote, From: 2, To: 1, Group: testGroup, Term: 3, LogIndex: 3, LogTerm: 2})
	ready := raft.Ready()
	require.Len(t, ready.Messages, 1)
	require.NotNil(t, ready.HardState)
	require.Equal(t, HardState{Term: 3, Vote: 2}, *ready.HardState)
}

// TestPreVoteChangesNothing checks that replying to pre-votes changes neither
// term nor vote.
func TestPreVoteChangesNothing(t *testing.T) {
	cases := []struct {
		name    string
		leader  MemberID
		message Message
		granted bool
	}{
		{"no leader", 0, Message{Term: 3, LogIndex: 3, LogTerm: 2}, true},
		{"leader alive", 3, Message{Term: 3, LogIndex: 3, LogTerm: 2}, false},
		{"log behind", 0, Message{Term: 3, LogIndex: 2, LogTerm: 2}, false},
		{"term not higher", 0, Message{Term: 2, LogIndex: 3, LogTerm: 2}, false},
	}
	for _, vote := range cases {
		t.Run(vote.name, func(t *testing.T) {
			raft := newMember(2, 1, 1, 2)
			if vote.leader != 0 {
				step(raft, Message{Kind: MessageHeartbeat, From: vote.leader, Term: 2})
			}
			message := vote.message
			message.Kind = MessagePreVote
			message.From = 2
			replies := step(raft, message)
			require.Len(t, replies, 1)
			require.Equal(t, !vote.granted, replies[0].Reject)
			require.Equal(t, uint64(2), raft.Term())
			require.Zero(t, raft.vote)
		})
	}
}

// TestVoteIsIgnoredWhileTheLeaderIsAlive checks that a vote request cannot
// depose a working leader unless it belongs to a planned transfer.
func TestVoteIsIgnoredWhileTheLeaderIsAlive(t *testing.T) {
	raft := newMember(2, 1, 1, 2)
	step(raft, Message{Kind: MessageHeartbeat, From: 3, Term: 2})
	require.Empty(t, step(raft, Message{Kind: MessageVote, From: 2, Term: 7, LogIndex: 9, LogTerm: 2}))
	require.Equal(t, uint64(2), raft.Term())
	replies := step(raft, Message{Kind: MessageVote, From: 2, Term: 7, LogIndex: 9, LogTerm: 2, Transfer: true})
	require.Len(t, replies, 1)
	require.False(t, replies[0].Reject)
}

func TestAppends(t *testing.T) {
	cases := []struct {
		name      string
		message   Message
		reject    bool
		index     uint64
		hint      uint64
		terms     []uint64
		committed uint64
	}{
		{"continues the log", Message{LogIndex: 4, LogTerm: 2, Entries: []Entry{{Index: 5, Term: 3}}, Commit: 5}, false, 5, 0, []uint64{1, 1, 2, 2, 3}, 5},
		{"replaces a conflicting end", Message{LogIndex: 2, LogTerm: 1, Entries: []Entry{{Index: 3, Term: 3}}, Commit: 3}, false, 3, 0, []uint64{1, 1, 3}, 3},
		{"keeps the end when entries are known", Message{LogIndex: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}}, false, 2, 0, []uint64{1, 1, 2, 2}, 0},
		{"commits only up to the matched index", Message{LogIndex: 2, LogTerm: 1, Commit: 4}, false, 2, 0, []uint64{1, 1, 2, 2}, 2},
		{"a gap", Message{LogIndex: 9, LogTerm: 3}, true, 9, 4, []uint64{1, 1, 2, 2}, 0},
		{"another term at the index", Message{LogIndex: 4, LogTerm: 1}, true, 4, 2, []uint64{1, 1, 2, 2}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			raft := newMember(3, 1, 1, 2, 2)
			message := test.message
			message.Kind = MessageAppend
			message.From = 2
			message.Term = 3
			replies := step(raft, message)
			require.Len(t, replies, 1)
			require.Equal(t, test.reject, replies[0].Reject)
			require.Equal(t, test.index, replies[0].LogIndex)
			require.Equal(t, test.hint, replies[0].HintIndex)
			require.Equal(t, test.committed, raft.log.committed)
			var terms []uint64
			for _, entry := range raft.log.entries {
				terms = append(terms, entry.Term)
			}
			require.Equal(t, test.terms, terms)
		})
	}
}

// TestAcknowledgedEntriesAreInTheSameReady guards against an entry being
// acknowledged before it is durable.
func TestAcknowledgedEntriesAreInTheSameReady(t *testing.T) {
	raft := newMember(3, 1)
	raft.Step(testStart, Message{Kind: MessageAppend, From: 2, To: 1, Group: testGroup, Term: 3, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}})
	ready := raft.Ready()
	require.Len(t, ready.Entries, 1)
	require.Len(t, ready.Messages, 1)
	require.Equal(t, uint64(2), ready.Messages[0].LogIndex)
}

// TestLeaderCountsItselfOnlyOnceDurable checks in a group of one that a leader
// commits its own entry only after Advance, when the entry is durable.
func TestLeaderCountsItselfOnlyOnceDurable(t *testing.T) {
	raft := New(Options{ID: 1, Group: testGroup, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval},
		State{Snapshot: Snapshot{SnapshotMeta: SnapshotMeta{Configuration: configurationWithVoters(1)}}})
	raft.Tick(testStart)
	raft.Tick(testStart.Add(2 * testElectionTimeout))
	drainReady(raft)
	require.Equal(t, Leader, raft.Role())
	index, _, err := raft.Propose(testStart, []byte("x"))
	require.NoError(t, err)
	ready := raft.Ready()
	require.Empty(t, ready.Committed)
	require.Less(t, raft.log.committed, index)
	raft.Advance(ready)
	require.Equal(t, index, raft.log.committed)
}

// TestEntriesOfEarlierTermsAreNotCommittedByCounting tests the case in figure 8
// of the Raft paper: an entry of an earlier term that a quorum holds may still
// be replaced.
func TestEntriesOfEarlierTermsAreNotCommittedByCounting(t *testing.T) {
	raft := newMember(3, 1, 2)
	electLeader(t, raft)
	step(raft, Message{Kind: MessageAppendReply, From: 2, Term: 4, LogIndex: 2})
	require.Zero(t, raft.log.committed)
	step(raft, Message{Kind: MessageAppendReply, From: 2, Term: 4, LogIndex: 3})
	require.Equal(t, uint64(3), raft.log.committed)
}

// TestLogTimeNeverGoesBack elects a leader whose clock is behind the log time.
// TestLogTimeGoesOnWhileTheClockIsBehind guards against what expires by the log's time and does not, because
// the leader's clock is behind the log: it was set back, or that of an earlier leader was ahead.
func TestLogTimeGoesOnWhileTheClockIsBehind(t *testing.T) {
	raft := newMember(1, 1)
	ahead := testStart.Add(time.Hour)
	raft.log.entries[0].At = ahead.UnixNano()
	electLeader(t, raft)
	elected := raft.now
	for _, elapsed := range []time.Duration{time.Second, 3 * time.Second} {
		_, _, err := raft.Propose(elected.Add(elapsed), []byte("x"))
		require.NoError(t, err)
		require.Equal(t, ahead.Add(elapsed).UnixNano(), raft.log.lastAt())
	}
}

func TestLogTimeNeverGoesBack(t *testing.T) {
	raft := newMember(1, 1)
	ahead := testStart.Add(time.Hour).UnixNano()
	raft.log.entries[0].At = ahead
	electLeader(t, raft)
	_, _, err := raft.Propose(testStart, []byte("x"))
	require.NoError(t, err)
	for _, entry := range raft.log.entries {
		require.Equal(t, ahead, entry.At)
	}
}

// TestUnrelatedMessagesAreIgnored checks that messages from other groups, to
// other members or from removed members have no effect.
func TestUnrelatedMessagesAreIgnored(t *testing.T) {
	vote := Message{Kind: MessageVote, From: 2, To: 1, Group: testGroup, Term: 3, LogIndex: 3, LogTerm: 2}
	cases := []struct {
		name   string
		change func(*Message)
	}{
		{"another group", func(message *Message) { message.Group++ }},
		{"another member", func(message *Message) { message.To = 3 }},
		{"a removed member", func(message *Message) { message.From = 4 }},
	}
	for _, ignored := range cases {
		t.Run(ignored.name, func(t *testing.T) {
			raft := newMember(2, 1, 1, 2)
			raft.configurations[0].configuration.NextID = 5
			message := vote
			ignored.change(&message)
			raft.Step(testStart, message)
			require.Empty(t, drainReady(raft))
			require.Equal(t, uint64(2), raft.Term())
		})
	}
}

// TestLostEntriesAreDetected sends a commit index beyond the end of the log.
// Since a leader sends no more than the member acknowledged, the log has lost
// entries.
func TestLostEntriesAreDetected(t *testing.T) {
	raft := newMember(2, 1, 1, 2)
	step(raft, Message{Kind: MessageHeartbeat, From: 2, Term: 2, Commit: 4})
	require.ErrorIs(t, raft.Err(), ErrLostEntries)
}

// TestReadWaitsForALaterRound requests a read while a heartbeat round is
// unanswered. Replies to that round must not confirm the read, since the round
// started before it.
func TestReadWaitsForALaterRound(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	step(raft, Message{Kind: MessageAppendReply, From: 2, Term: 2, LogIndex: 2})
	pendingRound := raft.round
	require.NoError(t, raft.ReadIndex(testStart, 77))
	raft.Step(testStart, Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Group: testGroup, Term: 2, Round: pendingRound})
	ready := raft.Ready()
	require.Empty(t, ready.ReadStates)
	raft.Advance(ready)
	drainReady(raft)
	raft.Step(testStart, Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Group: testGroup, Term: 2, Round: raft.round})
	require.Equal(t, []ReadState{{ID: 77, Index: 2}}, raft.Ready().ReadStates)
}

// TestReadWaitsForAnEntryOfTheTerm requests a read from a leader that has not
// committed an entry of its term and so does not know the commit index.
func TestReadWaitsForAnEntryOfTheTerm(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	require.NoError(t, raft.ReadIndex(testStart, 77))
	drainReady(raft)
	raft.Step(testStart, Message{Kind: MessageHeartbeatReply, From: 2, To: 1, Group: testGroup, Term: 2, Round: raft.round})
	require.Empty(t, raft.Ready().ReadStates)
}

// TestLearnersDoNotCount checks that learners' replies count in no quorum.
func TestLearnersDoNotCount(t *testing.T) {
	raft := newMember(1, 1)
	raft.configurations[0].configuration.Members[2].Learner = true
	raft.configurations[0].configuration.Members = append(raft.configurations[0].configuration.Members,
		Member{ID: 4, Name: "d"}, Member{ID: 5, Name: "e", Learner: true})
	electWithLearners := func() {
		raft.Tick(testStart)
		raft.Tick(testStart.Add(2 * testElectionTimeout))
		drainReady(raft)
		step(raft, Message{Kind: MessagePreVoteReply, From: 3, Term: 2})
		step(raft, Message{Kind: MessagePreVoteReply, From: 5, Term: 2})
		require.Equal(t, PreCandidate, raft.Role())
		step(raft, Message{Kind: MessagePreVoteReply, From: 2, Term: 2})
		step(raft, Message{Kind: MessageVoteReply, From: 2, Term: 2})
		require.Equal(t, Leader, raft.Role())
	}
	electWithLearners()
	step(raft, Message{Kind: MessageAppendReply, From: 3, Term: 2, LogIndex: 2})
	step(raft, Message{Kind: MessageAppendReply, From: 5, Term: 2, LogIndex: 2})
	require.Zero(t, raft.log.committed)
	step(raft, Message{Kind: MessageAppendReply, From: 4, Term: 2, LogIndex: 2})
	require.Equal(t, uint64(2), raft.log.committed)
}

// TestInflightAppendsAreBounded proposes more entries than there may be
// unacknowledged appends.
func TestInflightAppendsAreBounded(t *testing.T) {
	raft := newMember(1, 1)
	raft.options.MaxInflight = 3
	electLeader(t, raft)
	step(raft, Message{Kind: MessageAppendReply, From: 2, Term: 2, LogIndex: 2})
	sent := 0
	for range 10 {
		_, _, err := raft.Propose(testStart, []byte("x"))
		require.NoError(t, err)
		for _, message := range drainReady(raft) {
			if message.Kind == MessageAppend && message.To == 2 {
				sent++
			}
		}
	}
	require.Equal(t, 3, sent)
	replies := step(raft, Message{Kind: MessageAppendReply, From: 2, Term: 2, LogIndex: 5})
	entries := 0
	for _, message := range replies {
		if message.Kind == MessageAppend && message.To == 2 {
			entries += len(message.Entries)
		}
	}
	require.Equal(t, 7, entries, "the waiting entries are sent as one batch")
}

// TestUncommittedEntriesAreBounded checks that proposals are refused while too
// many entries are uncommitted.
func TestUncommittedEntriesAreBounded(t *testing.T) {
	raft := newMember(1, 1)
	raft.options.MaxUncommitted = 5
	electLeader(t, raft)
	var err error
	for range 6 {
		if _, _, err = raft.Propose(testStart, []byte("x")); err != nil {
			break
		}
	}
	require.ErrorIs(t, err, ErrTooManyUncommitted)
}

// TestCheckQuorumUsesItsOwnClockOnly elects a leader that received a confirmation
// time in the future from an earlier leader with a wrong clock. It must still
// step down without a quorum.
func TestCheckQuorumUsesItsOwnClockOnly(t *testing.T) {
	raft := newMember(1, 1)
	step(raft, Message{Kind: MessageHeartbeat, From: 2, Term: 1, ConfirmedAt: testStart.Add(time.Hour).UnixNano()})
	electLeader(t, raft)
	raft.Tick(testStart.Add(2*testElectionTimeout + testElectionTimeout/2))
	require.Equal(t, Leader, raft.Role())
	raft.Tick(testStart.Add(2*testElectionTimeout + testElectionTimeout + 1))
	require.Equal(t, Follower, raft.Role())
}

// TestSnapshotChunksInAnyOrder sends chunks out of order, twice and from two
// snapshots.
func TestSnapshotChunksInAnyOrder(t *testing.T) {
	raft := newMember(2, 1)
	chunk := func(index, offset uint64, data string) Message {
		return Message{Kind: MessageSnapshot, From: 2, Term: 2, Chunk: &SnapshotChunk{
			Meta:   SnapshotMeta{Index: index, Term: 2, Configuration: configurationWithVoters(1, 2, 3)},
			Offset: offset, Total: 6, Data: []byte(data),
		}}
	}
	steps := []struct {
		message Message
		wanted  uint64
	}{
		{chunk(50, 0, "old"), 3},
		{chunk(60, 3, "def"), 0},
		{chunk(60, 0, "abc"), 3},
		{chunk(60, 0, "abc"), 3},
	}
	for position, current := range steps {
		replies := step(raft, current.message)
		require.Len(t, replies, 1, "step %d", position)
		require.Equal(t, current.wanted, replies[0].Offset, "step %d", position)
	}
	message := chunk(60, 3, "def")
	message.To = 1
	message.Group = testGroup
	raft.Step(testStart, message)
	ready := raft.Ready()
	require.Equal(t, "abcdef", string(ready.Snapshot.Data))
	require.Equal(t, MessageAppendReply, ready.Messages[0].Kind)
	require.Equal(t, uint64(60), ready.Messages[0].LogIndex)
}

// TestSnapshotKeepsAMatchingLog sends a snapshot whose last entry the log holds.
// The leader may have counted the entries after it, so they must be kept.
func TestSnapshotKeepsAMatchingLog(t *testing.T) {
	raft := newMember(2, 1, 2, 2, 2)
	step(raft, Message{Kind: MessageSnapshot, From: 2, Term: 2, Chunk: &SnapshotChunk{Meta: SnapshotMeta{Index: 2, Term: 2}}})
	require.Equal(t, uint64(4), raft.log.lastIndex())
	require.Equal(t, uint64(2), raft.log.committed)
}

// TestTwoLeadersOfOneTermAreAnError violates election safety, which cannot
// happen in a correct group. The member must panic rather than continue.
func TestTwoLeadersOfOneTermAreAnError(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	require.Panics(t, func() { step(raft, Message{Kind: MessageHeartbeat, From: 3, Term: 2}) })
}

// TestCommittedEntriesAreNeverReplaced merges an entry that conflicts with a
// committed one, which cannot happen in a correct group. The log must panic
// rather than replace it.
func TestCommittedEntriesAreNeverReplaced(t *testing.T) {
	raft := newMember(2, 1, 1, 2)
	step(raft, Message{Kind: MessageAppend, From: 2, Term: 2, LogIndex: 3, LogTerm: 2, Commit: 3})
	require.Panics(t, func() { raft.log.merge([]Entry{{Index: 2, Term: 2}}) })
}

// kindsTo returns the kinds of the messages to one member.
func kindsTo(id MemberID, messages []Message) []MessageKind {
	var kinds []MessageKind
	for _, message := range messages {
		if message.To == id {
			kinds = append(kinds, message.Kind)
		}
	}
	return kinds
}

// TestCommitNoticeIsSentOnceToEachHolder commits an entry with one follower's
// reply and checks the messages that follow: one commit notice to each follower
// once it holds the entry, and no heartbeat round.
func TestCommitNoticeIsSentOnceToEachHolder(t *testing.T) {
	raft := newMember(1, 1)
	electLeader(t, raft)
	reply := func(from MemberID) []Message {
		return step(raft, Message{Kind: MessageAppendReply, From: from, Term: raft.Term(), LogIndex: raft.log.lastIndex()})
	}
	reply(2)
	reply(3)
	_, _, err := raft.Propose(testStart, []byte("change"))
	require.NoError(t, err)
	drainReady(raft)

	first := reply(2)
	require.Equal(t, []MessageKind{MessageCommit}, kindsTo(2, first))
	require.Empty(t, kindsTo(3, first), "a member that is not known to hold the entry gets no notice")
	second := reply(3)
	require.Empty(t, kindsTo(2, second))
	require.Equal(t, []MessageKind{MessageCommit}, kindsTo(3, second))
	require.Equal(t, raft.log.lastIndex(), second[0].Commit)
	require.Empty(t, reply(3), "a duplicate reply causes no message")
}

// TestCommitNoticeIsNotAnswered checks that a commit notice raises a follower's
// commit index without a reply, and detects lost entries as a heartbeat does.
func TestCommitNoticeIsNotAnswered(t *testing.T) {
	follower := newMember(1, 1, 1, 1)
	require.Empty(t, step(follower, Message{Kind: MessageCommit, From: 2, Term: 1, Commit: 2}))
	require.EqualValues(t, 2, follower.log.committed)
	step(follower, Message{Kind: MessageCommit, From: 2, Term: 1, Commit: 9})
	require.ErrorIs(t, follower.Err(), ErrLostEntries)
}

package raft

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Role is a member's role in the current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (role Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[role]
}

// Errors of requests to the core. When one is returned, nothing was proposed.
var (
	ErrNotLeader          = errors.New("this member is not the leader")
	ErrTransferring       = errors.New("leadership is being transferred")
	ErrTooManyUncommitted = errors.New("too many entries wait for a quorum")
	ErrChangePending      = errors.New("a membership change is in progress")
	ErrNotCaughtUp        = errors.New("the learner has not caught up")
	ErrUnknownMember      = errors.New("the member does not exist")
	ErrLastVoter          = errors.New("the last voter cannot be removed")
	ErrNoSuccessor        = errors.New("no voter can take over leadership")
)

// ErrLostEntries means that the log has lost entries that this member
// acknowledged. The member must not continue under its ID: the leader may have
// counted its acknowledgement towards a commit.
var ErrLostEntries = errors.New("the log has lost entries that this member acknowledged")

// Options configure a member's core.
type Options struct {
	ID    MemberID
	Group uint64
	// ElectionTimeout is the minimum time without contact from a leader before
	// an election; each wait is random in [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// FirstElectionTimeout replaces ElectionTimeout for the first wait after a
	// start; zero means that ElectionTimeout applies.
	FirstElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeat rounds of a leader.
	HeartbeatInterval time.Duration
	// MaxBatchEntries and MaxBatchBytes limit the size of one append message.
	MaxBatchEntries int
	MaxBatchBytes   int
	// MaxInflight limits the number of unacknowledged appends to one follower.
	MaxInflight int
	// MaxUncommitted limits the number of uncommitted entries.
	MaxUncommitted int
	// ChunkBytes is the maximum size of one snapshot chunk.
	ChunkBytes int
	// Seed seeds the random part of election timeouts.
	Seed uint64
}

func (options Options) withDefaults() Options {
	setDefault(&options.MaxBatchEntries, 512)
	setDefault(&options.MaxBatchBytes, 1<<20)
	setDefault(&options.MaxInflight, 64)
	setDefault(&options.MaxUncommitted, 1<<16)
	setDefault(&options.ChunkBytes, 256<<10)
	return options
}

func setDefault(value *int, defaultValue int) {
	if *value == 0 {
		*value = defaultValue
	}
}

// State is the durable state from which a member starts.
type State struct {
	HardState HardState
	// Snapshot is the latest durable snapshot. In a new group its index is zero
	// and its Configuration is the initial one.
	Snapshot Snapshot
	// Entries follow the snapshot. They may begin earlier, but leave no gap
	// after it.
	Entries []Entry
}

// loggedConfiguration is a configuration and the index of its log entry.
type loggedConfiguration struct {
	index         uint64
	configuration Configuration
}

// heartbeatRound is the number of a heartbeat round and the time it was sent.
type heartbeatRound struct {
	round uint64
	at    time.Time
}

// pendingRead is a read that waits until a quorum acknowledges a heartbeat round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Raft is the consensus state machine of one member. It is not safe for
// concurrent use.
type Raft struct {
	options Options
	random  *rand.Rand
	log     entryLog

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID
	// configurations has the committed configuration first, then the
	// uncommitted ones of the log in order. The last one is in effect.
	configurations []loggedConfiguration
	snapshot       Snapshot

	// now is the latest time passed in; it never goes back.
	now              time.Time
	electionDeadline time.Time
	leaderContactAt  time.Time
	// pendingLeaderCommit is the leader's commit index received at
	// pendingLeaderCommitAt that this follower has not reached yet; zero when
	// there is none.
	pendingLeaderCommit   uint64
	pendingLeaderCommitAt time.Time
	// currentAt is the receive time of the latest recorded leader commit index
	// that this follower has reached.
	currentAt time.Time
	// leaderConfirmedAt is the latest confirmation time received from a leader.
	leaderConfirmedAt time.Time
	// votes are the answers to the current campaign; nil without one. campaignTransfer reports whether
	// the leader asked for the campaign, and voteRequestsDue is when its requests are repeated.
	votes            map[MemberID]bool
	campaignTransfer bool
	voteRequestsDue  time.Time
	// ended has the members whose processes have ended, as far as this member knows.
	ended map[MemberID]bool

	// The fields below are used by the leader only.
	leaderSince time.Time
	// appendedAt is when this leader appended its latest entry; zero before the first one.
	appendedAt        time.Time
	progress          map[MemberID]*Progress
	round             uint64
	unconfirmedRounds []heartbeatRound
	confirmedRound    uint64
	confirmedAt       time.Time
	heartbeatDue      time.Time
	// roundRequested and appendRequested make the next Ready send a heartbeat
	// round or new entries.
	roundRequested  bool
	appendRequested bool
	pendingReads    []pendingRead
	deferredReads   []uint64
	transferTarget  MemberID
	transferExpires time.Time

	incoming incomingSnapshot
	fault    error

	// The fields below are the pending output for Ready. readyLastIndex and
	// readyCommitted are the last log index and the commit index as of the
	// latest Ready.
	messages          []Message
	readStates        []ReadState
	savedHardState    HardState
	installedSnapshot *Snapshot
	readyLastIndex    uint64
	readyCommitted    uint64
}

// New returns the core of a member that starts from the given durable state.
func New(options Options, state State) *Raft {
	raft := &Raft{
		options:  options.withDefaults(),
		random:   rand.New(rand.NewPCG(options.Seed, uint64(options.ID))),
		term:     state.HardState.Term,
		vote:     state.HardState.Vote,
		snapshot: state.Snapshot,
		ended:    make(map[MemberID]bool),
	}
	raft.log.restore(state.Snapshot.SnapshotMeta)
	raft.configurations = []loggedConfiguration{{
		index:         state.Snapshot.Index,
		configuration: state.Snapshot.Configuration.Clone(),
	}}
	raft.restoreEntries(state.Entries)
	raft.log.stable = raft.log.lastIndex()
	raft.commitTo(min(max(state.HardState.Commit, state.Snapshot.Index), raft.log.lastIndex()))
	raft.savedHardState = raft.hardState()
	return raft
}

// restoreEntries rebuilds the log in memory. It keeps entries from before the
// snapshot, so that slow followers can catch up without a snapshot transfer.
func (raft *Raft) restoreEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= raft.log.base {
		raft.log.base = first - 1
		raft.log.baseTerm = 0
		raft.log.baseAt = 0
	}
	raft.log.append(entries...)
	for _, entry := range entries {
		if entry.Index > raft.snapshot.Index {
			raft.activateConfiguration(entry)
		}
	}
}

func (raft *Raft) hardState() HardState {
	return HardState{Term: raft.term, Vote: raft.vote, Commit: raft.log.committed}
}

// configuration returns the configuration in effect: the latest in the log,
// committed or not.
func (raft *Raft) configuration() Configuration {
	return raft.configurations[len(raft.configurations)-1].configuration
}

func (raft *Raft) committedConfiguration() Configuration {
	return raft.configurations[0].configuration
}

// advanceClock moves the core's time forward to now; it never goes back.
func (raft *Raft) advanceClock(now time.Time) {
	if now.After(raft.now) {
		raft.now = now
	}
	if raft.electionDeadline.IsZero() {
		raft.setFirstElectionDeadline()
	}
}

// setFirstElectionDeadline sets the election deadline after a start. The first
// wait may be shorter than later ones, so that a group whose members all
// stopped elects a leader sooner. If there is a leader, the pre-vote is refused
// and has no effect.
func (raft *Raft) setFirstElectionDeadline() {
	if raft.options.FirstElectionTimeout == 0 {
		raft.resetElectionDeadline()
		return
	}
	jitter := time.Duration(raft.random.Int64N(int64(raft.options.FirstElectionTimeout)))
	raft.electionDeadline = raft.now.Add(raft.options.FirstElectionTimeout + jitter)
}

func (raft *Raft) resetElectionDeadline() {
	jitter := time.Duration(raft.random.Int64N(int64(raft.options.ElectionTimeout)))
	raft.electionDeadline = raft.now.Add(raft.options.ElectionTimeout + jitter)
}

// Tick advances the core's clock and runs its timers. The caller must call it
// at least once per heartbeat interval.
func (raft *Raft) Tick(now time.Time) {
	raft.advanceClock(now)
	if raft.role == Leader {
		raft.tickLeader()
		return
	}
	if !raft.now.Before(raft.electionDeadline) {
		raft.campaign(true, false)
		return
	}
	if raft.votes != nil && !raft.now.Before(raft.voteRequestsDue) {
		raft.requestVotes()
	}
}

func (raft *Raft) tickLeader() {
	if raft.quorumLost() {
		raft.becomeFollower(raft.term, 0)
		return
	}
	if raft.transferTarget != 0 && !raft.now.Before(raft.transferExpires) {
		raft.transferTarget = 0
	}
	if !raft.now.Before(raft.heartbeatDue) {
		raft.roundRequested = true
	}
}

// quorumLost implements check-quorum: it reports whether no quorum has
// confirmed this leader for an election timeout, so that it must step down.
func (raft *Raft) quorumLost() bool {
	latest := raft.leaderSince
	if raft.confirmedAt.After(latest) {
		latest = raft.confirmedAt
	}
	return raft.now.Sub(latest) > raft.options.ElectionTimeout
}

// Step handles one received message.
func (raft *Raft) Step(now time.Time, message Message) {
	raft.advanceClock(now)
	if message.To != raft.options.ID || message.Group != raft.options.Group {
		return
	}
	if raft.committedConfiguration().Removed(message.From) {
		return
	}
	delete(raft.ended, message.From)
	if !raft.checkTerm(message) {
		return
	}
	raft.dispatch(message)
}

// checkTerm compares the message's term with the member's own and reports
// whether the message is to be handled.
func (raft *Raft) checkTerm(message Message) bool {
	switch {
	case message.Term > raft.term:
		return raft.handleHigherTerm(message)
	case message.Term < raft.term:
		raft.replyToStaleTerm(message)
		return false
	default:
		return true
	}
}

// handleHigherTerm handles a message of a later term and reports whether the
// message itself is to be handled. The member becomes a follower in the later
// term, unless the message is a pre-vote request, a granted pre-vote or a vote
// request that is ignored because the leader is alive.
func (raft *Raft) handleHigherTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !message.Reject {
			return true
		}
	case MessageVote:
		if raft.leaderIsAlive() && !message.Transfer {
			return false
		}
	}
	raft.becomeFollower(message.Term, 0)
	return true
}

// replyToStaleTerm informs a deposed leader or a stale candidate of the current term.
func (raft *Raft) replyToStaleTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		raft.send(Message{Kind: MessageAppendReply, To: message.From, Reject: true})
	case MessagePreVote:
		raft.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
	}
}

// Err returns the reason why the member must stop, or nil.
func (raft *Raft) Err() error { return raft.fault }

func (raft *Raft) dispatch(message Message) {
	switch message.Kind {
	case MessagePreVote, MessageVote:
		raft.handleVoteRequest(message)
	case MessagePreVoteReply, MessageVoteReply:
		raft.handleVoteReply(message)
	case MessageAppend:
		raft.followLeader(message)
		raft.handleAppend(message)
	case MessageHeartbeat:
		raft.followLeader(message)
		raft.handleHeartbeat(message)
	case MessageCommit:
		raft.followLeader(message)
		raft.updateCommit(message)
	case MessageSnapshot:
		raft.followLeader(message)
		raft.handleSnapshot(message)
	case MessageTimeoutNow:
		raft.handleTimeoutNow()
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		raft.handleFollowerReply(message)
	}
}

func (raft *Raft) send(message Message) {
	message.From = raft.options.ID
	message.Group = raft.options.Group
	if message.Term == 0 {
		message.Term = raft.term
	}
	raft.messages = append(raft.messages, message)
}

// becomeFollower makes the member a follower of leader, which may be zero. A
// later term clears the vote.
func (raft *Raft) becomeFollower(term uint64, leader MemberID) {
	if term > raft.term {
		raft.term = term
		raft.vote = 0
	}
	raft.role = Follower
	raft.leader = leader
	raft.pendingLeaderCommit = 0
	raft.votes = nil
	raft.clearLeadership()
	raft.resetElectionDeadline()
}

// clearLeadership drops the leader's state. Waiting reads fail.
func (raft *Raft) clearLeadership() {
	for _, read := range raft.pendingReads {
		raft.readStates = append(raft.readStates, ReadState{ID: read.id, Failed: true})
	}
	for _, id := range raft.deferredReads {
		raft.readStates = append(raft.readStates, ReadState{ID: id, Failed: true})
	}
	raft.pendingReads = nil
	raft.deferredReads = nil
	raft.progress = nil
	raft.unconfirmedRounds = nil
	raft.roundRequested = false
	raft.appendRequested = false
	raft.transferTarget = 0
	raft.appendedAt = time.Time{}
}

package raft

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Role is the part that a member plays in its term.
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

// Errors of requests to the core. When one is returned nothing was proposed.
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

// ErrLostEntries tells that this member once acknowledged entries that its log
// no longer has. It must not go on under its ID.
var ErrLostEntries = errors.New("the log has lost entries that this member acknowledged")

// Options configure a member's core.
type Options struct {
	ID    MemberID
	Group uint64
	// ElectionTimeout is the shortest time without a leader before an
	// election; each wait is drawn from [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// FirstElectionTimeout replaces ElectionTimeout for the first wait after a
	// start; zero means that it does not.
	FirstElectionTimeout time.Duration
	HeartbeatInterval    time.Duration
	// MaxBatchEntries and MaxBatchBytes bound one append message.
	MaxBatchEntries int
	MaxBatchBytes   int
	// MaxInflight bounds the unacknowledged appends to one follower.
	MaxInflight int
	// MaxUncommitted bounds the entries that wait for a quorum.
	MaxUncommitted int
	// ChunkBytes is the size of one piece of a snapshot.
	ChunkBytes int
	// Seed fixes the election waits.
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

func setDefault(value *int, preset int) {
	if *value == 0 {
		*value = preset
	}
}

// State is what a member restores at its start.
type State struct {
	HardState HardState
	// Snapshot is the latest durable snapshot; its index is zero for a new
	// group, and its Configuration is then the first one.
	Snapshot Snapshot
	// Entries follow the snapshot, or begin earlier and reach it.
	Entries []Entry
}

// configurationAt is a configuration with the index of its entry.
type configurationAt struct {
	index         uint64
	configuration Configuration
}

// sentRound remembers when a heartbeat round began.
type sentRound struct {
	round uint64
	at    time.Time
}

// pendingRead is a read that waits for a round to be acknowledged.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Raft is one member's core. It is not safe for concurrent use.
type Raft struct {
	options Options
	random  *rand.Rand
	log     entryLog

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID
	// configurations has the committed configuration first and then the
	// later ones of the log; the last one is in force.
	configurations []configurationAt
	snapshot       Snapshot

	now              time.Time
	electionDeadline time.Time
	leaderHeardAt    time.Time
	// toldCommit is the leader's commit index as of toldCommitAt, which this
	// follower's log has not reached yet; zero when it has.
	toldCommit   uint64
	toldCommitAt time.Time
	// currentAt is when the leader last told a commit index that this follower
	// has reached since.
	currentAt time.Time
	// toldConfirmedAt is the latest confirmation that a leader told.
	toldConfirmedAt time.Time
	votes           map[MemberID]bool

	// The fields below are the leader's.
	leaderSince     time.Time
	progress        map[MemberID]*Progress
	round           uint64
	sentRounds      []sentRound
	confirmedRound  uint64
	confirmedAt     time.Time
	heartbeatDue    time.Time
	roundWanted     bool
	appendWanted    bool
	reads           []pendingRead
	waitingReads    []uint64
	transferTarget  MemberID
	transferExpires time.Time

	incoming incomingSnapshot
	fault    error

	// The fields below feed Ready.
	messages      []Message
	readStates    []ReadState
	savedState    HardState
	installed     *Snapshot
	readyAppended uint64
	readyApplied  uint64
}

// New returns the core of a member with restored state.
func New(options Options, state State) *Raft {
	raft := &Raft{
		options:  options.withDefaults(),
		random:   rand.New(rand.NewPCG(options.Seed, uint64(options.ID))),
		term:     state.HardState.Term,
		vote:     state.HardState.Vote,
		snapshot: state.Snapshot,
	}
	raft.log.restore(state.Snapshot.SnapshotMeta)
	raft.configurations = []configurationAt{{
		index:         state.Snapshot.Index,
		configuration: state.Snapshot.Configuration.Clone(),
	}}
	raft.restoreEntries(state.Entries)
	raft.log.stable = raft.log.lastIndex()
	raft.commitTo(min(max(state.HardState.Commit, state.Snapshot.Index), raft.log.lastIndex()))
	raft.savedState = raft.hardState()
	return raft
}

// restoreEntries rebuilds the log. Entries before the snapshot stay in memory
// so that slow followers need no snapshot.
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
			raft.noteConfiguration(entry)
		}
	}
}

func (raft *Raft) hardState() HardState {
	return HardState{Term: raft.term, Vote: raft.vote, Commit: raft.log.committed}
}

// configuration returns the configuration in force: the latest in the log,
// committed or not.
func (raft *Raft) configuration() Configuration {
	return raft.configurations[len(raft.configurations)-1].configuration
}

func (raft *Raft) committedConfiguration() Configuration {
	return raft.configurations[0].configuration
}

// observe moves the core's time forward; it never goes back.
func (raft *Raft) observe(now time.Time) {
	if now.After(raft.now) {
		raft.now = now
	}
	if raft.electionDeadline.IsZero() {
		raft.setFirstElectionDeadline()
	}
}

// setFirstElectionDeadline may make the first wait after a start shorter than
// later ones: after a loss of all members nobody leads, and where somebody
// does, the pre-vote is refused and changes nothing.
func (raft *Raft) setFirstElectionDeadline() {
	if raft.options.FirstElectionTimeout == 0 {
		raft.resetElectionDeadline()
		return
	}
	spread := time.Duration(raft.random.Int64N(int64(raft.options.FirstElectionTimeout)))
	raft.electionDeadline = raft.now.Add(raft.options.FirstElectionTimeout + spread)
}

func (raft *Raft) resetElectionDeadline() {
	spread := time.Duration(raft.random.Int64N(int64(raft.options.ElectionTimeout)))
	raft.electionDeadline = raft.now.Add(raft.options.ElectionTimeout + spread)
}

// Tick tells the core the time. Its owner calls it at least once a heartbeat
// interval.
func (raft *Raft) Tick(now time.Time) {
	raft.observe(now)
	if raft.role == Leader {
		raft.tickLeader()
		return
	}
	if !raft.now.Before(raft.electionDeadline) {
		raft.campaign(true, false)
	}
}

func (raft *Raft) tickLeader() {
	if raft.quorumSilent() {
		raft.becomeFollower(raft.term, 0)
		return
	}
	if raft.transferTarget != 0 && !raft.now.Before(raft.transferExpires) {
		raft.transferTarget = 0
	}
	if !raft.now.Before(raft.heartbeatDue) {
		raft.roundWanted = true
	}
}

// quorumSilent is the check-quorum rule: a leader that no quorum confirmed for
// an election timeout steps down.
func (raft *Raft) quorumSilent() bool {
	latest := raft.leaderSince
	if raft.confirmedAt.After(latest) {
		latest = raft.confirmedAt
	}
	return raft.now.Sub(latest) > raft.options.ElectionTimeout
}

// Step takes one message in.
func (raft *Raft) Step(now time.Time, message Message) {
	raft.observe(now)
	if message.To != raft.options.ID || message.Group != raft.options.Group {
		return
	}
	if raft.committedConfiguration().Removed(message.From) {
		return
	}
	if !raft.admitTerm(message) {
		return
	}
	raft.dispatch(message)
}

// admitTerm compares the message's term with the member's and returns whether
// the message is to be handled.
func (raft *Raft) admitTerm(message Message) bool {
	switch {
	case message.Term > raft.term:
		return raft.admitHigherTerm(message)
	case message.Term < raft.term:
		raft.answerLowerTerm(message)
		return false
	default:
		return true
	}
}

func (raft *Raft) admitHigherTerm(message Message) bool {
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

// answerLowerTerm tells a deposed leader or a late candidate the present term.
func (raft *Raft) answerLowerTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		raft.send(Message{Kind: MessageAppendReply, To: message.From, Reject: true})
	case MessagePreVote:
		raft.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
	}
}

// Err returns why the member must stop, or nil.
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
		raft.takeCommit(message)
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

// becomeFollower leaves every other role. A new term clears the vote.
func (raft *Raft) becomeFollower(term uint64, leader MemberID) {
	if term > raft.term {
		raft.term = term
		raft.vote = 0
	}
	raft.role = Follower
	raft.leader = leader
	raft.toldCommit = 0
	raft.votes = nil
	raft.clearLeadership()
	raft.resetElectionDeadline()
}

// clearLeadership forgets what only a leader knows. Reads that wait fail.
func (raft *Raft) clearLeadership() {
	for _, read := range raft.reads {
		raft.readStates = append(raft.readStates, ReadState{ID: read.id, Failed: true})
	}
	for _, id := range raft.waitingReads {
		raft.readStates = append(raft.readStates, ReadState{ID: id, Failed: true})
	}
	raft.reads = nil
	raft.waitingReads = nil
	raft.progress = nil
	raft.sentRounds = nil
	raft.roundWanted = false
	raft.appendWanted = false
	raft.transferTarget = 0
}

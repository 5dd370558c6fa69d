package raft

import "time"

// leaderIsAlive reports whether this member is the leader or received a message
// from the leader within the minimum election timeout. Such a member grants no
// vote, so a member that was partitioned off cannot depose a working leader.
func (raft *Raft) leaderIsAlive() bool {
	if raft.role == Leader {
		return true
	}
	return raft.leader != 0 && raft.now.Sub(raft.leaderContactAt) < raft.options.ElectionTimeout
}

// campaign starts a pre-vote or an election, unless this member is a learner or
// not in the configuration. transfer marks an election that the leader asked
// for.
func (raft *Raft) campaign(preVote, transfer bool) {
	raft.resetElectionDeadline()
	if !raft.configuration().IsVoter(raft.options.ID) {
		return
	}
	raft.leader = 0
	raft.campaignTransfer = transfer
	if preVote {
		raft.role = PreCandidate
	} else {
		raft.role = Candidate
		raft.term++
		raft.vote = raft.options.ID
	}
	raft.votes = map[MemberID]bool{raft.options.ID: true}
	if raft.countVotes() {
		return
	}
	raft.requestVotes()
}

// requestVotes sends the requests of the current campaign to the voters that have not answered. They are
// repeated in each heartbeat interval, so that a lost message does not cost an election timeout.
func (raft *Raft) requestVotes() {
	raft.voteRequestsDue = raft.now.Add(raft.options.HeartbeatInterval)
	kind, term := MessageVote, raft.term
	if raft.role == PreCandidate {
		kind, term = MessagePreVote, raft.term+1
	}
	for _, member := range raft.configuration().Members {
		if _, answered := raft.votes[member.ID]; member.Learner || answered {
			continue
		}
		raft.send(Message{
			Kind:     kind,
			To:       member.ID,
			Term:     term,
			LogIndex: raft.log.lastIndex(),
			LogTerm:  raft.log.lastTerm(),
			Transfer: raft.campaignTransfer,
		})
	}
}

// countVotes starts the election, becomes leader or gives up once a quorum has
// granted its votes or can no longer do so. It reports whether the campaign
// ended or moved from pre-vote to election.
func (raft *Raft) countVotes() bool {
	granted, refused := 0, 0
	configuration := raft.configuration()
	for _, member := range configuration.Members {
		if member.Learner {
			continue
		}
		vote, answered := raft.votes[member.ID]
		switch {
		case answered && vote:
			granted++
		case answered:
			refused++
		}
	}
	switch {
	case granted >= configuration.Quorum() && raft.role == PreCandidate:
		raft.campaign(false, false)
		return true
	case granted >= configuration.Quorum():
		raft.becomeLeader()
		return true
	case refused > configuration.VoterCount()-configuration.Quorum():
		raft.becomeFollower(raft.term, 0)
		return true
	}
	return false
}

// handleVoteRequest grants this member's vote in the current term to a candidate
// whose log is up to date, unless this member voted for another one, leads, or
// follows another leader and the request is not part of a transfer.
func (raft *Raft) handleVoteRequest(message Message) {
	if message.Kind == MessagePreVote {
		raft.handlePreVote(message)
		return
	}
	granted := (raft.vote == 0 || raft.vote == message.From) &&
		raft.role != Leader &&
		(raft.leader == 0 || raft.leader == message.From || message.Transfer) &&
		raft.log.upToDate(message.LogIndex, message.LogTerm)
	if granted {
		raft.vote = message.From
		raft.resetElectionDeadline()
	}
	raft.send(Message{Kind: MessageVoteReply, To: message.From, Reject: !granted})
}

// handlePreVote replies to a pre-vote request without changing this member's state.
func (raft *Raft) handlePreVote(message Message) {
	granted := message.Term > raft.term &&
		!raft.leaderIsAlive() &&
		raft.log.upToDate(message.LogIndex, message.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Reject: !granted}
	if granted {
		reply.Term = message.Term
	}
	raft.send(reply)
}

// handleVoteReply counts a reply that belongs to the current campaign. Of several
// replies from one member only the first counts.
func (raft *Raft) handleVoteReply(message Message) {
	switch {
	case message.Kind == MessagePreVoteReply && raft.role == PreCandidate:
		if !message.Reject && message.Term != raft.term+1 {
			return
		}
	case message.Kind == MessageVoteReply && raft.role == Candidate:
	default:
		return
	}
	if _, answered := raft.votes[message.From]; answered {
		return
	}
	raft.votes[message.From] = !message.Reject
	raft.countVotes()
}

// becomeLeader makes the member leader. It appends an empty entry of its term,
// since only entries of the leader's own term are committed by counting
// replicas.
func (raft *Raft) becomeLeader() {
	raft.role = Leader
	raft.leader = raft.options.ID
	raft.leaderSince = raft.now
	raft.confirmedAt = time.Time{}
	raft.votes = nil
	raft.progress = make(map[MemberID]*Progress)
	raft.unconfirmedRounds = nil
	raft.confirmedRound = raft.round
	raft.transferTarget = 0
	raft.syncProgress()
	raft.appendEntry(EntryNoop, nil)
	raft.roundRequested = true
}

// handleTimeoutNow starts an election at the request of the current leader.
func (raft *Raft) handleTimeoutNow() {
	if raft.role == Leader {
		return
	}
	raft.campaign(false, true)
}

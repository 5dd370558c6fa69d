package raft

import "time"

// leaderIsAlive tells whether this member heard from a leader within the
// shortest election timeout, or leads itself. Such a member grants no vote, so
// a member that was cut off cannot depose a working leader.
func (raft *Raft) leaderIsAlive() bool {
	if raft.role == Leader {
		return true
	}
	return raft.leader != 0 && raft.now.Sub(raft.leaderHeardAt) < raft.options.ElectionTimeout
}

// campaign starts a pre-vote or an election. Learners and members that are not
// in the configuration never do.
func (raft *Raft) campaign(preVote, transfer bool) {
	raft.resetElectionDeadline()
	if !raft.configuration().IsVoter(raft.options.ID) {
		return
	}
	raft.leader = 0
	kind := MessageVote
	term := raft.term + 1
	if preVote {
		raft.role = PreCandidate
		kind = MessagePreVote
	} else {
		raft.role = Candidate
		raft.term = term
		raft.vote = raft.options.ID
	}
	raft.votes = map[MemberID]bool{raft.options.ID: true}
	if raft.countVotes() {
		return
	}
	for _, member := range raft.configuration().Members {
		if member.Learner || member.ID == raft.options.ID {
			continue
		}
		raft.send(Message{
			Kind:     kind,
			To:       member.ID,
			Term:     term,
			LogIndex: raft.log.lastIndex(),
			LogTerm:  raft.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// countVotes moves on when a quorum granted or refused. It returns whether the
// campaign ended or changed its stage.
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

func (raft *Raft) handleVoteRequest(message Message) {
	if message.Kind == MessagePreVote {
		raft.answerPreVote(message)
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

// answerPreVote changes nothing on this member.
func (raft *Raft) answerPreVote(message Message) {
	granted := message.Term > raft.term &&
		!raft.leaderIsAlive() &&
		raft.log.upToDate(message.LogIndex, message.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Reject: !granted}
	if granted {
		reply.Term = message.Term
	}
	raft.send(reply)
}

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

// becomeLeader starts the member's leadership with an empty entry of its term:
// only an entry of the leader's own term is committed by counting.
func (raft *Raft) becomeLeader() {
	raft.role = Leader
	raft.leader = raft.options.ID
	raft.leaderSince = raft.now
	raft.confirmedAt = time.Time{}
	raft.votes = nil
	raft.progress = make(map[MemberID]*Progress)
	raft.sentRounds = nil
	raft.confirmedRound = raft.round
	raft.transferTarget = 0
	raft.syncProgress()
	raft.appendEntry(EntryNoop, nil)
	raft.roundWanted = true
}

// handleTimeoutNow starts an election on the present leader's demand.
func (raft *Raft) handleTimeoutNow() {
	if raft.role == Leader {
		return
	}
	raft.campaign(false, true)
}

package relay

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// leaderWait is how long a claim is held while the relay knows no control leader.
	leaderWait = 500 * time.Millisecond
	// forwardRecordLifetime is how long the relay remembers that it forwarded a claim.
	forwardRecordLifetime = time.Minute
)

// claimID identifies one claim message of one agent process.
type claimID struct {
	agent       model.NodeName
	incarnation model.Incarnation
	correlation uint64
}

// forwardRecord has the number of times that a claim was forwarded to control, and when it was last
// forwarded.
type forwardRecord struct {
	count int
	last  time.Time
}

// heldClaim is a claim request or outcome that is held until a leader is known.
type heldClaim struct {
	message any
	id      claimID
	since   time.Time
}

// claimRouter forwards claim requests and outcomes from agents to the control leader, and the
// replies back to the agents. It answers "unavailable" only for a claim that reached no control
// member.
type claimRouter struct {
	mailbox     *protocol.Mailbox
	downstream  *downstreamRelays
	held        []heldClaim
	forwarded   map[claimID]forwardRecord
	lastCleanup time.Time
}

func newClaimRouter(mailbox *protocol.Mailbox, downstream *downstreamRelays) *claimRouter {
	return &claimRouter{mailbox: mailbox, downstream: downstream, forwarded: make(map[claimID]forwardRecord)}
}

func (router *claimRouter) reconcile(now time.Time, queues queues, leader model.NodeName) {
	for _, envelope := range queues.claimRequests.Drain() {
		if request, isRequest := envelope.Message.(protocol.ClaimRequest); isRequest {
			id := claimID{agent: request.Agent, incarnation: request.Incarnation, correlation: request.Correlation}
			router.accept(envelope, id, now, leader)
		}
	}
	for _, envelope := range queues.claimOutcomes.Drain() {
		if outcome, isOutcome := envelope.Message.(protocol.ClaimOutcome); isOutcome {
			id := claimID{agent: outcome.Agent, incarnation: outcome.Incarnation, correlation: outcome.Correlation}
			router.accept(envelope, id, now, leader)
		}
	}
	router.forwardHeld(now, leader)
	router.forwardReplies(queues)
	router.removeOldRecords(now)
}

// accept holds a claim of one of this relay's own agents until a leader is known. A claim that a
// downstream relay received is forwarded in that relay's name. Without a leader it is dropped: it
// stays unanswered, so the agent repeats it.
func (router *claimRouter) accept(envelope protocol.Envelope, id claimID, now time.Time, leader model.NodeName) {
	switch {
	case id.agent == envelope.From:
		router.held = append(router.held, heldClaim{message: envelope.Message, id: id, since: now})
	case leader != "" && router.downstream.hasChild(envelope.From):
		router.downstream.sendUp(leader, envelope.From, envelope.Message)
	}
}

// forwardHeld sends the held claims to the leader. Without a leader it answers those that were
// held for leaderWait, and keeps the others.
func (router *claimRouter) forwardHeld(now time.Time, leader model.NodeName) {
	var kept []heldClaim
	for _, claim := range router.held {
		switch {
		case leader != "":
			router.mailbox.Send(leader, claim.message)
			record := router.forwarded[claim.id]
			router.forwarded[claim.id] = forwardRecord{count: record.count + 1, last: now}
		case now.Sub(claim.since) < leaderWait:
			kept = append(kept, claim)
		default:
			router.answerUnavailable(claim)
		}
	}
	router.held = kept
}

// answerUnavailable answers a claim request for which no leader was found. A request that was
// forwarded before, and an outcome, stay unanswered: control may already have processed them.
func (router *claimRouter) answerUnavailable(claim heldClaim) {
	_, isRequest := claim.message.(protocol.ClaimRequest)
	if !isRequest || router.forwarded[claim.id].count > 0 {
		return
	}
	router.mailbox.Send(claim.id.agent, protocol.ClaimReply{
		Correlation: claim.id.correlation,
		Agent:       claim.id.agent,
		State:       protocol.ClaimUnavailable,
	})
}

// forwardReplies sends control's replies to the agents.
func (router *claimRouter) forwardReplies(queues queues) {
	for _, envelope := range queues.claimReplies.Drain() {
		reply, isReply := envelope.Message.(protocol.ClaimReply)
		if !isReply {
			continue
		}
		if reply.State == protocol.ClaimUnavailable && router.forwardedMoreThanOnce(reply) {
			continue
		}
		router.mailbox.Send(reply.Agent, reply)
	}
}

// forwardedMoreThanOnce reports whether the claim was forwarded more than once. Another member may
// then have proposed another copy of it, so a reply of "unavailable" may be wrong.
func (router *claimRouter) forwardedMoreThanOnce(reply protocol.ClaimReply) bool {
	for id, record := range router.forwarded {
		if id.agent == reply.Agent && id.correlation == reply.Correlation && record.count > 1 {
			return true
		}
	}
	return false
}

// removeOldRecords removes the records of claims that were last forwarded more than
// forwardRecordLifetime ago.
func (router *claimRouter) removeOldRecords(now time.Time) {
	if now.Sub(router.lastCleanup) < housekeepingInterval {
		return
	}
	router.lastCleanup = now
	for id, record := range router.forwarded {
		if now.Sub(record.last) > forwardRecordLifetime {
			delete(router.forwarded, id)
		}
	}
}

package replica

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
)

// leaveExpiry is how long the leader counts a member as leaving after its latest LeaveRequest. A
// request that arrives after the member has started again thus has no lasting effect.
const leaveExpiry = time.Second

// leaveRequestIntervals is the number of heartbeat intervals after which a new leader knows the leaving
// members.
const leaveRequestIntervals = 2

// pendingLeave is a planned stop of this member that waits until the member may stop.
type pendingLeave struct {
	done func(outcome)
	// nextAttemptAt is when the leader is asked again, or leadership is transferred again.
	nextAttemptAt time.Time
}

// Leave prepares a planned stop: a leader transfers its leadership, and a voter waits until another
// member has taken over its vote, if one can. done is called once the member may stop. The caller
// has to bound the wait, because a group without a leader does not answer.
func (controller *Controller) Leave(done func(err error)) {
	controller.enqueue(request{kind: requestLeave, done: errorOnly(done)})
}

// Release tells a leaving member that it may stop.
func (controller *Controller) Release(id MemberID) {
	controller.enqueue(request{kind: requestRelease, member: id, done: func(outcome) {}})
}

// beginLeave handles a requestLeave.
func (controller *Controller) beginLeave(request request) {
	controller.finishLeave(outcome{})
	controller.leave = &pendingLeave{done: request.done}
}

// finishLeave answers the pending planned stop, if there is one.
func (controller *Controller) finishLeave(result outcome) {
	if controller.leave == nil {
		return
	}
	done := controller.leave.done
	controller.leave = nil
	done(result)
}

// continueLeave transfers the leadership of a leaving leader, or sends a LeaveRequest to the leader.
func (controller *Controller) continueLeave(now time.Time) {
	if controller.leave == nil || now.Before(controller.leave.nextAttemptAt) {
		return
	}
	controller.leave.nextAttemptAt = now.Add(controller.options.HeartbeatInterval)
	if controller.core.Role() == raft.Leader {
		controller.transferBeforeLeave(now)
		return
	}
	if leader := controller.leaderName(); leader != "" {
		identity := controller.storage.identity
		controller.mailbox.Send(leader, LeaveRequest{Group: identity.Group, Member: identity.Member})
	}
}

// transferBeforeLeave begins a transfer unless one is in progress. While all other voters are leaving
// too and a learner can be promoted, the leader goes on leading: a leader needs some time before it
// can change the membership, which no leader has if leaving members pass leadership on to each other.
// The only voter stops without a transfer.
func (controller *Controller) transferBeforeLeave(now time.Time) {
	expected := controller.replacementExpected(now)
	if !expected && controller.core.Configuration().VoterCount() == 1 {
		controller.finishLeave(outcome{err: controller.coreFault(raft.ErrNoSuccessor)})
		return
	}
	if controller.transfer != nil || !controller.knowsLeaving(now) {
		return
	}
	// An error needs no handling: the transfer is attempted again.
	transfer := request{kind: requestTransfer, done: func(outcome) {}}
	if expected {
		controller.beginTransfer(now, transfer, controller.leavingMembers(now)...)
		return
	}
	controller.transferToAny(now, transfer)
}

// knowsLeaving reports whether this leader has led for long enough that the LeaveRequests of all other
// leaving members have arrived. They are repeated in each heartbeat interval.
func (controller *Controller) knowsLeaving(now time.Time) bool {
	return now.Sub(controller.core.Status(now).LeaderSince) >= leaveRequestIntervals*controller.options.HeartbeatInterval
}

// replacementExpected reports whether a learner that is not leaving answers this leader, so that it
// gets a vote once it has caught up.
func (controller *Controller) replacementExpected(now time.Time) bool {
	leaving := controller.leavingMembers(now)
	return slices.ContainsFunc(controller.core.Status(now).Peers, func(peer raft.Peer) bool {
		return peer.Learner && !slices.Contains(leaving, peer.ID) && !peer.Ended && peer.SilentFor(now) < leaveExpiry
	})
}

// handleLeaveMessages handles the messages of planned stops.
func (controller *Controller) handleLeaveMessages(now time.Time) {
	group := controller.storage.identity.Group
	for _, received := range protocol.Receive[LeaveRequest](controller.leaveRequests) {
		if received.Message.Group == group && controller.core.Role() == raft.Leader {
			controller.leaving[received.Message.Member] = now
		}
	}
	for _, received := range protocol.Receive[LeaveReply](controller.leaveReplies) {
		if received.Message.Group == group && received.Message.Member == controller.storage.identity.Member {
			controller.finishLeave(outcome{})
		}
	}
}

// release handles a requestRelease.
func (controller *Controller) release(id MemberID) {
	if name := controller.nameOf(id); name != "" {
		controller.mailbox.Send(name, LeaveReply{Group: controller.storage.identity.Group, Member: id})
	}
}

// PeerEnded tells the member that the process of a node has ended: its machine refused a connection. It
// is safe for concurrent use.
func (controller *Controller) PeerEnded(node model.NodeName) {
	controller.enqueue(request{kind: requestPeerEnded, node: node, done: func(outcome) {}})
}

// recordPeerEnded handles a requestPeerEnded.
func (controller *Controller) recordPeerEnded(now time.Time, node model.NodeName) {
	for _, member := range controller.core.Configuration().Members {
		if member.Name == node {
			controller.core.PeerEnded(now, member.ID)
		}
	}
}

// leavingMembers returns the members whose LeaveRequests have not expired, sorted. A leader that is
// leaving itself is one of them.
func (controller *Controller) leavingMembers(now time.Time) []MemberID {
	var leaving []MemberID
	if controller.leave != nil && controller.core != nil && controller.core.Role() == raft.Leader {
		controller.leaving[controller.storage.identity.Member] = now
	}
	for _, id := range sortedKeys(controller.leaving) {
		if now.Sub(controller.leaving[id]) > leaveExpiry {
			delete(controller.leaving, id)
			continue
		}
		leaving = append(leaving, id)
	}
	return leaving
}

// hasLearner reports whether a member of the list has no vote.
func hasLearner(members []Member) bool {
	for _, member := range members {
		if member.Learner {
			return true
		}
	}
	return false
}

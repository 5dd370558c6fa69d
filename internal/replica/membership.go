package replica

import (
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
)

// reconcileJoining runs a member that has no place in a group yet.
func (controller *Controller) reconcileJoining(now time.Time) {
	controller.messages.Drain()
	if err := controller.ensureDiskNumber(now); err != nil {
		controller.fail(err)
		return
	}
	controller.handleJoinMessages()
	if controller.core == nil {
		if identity, complete := controller.joiner.foundingIdentity(); complete {
			controller.enterGroup(identity)
		}
	}
	if controller.core == nil && !controller.stopped.Load() {
		controller.joiner.sendRequests(now)
		controller.refuseWithoutCore()
	}
}

// ensureDiskNumber makes the disk number durable before it is sent to others.
func (controller *Controller) ensureDiskNumber(now time.Time) error {
	if controller.joiner.identity.Disk != 0 {
		return nil
	}
	identity := controller.joiner.identity
	identity.Disk = newDiskNumber(controller.options, now)
	if err := writeIdentity(controller.files, identity); err != nil {
		return err
	}
	controller.joiner.identity = identity
	return nil
}

func (controller *Controller) handleJoinMessages() {
	for _, queue := range controller.joinQueues {
		for _, envelope := range queue.Drain() {
			if controller.core == nil {
				controller.handleJoinMessage(envelope)
			}
		}
	}
}

func (controller *Controller) handleJoinMessage(envelope protocol.Envelope) {
	switch message := envelope.Message.(type) {
	case FoundRequest:
		controller.joiner.handleFoundRequest(envelope.From, message)
	case FoundReply:
		controller.joiner.handleFoundReply(envelope.From, message)
	case JoinReply:
		if identity, accepted := controller.joiner.handleJoinReply(message); accepted {
			controller.enterGroup(identity)
		}
	}
}

// enterGroup makes the member's place in the group durable and starts its core.
func (controller *Controller) enterGroup(identity Identity) {
	created, err := createStorage(controller.files, identity, controller.options.SegmentBytes)
	if err != nil {
		controller.fail(err)
		return
	}
	initial := raft.Snapshot{SnapshotMeta: raft.SnapshotMeta{Configuration: identity.Initial}}
	if err := controller.start(created, raft.State{Snapshot: initial}); err != nil {
		controller.fail(err)
	}
}

// refuseWithoutCore refuses all requests at a member whose core is not running.
func (controller *Controller) refuseWithoutCore() {
	for _, request := range controller.requests.Drain() {
		request.done(outcome{err: faults.New(faults.NotLeader, "this member has no place in the group yet; nothing was proposed")})
	}
}

// handleMembershipMessages handles requests for a place and the messages that
// check an existing one, at a member that has a place.
func (controller *Controller) handleMembershipMessages(now time.Time) {
	for _, queue := range controller.joinQueues {
		for _, envelope := range queue.Drain() {
			switch message := envelope.Message.(type) {
			case JoinRequest:
				controller.handleJoinRequest(now, envelope.From, message)
			case FoundRequest:
				controller.handleJoinRequest(now, envelope.From, JoinRequest{Disk: message.Founder})
			case PlaceRequest:
				controller.handlePlaceRequest(now, envelope.From, message)
			case PlaceReply:
				controller.handlePlaceReply(now, message)
			}
			if controller.core == nil {
				return
			}
		}
	}
}

// handleJoinRequest replies to a member with an empty disk with its place, or
// refuses it and records it as a candidate. A learner without a disk is bound to
// the first disk that requests a place under its name.
func (controller *Controller) handleJoinRequest(now time.Time, from model.NodeName, joinRequest JoinRequest) {
	disk := joinRequest.Disk
	configuration := controller.core.CommittedConfiguration()
	reply := JoinReply{
		Disk:   disk,
		Leader: controller.leaderName(),
		Group:  controller.storage.identity.Group,
	}
	for _, member := range configuration.Members {
		switch {
		case member.Name != from:
		case member.Disk == disk:
			reply.Accepted = true
			reply.Member = member.ID
			reply.Configuration = configuration.Clone()
		case member.Disk == 0 && controller.core.Role() == raft.Leader:
			// An error needs no handling: the joiner repeats its request.
			_, _, _ = controller.core.BindDisk(now, member.ID, disk)
		}
	}
	if !reply.Accepted {
		controller.candidates[from] = Candidate{Name: from, Zone: joinRequest.Zone, Disk: disk, At: now}
	}
	controller.mailbox.Send(from, reply)
}

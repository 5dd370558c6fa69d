package replica

import (
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
)

// join runs a member that has no place in a group yet.
func (controller *Controller) join(now time.Time) {
	controller.messages.Drain()
	if err := controller.ensureDiskNumber(now); err != nil {
		controller.fail(err)
		return
	}
	controller.takeJoinMessages()
	if controller.core == nil {
		if identity, complete := controller.joiner.found(); complete {
			controller.form(identity)
		}
	}
	if controller.core == nil && !controller.stopped.Load() {
		controller.joiner.ask(now)
		controller.refuseUnformed()
	}
}

// ensureDiskNumber makes the disk's number durable before it is told.
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

func (controller *Controller) takeJoinMessages() {
	for _, queue := range controller.joining {
		for _, envelope := range queue.Drain() {
			if controller.core == nil {
				controller.takeJoinMessage(envelope)
			}
		}
	}
}

func (controller *Controller) takeJoinMessage(envelope protocol.Envelope) {
	switch message := envelope.Message.(type) {
	case FoundRequest:
		controller.joiner.answerFounder(envelope.From, message)
	case FoundReply:
		controller.joiner.takeFoundReply(envelope.From, message)
	case JoinReply:
		if identity, accepted := controller.joiner.takeJoinReply(message); accepted {
			controller.form(identity)
		}
	}
}

// form makes the member's place durable and starts its core.
func (controller *Controller) form(identity Identity) {
	formed, err := form(controller.files, identity, controller.options.SegmentBytes)
	if err != nil {
		controller.fail(err)
		return
	}
	initial := raft.Snapshot{SnapshotMeta: raft.SnapshotMeta{Configuration: identity.Initial}}
	if err := controller.start(formed, raft.State{Snapshot: initial}); err != nil {
		controller.fail(err)
	}
}

// refuseUnformed answers requests at a member without a place.
func (controller *Controller) refuseUnformed() {
	for _, request := range controller.requests.Drain() {
		request.done(outcome{err: faults.New(faults.NotLeader, "this member has no place in the group yet; nothing was proposed")})
	}
}

// answerJoiners tells members with empty disks their place. A learner that no
// disk has taken yet is tied to the first disk of its name that asks.
func (controller *Controller) answerJoiners(now time.Time) {
	for _, queue := range controller.joining {
		for _, envelope := range queue.Drain() {
			switch message := envelope.Message.(type) {
			case JoinRequest:
				controller.answerJoiner(now, envelope.From, message)
			case FoundRequest:
				controller.answerJoiner(now, envelope.From, JoinRequest{Disk: message.Founder})
			case PlaceRequest:
				controller.answerPlace(now, envelope.From, message)
			case PlaceReply:
				controller.takePlaceReply(now, message)
			}
			if controller.core == nil {
				return
			}
		}
	}
}

func (controller *Controller) answerJoiner(now time.Time, from model.NodeName, asked JoinRequest) {
	disk := asked.Disk
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
			// A refusal here is retried: the joiner asks again.
			_, _, _ = controller.core.BindDisk(now, member.ID, disk)
		}
	}
	if !reply.Accepted {
		controller.candidates[from] = Candidate{Name: from, Zone: asked.Zone, Disk: disk, At: now}
	}
	controller.mailbox.Send(from, reply)
}

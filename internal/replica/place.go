package replica

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

const (
	// candidateFor is how long an empty disk counts as asking after its last
	// question.
	candidateFor = 2 * time.Second
	// placeCheckTimeouts is the number of election timeouts without a leader
	// after which a member asks whether it still has its place.
	placeCheckTimeouts = 3
)

// recentCandidates returns the empty disks that asked lately, by name.
func (controller *Controller) recentCandidates(now time.Time) []Candidate {
	if len(controller.candidates) == 0 {
		return nil
	}
	var recent []Candidate
	for _, name := range sortedKeys(controller.candidates) {
		candidate := controller.candidates[name]
		if now.Sub(candidate.At) > candidateFor {
			delete(controller.candidates, name)
			continue
		}
		recent = append(recent, candidate)
	}
	return recent
}

// checkPlace asks the other members for this member's place when it has had
// no leader for long. A member that was removed while it was away hears
// nothing more from the group; the answer tells it.
func (controller *Controller) checkPlace(now time.Time) {
	core := controller.core
	wait := placeCheckTimeouts * controller.options.ElectionTimeout
	if core.Role() == raft.Leader || core.Leader() != 0 || controller.nextPlaceCheck.IsZero() {
		controller.nextPlaceCheck = now.Add(wait)
		return
	}
	if now.Before(controller.nextPlaceCheck) {
		return
	}
	controller.nextPlaceCheck = now.Add(wait)
	identity := controller.storage.identity
	for _, name := range controller.placeKeepers() {
		controller.mailbox.Send(name, PlaceRequest{Group: identity.Group, Member: identity.Member, Disk: identity.Disk})
	}
}

// placeKeepers returns all other nodes that may know the group's membership.
func (controller *Controller) placeKeepers() []model.NodeName {
	names := slices.Clone(controller.options.Members)
	for _, member := range controller.core.Configuration().Members {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name model.NodeName) bool { return name == controller.options.Self })
}

// answerPlace tells a member whether it was removed, once a quorum confirmed
// this leader; others stay silent.
func (controller *Controller) answerPlace(now time.Time, from model.NodeName, asked PlaceRequest) {
	if asked.Group != controller.storage.identity.Group || controller.core.Role() != raft.Leader {
		return
	}
	controller.read(now, request{kind: requestRead, done: func(answer outcome) {
		if answer.err != nil || controller.core == nil {
			return
		}
		controller.mailbox.Send(from, PlaceReply{
			Group:   asked.Group,
			Member:  asked.Member,
			Disk:    asked.Disk,
			Removed: controller.core.CommittedConfiguration().Removed(asked.Member),
		})
	}})
}

// takePlaceReply handles the answer to checkPlace.
func (controller *Controller) takePlaceReply(now time.Time, reply PlaceReply) {
	identity := controller.storage.identity
	mine := reply.Group == identity.Group && reply.Member == identity.Member && reply.Disk == identity.Disk
	if !mine || !reply.Removed {
		return
	}
	if err := controller.startOver(now); err != nil {
		controller.fail(err)
	}
}

// startOver gives up the member's identity for good: it gets a new disk number
// and asks for a place as an empty disk does. Its old log is not used again.
func (controller *Controller) startOver(now time.Time) error {
	controller.abandon("this member was removed from the group")
	if err := controller.storage.log.Close(); err != nil {
		return err
	}
	identity := Identity{Version: identityVersion, Name: controller.options.Self, Disk: newDiskNumber(controller.options, now)}
	if err := writeIdentity(controller.files, identity); err != nil {
		return err
	}
	if err := controller.machine.Restore(controller.empty); err != nil {
		return err
	}
	controller.core = nil
	controller.storage = nil
	controller.options.Join = true
	controller.joiner = newJoiner(controller.options, controller.mailbox, identity)
	return nil
}

package replica

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

const (
	// candidateExpiry is how long a member remains a candidate after its latest
	// request for a place.
	candidateExpiry = 2 * time.Second
	// membershipCheckTimeouts is the number of election timeouts without a leader
	// after which a member asks whether it still has its place.
	membershipCheckTimeouts = 3
)

// recentCandidates returns the candidates that have not expired, sorted by name.
func (controller *Controller) recentCandidates(now time.Time) []Candidate {
	if len(controller.candidates) == 0 {
		return nil
	}
	var recent []Candidate
	for _, name := range sortedKeys(controller.candidates) {
		candidate := controller.candidates[name]
		if now.Sub(candidate.At) > candidateExpiry {
			delete(controller.candidates, name)
			continue
		}
		recent = append(recent, candidate)
	}
	return recent
}

// checkMembership sends PlaceRequests to the other members when this member has
// had no leader for membershipCheckTimeouts election timeouts. The group no
// longer sends messages to a removed member, so a member that was removed while
// it was down or unreachable learns of the removal only from the reply.
func (controller *Controller) checkMembership(now time.Time) {
	core := controller.core
	wait := membershipCheckTimeouts * controller.options.ElectionTimeout
	if core.Role() == raft.Leader || core.Leader() != 0 || controller.nextMembershipCheck.IsZero() {
		controller.nextMembershipCheck = now.Add(wait)
		return
	}
	if now.Before(controller.nextMembershipCheck) {
		return
	}
	controller.nextMembershipCheck = now.Add(wait)
	identity := controller.storage.identity
	for _, name := range controller.knownMembers() {
		controller.mailbox.Send(name, PlaceRequest{Group: identity.Group, Member: identity.Member, Disk: identity.Disk})
	}
}

// knownMembers returns the names of all other nodes that may know the group's
// membership, sorted.
func (controller *Controller) knownMembers() []model.NodeName {
	names := slices.Clone(controller.options.Members)
	for _, member := range controller.core.Configuration().Members {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name model.NodeName) bool { return name == controller.options.Self })
}

// handlePlaceRequest sends a PlaceReply once a quorum has confirmed that this member
// is the leader. A member that is not the leader does not reply.
func (controller *Controller) handlePlaceRequest(now time.Time, from model.NodeName, placeRequest PlaceRequest) {
	if placeRequest.Group != controller.storage.identity.Group || controller.core.Role() != raft.Leader {
		return
	}
	controller.read(now, request{kind: requestRead, done: func(answer outcome) {
		if answer.err != nil || controller.core == nil {
			return
		}
		controller.mailbox.Send(from, PlaceReply{
			Group:   placeRequest.Group,
			Member:  placeRequest.Member,
			Disk:    placeRequest.Disk,
			Removed: controller.core.CommittedConfiguration().Removed(placeRequest.Member),
		})
	}})
}

// handlePlaceReply handles the reply to a request from checkMembership.
func (controller *Controller) handlePlaceReply(now time.Time, reply PlaceReply) {
	identity := controller.storage.identity
	addressed := reply.Group == identity.Group && reply.Member == identity.Member && reply.Disk == identity.Disk
	if !addressed || !reply.Removed {
		return
	}
	if err := controller.rejoinWithNewIdentity(now); err != nil {
		controller.fail(err)
	}
}

// rejoinWithNewIdentity discards the identity of a removed member. The member
// gets a new disk number and requests a place like one with an empty disk. Its
// old log is not used again.
func (controller *Controller) rejoinWithNewIdentity(now time.Time) error {
	controller.failPending("this member was removed from the group")
	if err := controller.storage.log.Close(); err != nil {
		return err
	}
	identity := Identity{Version: identityVersion, Name: controller.options.Self, Disk: newDiskNumber(controller.options, now)}
	if err := writeIdentity(controller.files, identity); err != nil {
		return err
	}
	if err := controller.machine.Restore(controller.initialSnapshot); err != nil {
		return err
	}
	controller.core = nil
	controller.storage = nil
	controller.options.Join = true
	controller.joiner = newJoiner(controller.options, controller.mailbox, identity)
	return nil
}

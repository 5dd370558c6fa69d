package reconfigure

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

// Plan returns the next change that a leader with this status proposes, or one of kind ChangeNone. It
// is a pure function.
func Plan(options Options, status replica.Status, now time.Time) Change {
	plan := planner{options: options, status: status, now: now}
	return plan.next()
}

// next returns the change of the first step that applies.
func (plan *planner) next() Change {
	for _, step := range []func() Change{
		plan.removeMemberWithLostDisk, plan.removeUnresponsiveLearner, plan.promoteLearner, plan.demoteSilentVoter, plan.demoteLeavingVoter,
		plan.demoteSurplusVoter, plan.replaceOlderVoter, plan.admitCandidates,
	} {
		if change := step(); change.Kind != ChangeNone {
			return change
		}
	}
	return Change{}
}

// planner has the input of Plan. Each of its steps returns a change, or none if it does not apply.
type planner struct {
	options Options
	status  replica.Status
	now     time.Time
}

// responsive reports whether the member answered within SilentAfter, and has not ended since.
func (plan *planner) responsive(peer raft.Peer) bool {
	return responsive(peer, plan.options.SilentAfter, plan.now)
}

// silent reports whether the member has ended, or has not answered for SilentAfter although this leader
// sent to it. A member that this leader has just begun to send to is neither responsive nor silent.
func (plan *planner) silent(peer raft.Peer) bool {
	return peer.ID != plan.status.Self && (peer.Ended || peer.SilentFor(plan.now) >= plan.options.SilentAfter)
}

// countVoters returns the number of voters, and the number of those that are responsive.
func (plan *planner) countVoters() (all, responsive int) {
	counts := plan.options.CountMembers(plan.status, plan.now)
	return counts.Voters, counts.ResponsiveVoters
}

// standbyReason returns why the group's learners have no vote, or an empty string if there are none.
func (plan *planner) standbyReason() string {
	counts := plan.options.CountMembers(plan.status, plan.now)
	switch {
	case counts.Learners == 0:
		return ""
	case counts.Voters < plan.wantedVoters():
		return "no learner responds and has caught up"
	case counts.ResponsiveVoters <= counts.Voters/2:
		return "too few voters respond to change the membership"
	case counts.ResponsiveVoters < counts.Voters:
		return "a silent voter keeps its vote until a learner is ready"
	default:
		return "the group has all the voters that it wants"
	}
}

// wantedVoters returns the number of voters up to which learners are promoted.
func (plan *planner) wantedVoters() int { return plan.options.WantedVoters() }

// mayLoseVote reports whether the responsive voters other than the given one are a majority of the
// voters without it.
func (plan *planner) mayLoseVote(voter raft.Peer) bool {
	all, responsive := plan.countVoters()
	if plan.responsive(voter) {
		responsive--
	}
	return all > 1 && responsive > (all-1)/2
}

// leaving reports whether the member is about to stop as planned.
func (plan *planner) leaving(id replica.MemberID) bool {
	return slices.Contains(plan.status.Leaving, id)
}

// removeMemberWithLostDisk removes a member if a candidate has its name but another disk. The disk to
// which the member's ID is tied is then permanently lost.
func (plan *planner) removeMemberWithLostDisk() Change {
	for _, candidate := range plan.status.Candidates {
		for _, peer := range plan.status.Peers {
			if peer.Name != candidate.Name || peer.Disk == candidate.Disk || peer.Disk == 0 || peer.ID == plan.status.Self {
				continue
			}
			if peer.Learner || plan.mayLoseVote(peer) {
				return Change{Kind: ChangeRemove, ID: peer.ID, Name: peer.Name, Cause: "its disk was lost"}
			}
		}
	}
	return Change{}
}

// removeUnresponsiveLearner removes a learner that has not answered for DropLearnerAfter.
func (plan *planner) removeUnresponsiveLearner() Change {
	for _, peer := range plan.status.Peers {
		if peer.Learner && peer.SilentFor(plan.now) > plan.options.DropLearnerAfter {
			return Change{Kind: ChangeRemove, ID: peer.ID, Name: peer.Name, Cause: "the learner is silent"}
		}
	}
	return Change{}
}

// votersByZone returns the number of responsive voters in each zone.
func (plan *planner) votersByZone() map[model.ZoneName]int {
	voters := make(map[model.ZoneName]int)
	for _, peer := range plan.status.Peers {
		if !peer.Learner && plan.responsive(peer) {
			voters[peer.Zone]++
		}
	}
	return voters
}

// ready reports whether the member could be a voter at once.
func (plan *planner) ready(peer raft.Peer) bool {
	return peer.CaughtUp && plan.responsive(peer) && !plan.leaving(peer.ID)
}

// replacementLearner returns a learner that is ready to become a voter. Of several it returns one in the zone with the fewest responsive voters.
func (plan *planner) replacementLearner() (raft.Peer, bool) {
	voters := plan.votersByZone()
	var best raft.Peer
	found := false
	for _, peer := range plan.status.Peers {
		if !peer.Learner || !plan.ready(peer) {
			continue
		}
		if !found || voters[peer.Zone] < voters[best.Zone] {
			best, found = peer, true
		}
	}
	return best, found
}

// stayingVoters returns the number of voters that are neither leaving nor silent.
func (plan *planner) stayingVoters() int {
	staying := 0
	for _, peer := range plan.status.Peers {
		if !peer.Learner && !plan.leaving(peer.ID) && !plan.silent(peer) {
			staying++
		}
	}
	return staying
}

// promoteLearner promotes a learner if the group has fewer voters than it wants, those that are
// leaving or silent not counted.
func (plan *planner) promoteLearner() Change {
	learner, found := plan.replacementLearner()
	all, responsive := plan.countVoters()
	majority := responsive+1 > (all+1)/2
	if !found || !majority || plan.stayingVoters() >= plan.wantedVoters() {
		return Change{}
	}
	return Change{Kind: ChangePromote, ID: learner.ID, Name: learner.Name, Cause: "the group wants more voters that stay"}
}

// demoteSilentVoter demotes a voter that is silent while the group has more voters than it wants, which
// it has once a learner was promoted in the voter's place. The member keeps its log, and is ready to be
// promoted again soon after it comes back.
func (plan *planner) demoteSilentVoter() Change {
	if all, _ := plan.countVoters(); all <= plan.wantedVoters() {
		return Change{}
	}
	for _, peer := range plan.status.Peers {
		if !peer.Learner && plan.silent(peer) && plan.mayLoseVote(peer) {
			return Change{Kind: ChangeDemote, ID: peer.ID, Name: peer.Name, Cause: "the voter is silent and was replaced"}
		}
	}
	return Change{}
}

// admitCandidates adds, in one change, all candidates whose names no member has as learners. Each
// change takes a round of consensus, and a process that is not a member can serve no calls, so with
// one change per candidate the first start of a group would take longer the more members it has.
func (plan *planner) admitCandidates() Change {
	var admitted []replica.Candidate
	for _, candidate := range plan.status.Candidates {
		if !plan.hasMember(candidate.Name) {
			admitted = append(admitted, candidate)
		}
	}
	if len(admitted) == 0 {
		return Change{}
	}
	return Change{Kind: ChangeAdd, Admitted: admitted, Cause: "processes with empty disks ask to join"}
}

// hasMember reports whether a member has the name.
func (plan *planner) hasMember(name model.NodeName) bool {
	for _, peer := range plan.status.Peers {
		if peer.Name == name {
			return true
		}
	}
	return false
}

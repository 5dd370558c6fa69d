package reconfigure

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

// demoteLeavingVoter demotes a voter that is leaving while the group has more voters than it wants.
// The votes of voters that stop count in the quorum, so that they must not outnumber those that stay.
func (plan *planner) demoteLeavingVoter() Change {
	if all, _ := plan.countVoters(); all <= plan.wantedVoters() {
		return Change{}
	}
	for _, peer := range plan.status.Peers {
		if !peer.Learner && plan.leaving(peer.ID) && peer.ID != plan.status.Self && plan.mayLoseVote(peer) {
			return Change{Kind: ChangeDemote, ID: peer.ID, Name: peer.Name, Cause: "the voter is leaving"}
		}
	}
	return Change{}
}

// demoteSurplusVoter demotes a voter if all voters respond and those that are not leaving are more
// than the group wants, which they are after a learner was promoted to replace a voter that then did
// not leave, or that is still there. It is the oldest of them in the zone with the most voters.
func (plan *planner) demoteSurplusVoter() Change {
	all, responsive := plan.countVoters()
	if plan.stayingVoters() <= plan.wantedVoters() || responsive < all {
		return Change{}
	}
	voters := plan.votersByZone()
	var surplus raft.Peer
	for _, peer := range plan.status.Peers {
		if peer.Learner || plan.leaving(peer.ID) {
			continue
		}
		more, same := voters[peer.Zone] > voters[surplus.Zone], voters[peer.Zone] == voters[surplus.Zone]
		if surplus.ID == 0 || more || same && peer.ID < surplus.ID {
			surplus = peer
		}
	}
	return plan.withdrawVote(surplus, "the group has more voters than it wants")
}

// replaceOlderVoter promotes a learner that joined its zone after a voter of that zone. Such a learner
// is most likely there because the voter's machine is about to be taken away, perhaps without notice;
// if both stay, it does not matter which of them votes. demoteSurplusVoter then withdraws the older
// vote. A group with as many learners as voters has replacements at hand, and keeps its voters.
func (plan *planner) replaceOlderVoter() Change {
	counts := plan.options.CountMembers(plan.status, plan.now)
	wanted := plan.wantedVoters()
	if counts.Voters != wanted || plan.stayingVoters() < wanted || counts.ResponsiveVoters < wanted || counts.Learners >= wanted {
		return Change{}
	}
	for _, learner := range slices.Backward(plan.status.Peers) {
		if !learner.Learner || !plan.ready(learner) || learner.Zone == "" {
			continue
		}
		voter, found := plan.oldestVoter(learner.Zone)
		if !found || voter.ID > learner.ID {
			continue
		}
		cause := "it joined the zone of an older voter"
		if voter.ID == plan.status.Self {
			return plan.withdrawVote(voter, cause)
		}
		return Change{Kind: ChangePromote, ID: learner.ID, Name: learner.Name, Cause: cause}
	}
	return Change{}
}

// oldestVoter returns the voter of a zone that joined the group first.
func (plan *planner) oldestVoter(zone model.ZoneName) (raft.Peer, bool) {
	var oldest raft.Peer
	for _, peer := range plan.status.Peers {
		if !peer.Learner && peer.Zone == zone && (oldest.ID == 0 || peer.ID < oldest.ID) {
			oldest = peer
		}
	}
	return oldest, oldest.ID != 0
}

// withdrawVote demotes a voter. The leader transfers its leadership first, and the next leader
// demotes it.
func (plan *planner) withdrawVote(voter raft.Peer, cause string) Change {
	change := Change{Kind: ChangeDemote, ID: voter.ID, Name: voter.Name, Cause: cause}
	if voter.ID == plan.status.Self {
		change.Kind = ChangeTransferLeadership
	}
	return change
}

// replacementSilence is how long a learner may be silent until leaving voters no longer wait for it. It
// is longer than SilentAfter, because a learner may be busy with a snapshot.
const replacementSilence = time.Second

// awaitsReplacement reports whether the leaving member has a vote that another member can take over,
// so that it should not stop yet.
func (plan *planner) awaitsReplacement(id replica.MemberID) bool {
	if !plan.votes(id) {
		return false
	}
	if all, _ := plan.countVoters(); all > plan.wantedVoters() {
		return true
	}
	return slices.ContainsFunc(plan.status.Peers, func(peer raft.Peer) bool {
		demoted := peer.ID == id
		replacement := !plan.leaving(peer.ID) && !peer.Ended && peer.SilentFor(plan.now) < replacementSilence
		return peer.Learner && (demoted || replacement)
	})
}

// votes reports whether the member has a vote in the committed membership.
func (plan *planner) votes(id replica.MemberID) bool {
	return slices.ContainsFunc(plan.status.Members, func(member replica.Member) bool {
		return member.ID == id && !member.Learner
	})
}

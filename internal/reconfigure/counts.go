package reconfigure

import (
	"time"

	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

// responsive reports whether the member answered this leader within silentAfter, and has not ended
// since.
func responsive(peer raft.Peer, silentAfter time.Duration, now time.Time) bool {
	return !peer.Ended && !peer.LastReplyAt.IsZero() && now.Sub(peer.LastReplyAt) < silentAfter
}

// MemberCounts are the numbers of members as the leader sees them.
type MemberCounts struct {
	// Voters is the number of voters, and ResponsiveVoters of those that answered recently.
	Voters, ResponsiveVoters int
	// Learners is the number of learners, and ReadyLearners of those that answered recently and have
	// caught up.
	Learners, ReadyLearners int
}

// CountMembers counts the members in the status of a leader. At a member that does not lead, all
// counts are zero.
func (options Options) CountMembers(status replica.Status, now time.Time) MemberCounts {
	var counts MemberCounts
	for _, peer := range status.Peers {
		answers := responsive(peer, options.SilentAfter, now)
		switch {
		case peer.Learner:
			counts.Learners++
			if answers && peer.CaughtUp {
				counts.ReadyLearners++
			}
		default:
			counts.Voters++
			if answers {
				counts.ResponsiveVoters++
			}
		}
	}
	return counts
}

package reconfigure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

var (
	leaderSince = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now         = leaderSince.Add(time.Minute)
)

// peer returns a voter that the leader has known since it became leader and that answered recently.
// The functions in change modify it.
func peer(id replica.MemberID, name model.NodeName, change ...func(*raft.Peer)) raft.Peer {
	made := raft.Peer{
		Member:       raft.Member{ID: id, Name: name, Disk: uint64(id) * 100},
		TrackedSince: leaderSince,
		LastReplyAt:  now.Add(-50 * time.Millisecond),
		CaughtUp:     true,
	}
	for _, apply := range change {
		apply(&made)
	}
	return made
}

func learner(peer *raft.Peer) { peer.Learner = true }
func inZone(zone model.ZoneName) func(*raft.Peer) {
	return func(peer *raft.Peer) { peer.Zone = zone }
}
func notCaughtUp(peer *raft.Peer) { peer.CaughtUp = false }
func lastHeardAgo(duration time.Duration) func(*raft.Peer) {
	return func(peer *raft.Peer) { peer.LastReplyAt = now.Add(-duration) }
}

// addedAndNeverHeard makes a member that was added the given duration ago and has never answered.
func addedAndNeverHeard(duration time.Duration) func(*raft.Peer) {
	return func(peer *raft.Peer) {
		peer.TrackedSince = now.Add(-duration)
		peer.LastReplyAt = time.Time{}
		peer.CaughtUp = false
	}
}

func TestPlan(t *testing.T) {
	long := time.Minute
	cases := []struct {
		name       string
		losses     int
		zone       bool
		peers      []raft.Peer
		candidates []replica.Candidate
		want       Change
	}{
		{name: "nothing to do", losses: 1, peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c")}},
		{name: "unresponsive voter without a replacement stays", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(long))}},
		{name: "unresponsive voter is removed once a learner is ready", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(long)), peer(4, "d", learner)},
			want:  Change{Kind: ChangeRemove, ID: 3, Name: "c"}},
		{name: "voter that was unresponsive for less than ReplaceVoterAfter stays", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(2*time.Second)), peer(4, "d", learner)}},
		{name: "learner that has not caught up replaces no voter", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(long)), peer(4, "d", learner, notCaughtUp)}},
		{name: "no removal without a majority that responds", losses: 2,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(long)), peer(4, "d", lastHeardAgo(long)), peer(5, "e", lastHeardAgo(long)), peer(6, "f", learner)}},
		{name: "learner is promoted while there are fewer voters than wanted", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(4, "d", learner)},
			want:  Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "learner is not promoted when there are enough voters", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner)}},
		{name: "two tolerated losses require five voters", losses: 2,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner)},
			want:  Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "no tolerated loss still requires three voters", losses: 0,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(4, "d", learner)},
			want:  Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "tolerated loss of a zone requires five voters", zone: true,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner)},
			want:  Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "the learner of the zone with the fewest voters is promoted", losses: 2,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", inZone("y")), peer(3, "c", inZone("x")), peer(4, "d", learner, inZone("x")), peer(5, "e", learner, inZone("y"))},
			want:  Change{Kind: ChangePromote, ID: 5, Name: "e"}},
		{name: "lost disk of a voter", losses: 1,
			peers:      []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(time.Second))},
			candidates: []replica.Candidate{{Name: "c", Disk: 7, At: now}},
			want:       Change{Kind: ChangeRemove, ID: 3, Name: "c"}},
		{name: "the leader does not remove itself", losses: 1,
			peers:      []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c")},
			candidates: []replica.Candidate{{Name: "a", Disk: 7, At: now}}},
		{name: "new member", losses: 1,
			peers:      []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c")},
			candidates: []replica.Candidate{{Name: "d", Zone: "x", Disk: 7, At: now}},
			want:       Change{Kind: ChangeAdd, Admitted: []replica.Candidate{{Name: "d", Zone: "x", Disk: 7, At: now}}}},
		{name: "several new members at once", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c")},
			candidates: []replica.Candidate{
				{Name: "d", Disk: 7, At: now}, {Name: "b", Disk: 200, At: now}, {Name: "e", Disk: 8, At: now},
			},
			want: Change{Kind: ChangeAdd, Admitted: []replica.Candidate{{Name: "d", Disk: 7, At: now}, {Name: "e", Disk: 8, At: now}}}},
		{name: "learner that was just added and has not answered yet stays", losses: 1,
			peers:      []raft.Peer{peer(1, "a"), peer(2, "b"), peer(4, "c", learner, addedAndNeverHeard(100*time.Millisecond))},
			candidates: []replica.Candidate{{Name: "c", Disk: 400, At: now}}},
		{name: "learner that never answered is removed", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(4, "c", learner, addedAndNeverHeard(long))},
			want:  Change{Kind: ChangeRemove, ID: 4, Name: "c"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status := replica.Status{Self: 1, Leading: true, LeaderSince: leaderSince, Peers: test.peers, Candidates: test.candidates}
			options := DefaultOptions(test.losses)
			options.ToleratesZoneLoss = test.zone
			got := Plan(options, status, now)
			got.Cause = ""
			require.Equal(t, test.want, got)
		})
	}
}

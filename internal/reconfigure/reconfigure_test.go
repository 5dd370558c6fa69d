package reconfigure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/replica"
)

// testElectionTimeout is the election timeout of the groups of these tests.
const testElectionTimeout = 400 * time.Millisecond

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
func ended(peer *raft.Peer)       { peer.Ended = true }

// notHeardYet makes a member to which the leader has just begun to send.
func notHeardYet(peer *raft.Peer) { addedAndNeverHeard(testElectionTimeout / 2)(peer) }
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
		leaving    []replica.MemberID
		want       Change
	}{
		{name: "nothing to do", losses: 1, peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c")}},
		{name: "unresponsive voter without a replacement stays", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(long))}},
		{name: "learner that is ready takes over from a silent voter", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(testElectionTimeout)), peer(4, "d", learner)},
			want:  Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "silent voter is demoted once a learner was promoted", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(testElectionTimeout)), peer(4, "d")},
			want:  Change{Kind: ChangeDemote, ID: 3, Name: "c"}},
		{name: "learner takes over at once from a voter that has ended", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", ended), peer(4, "d", learner)},
			want:  Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "voter that has ended is demoted at once", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", ended), peer(4, "d")},
			want:  Change{Kind: ChangeDemote, ID: 3, Name: "c"}},
		{name: "learner that has ended replaces no voter", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", ended), peer(4, "d", learner, ended)}},
		{name: "voter that was silent for less than SilentAfter stays", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(testElectionTimeout-time.Millisecond)), peer(4, "d", learner)}},
		{name: "voter to which a new leader has just begun to send stays", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", addedAndNeverHeard(testElectionTimeout-time.Millisecond)), peer(4, "d", learner)}},
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
		{name: "learner takes over from a voter that is leaving", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner)},
			leaving: []replica.MemberID{3},
			want:    Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "leaving voter is demoted once enough others stay", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d")},
			leaving: []replica.MemberID{3},
			want:    Change{Kind: ChangeDemote, ID: 3, Name: "c"}},
		{name: "leaving voter without a replacement keeps its vote", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner, notCaughtUp)},
			leaving: []replica.MemberID{3}},
		{name: "leaving learner gets no vote", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d", learner)},
			leaving: []replica.MemberID{3, 4}},
		{name: "two leaving voters are replaced before the first is demoted", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d"), peer(5, "e", learner)},
			leaving: []replica.MemberID{2, 3},
			want:    Change{Kind: ChangePromote, ID: 5, Name: "e"}},
		{name: "silent voters are demoted before a leaving one", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b", lastHeardAgo(2*time.Second)), peer(3, "c"), peer(4, "d", lastHeardAgo(2*time.Second))},
			leaving: []replica.MemberID{3},
			want:    Change{Kind: ChangeDemote, ID: 2, Name: "b"}},
		{name: "no voter is demoted if the rest would be no majority", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b", notHeardYet), peer(3, "c"), peer(4, "d", notHeardYet)},
			leaving: []replica.MemberID{3}},
		{name: "leaving leader does not demote itself", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d")},
			leaving: []replica.MemberID{1}},
		{name: "surplus leader hands over", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d")},
			want:  Change{Kind: ChangeTransferLeadership, ID: 1, Name: "a"}},
		{name: "one of two leaving voters is demoted, so that the staying ones are a majority", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c"), peer(4, "d")},
			leaving: []replica.MemberID{2, 4},
			want:    Change{Kind: ChangeDemote, ID: 2, Name: "b"}},
		{name: "neither a staying voter nor one of the wanted number is demoted for a leaving one", losses: 1,
			peers:   []raft.Peer{peer(1, "a"), peer(2, "b", learner), peer(3, "c"), peer(4, "d")},
			leaving: []replica.MemberID{2, 4}},
		{name: "learner that joined the zone of an older voter is promoted", losses: 1,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", inZone("y")), peer(3, "c", inZone("z")), peer(4, "d", learner, inZone("y"))},
			want:  Change{Kind: ChangePromote, ID: 4, Name: "d"}},
		{name: "the older voter of a zone is then demoted", losses: 1,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", inZone("y")), peer(3, "c", inZone("z")), peer(4, "d", inZone("y"))},
			want:  Change{Kind: ChangeDemote, ID: 2, Name: "b"}},
		{name: "the demoted member does not take its vote back", losses: 1,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", learner, inZone("y")), peer(3, "c", inZone("z")), peer(4, "d", inZone("y"))}},
		{name: "a leader that a newer learner of its zone replaces hands over", losses: 1,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", inZone("y")), peer(3, "c", inZone("z")), peer(4, "d", learner, inZone("x"))},
			want:  Change{Kind: ChangeTransferLeadership, ID: 1, Name: "a"}},
		{name: "a learner takes over from a silent voter and not from the older one of its zone", losses: 1,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", inZone("y")), peer(3, "c", inZone("z"), lastHeardAgo(2*time.Second)), peer(4, "d", inZone("y"))},
			want:  Change{Kind: ChangeDemote, ID: 3, Name: "c"}},
		{name: "no vote moves to a newer learner in another zone", losses: 1,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", inZone("y")), peer(3, "c", inZone("z")), peer(4, "d", learner, inZone("w"))}},
		{name: "a group with as many learners as voters keeps its voters", losses: 1,
			peers: []raft.Peer{peer(1, "a", inZone("x")), peer(2, "b", inZone("y")), peer(3, "c", inZone("z")),
				peer(4, "d", learner, inZone("x")), peer(5, "e", learner, inZone("y")), peer(6, "f", learner, inZone("z"))}},
		{name: "surplus voter that is silent is demoted without a learner", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(long)), peer(4, "d")},
			want:  Change{Kind: ChangeDemote, ID: 3, Name: "c"}},
		{name: "lost disk while another of four voters is unresponsive", losses: 1,
			peers:      []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(2*time.Second)), peer(4, "d")},
			candidates: []replica.Candidate{{Name: "b", Disk: 7, At: now}},
			want:       Change{Kind: ChangeRemove, ID: 2, Name: "b"}},
		{name: "member with a lost disk does not count as responsive", losses: 1,
			peers:      []raft.Peer{peer(1, "a"), peer(2, "b"), peer(3, "c", lastHeardAgo(2*time.Second))},
			candidates: []replica.Candidate{{Name: "b", Disk: 7, At: now}}},
		{name: "learner that never answered is removed", losses: 1,
			peers: []raft.Peer{peer(1, "a"), peer(2, "b"), peer(4, "c", learner, addedAndNeverHeard(long))},
			want:  Change{Kind: ChangeRemove, ID: 4, Name: "c"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status := replica.Status{Self: 1, Leading: true, LeaderSince: leaderSince, Peers: test.peers, Candidates: test.candidates, Leaving: test.leaving}
			options := DefaultOptions(test.losses, testElectionTimeout)
			options.ToleratesZoneLoss = test.zone
			got := Plan(options, status, now)
			got.Cause = ""
			require.Equal(t, test.want, got)
		})
	}
}

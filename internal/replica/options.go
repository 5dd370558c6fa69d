package replica

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
)

// Options configure one member.
type Options struct {
	// Self is the node name of this member.
	Self model.NodeName
	// Zone is the failure zone of this member; it may be empty.
	Zone model.ZoneName
	// Members are the initial members of the group, including this one, or, with
	// Join, the members to request a place from.
	Members []model.NodeName
	// Join makes this member join a running group as a learner. It never founds
	// one.
	Join bool
	// ElectionTimeout is the minimum time without contact from a leader before
	// an election.
	ElectionTimeout time.Duration
	// FirstElectionTimeout replaces ElectionTimeout for the first wait after a
	// start; zero means that ElectionTimeout applies.
	FirstElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeat rounds of a leader.
	HeartbeatInterval time.Duration
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int
	// Seed seeds the random election timeouts and the number of a new disk.
	Seed uint64
	// SegmentBytes is the size of a log segment; zero means the default.
	SegmentBytes int64
	// ChunkBytes is the maximum size of one chunk of a sent snapshot; zero means
	// the default.
	ChunkBytes int
	// MaxCommandBytes is the maximum size of one command; zero means the default.
	MaxCommandBytes int
	// MaxProposalsPerSync limits the number of proposals that share one sync; zero
	// means no limit.
	MaxProposalsPerSync int
}

const (
	defaultSnapshotEvery   = 10_000
	defaultMaxCommandBytes = 4 << 20
	// requestCapacity is the maximum number of requests queued for the controller.
	requestCapacity = 1 << 16
)

func (options Options) withDefaults() Options {
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = defaultSnapshotEvery
	}
	if options.MaxCommandBytes == 0 {
		options.MaxCommandBytes = defaultMaxCommandBytes
	}
	options.Members = slices.Clone(options.Members)
	slices.Sort(options.Members)
	return options
}

// founder returns the only member that may found the group: the first of the
// sorted names. It is empty with Join.
func (options Options) founder() model.NodeName {
	if options.Join || len(options.Members) == 0 {
		return ""
	}
	return options.Members[0]
}

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
	// Members are the first members of the group, this one among them, or,
	// with Join, the members to ask for a place.
	Members []model.NodeName
	// Join tells that this member joins a running group as a learner and
	// never founds one.
	Join            bool
	ElectionTimeout time.Duration
	// FirstElectionTimeout replaces ElectionTimeout for the first wait after a
	// start; zero means that it does not.
	FirstElectionTimeout time.Duration
	HeartbeatInterval    time.Duration
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int
	// Seed fixes the election waits and the number of a new disk.
	Seed uint64
	// SegmentBytes is the size of a log segment; zero means the default.
	SegmentBytes int64
	// ChunkBytes is the size of one piece of a sent snapshot; zero means the
	// default.
	ChunkBytes int
	// MaxCommandBytes bounds one command; zero means the default.
	MaxCommandBytes int
	// MaxProposalsPerSync bounds the proposals that share one sync; zero means
	// no bound.
	MaxProposalsPerSync int
}

const (
	defaultSnapshotEvery   = 10_000
	defaultMaxCommandBytes = 4 << 20
	// requestCapacity bounds the requests that wait for the controller.
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

// founder returns the only member that may found the group.
func (options Options) founder() model.NodeName {
	if options.Join || len(options.Members) == 0 {
		return ""
	}
	return options.Members[0]
}

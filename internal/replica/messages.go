package replica

import (
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
)

// FoundRequest asks an unformed member for its disk's number, so that the
// founder can write the first configuration.
type FoundRequest struct {
	// Founder is the number of the founder's disk.
	Founder uint64
}

// FoundReply answers a FoundRequest while the sender is not formed. It repeats
// the founder's number, so an answer to an earlier life of the founder is told
// apart.
type FoundReply struct {
	Founder uint64
	Disk    uint64
	Zone    model.ZoneName
}

// JoinRequest asks a formed member for the sender's place in the group.
type JoinRequest struct {
	Disk uint64
	Zone model.ZoneName
}

// JoinReply answers a JoinRequest or FoundRequest of a formed group.
type JoinReply struct {
	Disk     uint64
	Accepted bool
	// Leader is the leader that the sender follows; empty when it knows none.
	Leader model.NodeName
	Group  uint64
	// The fields below are set when the sender has a place.
	Member        raft.MemberID
	Configuration raft.Configuration
}

// PlaceRequest asks the leader whether a formed member still has its place.
type PlaceRequest struct {
	Group  uint64
	Member raft.MemberID
	Disk   uint64
}

// PlaceReply answers a PlaceRequest. Only a leader answers, after a quorum
// confirmed it and once it has applied everything that was committed before.
type PlaceReply struct {
	Group   uint64
	Member  raft.MemberID
	Disk    uint64
	Removed bool
}

func init() {
	protocol.Register(PlaceRequest{})
	protocol.Register(PlaceReply{})
	protocol.Register(FoundRequest{})
	protocol.Register(FoundReply{})
	protocol.Register(JoinRequest{})
	protocol.Register(JoinReply{})
}

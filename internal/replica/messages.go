package replica

import (
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
)

// FoundRequest requests the disk number of a member without a place, so that the
// founder can create the initial configuration.
type FoundRequest struct {
	// Founder is the founder's disk number.
	Founder uint64
}

// FoundReply answers a FoundRequest while the sender has no place. It repeats the
// founder's disk number, so that the founder ignores replies to requests that it
// sent before it lost its disk.
type FoundReply struct {
	Founder uint64
	Disk    uint64
	Zone    model.ZoneName
}

// JoinRequest requests the sender's place from a member that has one.
type JoinRequest struct {
	Disk uint64
	Zone model.ZoneName
}

// JoinReply answers a JoinRequest or FoundRequest. Its sender has a place in the group.
type JoinReply struct {
	Disk     uint64
	Accepted bool
	// Leader is the leader that the sender follows; empty when it has none.
	Leader model.NodeName
	Group  uint64
	// The fields below are set when Accepted is true.
	Member        raft.MemberID
	Configuration raft.Configuration
}

// PlaceRequest asks the leader whether a member still has its place.
type PlaceRequest struct {
	Group  uint64
	Member raft.MemberID
	Disk   uint64
}

// PlaceReply answers a PlaceRequest. Only a leader sends it, after a quorum has
// confirmed its leadership and it has applied everything that was committed
// before the request arrived.
type PlaceReply struct {
	Group   uint64
	Member  raft.MemberID
	Disk    uint64
	Removed bool
}

// LeaveRequest tells the leader that its sender, a member of the group, is about to stop as planned.
// The sender repeats it until it receives a LeaveReply.
type LeaveRequest struct {
	Group  uint64
	Member raft.MemberID
}

// LeaveReply answers a LeaveRequest once the member may stop: it has no vote, or no other member can
// take its vote over.
type LeaveReply struct {
	Group  uint64
	Member raft.MemberID
}

func init() {
	protocol.Register(LeaveRequest{})
	protocol.Register(LeaveReply{})
	protocol.Register(PlaceRequest{})
	protocol.Register(PlaceReply{})
	protocol.Register(FoundRequest{})
	protocol.Register(FoundReply{})
	protocol.Register(JoinRequest{})
	protocol.Register(JoinReply{})
}

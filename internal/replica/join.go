package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
)

// joiner obtains a place in the group for a member with an empty disk.
//
// An empty disk is either new or replaces a lost one, and the member cannot
// distinguish the two. Therefore no member assigns itself an ID. Instead it
// writes a random disk number to its disk. The founder, which is the first
// member by name, collects the disk numbers of all listed members. Only if none
// of them has a place does it create the initial configuration, which binds
// each ID to a disk number. Every other member gets the ID that a member with a
// place finds in its configuration for that disk number. A member that lost its
// disk has a new disk number, gets no place and so cannot vote twice in a term.
type joiner struct {
	options  Options
	mailbox  *protocol.Mailbox
	identity Identity
	// mayFound is set while this member may found the group: it is the founder
	// and has not learned that the group exists.
	mayFound bool
	// disks and zones are the disk numbers and zones that the founder has collected.
	disks         map[model.NodeName]uint64
	zones         map[model.NodeName]model.ZoneName
	nextRequestAt time.Time
	// refused is set when the group exists and has no place for this disk.
	refused bool
	// leader is the group's leader as reported by a member. It may be missing from
	// the listed members.
	leader model.NodeName
}

func newJoiner(options Options, mailbox *protocol.Mailbox, identity Identity) *joiner {
	return &joiner{
		options:  options,
		mailbox:  mailbox,
		identity: identity,
		mayFound: options.founder() == options.Self,
		disks:    make(map[model.NodeName]uint64),
		zones:    make(map[model.NodeName]model.ZoneName),
	}
}

// newDiskNumber returns a random, nonzero number for an empty disk. The current
// time is part of the seed, so that a restart after the loss of the disk yields
// another number even with the same configured seed.
func newDiskNumber(options Options, now time.Time) uint64 {
	name := xxhash.Sum64String(string(options.Self))
	random := rand.New(rand.NewPCG(options.Seed^name, uint64(now.UnixNano())))
	return random.Uint64() | 1
}

// sendRequests sends a FoundRequest, or a JoinRequest if this member cannot
// found the group, to the other members at most once per heartbeat interval.
func (joiner *joiner) sendRequests(now time.Time) {
	if now.Before(joiner.nextRequestAt) {
		return
	}
	joiner.nextRequestAt = now.Add(joiner.options.HeartbeatInterval)
	for _, name := range joiner.options.Members {
		if name == joiner.options.Self {
			continue
		}
		if joiner.mayFound {
			joiner.mailbox.Send(name, FoundRequest{Founder: joiner.identity.Disk})
			continue
		}
		joiner.mailbox.Send(name, JoinRequest{Disk: joiner.identity.Disk, Zone: joiner.options.Zone})
	}
	if joiner.leader != "" && !slices.Contains(joiner.options.Members, joiner.leader) {
		joiner.mailbox.Send(joiner.leader, JoinRequest{Disk: joiner.identity.Disk, Zone: joiner.options.Zone})
	}
}

// handleFoundRequest sends this member's disk number to the founder.
func (joiner *joiner) handleFoundRequest(from model.NodeName, request FoundRequest) {
	if joiner.mayFound || from != joiner.options.founder() {
		return
	}
	joiner.mailbox.Send(from, FoundReply{Founder: request.Founder, Disk: joiner.identity.Disk, Zone: joiner.options.Zone})
}

// handleFoundReply records a member's disk number and zone, if the reply is to a
// request from this founder's current disk.
func (joiner *joiner) handleFoundReply(from model.NodeName, reply FoundReply) {
	if joiner.mayFound && reply.Founder == joiner.identity.Disk {
		joiner.disks[from] = reply.Disk
		joiner.zones[from] = reply.Zone
	}
}

// foundingIdentity returns the founder's identity, with the group's initial
// configuration, once all listed members have sent their disk numbers.
func (joiner *joiner) foundingIdentity() (Identity, bool) {
	if !joiner.mayFound {
		return Identity{}, false
	}
	joiner.disks[joiner.options.Self] = joiner.identity.Disk
	joiner.zones[joiner.options.Self] = joiner.options.Zone
	var configuration raft.Configuration
	for position, name := range joiner.options.Members {
		disk, known := joiner.disks[name]
		if !known {
			return Identity{}, false
		}
		id := raft.MemberID(position + 1)
		configuration.Members = append(configuration.Members, raft.Member{ID: id, Name: name, Zone: joiner.zones[name], Disk: disk})
		configuration.NextID = id + 1
	}
	identity := joiner.identity
	identity.Group = joiner.identity.Disk
	identity.Member = 1
	identity.Initial = configuration
	return identity, true
}

// handleJoinReply returns the identity that a member with a place assigned to
// this one, and false if it refused. Either reply shows that the group exists,
// so this member must not found it.
func (joiner *joiner) handleJoinReply(reply JoinReply) (Identity, bool) {
	if reply.Disk != joiner.identity.Disk {
		return Identity{}, false
	}
	joiner.mayFound = false
	joiner.refused = !reply.Accepted
	joiner.leader = reply.Leader
	if !reply.Accepted {
		return Identity{}, false
	}
	identity := joiner.identity
	identity.Group = reply.Group
	identity.Member = reply.Member
	identity.Initial = reply.Configuration
	return identity, true
}

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

// joiner gives a member with an empty disk its place in a group.
//
// An empty disk is either new or was lost, and the member itself cannot tell.
// So no member takes an ID on its own account. It writes a random number to
// its disk. The founder, the first of the listed names, collects the numbers
// of all listed members; only while all of them are unformed does it write the
// first configuration, which ties each ID to a disk's number. Every other
// member takes the ID that a formed member has for its number. A member that
// lost its disk has a new number, gets no place, and cannot vote twice.
type joiner struct {
	options  Options
	mailbox  *protocol.Mailbox
	identity Identity
	// founding tells that this member may still found the group.
	founding bool
	disks    map[model.NodeName]uint64
	zones    map[model.NodeName]model.ZoneName
	nextAsk  time.Time
	// refused tells that the group exists and has no place for this disk.
	refused bool
	// leader is the group's leader as a member told; it need not be listed.
	leader model.NodeName
}

func newJoiner(options Options, mailbox *protocol.Mailbox, identity Identity) *joiner {
	return &joiner{
		options:  options,
		mailbox:  mailbox,
		identity: identity,
		founding: options.founder() == options.Self,
		disks:    make(map[model.NodeName]uint64),
		zones:    make(map[model.NodeName]model.ZoneName),
	}
}

// newDiskNumber draws the number of an empty disk. The time takes part, so a
// restart on a lost disk draws another number even from the same seed.
func newDiskNumber(options Options, now time.Time) uint64 {
	name := xxhash.Sum64String(string(options.Self))
	random := rand.New(rand.NewPCG(options.Seed^name, uint64(now.UnixNano())))
	return random.Uint64() | 1
}

// ask repeats the present question to the other members at an interval.
func (joiner *joiner) ask(now time.Time) {
	if now.Before(joiner.nextAsk) {
		return
	}
	joiner.nextAsk = now.Add(joiner.options.HeartbeatInterval)
	for _, name := range joiner.options.Members {
		if name == joiner.options.Self {
			continue
		}
		if joiner.founding {
			joiner.mailbox.Send(name, FoundRequest{Founder: joiner.identity.Disk})
			continue
		}
		joiner.mailbox.Send(name, JoinRequest{Disk: joiner.identity.Disk, Zone: joiner.options.Zone})
	}
	if joiner.leader != "" && !slices.Contains(joiner.options.Members, joiner.leader) {
		joiner.mailbox.Send(joiner.leader, JoinRequest{Disk: joiner.identity.Disk, Zone: joiner.options.Zone})
	}
}

// answerFounder tells the founder this member's disk number.
func (joiner *joiner) answerFounder(from model.NodeName, request FoundRequest) {
	if joiner.founding || from != joiner.options.founder() {
		return
	}
	joiner.mailbox.Send(from, FoundReply{Founder: request.Founder, Disk: joiner.identity.Disk, Zone: joiner.options.Zone})
}

// takeFoundReply collects a disk number. It returns the founder's identity
// once all members have answered this life of the founder.
func (joiner *joiner) takeFoundReply(from model.NodeName, reply FoundReply) {
	if joiner.founding && reply.Founder == joiner.identity.Disk {
		joiner.disks[from] = reply.Disk
		joiner.zones[from] = reply.Zone
	}
}

// found returns the identity of the founder, once it may found the group.
func (joiner *joiner) found() (Identity, bool) {
	if !joiner.founding {
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

// takeJoinReply returns the identity that a formed member gave. A refusal
// tells that the group exists, so this member must not found it.
func (joiner *joiner) takeJoinReply(reply JoinReply) (Identity, bool) {
	if reply.Disk != joiner.identity.Disk {
		return Identity{}, false
	}
	joiner.founding = false
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

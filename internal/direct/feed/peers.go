package feed

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
)

const (
	// localZonePeers and remoteZonePeers are the numbers of peers from a balancer's own zone, and
	// from other zones, that its updates name. With two of each, a peer is left after the loss of
	// one of them, or of a zone.
	localZonePeers  = 2
	remoteZonePeers = 2
	// maxNeighbours is the largest number of other balancers with which a balancer exchanges load
	// reports. In larger systems each balancer has only one or two requests open at a time, so
	// reports from a sample of them say little, and reports to all of them cost too much.
	maxNeighbours = 16
)

// peerTimeout is how long a balancer remains a peer after it last subscribed or was announced.
const peerTimeout = 6 * time.Second

// peerRecord is a peer and the time at which it last subscribed or was last announced.
type peerRecord struct {
	Peer
	seenAt time.Time
}

// peerSet holds the balancers that others may follow, sorted by name.
type peerSet struct {
	records []peerRecord
	// cachedList is the result of list; nil after a change.
	cachedList *[]Peer
}

// list returns the peers, sorted by name. The result is shared and must not be modified.
func (set *peerSet) list() *[]Peer {
	if set.cachedList == nil {
		peers := make([]Peer, 0, len(set.records))
		for _, record := range set.records {
			peers = append(peers, record.Peer)
		}
		set.cachedList = &peers
	}
	return set.cachedList
}

// find returns the index of the peer with the name, or the index to insert it at, and reports
// whether it exists.
func (set *peerSet) find(name model.NodeName) (int, bool) {
	return slices.BinarySearchFunc(set.records, name, func(record peerRecord, name model.NodeName) int {
		switch {
		case record.Name < name:
			return -1
		case record.Name > name:
			return 1
		default:
			return 0
		}
	})
}

// observe adds or updates a peer that subscribed or was announced at now.
func (set *peerSet) observe(peer Peer, now time.Time) {
	index, exists := set.find(peer.Name)
	if !exists {
		set.records = slices.Insert(set.records, index, peerRecord{})
	}
	if set.records[index].Peer != peer {
		set.cachedList = nil
	}
	set.records[index] = peerRecord{Peer: peer, seenAt: now}
}

// removeExpired removes the peers that were not observed for longer than peerTimeout.
func (set *peerSet) removeExpired(now time.Time) {
	before := len(set.records)
	set.records = slices.DeleteFunc(set.records, func(record peerRecord) bool { return now.Sub(record.seenAt) > peerTimeout })
	if len(set.records) != before {
		set.cachedList = nil
	}
}

// choose returns the peers to name to the balancer with the given name: the ones that follow it in
// the cyclic order of names. Each peer is therefore named to about as many balancers as are named
// to it, and a change of the set changes few choices.
func (set *peerSet) choose(name model.NodeName, zone model.ZoneName) []model.NodeName {
	var chosen []model.NodeName
	localLeft, remoteLeft := localZonePeers, remoteZonePeers
	first, _ := set.find(name)
	for offset := range set.records {
		candidate := set.records[(first+offset)%len(set.records)]
		left := &remoteLeft
		if candidate.Zone == zone {
			left = &localLeft
		}
		if candidate.Name != name && *left > 0 {
			*left--
			chosen = append(chosen, candidate.Name)
		}
		if localLeft+remoteLeft == 0 {
			break
		}
	}
	return chosen
}

// neighbours returns all peers except the one with the given name, or none if there are more than
// maxNeighbours.
func (set *peerSet) neighbours(name model.NodeName) []model.NodeName {
	if len(set.records) > maxNeighbours+1 {
		return nil
	}
	others := make([]model.NodeName, 0, len(set.records))
	for _, record := range set.records {
		if record.Name != name {
			others = append(others, record.Name)
		}
	}
	return others
}

package feed

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
)

const (
	// peersNear and peersFar are the numbers of balancers of a balancer's own
	// zone, and of other zones, that it is told of. Two of each outlive the
	// loss of one of them, and of a zone.
	peersNear = 2
	peersFar  = 2
	// mostNeighbours is the largest number of other balancers with which a
	// balancer shares the load of targets. In larger systems each balancer has a
	// request or two open at a time: what a sample of them has says little, and
	// telling all of them costs too much.
	mostNeighbours = 16
)

// peerFor is how long after it was last heard of a balancer counts as one that
// others may follow.
const peerFor = 6 * time.Second

// knownPeer is a balancer that others may follow.
type knownPeer struct {
	Peer
	heardAt time.Time
}

// peerBook has the balancers that others may follow, sorted by name.
type peerBook struct {
	known []knownPeer
	// listed is known as a list, or nil after a change.
	listed *[]Peer
}

// list returns the balancers, sorted by name.
func (book *peerBook) list() *[]Peer {
	if book.listed == nil {
		peers := make([]Peer, 0, len(book.known))
		for _, known := range book.known {
			peers = append(peers, known.Peer)
		}
		book.listed = &peers
	}
	return book.listed
}

func (book *peerBook) find(name model.NodeName) (int, bool) {
	return slices.BinarySearchFunc(book.known, name, func(known knownPeer, name model.NodeName) int {
		switch {
		case known.Name < name:
			return -1
		case known.Name > name:
			return 1
		default:
			return 0
		}
	})
}

// hear records that a balancer was heard of at now.
func (book *peerBook) hear(heard Peer, now time.Time) {
	place, exists := book.find(heard.Name)
	if !exists {
		book.known = slices.Insert(book.known, place, knownPeer{})
	}
	if book.known[place].Peer != heard {
		book.listed = nil
	}
	book.known[place] = knownPeer{Peer: heard, heardAt: now}
}

// dropOld forgets balancers that were not heard of for long.
func (book *peerBook) dropOld(now time.Time) {
	before := len(book.known)
	book.known = slices.DeleteFunc(book.known, func(known knownPeer) bool { return now.Sub(known.heardAt) > peerFor })
	if len(book.known) != before {
		book.listed = nil
	}
}

// choose returns the balancers that the one with the name is told of: those
// that come after it in the order of names, so that each is told to as many
// others as it is told of, and a change moves few choices.
func (book *peerBook) choose(name model.NodeName, zone model.ZoneName) []model.NodeName {
	var chosen []model.NodeName
	near, far := peersNear, peersFar
	start, _ := book.find(name)
	for step := range book.known {
		candidate := book.known[(start+step)%len(book.known)]
		room := &far
		if candidate.Zone == zone {
			room = &near
		}
		if candidate.Name != name && *room > 0 {
			*room--
			chosen = append(chosen, candidate.Name)
		}
		if near+far == 0 {
			break
		}
	}
	return chosen
}

// neighbours returns all balancers but the one with the name, or none when they
// are too many.
func (book *peerBook) neighbours(name model.NodeName) []model.NodeName {
	if len(book.known) > mostNeighbours+1 {
		return nil
	}
	others := make([]model.NodeName, 0, len(book.known))
	for _, known := range book.known {
		if known.Name != name {
			others = append(others, known.Name)
		}
	}
	return others
}

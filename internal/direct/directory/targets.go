package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"merlinpaddle/internal/model"
)

// touchedSlack is how many entries of the log of changes may be out of date
// beyond the number of targets before it is compacted.
const touchedSlack = 256

// touched tells that a target changed at a revision.
type touched struct {
	target   *Target
	revision model.Revision
}

// targetIndex has the incarnations of targets by their identifiers, their addresses,
// in the order of their tokens, and in the order of their changes.
//
// Invariants: each incarnation stands once in ordered and byAddress; byID has the latest
// one of each identifier; the last entry of changes with its revision is the
// incarnation's latest one; the revisions of changes never go back.
type targetIndex struct {
	byID      map[TargetID]*Target
	byAddress map[netip.AddrPort][]*Target
	ordered   []*Target
	changes   []touched
}

func newTargetIndex() *targetIndex {
	return &targetIndex{byID: make(map[TargetID]*Target), byAddress: make(map[netip.AddrPort][]*Target)}
}

// add takes a new target in, whose token is above those of all others.
func (index *targetIndex) add(added *Target) {
	index.byID[added.ID] = added
	index.byAddress[added.Address] = append(index.byAddress[added.Address], added)
	index.ordered = append(index.ordered, added)
}

// remove takes a target out.
func (index *targetIndex) remove(target *Target) {
	if index.byID[target.ID] == target {
		delete(index.byID, target.ID)
	}
	index.leaveAddress(target)
	if place, found := index.place(target.Token); found {
		index.ordered = slices.Delete(index.ordered, place, place+1)
	}
}

// place returns where the incarnation with the token stands in ordered.
func (index *targetIndex) place(token Token) (int, bool) {
	return slices.BinarySearchFunc(index.ordered, token, func(other *Target, token Token) int {
		return cmp.Compare(other.Token, token)
	})
}

// find returns the incarnation with the token.
func (index *targetIndex) find(token Token) (*Target, bool) {
	place, found := index.place(token)
	if !found {
		return nil, false
	}
	return index.ordered[place], true
}

func (index *targetIndex) leaveAddress(target *Target) {
	others := slices.DeleteFunc(index.byAddress[target.Address], func(other *Target) bool { return other == target })
	if len(others) == 0 {
		delete(index.byAddress, target.Address)
		return
	}
	index.byAddress[target.Address] = others
}

// move gives a target another address.
func (index *targetIndex) move(target *Target, address netip.AddrPort) {
	if target.Address == address {
		return
	}
	index.leaveAddress(target)
	target.Address = address
	index.byAddress[address] = append(index.byAddress[address], target)
}

// touch records that a target changed at a revision.
func (index *targetIndex) touch(target *Target, revision model.Revision) {
	target.Revision = revision
	index.changes = append(index.changes, touched{target: target, revision: revision})
	if len(index.changes) > 2*len(index.ordered)+touchedSlack {
		index.changes = slices.DeleteFunc(index.changes, func(entry touched) bool { return !index.latest(entry) })
	}
}

// latest tells whether an entry is the latest change of a target that is still
// there.
func (index *targetIndex) latest(entry touched) bool {
	if entry.target.Revision != entry.revision {
		return false
	}
	_, present := index.find(entry.target.Token)
	return present
}

// changedSince returns the targets that changed after a revision, in the order
// of their tokens.
func (index *targetIndex) changedSince(from model.Revision) []TargetEntry {
	place, _ := slices.BinarySearchFunc(index.changes, from+1, func(entry touched, revision model.Revision) int {
		return cmp.Compare(entry.revision, revision)
	})
	var entries []TargetEntry
	for _, entry := range index.changes[place:] {
		if index.latest(entry) {
			entries = append(entries, entry.target.entry())
		}
	}
	slices.SortFunc(entries, func(left, right TargetEntry) int { return cmp.Compare(left.Token, right.Token) })
	return slices.CompactFunc(entries, func(left, right TargetEntry) bool { return left.Token == right.Token })
}

// restore replaces everything by targets in the order of their tokens.
func (index *targetIndex) restore(targets []Target) {
	for place := range targets {
		target := targets[place]
		index.add(&target)
		index.changes = append(index.changes, touched{target: &target, revision: target.Revision})
	}
	slices.SortStableFunc(index.changes, func(left, right touched) int { return cmp.Compare(left.revision, right.revision) })
}

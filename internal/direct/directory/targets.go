package directory

import (
	"cmp"
	"net/netip"
	"slices"

	"merlinpaddle/internal/model"
)

// changeLogSlack is the number of entries that changeLog may have above twice the number of
// targets before obsolete entries are removed.
const changeLogSlack = 256

// targetChange records that a target changed at a revision.
type targetChange struct {
	target   *Target
	revision model.Revision
}

// targetIndex has the incarnations of targets by identifier, by address, in the order of their
// tokens, and in the order of their changes.
//
// Invariants: each incarnation is once in byToken and once in byAddress; byID has the incarnations of
// each identifier in the order of their tokens; the last entry of an incarnation in changeLog has its
// Revision; the revisions in changeLog never decrease.
type targetIndex struct {
	byID      map[TargetID][]*Target
	byAddress map[netip.AddrPort][]*Target
	byToken   []*Target
	changeLog []targetChange
}

func newTargetIndex() *targetIndex {
	return &targetIndex{byID: make(map[TargetID][]*Target), byAddress: make(map[netip.AddrPort][]*Target)}
}

// add adds a new target, whose token must be higher than all others.
func (index *targetIndex) add(added *Target) {
	index.byID[added.ID] = append(index.byID[added.ID], added)
	index.byAddress[added.Address] = append(index.byAddress[added.Address], added)
	index.byToken = append(index.byToken, added)
}

// remove removes a target. Its entries in changeLog become obsolete.
func (index *targetIndex) remove(target *Target) {
	removeFrom(index.byID, target.ID, target)
	removeFrom(index.byAddress, target.Address, target)
	if position, found := index.position(target.Token); found {
		index.byToken = slices.Delete(index.byToken, position, position+1)
	}
}

// position returns the index of the incarnation with the token in byToken, and whether it is
// there.
func (index *targetIndex) position(token Token) (int, bool) {
	return slices.BinarySearchFunc(index.byToken, token, func(other *Target, token Token) int {
		return cmp.Compare(other.Token, token)
	})
}

// find returns the incarnation with the token.
func (index *targetIndex) find(token Token) (*Target, bool) {
	position, found := index.position(token)
	if !found {
		return nil, false
	}
	return index.byToken[position], true
}

// latest returns the latest incarnation of the target with the identifier, and whether there is one.
func (index *targetIndex) latest(id TargetID) (*Target, bool) {
	incarnations := index.byID[id]
	if len(incarnations) == 0 {
		return nil, false
	}
	return incarnations[len(incarnations)-1], true
}

// removeFrom removes a target from the list under a key, and the key with the last one.
func removeFrom[Key comparable](lists map[Key][]*Target, key Key, target *Target) {
	others := slices.DeleteFunc(lists[key], func(other *Target) bool { return other == target })
	if len(others) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = others
}

// changeAddress gives a target another address.
func (index *targetIndex) changeAddress(target *Target, address netip.AddrPort) {
	if target.Address == address {
		return
	}
	removeFrom(index.byAddress, target.Address, target)
	target.Address = address
	index.byAddress[address] = append(index.byAddress[address], target)
}

// markChanged records that a target changed at a revision, which must not be lower than earlier
// ones.
func (index *targetIndex) markChanged(target *Target, revision model.Revision) {
	target.Revision = revision
	index.changeLog = append(index.changeLog, targetChange{target: target, revision: revision})
	if len(index.changeLog) > 2*len(index.byToken)+changeLogSlack {
		index.changeLog = slices.DeleteFunc(index.changeLog, func(entry targetChange) bool { return !index.isLatestChange(entry) })
	}
}

// isLatestChange reports whether an entry is the latest change of a target that still exists.
func (index *targetIndex) isLatestChange(entry targetChange) bool {
	if entry.target.Revision != entry.revision {
		return false
	}
	_, present := index.find(entry.target.Token)
	return present
}

// changedSince returns the targets that changed after a revision, in the order of their tokens.
func (index *targetIndex) changedSince(from model.Revision) []TargetEntry {
	position, _ := slices.BinarySearchFunc(index.changeLog, from+1, func(entry targetChange, revision model.Revision) int {
		return cmp.Compare(entry.revision, revision)
	})
	var entries []TargetEntry
	for _, entry := range index.changeLog[position:] {
		if index.isLatestChange(entry) {
			entries = append(entries, entry.target.entry())
		}
	}
	slices.SortFunc(entries, func(left, right TargetEntry) int { return cmp.Compare(left.Token, right.Token) })
	return slices.CompactFunc(entries, func(left, right TargetEntry) bool { return left.Token == right.Token })
}

// restore adds the targets of a snapshot, in the order of their tokens, to an empty index.
func (index *targetIndex) restore(targets []Target) {
	for position := range targets {
		target := targets[position]
		index.add(&target)
		index.changeLog = append(index.changeLog, targetChange{target: &target, revision: target.Revision})
	}
	slices.SortStableFunc(index.changeLog, func(left, right targetChange) int { return cmp.Compare(left.revision, right.revision) })
}

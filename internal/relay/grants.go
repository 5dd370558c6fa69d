package relay

import (
	"time"

	"merlinpaddle/internal/model"
)

// grant is the control leader's permission to extend leases of nodes.
type grant struct {
	// sequence is that of the report which the grant answers. Control knows the nodes that this
	// report and earlier ones name.
	sequence uint64
	// committed is the revision that was committed when the leader granted.
	committed model.Revision
	// until is when the grant expires, by the relay's clock.
	until time.Time
}

// maximumGrants bounds the grants that are kept; one comes with each report.
const maximumGrants = 64

// anySequence is the sequence for which every grant qualifies: reports are numbered from 1.
const anySequence = 0

// grantList has the grants that have not expired, the oldest first.
type grantList struct {
	grants []grant
}

func (list *grantList) add(now time.Time, added grant) {
	list.prune(now)
	list.grants = append(list.grants, added)
	if len(list.grants) > maximumGrants {
		list.grants = list.grants[1:]
	}
}

func (list *grantList) prune(now time.Time) {
	kept := list.grants[:0]
	for _, entry := range list.grants {
		if now.Before(entry.until) {
			kept = append(kept, entry)
		}
	}
	list.grants = kept
}

// best returns the grant that expires last among those that confirm at most the revision applied and
// answer the report with the sequence knownSince or a later one. The bool reports whether there is
// one.
func (list *grantList) best(now time.Time, applied model.Revision, knownSince uint64) (grant, bool) {
	var best grant
	found := false
	for _, entry := range list.grants {
		usable := now.Before(entry.until) && entry.committed <= applied && entry.sequence >= knownSince
		if usable && (!found || entry.until.After(best.until)) {
			best = entry
			found = true
		}
	}
	return best, found
}

package feed

import (
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
)

// maxRecentEntries bounds the entries of recent changes that a replica keeps for its followers.
// Followers that are further behind get the full table.
const maxRecentEntries = 1024

// Replica makes a balancer's table available to its publisher, so that other balancers can follow
// this one. It implements Store and Source. It keeps recent changes because the table does not
// record when its entries changed.
//
// Invariant: recentChanges is a chain without gaps that ends at the table's revision.
type Replica struct {
	table *steer.Table
	view  UpstreamView

	lock          sync.Mutex
	recentChanges []directory.Changes
	// recentEntries is the total number of entries in recentChanges.
	recentEntries int
}

// UpstreamView is what a balancer knows of the nodes that it gets updates from. Subscriber
// implements it.
type UpstreamView interface {
	// Members returns the known members of the control group.
	Members() []model.NodeName
	// Depth returns the number of balancers on the path from the member to this balancer, including
	// this one.
	Depth() uint8
}

// NewReplica returns a replica of table.
func NewReplica(table *steer.Table, view UpstreamView) *Replica {
	return &Replica{table: table, view: view}
}

// Record keeps changes that were applied to the table. It must be called for each of them, in
// order. A full table replaces all changes that are kept.
func (replica *Replica) Record(changes directory.Changes) {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	if changes.Whole {
		replica.recentChanges = nil
		replica.recentEntries = 0
		return
	}
	replica.recentChanges = append(replica.recentChanges, changes)
	replica.recentEntries += changes.Size()
	for replica.recentEntries > maxRecentEntries {
		replica.recentEntries -= replica.recentChanges[0].Size()
		replica.recentChanges[0] = directory.Changes{}
		replica.recentChanges = replica.recentChanges[1:]
	}
}

// Revision implements Store.
func (replica *Replica) Revision() model.Revision { return replica.table.Revision() }

// ChangesSince implements Store. It returns the full table if the recent changes do not go back to
// the revision from.
func (replica *Replica) ChangesSince(from model.Revision) directory.Changes {
	revision := replica.table.Revision()
	if from >= revision {
		return directory.Changes{From: from, To: revision, Version: replica.table.Version()}
	}
	if parts := replica.recentSince(from); len(parts) > 0 {
		return directory.Combine(parts...)
	}
	return replica.table.Snapshot()
}

// recentSince returns the recent changes after the revision from, or nil if they do not go back
// that far.
func (replica *Replica) recentSince(from model.Revision) []directory.Changes {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	if len(replica.recentChanges) == 0 || replica.recentChanges[0].From > from {
		return nil
	}
	for index, changes := range replica.recentChanges {
		if changes.To > from {
			return append([]directory.Changes(nil), replica.recentChanges[index:]...)
		}
	}
	return nil
}

// Confirmed implements Source. The confirmation is the latest one that reached the table.
func (replica *Replica) Confirmed(now time.Time) (time.Duration, bool) {
	confirmedAt := replica.table.ConfirmedAt()
	if confirmedAt.IsZero() {
		return 0, false
	}
	age := max(now.Sub(confirmedAt), 0)
	return age, age < maxConfirmationAge
}

// Members implements Source.
func (replica *Replica) Members() []model.NodeName { return replica.view.Members() }

// Depth implements Source.
func (replica *Replica) Depth() uint8 { return replica.view.Depth() }

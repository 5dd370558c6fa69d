package feed

import (
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
)

// recentEntries bounds the entries of recent changes that a replica keeps for
// balancers that follow it; those that are further behind get everything.
const recentEntries = 1024

// Replica shows a balancer's table to a publisher, so that other balancers can
// follow this one. It keeps recent changes, as the table itself does not say
// when its entries changed.
//
// Invariant: recent is a chain without gaps that ends at the table's revision.
type Replica struct {
	table *steer.Table
	view  UpstreamView

	lock    sync.Mutex
	recent  []directory.Changes
	entries int
}

// UpstreamView is what a balancer knows of the nodes around it; Subscriber implements
// it.
type UpstreamView interface {
	// Members returns the members of the control group that are known.
	Members() []model.NodeName
	// Depth returns the number of balancers between this one and the member
	// that it hears of.
	Depth() uint8
}

// NewReplica returns the replica of table.
func NewReplica(table *steer.Table, view UpstreamView) *Replica {
	return &Replica{table: table, view: view}
}

// Record records changes that the table took in.
func (replica *Replica) Record(changes directory.Changes) {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	if changes.Whole {
		replica.recent = nil
		replica.entries = 0
		return
	}
	replica.recent = append(replica.recent, changes)
	replica.entries += changes.Size()
	for replica.entries > recentEntries {
		replica.entries -= replica.recent[0].Size()
		replica.recent[0] = directory.Changes{}
		replica.recent = replica.recent[1:]
	}
}

// Revision implements Store.
func (replica *Replica) Revision() model.Revision { return replica.table.Revision() }

// ChangesSince implements Store.
func (replica *Replica) ChangesSince(from model.Revision) directory.Changes {
	revision := replica.table.Revision()
	if from >= revision {
		return directory.Changes{From: from, To: revision, Version: replica.table.Version()}
	}
	if parts := replica.since(from); len(parts) > 0 {
		return directory.Combine(parts...)
	}
	return replica.table.Everything()
}

// since returns the recent changes that lead on from a revision, or nothing
// when they do not go back that far.
func (replica *Replica) since(from model.Revision) []directory.Changes {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	if len(replica.recent) == 0 || replica.recent[0].From > from {
		return nil
	}
	for place, changes := range replica.recent {
		if changes.To > from {
			return append([]directory.Changes(nil), replica.recent[place:]...)
		}
	}
	return nil
}

// Confirmed implements Source.
func (replica *Replica) Confirmed(now time.Time) (time.Duration, bool) {
	at := replica.table.ConfirmedAt()
	if at.IsZero() {
		return 0, false
	}
	age := max(now.Sub(at), 0)
	return age, age < silenceLimit
}

// Members implements Source.
func (replica *Replica) Members() []model.NodeName { return replica.view.Members() }

// Depth implements Source.
func (replica *Replica) Depth() uint8 { return replica.view.Depth() }

package directory

import (
	"net/netip"
	"slices"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// RouteEntry is what a balancer needs to know of a route.
type RouteEntry struct {
	Address netip.AddrPort
	Pool    []declared.PoolPart
	// Objective is the latency that operators aim at; zero for none.
	Objective time.Duration
	// Priority orders routes under overload; zero is the highest.
	Priority int
	// Regions are the regions whose targets may serve the route; empty for all.
	Regions []string
}

// TargetEntry is what a balancer needs to know of a target.
type TargetEntry struct {
	Token   Token
	ID      TargetID
	Started StartTime
	Service string
	Address netip.AddrPort
	Zone    string
	// Capacity is the number of requests that the target processes concurrently.
	Capacity int
	State    TargetState
	// Aside means that the target is ejected: it gets no new flows while other targets can
	// take them.
	Aside bool
	// Cold is the remaining time of the target's slow start, as it last reported; zero once it is
	// warm.
	Cold time.Duration
	// Holder is the only balancer that may send the target new flows while it is cold and its
	// service has a cold limit; empty for none.
	Holder model.NodeName
}

// Changes is what changed between two revisions.
type Changes struct {
	// Whole means that the changes are the full table, which replaces what the reader has.
	Whole    bool
	From, To model.Revision
	// Version is the version of the declared configuration at To.
	Version     uint64
	IdleTimeout time.Duration
	Routes      []RouteEntry
	// Removed are the addresses of removed routes.
	Removed []netip.AddrPort
	Targets []TargetEntry
	// Forgotten are the tokens of removed targets.
	Forgotten []Token
	// Zones replaces what the reader knows of zones; nil when that is unchanged.
	Zones *Zones
	// ColdLimits replaces the limits that the reader knows; nil when they are unchanged.
	ColdLimits *ColdLimits
}

// ColdLimits are the limits of all services that have one.
type ColdLimits struct {
	// PerSecond is the number of new flows per second that a cold target can handle, by service.
	PerSecond map[string]float64
}

// Zones is what balancers need to know of zones. It is small and always sent in full.
type Zones struct {
	// Evacuated are the zones whose targets get no new flows, sorted.
	Evacuated []Evacuation
}

// ChangesSince returns what changed after the revision from. A reader that is ahead of this copy
// gets no changes, because its revision must not decrease. A reader that is too far behind for the
// kept tombstones gets the full table.
func (directory *Directory) ChangesSince(from model.Revision) Changes {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	changes := Changes{
		From:        from,
		To:          directory.revision,
		Version:     directory.configuration.Version,
		IdleTimeout: directory.configuration.Limits.IdleTimeout,
	}
	if from > directory.revision {
		return changes
	}
	if from == 0 || from < directory.tombstoneFloor {
		changes.Whole = true
		changes.From = 0
		from = 0
	}
	if directory.configurationChangedAt > from || changes.Whole {
		directory.collectRoutes(&changes, from)
	}
	changes.Targets = directory.targets.changedSince(from)
	if directory.evacuations.changedAt > from || changes.Whole {
		changes.Zones = &Zones{Evacuated: directory.evacuations.list()}
	}
	if directory.limitsChangedAt > from || changes.Whole {
		changes.ColdLimits = directory.allColdLimits()
	}
	if !changes.Whole {
		directory.collectRemovals(&changes, from)
	}
	return changes
}

// entry returns what balancers need to know of the target.
func (target *Target) entry() TargetEntry {
	return TargetEntry{
		Token:    target.Token,
		ID:       target.ID,
		Started:  target.Started,
		Service:  target.Service,
		Address:  target.Address,
		Zone:     target.Zone,
		Capacity: target.Capacity,
		State:    target.State,
		Aside:    target.Aside,
		Cold:     target.Cold,
		Holder:   target.Holder,
	}
}

// entry returns what balancers need to know of the route.
func (record routeRecord) entry() RouteEntry {
	return RouteEntry{
		Address:   record.route.Address,
		Pool:      record.route.Pool,
		Objective: record.route.Objective,
		Priority:  record.route.Priority,
		Regions:   record.route.Regions,
	}
}

// collectRoutes adds the routes that changed after a revision, sorted by address.
func (directory *Directory) collectRoutes(changes *Changes, from model.Revision) {
	for _, record := range directory.routes {
		if record.revision > from || changes.Whole {
			changes.Routes = append(changes.Routes, record.entry())
		}
	}
	slices.SortFunc(changes.Routes, func(left, right RouteEntry) int { return left.Address.Compare(right.Address) })
}

// collectRemovals adds the routes and targets that were removed after a revision. A route that was
// declared again is not among them.
func (directory *Directory) collectRemovals(changes *Changes, from model.Revision) {
	for _, removed := range directory.routeTombstones {
		if _, declaredAgain := directory.routes[removed.address]; removed.revision > from && !declaredAgain {
			changes.Removed = append(changes.Removed, removed.address)
		}
	}
	for _, removed := range directory.targetTombstones {
		if removed.revision > from {
			changes.Forgotten = append(changes.Forgotten, removed.token)
		}
	}
}

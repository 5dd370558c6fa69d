package directory

import (
	"net/netip"
	"slices"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// RouteEntry is what a balancer needs of a route.
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

// TargetEntry is what a balancer needs of a target.
type TargetEntry struct {
	Token   Token
	ID      TargetID
	Started StartTime
	Service string
	Address netip.AddrPort
	Zone    string
	// Capacity is the number of requests that the target works on at once.
	Capacity int
	State    TargetState
	// Aside tells that the target gets no new flows while others can.
	Aside bool
	// Cold is how much longer the target stays slow, as it stated last; zero once it
	// is warm.
	Cold time.Duration
	// Holder is the one balancer that may give the target new flows while it is cold
	// and its service has a cold limit; empty for none.
	Holder model.NodeName
}

// Changes is what changed between two revisions. With Whole, it is everything
// and replaces what the reader has.
type Changes struct {
	Whole    bool
	From, To model.Revision
	// Version is the declared version at To.
	Version     uint64
	IdleTimeout time.Duration
	Routes      []RouteEntry
	Removed     []netip.AddrPort
	Targets     []TargetEntry
	Forgotten   []Token
	// Zones replaces what the reader knows of zones; nil when that is unchanged.
	Zones *Zones
	// ColdLimits replaces what the reader knows of them; nil when that is unchanged.
	ColdLimits *ColdLimits
}

// ColdLimits are the bounds of all services that have one.
type ColdLimits struct {
	// PerSecond is the number of new flows a second that a cold target bears, by
	// service.
	PerSecond map[string]float64
}

// Zones is what balancers need of zones. It is small, and always told as a whole.
type Zones struct {
	// Evacuated are the zones whose targets get no new flows, sorted.
	Evacuated []Evacuation
}

// ChangesSince returns what changed after the revision from. A reader that is
// ahead of this copy gets no changes; it must not go back.
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
	if from == 0 || from < directory.removedFloor {
		changes.Whole = true
		changes.From = 0
		from = 0
	}
	if directory.configurationAt > from || changes.Whole {
		directory.collectRoutes(&changes, from)
	}
	changes.Targets = directory.targets.changedSince(from)
	if directory.evacuations.changedAt > from || changes.Whole {
		changes.Zones = &Zones{Evacuated: directory.evacuations.list()}
	}
	if directory.limitsAt > from || changes.Whole {
		changes.ColdLimits = directory.coldLimitsOfAll()
	}
	if !changes.Whole {
		directory.collectRemovals(&changes, from)
	}
	return changes
}

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

func (record routeRecord) entry() RouteEntry {
	return RouteEntry{
		Address:   record.route.Address,
		Pool:      record.route.Pool,
		Objective: record.route.Objective,
		Priority:  record.route.Priority,
		Regions:   record.route.Regions,
	}
}

func (directory *Directory) collectRoutes(changes *Changes, from model.Revision) {
	for _, record := range directory.routes {
		if record.revision > from || changes.Whole {
			changes.Routes = append(changes.Routes, record.entry())
		}
	}
	slices.SortFunc(changes.Routes, func(left, right RouteEntry) int { return left.Address.Compare(right.Address) })
}

func (directory *Directory) collectRemovals(changes *Changes, from model.Revision) {
	for _, removed := range directory.removed {
		if _, back := directory.routes[removed.address]; removed.revision > from && !back {
			changes.Removed = append(changes.Removed, removed.address)
		}
	}
	for _, forgotten := range directory.forgotten {
		if forgotten.revision > from {
			changes.Forgotten = append(changes.Forgotten, forgotten.token)
		}
	}
}

package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// targetRecord is a target of the table, with what this balancer keeps about it.
type targetRecord struct {
	directory.TargetEntry
	// seed is the target's seed for rendezvous hashing.
	seed uint64
	// inLocalZone reports whether the target is in the balancer's zone.
	inLocalZone bool
	// region is the region of the target's zone; empty when it is not known.
	region string
	// slowStartUntil is when the target's slow start ends; zero when it is warm.
	slowStartUntil time.Time
	// coldWindow limits the rate of new flows that this balancer sends to the target as
	// its holder.
	coldWindow rateWindow
	// avoidUntil is until when this balancer avoids the target for new flows after a failed
	// probe.
	avoidUntil time.Time
}

// route is a route with its pool.
type route struct {
	parts []declared.PoolPart
	// totalWeight is the sum of the weights of parts.
	totalWeight int
	// objective is the latency that operators aim at; zero for none.
	objective time.Duration
	// priority is the route's priority under overload; zero is the most urgent one.
	priority int
	// regions are the regions whose targets may serve the route.
	regions regionSet
}

// service holds those ready targets of a service that routes of one region set may use.
type service struct {
	// pool holds the targets that take new flows from this balancer.
	pool pool
	// targetCount is the number of targets, including cold and evacuated ones.
	targetCount int
	// dirty reports whether the service is listed in Table.dirtyServices.
	dirty bool
	// coldCount is the number of targets that are left out of the pool because they are
	// cold. heldCold are those of them that this balancer is the holder of, and may each
	// send coldFlowRate new flows a second.
	coldCount    int
	heldCold     []*targetRecord
	coldFlowRate float64
	// evacuatedTargets is the number of targets in evacuated zones, by zone.
	evacuatedTargets map[string]int
	// evacuatedSince is the revision of the latest evacuation of a zone in which the
	// service has targets; zero for none.
	evacuatedSince model.Revision
	// maxLocalZoneWeight is the upper limit of the weight factor for targets in the local
	// zone.
	maxLocalZoneWeight float64
	// capacity is the sum of the capacities of the targets in the pool, which load is
	// compared with. slotsByZone are their slots by zone, and localZoneSlots those in the
	// balancer's zone.
	capacity       int
	slotsByZone    map[string]int
	localZoneSlots int
	congestion     *congestionByRank
	priorities     *priorityTracker
}

// newService returns a service without targets. It takes over the congestion and priority
// state of previous, unless that is nil.
func newService(previous *service) *service {
	made := &service{pool: newPool(), slotsByZone: make(map[string]int), congestion: &congestionByRank{}, priorities: &priorityTracker{}}
	if previous != nil {
		made.congestion, made.priorities = previous.congestion, previous.priorities
	}
	return made
}

// Table is a balancer's copy of the directory, from which it decides where packets go. Its
// methods are safe for concurrent use. Its revision never decreases.
type Table struct {
	options Options

	lock     sync.RWMutex
	revision model.Revision
	// version is the version of the declared configuration; zero for none.
	version     uint64
	confirmedAt time.Time
	// servingSince is when the first declared configuration was applied.
	servingSince time.Time
	idleTimeout  time.Duration
	routes       map[netip.AddrPort]route
	// removedRoutes has the routes that the table had and has no more.
	removedRoutes removedRoutes
	targets       map[directory.Token]*targetRecord
	// latestByID holds the latest incarnation of each target, so that looking up the target
	// of a renewal does not scan all targets.
	latestByID map[directory.TargetID]*targetRecord
	services   map[serviceKey]*service
	// regionSets are the region sets for which services are kept. dirtyServices are the
	// services whose targets changed and whose derived values are out of date.
	regionSets    []regionSet
	dirtyServices []serviceKey
	coldLimits    coldLimits
	// evacuated holds the evacuations of zones by name of the zone. Targets in these zones
	// get no new flows.
	evacuated map[string]directory.Evacuation
	// changes notifies of changes of the table, and confirmations of a later confirmedAt.
	changes       board.Notifier
	confirmations board.Notifier
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{
		options:    options,
		routes:     make(map[netip.AddrPort]route),
		targets:    make(map[directory.Token]*targetRecord),
		latestByID: make(map[directory.TargetID]*targetRecord),
		services:   make(map[serviceKey]*service),
	}
}

// Revision returns the table's revision; zero when no changes were applied yet.
func (table *Table) Revision() model.Revision {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.revision
}

// Version returns the version of the table's declared configuration; zero when it has none.
func (table *Table) Version() uint64 {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.version
}

// Serving reports whether the table has a declared configuration.
func (table *Table) Serving() bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.version > 0
}

// Confirm records that a member with a confirmed quorum reported the table as current at the
// given time.
func (table *Table) Confirm(at time.Time) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if at.After(table.confirmedAt) {
		table.confirmedAt = at
		table.confirmations.Notify()
	}
}

// ConfirmedAt returns when the table was last known to be current; zero when it never was.
func (table *Table) ConfirmedAt() time.Time {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.confirmedAt
}

// Fresh reports whether the table counts as current: it was confirmed less than
// Options.FreshFor ago.
func (table *Table) Fresh(now time.Time) bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.fresh(now)
}

func (table *Table) fresh(now time.Time) bool {
	return !table.confirmedAt.IsZero() && now.Sub(table.confirmedAt) < table.options.FreshFor
}

// Apply applies changes and reports whether the table is at the revision changes.To afterwards.
// Changes that are older than the table, or that start after its revision and so leave a gap,
// are not applied.
func (table *Table) Apply(changes directory.Changes, now time.Time) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	if changes.To <= table.revision {
		return changes.To == table.revision
	}
	if changes.From > table.revision {
		return false
	}
	if table.version == 0 && changes.Version > 0 {
		table.servingSince = now
	}
	if changes.Whole {
		table.applySnapshot(changes, now)
	} else {
		table.applyDelta(changes, now)
	}
	table.revision = changes.To
	table.version = changes.Version
	table.idleTimeout = changes.IdleTimeout
	table.changes.Notify()
	return true
}

// Watch returns a channel that is notified after each change of the table.
func (table *Table) Watch() <-chan struct{} { return table.changes.Watch() }

// WatchConfirmations returns a channel that is notified after each confirmation of the table by
// a quorum.
func (table *Table) WatchConfirmations() <-chan struct{} { return table.confirmations.Watch() }

// Snapshot returns the full table as changes for a reader that has none.
func (table *Table) Snapshot() directory.Changes {
	table.lock.RLock()
	defer table.lock.RUnlock()
	snapshot := directory.Changes{Whole: true, To: table.revision, Version: table.version, IdleTimeout: table.idleTimeout, Zones: table.exportZones(), ColdLimits: table.coldLimits.export()}
	for address, route := range table.routes {
		snapshot.Routes = append(snapshot.Routes, directory.RouteEntry{
			Address: address, Pool: route.parts, Objective: route.objective, Priority: route.priority, Regions: route.regions.names(),
		})
	}
	for _, target := range table.targets {
		snapshot.Targets = append(snapshot.Targets, target.TargetEntry)
	}
	slices.SortFunc(snapshot.Routes, func(left, right directory.RouteEntry) int { return left.Address.Compare(right.Address) })
	slices.SortFunc(snapshot.Targets, func(left, right directory.TargetEntry) int { return cmp.Compare(left.Token, right.Token) })
	return snapshot
}

// exportZones returns the evacuated zones, sorted by name.
func (table *Table) exportZones() *directory.Zones {
	zones := &directory.Zones{}
	for _, evacuation := range table.evacuated {
		zones.Evacuated = append(zones.Evacuated, evacuation)
	}
	slices.SortFunc(zones.Evacuated, func(left, right directory.Evacuation) int { return cmp.Compare(left.Zone, right.Zone) })
	return zones
}

// EvacuatedZones returns the number of evacuated zones, whose targets get no new flows.
func (table *Table) EvacuatedZones() int {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return len(table.evacuated)
}

// ServiceCapacity returns the service of the target with the token, and the sum of the
// capacities of the service's targets in the pool: ready, not in an evacuated zone, and not
// cold in a service that limits the flows of cold targets. It returns an empty name and zero
// for an unknown token.
func (table *Table) ServiceCapacity(token directory.Token) (service string, capacity int) {
	table.lock.RLock()
	defer table.lock.RUnlock()
	target, known := table.targets[token]
	if !known {
		return "", 0
	}
	if known := table.services[serviceKey{name: target.Service}]; known != nil {
		capacity = known.capacity
	}
	return target.Service, capacity
}

// Lookup returns the target with the token, and whether the table has it.
func (table *Table) Lookup(token directory.Token) (directory.TargetEntry, bool) {
	table.lock.RLock()
	defer table.lock.RUnlock()
	target, known := table.targets[token]
	if !known {
		return directory.TargetEntry{}, false
	}
	return target.TargetEntry, true
}

// FindTarget returns the latest incarnation of the target with the ID, and whether the table
// has one.
func (table *Table) FindTarget(id directory.TargetID) (directory.TargetEntry, bool) {
	table.lock.RLock()
	defer table.lock.RUnlock()
	target, known := table.latestByID[id]
	if !known {
		return directory.TargetEntry{}, false
	}
	return target.TargetEntry, true
}

// Avoid keeps new flows away from a target that failed a probe for Options.AvoidFor, as long as
// its service has other usable targets.
func (table *Table) Avoid(token directory.Token, now time.Time) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if target, known := table.targets[token]; known {
		target.avoidUntil = now.Add(table.options.AvoidFor)
	}
}

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

// record is one target of the table.
type targetRecord struct {
	directory.TargetEntry
	seed uint64
	// near tells that the target is in the balancer's zone.
	inLocalZone bool
	// region is the region of the target's zone; empty when it is not known.
	region string
	// warmAt is when the target is no longer slow from its start.
	slowStartUntil time.Time
	// holding has what this balancer gave the target while it was cold.
	coldWindow rateWindow
	// avoidUntil is set when a probe found the target dead.
	avoidUntil time.Time
}

// route is one route with its pool.
type route struct {
	parts       []declared.PoolPart
	totalWeight int
	// objective is the latency that operators aim at; zero for none.
	objective time.Duration
	priority  int
	// home names the regions whose targets may serve the route.
	regions regionSet
}

// service has the targets of a service that may take new flows.
type service struct {
	pool pool
	// members is the number of its targets, with those that are cold or evacuated.
	targetCount int
	// changing tells that its targets are being changed.
	dirty bool
	// cold is the number of targets that take no flows of this balancer because they
	// are cold, held ones included; held are those whose rate, heldRate new flows a
	// second, this balancer holds.
	coldCount    int
	heldCold     []*targetRecord
	coldFlowRate float64
	// evacuated has the number of targets in emptied zones, by zone.
	evacuatedTargets map[string]int
	// evacuatedSince is the revision of the latest order that emptied a zone in which
	// the service has targets; zero without one.
	evacuatedSince model.Revision
	// mostNearWeight bounds the weight of near targets against others.
	maxLocalZoneWeight float64
	// capacity is the sum of the capacities of the targets that take new flows, which is
	// what load is compared with. zoneSlots are their slots by zone, and nearSlots those of
	// the balancer's own.
	capacity       int
	slotsByZone    map[string]int
	localZoneSlots int
	congestion     *congestionByRank
	priorities     *priorityTracker
}

// newService returns a service without targets that goes on from former, which
// may be nil.
func newService(former *service) *service {
	made := &service{pool: newPool(), slotsByZone: make(map[string]int), congestion: &congestionByRank{}, priorities: &priorityTracker{}}
	if former != nil {
		made.congestion, made.priorities = former.congestion, former.priorities
	}
	return made
}

// Table is a balancer's copy of the directory. All methods may be called at
// any time. Its revision never goes back.
type Table struct {
	options Options

	lock        sync.RWMutex
	revision    model.Revision
	version     uint64
	confirmedAt time.Time
	// servingSince is when the first declared configuration came.
	servingSince time.Time
	idleTimeout  time.Duration
	routes       map[netip.AddrPort]route
	targets      map[directory.Token]*targetRecord
	// latest has the latest incarnation of each target, so that a renewal is looked up
	// without a look at all targets.
	latestByID map[directory.TargetID]*targetRecord
	services   map[serviceKey]*service
	// homesHeld are the homes for which services are kept, and unsettled the services whose
	// targets are being changed.
	regionSets    []regionSet
	dirtyServices []serviceKey
	coldLimits    coldLimits
	// evacuated are the zones whose targets get no new flows, by name.
	evacuated map[string]directory.Evacuation
	changes   board.Notifier
	// confirmations gives notice that confirmedAt moved.
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

// Revision returns the table's revision; zero means that it has none yet.
func (table *Table) Revision() model.Revision {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.revision
}

// Version returns the declared version of the table.
func (table *Table) Version() uint64 {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.version
}

// Serving tells whether the table has a declared configuration.
func (table *Table) Serving() bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.version > 0
}

// Confirm records that the table was current at a time, by the word of a
// member with a confirmed quorum.
func (table *Table) Confirm(at time.Time) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if at.After(table.confirmedAt) {
		table.confirmedAt = at
		table.confirmations.Notify()
	}
}

// ConfirmedAt returns when the table was last known to be current; it is zero
// when it never was.
func (table *Table) ConfirmedAt() time.Time {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.confirmedAt
}

// Fresh tells whether the table counts as current.
func (table *Table) Fresh(now time.Time) bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.fresh(now)
}

func (table *Table) fresh(now time.Time) bool {
	return !table.confirmedAt.IsZero() && now.Sub(table.confirmedAt) < table.options.FreshFor
}

// Apply takes changes in and returns whether the table is now at changes.To or
// later. Changes that leave a gap, or that are older, change nothing.
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

// Watch registers a channel that gets a notice after the table changed.
func (table *Table) Watch() <-chan struct{} { return table.changes.Watch() }

// WatchConfirmed registers a channel that gets a notice after a quorum confirmed
// the table.
func (table *Table) WatchConfirmations() <-chan struct{} { return table.confirmations.Watch() }

// Everything returns the whole table as changes for a reader without one.
func (table *Table) Snapshot() directory.Changes {
	table.lock.RLock()
	defer table.lock.RUnlock()
	whole := directory.Changes{Whole: true, To: table.revision, Version: table.version, IdleTimeout: table.idleTimeout, Zones: table.exportZones(), ColdLimits: table.coldLimits.export()}
	for address, route := range table.routes {
		whole.Routes = append(whole.Routes, directory.RouteEntry{
			Address: address, Pool: route.parts, Objective: route.objective, Priority: route.priority, Regions: route.regions.names(),
		})
	}
	for _, target := range table.targets {
		whole.Targets = append(whole.Targets, target.TargetEntry)
	}
	slices.SortFunc(whole.Routes, func(left, right directory.RouteEntry) int { return left.Address.Compare(right.Address) })
	slices.SortFunc(whole.Targets, func(left, right directory.TargetEntry) int { return cmp.Compare(left.Token, right.Token) })
	return whole
}

// zones returns what the table knows of zones.
func (table *Table) exportZones() *directory.Zones {
	zones := &directory.Zones{}
	for _, evacuation := range table.evacuated {
		zones.Evacuated = append(zones.Evacuated, evacuation)
	}
	slices.SortFunc(zones.Evacuated, func(left, right directory.Evacuation) int { return cmp.Compare(left.Zone, right.Zone) })
	return zones
}

// Evacuated returns the number of zones whose targets get no new flows.
func (table *Table) EvacuatedZones() int {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return len(table.evacuated)
}

// ServiceCapacity returns the service of the target with the token, and the
// capacity together of its ready targets outside evacuated zones.
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

// Lookup returns the target with the token.
func (table *Table) Lookup(token directory.Token) (directory.TargetEntry, bool) {
	table.lock.RLock()
	defer table.lock.RUnlock()
	target, known := table.targets[token]
	if !known {
		return directory.TargetEntry{}, false
	}
	return target.TargetEntry, true
}

// FindTarget returns the latest incarnation of the target with the identifier.
func (table *Table) FindTarget(id directory.TargetID) (directory.TargetEntry, bool) {
	table.lock.RLock()
	defer table.lock.RUnlock()
	target, known := table.latestByID[id]
	if !known {
		return directory.TargetEntry{}, false
	}
	return target.TargetEntry, true
}

// Avoid keeps new flows off a target that a probe found dead.
func (table *Table) Avoid(token directory.Token, now time.Time) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if target, known := table.targets[token]; known {
		target.avoidUntil = now.Add(table.options.AvoidFor)
	}
}

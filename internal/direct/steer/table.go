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

// Options are the bounds that a table works with.
type Options struct {
	// SettleTime is how long a target that was just learned gets no new
	// flows, so that every balancer knows its token by then.
	SettleTime time.Duration
	// FreshFor is how long after the last sign of a confirmed member the table
	// counts as current.
	FreshFor time.Duration
	// AvoidFor is how long a target that a probe found dead gets no new flows
	// from this balancer, unless the table says otherwise before.
	AvoidFor time.Duration
	// Zone is the balancer's zone. Targets of the same zone get NearWeight
	// times as many of its new flows as others of the same capacity.
	Zone       string
	NearWeight float64
	// Candidates is the number of targets, best by hash, among which the least
	// busy one is chosen for a new flow; one chooses by hash alone.
	Candidates int
	// AdmitShare is the share of its route's objective that a new flow's request
	// may be expected to take at the chosen target; else the flow has to wait or
	// is refused. Zero admits all.
	AdmitShare float64
	// Loads tells how busy targets are; nil when nobody knows.
	Loads Loads
}

// Loads tells how busy targets are, as far as is known. It may be called from
// any goroutine.
type Loads interface {
	// Load returns the number of requests that are open at the target, and how
	// long it takes with one when it is idle; zero when that is not known.
	Load(token directory.Token) (open int, serving time.Duration)
}

// DefaultOptions returns the bounds of processes.
func DefaultOptions() Options {
	return Options{
		SettleTime: 250 * time.Millisecond,
		FreshFor:   1500 * time.Millisecond,
		AvoidFor:   3 * time.Second,
		NearWeight: 4,
		Candidates: 3,
		AdmitShare: 0.6,
	}
}

// record is one target of the table.
type record struct {
	directory.TargetEntry
	seed uint64
	// near tells that the target is in the balancer's zone.
	near bool
	// usableAt is when the target may get new flows.
	usableAt time.Time
	// warmAt is when the target is no longer slow from its start.
	warmAt time.Time
	// avoidUntil is set when a probe found the target dead.
	avoidUntil time.Time
}

// route is one route with its pool.
type route struct {
	parts []declared.PoolPart
	total int
	// objective is the latency that operators aim at; zero for none.
	objective time.Duration
	priority  int
	// rank is the number of different priorities of other routes that go before.
	rank int
}

// service has the targets of a service that may take new flows.
type service struct {
	targets []*record
	// capacity is the sum of the targets' capacities.
	capacity   int
	congestion *congestion
}

// newService returns a service without targets that goes on from former, which
// may be nil.
func newService(former *service) *service {
	if former != nil {
		return &service{congestion: former.congestion}
	}
	return &service{congestion: &congestion{}}
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
	targets      map[directory.Token]*record
	services     map[string]*service
	changes      board.Notifier
	// confirmations gives notice that confirmedAt moved.
	confirmations board.Notifier
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{
		options:  options,
		routes:   make(map[netip.AddrPort]route),
		targets:  make(map[directory.Token]*record),
		services: make(map[string]*service),
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
		table.replace(changes, now)
	} else {
		table.merge(changes, now)
	}
	table.revision = changes.To
	table.version = changes.Version
	table.idleTimeout = changes.IdleTimeout
	table.rebuildServices()
	table.rankRoutes()
	table.changes.Notify()
	return true
}

// Watch registers a channel that gets a notice after the table changed.
func (table *Table) Watch() <-chan struct{} { return table.changes.Watch() }

// WatchConfirmed registers a channel that gets a notice after a quorum confirmed
// the table.
func (table *Table) WatchConfirmed() <-chan struct{} { return table.confirmations.Watch() }

// replace takes a whole directory in. What this balancer learned of targets
// that stay is kept.
func (table *Table) replace(changes directory.Changes, now time.Time) {
	former := table.targets
	first := table.revision == 0
	table.routes = make(map[netip.AddrPort]route, len(changes.Routes))
	table.targets = make(map[directory.Token]*record, len(changes.Targets))
	for token, known := range former {
		if contains(changes.Targets, token) {
			table.targets[token] = known
		}
	}
	table.mergeRoutes(changes.Routes)
	table.mergeTargets(changes.Targets, now, first)
}

func contains(targets []directory.TargetEntry, token directory.Token) bool {
	for index := range targets {
		if targets[index].Token == token {
			return true
		}
	}
	return false
}

func (table *Table) merge(changes directory.Changes, now time.Time) {
	for _, address := range changes.Removed {
		delete(table.routes, address)
	}
	for _, token := range changes.Forgotten {
		delete(table.targets, token)
	}
	table.mergeRoutes(changes.Routes)
	table.mergeTargets(changes.Targets, now, false)
}

func (table *Table) mergeRoutes(entries []directory.RouteEntry) {
	for _, entry := range entries {
		added := route{parts: entry.Pool, objective: entry.Objective, priority: entry.Priority}
		for _, part := range entry.Pool {
			added.total += part.Weight
		}
		table.routes[entry.Address] = added
	}
}

// mergeTargets adds or changes targets. settled tells that the entries come
// with the balancer's first table, so others know their tokens already.
func (table *Table) mergeTargets(entries []directory.TargetEntry, now time.Time, settled bool) {
	for _, entry := range entries {
		known := table.targets[entry.Token]
		if known == nil {
			known = &record{seed: seedOf(entry.ID)}
			if !settled {
				known.usableAt = now.Add(table.options.SettleTime)
				known.warmAt = now.Add(entry.Cold)
			}
			table.targets[entry.Token] = known
		}
		if known.State != entry.State {
			known.avoidUntil = time.Time{}
		}
		known.TargetEntry = entry
		known.near = entry.Zone != "" && entry.Zone == table.options.Zone
	}
}

func (table *Table) rebuildServices() {
	services := make(map[string]*service)
	for _, target := range table.targets {
		if target.State != directory.TargetReady {
			continue
		}
		built := services[target.Service]
		if built == nil {
			built = newService(table.services[target.Service])
			services[target.Service] = built
		}
		built.targets = append(built.targets, target)
		built.capacity += target.Capacity
	}
	table.services = services
}

// rankRoutes orders routes by their priorities.
func (table *Table) rankRoutes() {
	var priorities []int
	for _, route := range table.routes {
		priorities = append(priorities, route.priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for address, route := range table.routes {
		route.rank, _ = slices.BinarySearch(priorities, route.priority)
		table.routes[address] = route
	}
}

// Everything returns the whole table as changes for a reader without one.
func (table *Table) Everything() directory.Changes {
	table.lock.RLock()
	defer table.lock.RUnlock()
	whole := directory.Changes{Whole: true, To: table.revision, Version: table.version, IdleTimeout: table.idleTimeout}
	for address, route := range table.routes {
		whole.Routes = append(whole.Routes, directory.RouteEntry{
			Address: address, Pool: route.parts, Objective: route.objective, Priority: route.priority,
		})
	}
	for _, target := range table.targets {
		whole.Targets = append(whole.Targets, target.TargetEntry)
	}
	slices.SortFunc(whole.Routes, func(left, right directory.RouteEntry) int { return left.Address.Compare(right.Address) })
	slices.SortFunc(whole.Targets, func(left, right directory.TargetEntry) int { return cmp.Compare(left.Token, right.Token) })
	return whole
}

// ServiceCapacity returns the service of the target with the token, and the
// capacity of all its ready targets together.
func (table *Table) ServiceCapacity(token directory.Token) (service string, capacity int) {
	table.lock.RLock()
	defer table.lock.RUnlock()
	target, known := table.targets[token]
	if !known {
		return "", 0
	}
	if known := table.services[target.Service]; known != nil {
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

// FindTarget returns the target with the identifier.
func (table *Table) FindTarget(id directory.TargetID) (directory.TargetEntry, bool) {
	table.lock.RLock()
	defer table.lock.RUnlock()
	for _, target := range table.targets {
		if target.ID == id {
			return target.TargetEntry, true
		}
	}
	return directory.TargetEntry{}, false
}

// Avoid keeps new flows off a target that a probe found dead.
func (table *Table) Avoid(token directory.Token, now time.Time) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if target, known := table.targets[token]; known {
		target.avoidUntil = now.Add(table.options.AvoidFor)
	}
}

package directory

import "merlinpaddle/internal/model"

// Pool names the targets of a service in one zone.
type Pool struct {
	Service string
	Zone    string
}

// indexedTarget is a target as the index counts it.
type indexedTarget struct {
	pool Pool
	// capacity is the target's part of the sums; zero for a target that takes no new flows.
	capacity int
}

// CapacityIndex sums the capacity of a directory's targets by service and by pool, in concurrent
// requests. It is not safe for concurrent use. It applies only what changed since the last call:
// reading all targets at each change would cost milliseconds while thousands of targets join or
// leave.
type CapacityIndex struct {
	directory *Directory
	revision  model.Revision
	targets   map[Token]indexedTarget
	// serviceCapacity and poolCapacity are the total capacity of all ready targets outside
	// evacuated zones, by service and by pool.
	serviceCapacity map[string]int
	poolCapacity    map[Pool]int
	evacuated       map[string]bool
}

// NewCapacityIndex returns the index of a directory. It reads the targets at the first lookup.
func NewCapacityIndex(directory *Directory) *CapacityIndex {
	return &CapacityIndex{directory: directory}
}

// ServiceCapacity returns the service of the target with the token, and the total capacity of the
// service's ready targets outside evacuated zones. It returns an empty name and zero when there is
// no such target.
func (index *CapacityIndex) ServiceCapacity(token Token) (service string, capacity int) {
	index.refresh()
	service = index.targets[token].pool.Service
	return service, index.serviceCapacity[service]
}

// PoolCapacity returns the pool of the target with the token, and the total capacity of the pool's
// ready targets, which is zero in an evacuated zone. It returns an empty pool and zero when there
// is no such target.
func (index *CapacityIndex) PoolCapacity(token Token) (pool Pool, capacity int) {
	index.refresh()
	pool = index.targets[token].pool
	return pool, index.poolCapacity[pool]
}

// refresh applies what changed since the last call. It reads all targets again when it is too far
// behind, when the evacuated zones may have changed, or when the directory went back to an earlier
// revision.
func (index *CapacityIndex) refresh() {
	if index.targets != nil && index.directory.Revision() == index.revision {
		return
	}
	changes := index.directory.ChangesSince(index.revision)
	if index.targets == nil || changes.Whole || changes.Zones != nil || changes.To < index.revision {
		changes = index.directory.ChangesSince(0)
		index.reset(changes.Zones)
	}
	for _, token := range changes.Forgotten {
		index.remove(token)
	}
	for _, entry := range changes.Targets {
		index.remove(entry.Token)
		index.add(entry)
	}
	index.revision = changes.To
}

// reset removes all targets and sets which zones are evacuated.
func (index *CapacityIndex) reset(zones *Zones) {
	index.targets = make(map[Token]indexedTarget)
	index.serviceCapacity = make(map[string]int)
	index.poolCapacity = make(map[Pool]int)
	index.evacuated = make(map[string]bool, len(zones.Evacuated))
	for _, evacuation := range zones.Evacuated {
		index.evacuated[evacuation.Zone] = true
	}
}

// add counts a target that is not in the index yet.
func (index *CapacityIndex) add(entry TargetEntry) {
	added := indexedTarget{pool: Pool{Service: entry.Service, Zone: entry.Zone}}
	if entry.State == TargetReady && !index.evacuated[entry.Zone] {
		added.capacity = entry.Capacity
	}
	index.targets[entry.Token] = added
	index.serviceCapacity[added.pool.Service] += added.capacity
	index.poolCapacity[added.pool] += added.capacity
}

// remove subtracts a target if the index has it.
func (index *CapacityIndex) remove(token Token) {
	removed, known := index.targets[token]
	if !known {
		return
	}
	delete(index.targets, token)
	index.serviceCapacity[removed.pool.Service] -= removed.capacity
	index.poolCapacity[removed.pool] -= removed.capacity
}

package directory

import "merlinpaddle/internal/model"

// Pool names the targets of a service in one zone.
type Pool struct {
	Service string
	Zone    string
}

// counted is what an index has of a target.
type counted struct {
	pool Pool
	// capacity is what the target adds to the sums; zero for one that takes no new flows.
	capacity int
}

// CapacityIndex tells what the services of a directory can bear. It is for one
// goroutine. It follows the directory by what changed: collecting all targets at each
// change would cost milliseconds while thousands of targets come or go.
type CapacityIndex struct {
	directory *Directory
	revision  model.Revision
	targets   map[Token]counted
	// services and zones have the capacity together of all ready targets outside
	// evacuated zones, by service and by pool.
	services  map[string]int
	zones     map[Pool]int
	evacuated map[string]bool
}

// NewCapacityIndex returns the index of a directory.
func NewCapacityIndex(directory *Directory) *CapacityIndex {
	return &CapacityIndex{directory: directory}
}

// ServiceCapacity returns the service of the target with the token, and the
// capacity together of its ready targets outside evacuated zones; the empty name and zero when there is
// no such target.
func (index *CapacityIndex) ServiceCapacity(token Token) (service string, capacity int) {
	index.refresh()
	service = index.targets[token].pool.Service
	return service, index.services[service]
}

// PoolCapacity returns the pool of the target with the token, and the capacity together of
// its ready targets, zero in an evacuated zone; an empty pool when there is no such target.
func (index *CapacityIndex) PoolCapacity(token Token) (pool Pool, capacity int) {
	index.refresh()
	pool = index.targets[token].pool
	return pool, index.zones[pool]
}

// refresh takes in what changed since the last call.
func (index *CapacityIndex) refresh() {
	if index.targets != nil && index.directory.Revision() == index.revision {
		return
	}
	changes := index.directory.ChangesSince(index.revision)
	if index.targets == nil || changes.Whole || changes.Zones != nil || changes.To < index.revision {
		changes = index.directory.ChangesSince(0)
		index.begin(changes.Zones)
	}
	for _, token := range changes.Forgotten {
		index.drop(token)
	}
	for _, entry := range changes.Targets {
		index.drop(entry.Token)
		index.add(entry)
	}
	index.revision = changes.To
}

// begin forgets all targets, and takes in which zones are evacuated.
func (index *CapacityIndex) begin(zones *Zones) {
	index.targets = make(map[Token]counted)
	index.services = make(map[string]int)
	index.zones = make(map[Pool]int)
	index.evacuated = make(map[string]bool, len(zones.Evacuated))
	for _, evacuation := range zones.Evacuated {
		index.evacuated[evacuation.Zone] = true
	}
}

func (index *CapacityIndex) add(entry TargetEntry) {
	added := counted{pool: Pool{Service: entry.Service, Zone: entry.Zone}}
	if entry.State == TargetReady && !index.evacuated[entry.Zone] {
		added.capacity = entry.Capacity
	}
	index.targets[entry.Token] = added
	index.services[added.pool.Service] += added.capacity
	index.zones[added.pool] += added.capacity
}

func (index *CapacityIndex) drop(token Token) {
	dropped, known := index.targets[token]
	if !known {
		return
	}
	delete(index.targets, token)
	index.services[dropped.pool.Service] -= dropped.capacity
	index.zones[dropped.pool] -= dropped.capacity
}

package directory

import "merlinpaddle/internal/model"

// Pool names the targets of a service in one zone.
type Pool struct {
	Service string
	Zone    string
}

// CapacityIndex tells what the services of a directory can bear. It is for one
// goroutine, and looks at the targets anew when the directory changed.
type CapacityIndex struct {
	directory *Directory
	revision  model.Revision
	pools     map[Token]Pool
	// services and zones have the capacity together of all ready targets outside
	// evacuated zones, by service and by pool.
	services map[string]int
	zones    map[Pool]int
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
	service = index.pools[token].Service
	return service, index.services[service]
}

// PoolCapacity returns the pool of the target with the token, and the capacity together of
// its ready targets, zero in an evacuated zone; an empty pool when there is no such target.
func (index *CapacityIndex) PoolCapacity(token Token) (pool Pool, capacity int) {
	index.refresh()
	pool = index.pools[token]
	return pool, index.zones[pool]
}

func (index *CapacityIndex) refresh() {
	revision := index.directory.Revision()
	if index.pools != nil && revision == index.revision {
		return
	}
	index.revision = revision
	index.pools = make(map[Token]Pool)
	index.services = make(map[string]int)
	index.zones = make(map[Pool]int)
	evacuated, _ := index.directory.Evacuations()
	empty := make(map[string]bool, len(evacuated))
	for _, evacuation := range evacuated {
		empty[evacuation.Zone] = true
	}
	for _, target := range index.directory.Targets() {
		pool := Pool{Service: target.Service, Zone: target.Zone}
		index.pools[target.Token] = pool
		if target.State == TargetReady && !empty[target.Zone] {
			index.services[target.Service] += target.Capacity
			index.zones[pool] += target.Capacity
		}
	}
}

package directory

import "merlinpaddle/internal/model"

// CapacityIndex tells what the services of a directory can bear. It is for one
// goroutine, and looks at the targets anew when the directory changed.
type CapacityIndex struct {
	directory *Directory
	revision  model.Revision
	services  map[Token]string
	// capacities has the capacity together of all ready targets outside evacuated
	// zones, by service.
	capacities map[string]int
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
	service = index.services[token]
	return service, index.capacities[service]
}

func (index *CapacityIndex) refresh() {
	revision := index.directory.Revision()
	if index.services != nil && revision == index.revision {
		return
	}
	index.revision = revision
	index.services = make(map[Token]string)
	index.capacities = make(map[string]int)
	evacuated, _ := index.directory.Evacuations()
	empty := make(map[string]bool, len(evacuated))
	for _, evacuation := range evacuated {
		empty[evacuation.Zone] = true
	}
	for _, target := range index.directory.Targets() {
		index.services[target.Token] = target.Service
		if target.State == TargetReady && !empty[target.Zone] {
			index.capacities[target.Service] += target.Capacity
		}
	}
}

package transfer

import (
	"net/netip"
	"sync"

	"merlinpaddle/internal/direct/requests"
)

const (
	// sizeWeight is the weight of one more request in the average of its route.
	sizeWeight = 0.1
	// routesKept bounds the routes whose sizes are known. Beyond it, requests of
	// others count as short.
	routesKept = 4096
)

// growth is by how much a request of a route of which none came whole yet is
// assumed to exceed the longest that is known: one that has brought some is as
// likely as not to bring as much again.
const growth = 2

// average is a running average of sizes in bytes.
type average struct {
	value float64
	// count is the number of requests that it is of. While it is zero, the value
	// is a guess.
	count int
}

// Sizes learns how many bytes the requests of each route bring. It is a
// requests.SizeObserver and safe for many goroutines.
type Sizes struct {
	lock     sync.RWMutex
	averages map[netip.AddrPort]average
}

var _ requests.SizeObserver = (*Sizes)(nil)

// NewSizes returns sizes of which none is known.
func NewSizes() *Sizes { return &Sizes{averages: make(map[netip.AddrPort]average)} }

// Growing implements requests.SizeObserver. It makes a guess at the size of a route
// of which no request came whole: on a link that is full from its start on, it may
// take long until one does.
func (sizes *Sizes) RequestGrowing(route netip.AddrPort, bytes int) {
	if known := sizes.average(route); known.count > 0 || known.value >= growth*float64(bytes) {
		return
	}
	sizes.lock.Lock()
	defer sizes.lock.Unlock()
	known, exists := sizes.averages[route]
	if known.count > 0 || !sizes.hasRoom(exists) {
		return
	}
	known.value = max(known.value, growth*float64(bytes))
	sizes.averages[route] = known
}

// Whole implements requests.SizeObserver. The first ones weigh alike.
func (sizes *Sizes) RequestCompleted(route netip.AddrPort, bytes int) {
	sizes.lock.Lock()
	defer sizes.lock.Unlock()
	known, exists := sizes.averages[route]
	if !sizes.hasRoom(exists) {
		return
	}
	known.count++
	weight := max(sizeWeight, 1/float64(known.count))
	known.value += weight * (float64(bytes) - known.value)
	sizes.averages[route] = known
}

func (sizes *Sizes) hasRoom(exists bool) bool { return exists || len(sizes.averages) < routesKept }

func (sizes *Sizes) average(route netip.AddrPort) average {
	sizes.lock.RLock()
	defer sizes.lock.RUnlock()
	return sizes.averages[route]
}

// Typical returns how many bytes a request of the route usually brings; zero when
// that is not known.
func (sizes *Sizes) Typical(route netip.AddrPort) int { return int(sizes.average(route).value) }

package transfer

import (
	"net/netip"
	"sync"

	"merlinpaddle/internal/direct/requests"
)

const (
	// sizeWeight is the weight of a new request in the average size of its route.
	sizeWeight = 0.1
	// maxRoutes bounds the routes whose sizes are recorded. Requests of further routes are
	// treated as short.
	maxRoutes = 4096
)

// growthFactor is the assumed ratio of a request's final size to the bytes received so far, used
// for routes without a completed request. A request that has sent a number of bytes is about as
// likely as not to send as many again.
const growthFactor = 2

// average is a running average of request sizes in bytes.
type average struct {
	value float64
	// samples is the number of completed requests in the average. While it is zero, value is an
	// estimate based on incomplete requests.
	samples int
}

// Sizes records the usual size of the requests of each route. It implements requests.SizeObserver
// and is safe for concurrent use.
type Sizes struct {
	lock     sync.RWMutex
	averages map[netip.AddrPort]average
}

var _ requests.SizeObserver = (*Sizes)(nil)

// NewSizes returns Sizes without any recorded size.
func NewSizes() *Sizes { return &Sizes{averages: make(map[netip.AddrPort]average)} }

// RequestGrowing implements requests.SizeObserver. It estimates the size for a route without a
// completed request: on a link that is saturated from its start, it may take long until one
// completes.
func (sizes *Sizes) RequestGrowing(route netip.AddrPort, bytes int) {
	if known := sizes.average(route); known.samples > 0 || known.value >= growthFactor*float64(bytes) {
		return
	}
	sizes.lock.Lock()
	defer sizes.lock.Unlock()
	known, exists := sizes.averages[route]
	if known.samples > 0 || !sizes.hasRoom(exists) {
		return
	}
	known.value = max(known.value, growthFactor*float64(bytes))
	sizes.averages[route] = known
}

// RequestCompleted implements requests.SizeObserver. It adds a completed request to the average
// of its route. The first requests of a route have equal weight.
func (sizes *Sizes) RequestCompleted(route netip.AddrPort, bytes int) {
	sizes.lock.Lock()
	defer sizes.lock.Unlock()
	known, exists := sizes.averages[route]
	if !sizes.hasRoom(exists) {
		return
	}
	known.samples++
	weight := max(sizeWeight, 1/float64(known.samples))
	known.value += weight * (float64(bytes) - known.value)
	sizes.averages[route] = known
}

// hasRoom reports whether a route may be recorded; exists reports whether it is recorded already.
func (sizes *Sizes) hasRoom(exists bool) bool { return exists || len(sizes.averages) < maxRoutes }

func (sizes *Sizes) average(route netip.AddrPort) average {
	sizes.lock.RLock()
	defer sizes.lock.RUnlock()
	return sizes.averages[route]
}

// Typical returns the usual size in bytes of a request of the route; zero if unknown.
func (sizes *Sizes) Typical(route netip.AddrPort) int { return int(sizes.average(route).value) }

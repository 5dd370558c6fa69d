package protocol

import (
	"sync"

	"merlinpaddle/internal/model"
)

// MaximumHops is the maximum number of relays that forward a message between a relay and control. It
// ends forwarding loops of relays that have each other as upstream.
const MaximumHops = 4

// Passed is a forwarded message between control and a far relay, one that reaches control through
// other relays. These relays forward the inner message without handling it. Control handles it as if
// the far relay were connected directly.
type Passed struct {
	// Relay is the far relay: the sender of a message to control, or the receiver of a message from
	// control.
	Relay   model.NodeName
	Message any
	// Hops is the number of relays that have forwarded the message on its way to control.
	Hops uint8
}

// routes has, for each far relay, the next hop: the neighbour that forwarded the latest message from
// the relay.
type routes struct {
	lock     sync.RWMutex
	nextHops map[model.NodeName]model.NodeName
}

func (routes *routes) learn(relay, nextHop model.NodeName) {
	routes.lock.Lock()
	defer routes.lock.Unlock()
	if routes.nextHops == nil {
		routes.nextHops = make(map[model.NodeName]model.NodeName)
	}
	routes.nextHops[relay] = nextHop
}

// removeRoute removes the route to a process that is now connected directly.
func (routes *routes) removeRoute(name model.NodeName) {
	if _, found := routes.find(name); !found {
		return
	}
	routes.lock.Lock()
	defer routes.lock.Unlock()
	delete(routes.nextHops, name)
}

func (routes *routes) find(relay model.NodeName) (model.NodeName, bool) {
	routes.lock.RLock()
	defer routes.lock.RUnlock()
	nextHop, found := routes.nextHops[relay]
	return nextHop, found
}

func init() { RegisterAs("via", Passed{}) }

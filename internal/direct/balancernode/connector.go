package balancernode

import (
	"sync"

	"merlinpaddle/internal/direct"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/transport"
)

// connections counts the controllers that use a connection to a node, whose name is its address. The
// first Connect dials it, and the last Disconnect closes it.
type connections struct {
	links *transport.Links

	lock sync.Mutex
	// references is the number of controllers that use the connection to each node.
	references map[model.NodeName]int
}

func newConnections(links *transport.Links) *connections {
	return &connections{links: links, references: make(map[model.NodeName]int)}
}

// Connect implements feed.Connector and load.Connector.
func (connections *connections) Connect(node model.NodeName) {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	connections.references[node]++
	if connections.references[node] == 1 {
		connections.links.Dial(direct.Peer(node))
	}
}

// Connected implements feed.Connector.
func (connections *connections) Connected(node model.NodeName) bool {
	return connections.links.Connected(node)
}

// Disconnect implements feed.Connector and load.Connector.
func (connections *connections) Disconnect(node model.NodeName) {
	connections.lock.Lock()
	defer connections.lock.Unlock()
	switch connections.references[node] {
	case 0:
	case 1:
		delete(connections.references, node)
		connections.links.Disconnect(node)
	default:
		connections.references[node]--
	}
}

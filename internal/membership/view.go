package membership

import (
	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// View shows nodes as the relays' latest reports have them: what a report says
// of all nodes that it does not name is added to what was last said of each by
// name. The reports are those that were folded when the view was made, so a
// view never takes a node for further than it is.
type View struct {
	registry *Registry
	relays   map[model.NodeName]Relay
}

// View returns a view of the registry as it is now. It may be used from any
// goroutine.
func (registry *Registry) View() View {
	relays := make(map[model.NodeName]Relay)
	registry.Relays.Range(func(name model.NodeName, row board.Row[Relay]) bool {
		relays[name] = row.Value
		return true
	})
	return View{registry: registry, relays: relays}
}

// Node returns one node and whether it is known.
func (view View) Node(name model.NodeName) (Node, bool) {
	node, known := view.registry.nodes.Get(name)
	return view.present(node), known
}

// Range calls visit for each node until it returns false.
func (view View) Range(visit func(node Node) bool) {
	view.registry.nodes.Range(func(_ model.NodeName, row board.Row[Node]) bool {
		return visit(view.present(row.Value))
	})
}

// present adds what the reports of the node's relays say without its name.
func (view View) present(node Node) Node {
	for _, holder := range node.Attachments {
		relay, known := view.relays[holder.Relay]
		if !known || holder.Stale {
			continue
		}
		node.seen(relay.NodesHeardSince, holder.Relay)
		floor := relay.Floors[node.Role]
		if !holder.Behind && floor.Revision > node.Applied {
			node.Applied = floor.Revision
			node.Digest = floor.Digest
		}
	}
	return node
}

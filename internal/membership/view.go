package membership

import (
	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// View shows nodes as the relays' latest reports describe them. A report lists only some nodes and
// summarizes the others; a view adds these summaries to the entry that last listed each node. The
// summaries are copied when the view is made, before any node is read, so a view never shows a node
// at a later revision than it runs.
type View struct {
	registry *Registry
	relays   map[model.NodeName]Relay
}

// View returns a view with the relays' current summaries. It may be used from any goroutine.
func (registry *Registry) View() View {
	relays := make(map[model.NodeName]Relay)
	registry.Relays.Range(func(name model.NodeName, row board.Row[Relay]) bool {
		relays[name] = row.Value
		return true
	})
	return View{registry: registry, relays: relays}
}

// Node returns the node with the given name and whether it is known.
func (view View) Node(name model.NodeName) (Node, bool) {
	node, known := view.registry.nodes.Get(name)
	return view.withRelaySummaries(node), known
}

// Range calls visit for each node until visit returns false.
func (view View) Range(visit func(node Node) bool) {
	view.registry.nodes.Range(func(_ model.NodeName, row board.Row[Node]) bool {
		return visit(view.withRelaySummaries(row.Value))
	})
}

// withRelaySummaries returns the node updated by the summaries of the relays that it is attached
// to. Summaries do not cover stale nodes, and floors do not cover nodes that are behind.
func (view View) withRelaySummaries(node Node) Node {
	for _, attachment := range node.Attachments {
		relay, known := view.relays[attachment.Relay]
		if !known || attachment.Stale {
			continue
		}
		node.recordSeen(relay.NodesHeardSince, attachment.Relay)
		floor := relay.Floors[node.Role]
		if !attachment.Behind && floor.Revision > node.Applied {
			node.Applied = floor.Revision
			node.Digest = floor.Digest
		}
	}
	return node
}

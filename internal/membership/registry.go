package membership

import (
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// Node is what control knows of one balancer or agent.
type Node struct {
	Name        model.NodeName
	Role        model.Role
	Zone        model.ZoneName
	Incarnation model.Incarnation
	Sequence    uint64
	Applied     model.Revision
	Digest      uint64
	Load        *model.TargetLoad
	// LastSeen is when the latest heartbeat came, by control's clock.
	LastSeen time.Time
	// LastRelay is the relay that heard it.
	LastRelay model.NodeName
	// Leaving tells that the node announced a planned stop.
	Leaving bool
	// Attachments are the relays that hold the node.
	Attachments []Attachment
	// OrphanedLeaseUntil is when the last lease ends that relay processes may have
	// granted which have restarted since.
	OrphanedLeaseUntil time.Time
}

// Attachment is one relay's account of a node.
type Attachment struct {
	Relay model.NodeName
	// LeaseExpired tells that the relay granted no lease that still runs.
	LeaseExpired bool
	// Stale tells that the relay did not hear the node lately.
	Stale bool
	// Behind tells that the node does not run the relay's floor for its role.
	Behind bool
}

// Relay is what control knows of one relay.
type Relay struct {
	Name        model.NodeName
	Zone        model.ZoneName
	Incarnation model.Incarnation
	Sequence    uint64
	Applied     model.Revision
	// LastSeen is when its latest report came.
	LastSeen time.Time
	// NodesHeardSince is a time since which all its nodes were heard that are not
	// stale.
	NodesHeardSince time.Time
	// Floors has for each role a revision that all its nodes run or have
	// passed that are neither stale nor behind.
	Floors map[model.Role]protocol.Floor
	// GrantedUntil is the end of the latest grant, counted by control from
	// when it granted.
	GrantedUntil time.Time
}

// Registry is the node and relay tables of one time of leadership. One
// controller writes it; others read.
type Registry struct {
	// nodes has the balancers and agents as they were last named. A View adds
	// what the relays' reports say of the nodes that they do not name.
	nodes *board.Table[model.NodeName, Node]
	// agents has the node of each target whose load is reported. Only ApplyReport
	// uses it.
	agents map[model.TargetID]model.NodeName
	// Relays has the relays.
	Relays *board.Table[model.NodeName, Relay]
	// EmptyBuckets has the reports of empty buckets that wait for a proposal.
	EmptyBuckets *board.Table[BucketKey, model.BucketEmpty]
}

// BucketKey names one bucket of one target.
type BucketKey struct {
	Service model.ServiceID
	Target  model.TargetID
	Bucket  model.BucketIndex
}

// maximumEmptyRows bounds the reports of empty buckets that wait. Agents
// repeat those that do not fit.
const maximumEmptyRows = 1 << 16

// NewRegistry returns empty tables.
func NewRegistry() *Registry {
	return &Registry{
		nodes:        board.NewTable[model.NodeName, Node]("nodes", board.HashString[model.NodeName]),
		agents:       make(map[model.TargetID]model.NodeName),
		Relays:       board.NewTable[model.NodeName, Relay]("relays", board.HashString[model.NodeName]),
		EmptyBuckets: board.NewTable[BucketKey, model.BucketEmpty]("empty buckets", hashEmptyKey),
	}
}

func hashEmptyKey(key BucketKey) uint64 {
	return board.HashNumber(uint64(key.Service)<<32 ^ uint64(key.Target)<<16 ^ uint64(key.Bucket))
}

// Clear empties the tables, at the begin and end of leadership.
func (registry *Registry) Clear() {
	clearTable(registry.nodes)
	clear(registry.agents)
	clearTable(registry.Relays)
	clearTable(registry.EmptyBuckets)
}

func clearTable[Key comparable, Value any](table *board.Table[Key, Value]) {
	table.Range(func(key Key, _ board.Row[Value]) bool {
		table.Delete(key)
		return true
	})
}

// ApplyReport takes one relay's report. It returns false when a full report is needed
// first, because the relay's earlier reports are not known here.
func (registry *Registry) ApplyReport(now time.Time, name model.NodeName, report protocol.Report) bool {
	relay, known := registry.Relays.Get(name)
	restarted := known && report.Incarnation > relay.Incarnation
	if known && !restarted && (report.Incarnation < relay.Incarnation || report.Sequence <= relay.Sequence) {
		// A late or doubled report: what it said is known or outdated.
		return true
	}
	if (!known || restarted) && !report.Full {
		return false
	}
	if restarted {
		registry.keepLeases(name, relay)
	}
	// The nodes come first: a reader who sees the new floor must also see who
	// is behind it.
	registry.foldNodes(now, name, report)
	relay.Name = name
	relay.Zone = report.Zone
	relay.Incarnation = report.Incarnation
	relay.Sequence = report.Sequence
	relay.Applied = report.Applied
	relay.LastSeen = now
	relay.NodesHeardSince = now.Add(-report.FreshWithin)
	relay.Floors = make(map[model.Role]protocol.Floor, len(report.Floors))
	for _, floor := range report.Floors {
		relay.Floors[floor.Role] = floor
	}
	registry.Relays.Put(name, relay)
	return true
}

// keepLeases notes that nodes may still hold leases of a relay process that has
// restarted. The new process knows nothing of them.
func (registry *Registry) keepLeases(name model.NodeName, relay Relay) {
	registry.nodes.Range(func(node model.NodeName, row board.Row[Node]) bool {
		if row.Value.leasedBy(name) {
			registry.nodes.Update(node, func(node Node, exists bool) (Node, bool) {
				if relay.GrantedUntil.After(node.OrphanedLeaseUntil) {
					node.OrphanedLeaseUntil = relay.GrantedUntil
				}
				return node, exists
			})
		}
		return true
	})
}

// foldNodes takes what a report says of the nodes that it names. Its cost
// grows with these, and not with the nodes of the relay, unless it is full.
func (registry *Registry) foldNodes(now time.Time, relay model.NodeName, report protocol.Report) {
	view := registry.View()
	for _, nodeReport := range report.Nodes {
		registry.foldNode(now, view, relay, nodeReport)
		registry.foldEmpty(nodeReport.Heartbeat.Empty)
	}
	for _, load := range report.Loads {
		registry.foldLoad(relay, load)
	}
	if report.Full {
		registry.removeUnnamed(view, relay, report.Nodes)
	}
}

// removeUnnamed drops the relay's hold of all nodes that a full report leaves
// out.
func (registry *Registry) removeUnnamed(view View, relay model.NodeName, reports []protocol.NodeReport) {
	named := make(map[model.NodeName]struct{}, len(reports))
	for _, report := range reports {
		named[report.Node] = struct{}{}
	}
	registry.nodes.Range(func(name model.NodeName, row board.Row[Node]) bool {
		if _, isNamed := named[name]; !isNamed && row.Value.heldBy(relay) {
			registry.removeHolder(view, name, relay)
		}
		return true
	})
}

// foldNode takes one node's heartbeat as its relay reports it.
func (registry *Registry) foldNode(now time.Time, view View, relay model.NodeName, report protocol.NodeReport) {
	if report.Gone && !report.Heartbeat.Leaving {
		registry.removeHolder(view, report.Node, relay)
		return
	}
	heartbeat := report.Heartbeat
	registry.nodes.Update(report.Node, func(node Node, exists bool) (Node, bool) {
		if exists && heartbeat.Incarnation < node.Incarnation {
			return node, true
		}
		if !exists || heartbeat.Incarnation > node.Incarnation {
			node = Node{Name: report.Node, Incarnation: heartbeat.Incarnation}
		}
		node = view.present(node)
		node.take(heartbeat)
		node.seen(now.Add(-report.Age), relay)
		node.hold(Attachment{
			Relay: relay, LeaseExpired: report.LeaseExpired || heartbeat.Leaving, Stale: report.Age > rollout.FreshWithin, Behind: report.Behind,
		})
		return node, true
	})
	if heartbeat.Load != nil {
		registry.agents[heartbeat.Load.Target] = report.Node
	}
}

// foldLoad takes the load of a node that an earlier report named.
func (registry *Registry) foldLoad(relay model.NodeName, load model.TargetLoad) {
	name, known := registry.agents[load.Target]
	if !known {
		return
	}
	registry.nodes.Update(name, func(node Node, exists bool) (Node, bool) {
		if exists && node.heldBy(relay) && node.Load != nil && node.Load.Target == load.Target {
			node.Load = &load
		}
		return node, exists
	})
}

// take copies the heartbeat unless a later one is known.
func (node *Node) take(heartbeat protocol.Heartbeat) {
	if heartbeat.Sequence < node.Sequence {
		return
	}
	node.Sequence = heartbeat.Sequence
	node.Role = heartbeat.Role
	node.Zone = heartbeat.Zone
	if heartbeat.Applied >= node.Applied {
		node.Applied = heartbeat.Applied
		node.Digest = heartbeat.Digest
	}
	node.Load = heartbeat.Load
	node.Leaving = heartbeat.Leaving
}

func (node *Node) seen(at time.Time, relay model.NodeName) {
	if at.After(node.LastSeen) {
		node.LastSeen = at
		node.LastRelay = relay
	}
}

// hold records the holder in a new list, because rows are shared by readers.
func (node *Node) hold(holder Attachment) {
	holders := make([]Attachment, 0, len(node.Attachments)+1)
	for _, present := range node.Attachments {
		if present.Relay != holder.Relay {
			holders = append(holders, present)
		}
	}
	node.Attachments = append(holders, holder)
}

// leasedBy tells whether the relay did not say that its leases of the node are
// over.
func (node Node) leasedBy(relay model.NodeName) bool {
	return slices.ContainsFunc(node.Attachments, func(holder Attachment) bool { return holder.Relay == relay && !holder.LeaseExpired })
}

func (node Node) heldBy(relay model.NodeName) bool {
	return slices.ContainsFunc(node.Attachments, func(holder Attachment) bool { return holder.Relay == relay })
}

// FreshRelay returns the relay that heard the node lately, if one did.
func (node Node) FreshRelay() (model.NodeName, bool) {
	for _, holder := range node.Attachments {
		if !holder.Stale {
			return holder.Relay, true
		}
	}
	return "", false
}

// removeHolder drops the relay's hold of a node. The node's row stays: its
// last heartbeat still decides when its target is dead.
func (registry *Registry) removeHolder(view View, name, relay model.NodeName) {
	registry.nodes.Update(name, func(node Node, exists bool) (Node, bool) {
		node = view.present(node)
		node.Attachments = slices.DeleteFunc(slices.Clone(node.Attachments), func(holder Attachment) bool { return holder.Relay == relay })
		return node, exists
	})
}

func (registry *Registry) foldEmpty(reports []model.BucketEmpty) {
	for _, report := range reports {
		if registry.EmptyBuckets.Length() >= maximumEmptyRows {
			return
		}
		key := BucketKey{Service: report.Service, Target: report.Target, Bucket: report.Bucket}
		registry.EmptyBuckets.Update(key, func(present model.BucketEmpty, exists bool) (model.BucketEmpty, bool) {
			if exists && present.At >= report.At {
				return present, true
			}
			return report, true
		})
	}
}

// Grant records that the relay may grant leases until the given time.
func (registry *Registry) Grant(name model.NodeName, until time.Time) {
	registry.Relays.Update(name, func(relay Relay, exists bool) (Relay, bool) {
		if until.After(relay.GrantedUntil) {
			relay.GrantedUntil = until
		}
		return relay, exists
	})
}

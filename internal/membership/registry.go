package membership

import (
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// Node is what control knows about one balancer or agent.
type Node struct {
	Name        model.NodeName
	Role        model.Role
	Zone        model.ZoneName
	Incarnation model.Incarnation
	Sequence    uint64
	Applied     model.Revision
	Digest      uint64
	Load        *model.TargetLoad
	// LastSeen is when a relay received the node's latest heartbeat, by control's clock.
	LastSeen time.Time
	// LastRelay is the relay that received it.
	LastRelay model.NodeName
	// Leaving reports whether the node announced a planned stop.
	Leaving bool
	// Attachments has one entry for each relay that reports the node as its own. There may be
	// several while a node changes relays.
	Attachments []Attachment
	// OrphanedLeaseUntil is when the last lease ends that the node may have from relay processes
	// that have restarted since. The new processes do not know these leases.
	OrphanedLeaseUntil time.Time
}

// Attachment is what one relay last reported about a node that is connected to it.
type Attachment struct {
	Relay model.NodeName
	// LeaseExpired reports whether all leases that the relay granted to the node have expired.
	LeaseExpired bool
	// Stale reports whether the relay's latest heartbeat of the node was older than
	// rollout.FreshWithin.
	Stale bool
	// Behind reports whether the node's revision is older than the relay's floor for its role.
	Behind bool
}

// Relay is what control knows about one relay.
type Relay struct {
	Name        model.NodeName
	Zone        model.ZoneName
	Incarnation model.Incarnation
	Sequence    uint64
	Applied     model.Revision
	// LastSeen is when control received the relay's latest report.
	LastSeen time.Time
	// NodesHeardSince is a time since which the relay received heartbeats of all its nodes that
	// are not stale.
	NodesHeardSince time.Time
	// Floors has for each role the revision that all nodes of the relay run or have passed, except
	// those that are stale or behind.
	Floors map[model.Role]protocol.Floor
	// GrantedUntil is the end of the latest grant, counted by control from the time of the grant.
	GrantedUntil time.Time
}

// Registry holds the tables of nodes and relays for one period of leadership. One controller
// applies reports to it; any goroutine may read.
type Registry struct {
	// nodes has the balancers and agents as reports last listed them. A View adds what the relays'
	// latest reports say about the nodes that they do not list.
	nodes *board.Table[model.NodeName, Node]
	// agentOfTarget maps each target whose load was reported to its agent's node. Only ApplyReport
	// and Clear use it.
	agentOfTarget map[model.TargetID]model.NodeName
	// Relays has the relays by name.
	Relays *board.Table[model.NodeName, Relay]
	// EmptyBuckets has the reports of empty buckets that are not proposed yet.
	EmptyBuckets *board.Table[BucketKey, model.BucketEmpty]
}

// BucketKey identifies one bucket of one target.
type BucketKey struct {
	Service model.ServiceID
	Target  model.TargetID
	Bucket  model.BucketIndex
}

// maximumEmptyReports limits the reports of empty buckets that wait for a proposal. Reports beyond
// it are dropped, and agents repeat them.
const maximumEmptyReports = 1 << 16

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		nodes:         board.NewTable[model.NodeName, Node]("nodes", board.HashString[model.NodeName]),
		agentOfTarget: make(map[model.TargetID]model.NodeName),
		Relays:        board.NewTable[model.NodeName, Relay]("relays", board.HashString[model.NodeName]),
		EmptyBuckets:  board.NewTable[BucketKey, model.BucketEmpty]("empty buckets", hashBucketKey),
	}
}

func hashBucketKey(key BucketKey) uint64 {
	return board.HashNumber(uint64(key.Service)<<32 ^ uint64(key.Target)<<16 ^ uint64(key.Bucket))
}

// Clear removes everything from the registry. It is called when leadership begins and ends.
func (registry *Registry) Clear() {
	clearTable(registry.nodes)
	clear(registry.agentOfTarget)
	clearTable(registry.Relays)
	clearTable(registry.EmptyBuckets)
}

func clearTable[Key comparable, Value any](table *board.Table[Key, Value]) {
	table.Range(func(key Key, _ board.Row[Value]) bool {
		table.Delete(key)
		return true
	})
}

// ApplyReport applies one relay's report. It reports whether the registry is now at the report or a
// later one. If not, it does not have the earlier reports of this relay process, and the relay must
// send a full report.
func (registry *Registry) ApplyReport(now time.Time, name model.NodeName, report protocol.Report) bool {
	relay, known := registry.Relays.Get(name)
	restarted := known && report.Incarnation > relay.Incarnation
	if known && !restarted && (report.Incarnation < relay.Incarnation || report.Sequence <= relay.Sequence) {
		// The report is delayed or duplicated: a later one was applied already.
		return true
	}
	if (!known || restarted) && !report.Full {
		return false
	}
	if restarted {
		registry.keepOutstandingLeases(name, relay)
	}
	// The nodes are updated first: a reader that sees the new floor must also see which nodes are
	// behind it.
	registry.applyNodeReports(now, name, report)
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

// keepOutstandingLeases records that nodes may still hold leases from a relay process that has
// restarted. The new process does not know these leases.
func (registry *Registry) keepOutstandingLeases(name model.NodeName, relay Relay) {
	registry.nodes.Range(func(node model.NodeName, row board.Row[Node]) bool {
		if row.Value.mayHoldLeaseFrom(name) {
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

// applyNodeReports applies what a report says about the nodes that it lists. The cost grows with
// the listed nodes, not with all nodes of the relay, unless the report is full.
func (registry *Registry) applyNodeReports(now time.Time, relay model.NodeName, report protocol.Report) {
	view := registry.View()
	for _, nodeReport := range report.Nodes {
		registry.applyNodeReport(now, view, relay, nodeReport)
		registry.recordEmptyBuckets(nodeReport.Heartbeat.Empty)
	}
	for _, load := range report.Loads {
		registry.applyLoad(relay, load)
	}
	if report.Full {
		registry.detachUnlisted(view, relay, report.Nodes)
	}
}

// detachUnlisted detaches from the relay all nodes that its full report does not list.
func (registry *Registry) detachUnlisted(view View, relay model.NodeName, reports []protocol.NodeReport) {
	listed := make(map[model.NodeName]struct{}, len(reports))
	for _, report := range reports {
		listed[report.Node] = struct{}{}
	}
	registry.nodes.Range(func(name model.NodeName, row board.Row[Node]) bool {
		if _, isListed := listed[name]; !isListed && row.Value.attachedTo(relay) {
			registry.detach(view, name, relay)
		}
		return true
	})
}

// applyNodeReport applies one node's entry in a relay's report.
func (registry *Registry) applyNodeReport(now time.Time, view View, relay model.NodeName, report protocol.NodeReport) {
	if report.Gone && !report.Heartbeat.Leaving {
		registry.detach(view, report.Node, relay)
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
		node = view.withRelaySummaries(node)
		node.applyHeartbeat(heartbeat)
		node.recordSeen(now.Add(-report.Age), relay)
		node.attach(Attachment{
			Relay: relay, LeaseExpired: report.LeaseExpired || heartbeat.Leaving, Stale: report.Age > rollout.FreshWithin, Behind: report.Behind,
		})
		return node, true
	})
	if heartbeat.Load != nil {
		registry.agentOfTarget[heartbeat.Load.Target] = report.Node
	}
}

// applyLoad updates the load of a node that an earlier report of the relay listed.
func (registry *Registry) applyLoad(relay model.NodeName, load model.TargetLoad) {
	name, known := registry.agentOfTarget[load.Target]
	if !known {
		return
	}
	registry.nodes.Update(name, func(node Node, exists bool) (Node, bool) {
		if exists && node.attachedTo(relay) && node.Load != nil && node.Load.Target == load.Target {
			node.Load = &load
		}
		return node, exists
	})
}

// applyHeartbeat copies the heartbeat unless a later one of the same incarnation is known.
func (node *Node) applyHeartbeat(heartbeat protocol.Heartbeat) {
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

// recordSeen records that the relay received a heartbeat of the node at the given time, unless a
// later one is known.
func (node *Node) recordSeen(at time.Time, relay model.NodeName) {
	if at.After(node.LastSeen) {
		node.LastSeen = at
		node.LastRelay = relay
	}
}

// attach adds or replaces the relay's attachment. It builds a new list because readers share the
// old one.
func (node *Node) attach(attachment Attachment) {
	attachments := make([]Attachment, 0, len(node.Attachments)+1)
	for _, existing := range node.Attachments {
		if existing.Relay != attachment.Relay {
			attachments = append(attachments, existing)
		}
	}
	node.Attachments = append(attachments, attachment)
}

// mayHoldLeaseFrom reports whether the node is attached to the relay and the relay has not reported
// its leases to the node as expired.
func (node Node) mayHoldLeaseFrom(relay model.NodeName) bool {
	return slices.ContainsFunc(node.Attachments, func(attachment Attachment) bool { return attachment.Relay == relay && !attachment.LeaseExpired })
}

func (node Node) attachedTo(relay model.NodeName) bool {
	return slices.ContainsFunc(node.Attachments, func(attachment Attachment) bool { return attachment.Relay == relay })
}

// FreshRelay returns a relay whose latest heartbeat of the node was fresh when it reported it. It
// returns false if there is none.
func (node Node) FreshRelay() (model.NodeName, bool) {
	for _, attachment := range node.Attachments {
		if !attachment.Stale {
			return attachment.Relay, true
		}
	}
	return "", false
}

// detach removes the relay's attachment from a node. The node's row stays, because its last
// heartbeat still decides when its target is dead.
func (registry *Registry) detach(view View, name, relay model.NodeName) {
	registry.nodes.Update(name, func(node Node, exists bool) (Node, bool) {
		node = view.withRelaySummaries(node)
		node.Attachments = slices.DeleteFunc(slices.Clone(node.Attachments), func(attachment Attachment) bool { return attachment.Relay == relay })
		return node, exists
	})
}

func (registry *Registry) recordEmptyBuckets(reports []model.BucketEmpty) {
	for _, report := range reports {
		if registry.EmptyBuckets.Length() >= maximumEmptyReports {
			return
		}
		key := BucketKey{Service: report.Service, Target: report.Target, Bucket: report.Bucket}
		registry.EmptyBuckets.Update(key, func(existing model.BucketEmpty, exists bool) (model.BucketEmpty, bool) {
			if exists && existing.At >= report.At {
				return existing, true
			}
			return report, true
		})
	}
}

// Grant records that the relay may grant leases until the given time. It never shortens a grant.
func (registry *Registry) Grant(name model.NodeName, until time.Time) {
	registry.Relays.Update(name, func(relay Relay, exists bool) (Relay, bool) {
		if until.After(relay.GrantedUntil) {
			relay.GrantedUntil = until
		}
		return relay, exists
	})
}

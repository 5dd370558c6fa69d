package relay

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

// laggardDivisor bounds the leased nodes that may be behind the floor to one in laggardDivisor. A
// few slow nodes are then reported by name as behind, and don't hold back the floor.
const laggardDivisor = 8

// rowVersions are the versions of a row as of one report.
type rowVersions struct {
	node, load uint64
}

// nodeStatus is what a report says about a node besides its heartbeat. Control assumes it
// unchanged until a report names the node again, so a change of it puts the node into the report.
type nodeStatus struct {
	// leaseExpired means that the node has no lease from this relay, and that the relay grants none
	// until a report says otherwise.
	leaseExpired bool
	// stale means that the last heartbeat is older than rollout.FreshWithin.
	stale bool
	// behind means that the node runs a lower revision than its role's floor, or that its digest
	// does not match.
	behind bool
}

// reportContent has the nodes and loads of one report.
type reportContent struct {
	nodes []protocol.NodeReport
	loads []model.TargetLoad
}

// report returns the content of the report with the given sequence: in a full report every node,
// otherwise the nodes with a change that no acknowledged report included. A change is repeated
// until control acknowledges it, so control has the current state of each node that is left out.
func (table *nodeTable) report(now time.Time, sequence uint64, full bool) reportContent {
	table.reportUrgent = false
	table.raiseFloors(now)
	var content reportContent
	versions := make(map[model.NodeName]rowVersions)
	for name, row := range table.rows {
		if status := table.status(now, row); status != row.reportedStatus {
			row.reportedStatus = status
			table.markChanged(row)
		}
		if row.reportedStatus.leaseExpired {
			row.countedSince = unknownSequence
		} else {
			row.countedSince = min(row.countedSince, sequence)
		}
		switch {
		case full || row.version != row.acknowledged.node:
			row.knownSince = min(row.knownSince, sequence)
			content.nodes = append(content.nodes, row.report(now, name))
		case row.loadVersion != row.acknowledged.load && row.heartbeat.Load != nil:
			content.loads = append(content.loads, *row.heartbeat.Load)
		default:
			continue
		}
		versions[name] = rowVersions{node: row.version, load: row.loadVersion}
	}
	slices.SortFunc(content.nodes, func(left, right protocol.NodeReport) int { return cmp.Compare(left.Node, right.Node) })
	slices.SortFunc(content.loads, func(left, right model.TargetLoad) int { return cmp.Compare(left.Target, right.Target) })
	table.unacknowledged[sequence] = versions
	if sequence > maximumOutstanding {
		delete(table.unacknowledged, sequence-maximumOutstanding)
	}
	return content
}

func (row *nodeRow) report(now time.Time, name model.NodeName) protocol.NodeReport {
	return protocol.NodeReport{
		Node: name, Heartbeat: row.heartbeat, Age: now.Sub(row.receivedAt),
		LeaseExpired: row.reportedStatus.leaseExpired, Behind: row.reportedStatus.behind, Gone: row.gone,
	}
}

func (table *nodeTable) status(now time.Time, row *nodeRow) nodeStatus {
	return nodeStatus{
		leaseExpired: !row.leased(now) && !table.mayLease(now, row),
		stale:        row.stale(now),
		behind:       !row.digestMatches || row.heartbeat.Applied < table.floors[row.heartbeat.Role],
	}
}

// mayLease reports whether the relay could grant the node a lease. The report that is sent next
// says so, and control counts the node from then on. Only a grant that answers that report or a
// later one can extend the lease: no revision that counted as in force before is higher than the
// one which that grant confirms.
func (table *nodeTable) mayLease(now time.Time, row *nodeRow) bool {
	return !row.gone && !row.moved && row.digestMatches && !row.stale(now) && row.heartbeat.Applied >= table.committed
}

// leased reports whether a lease that the relay granted may still be valid.
func (row *nodeRow) leased(now time.Time) bool { return now.Before(row.leaseUntil) }

// stale reports whether the last heartbeat is older than rollout.FreshWithin.
func (row *nodeRow) stale(now time.Time) bool { return now.Sub(row.receivedAt) > rollout.FreshWithin }

// raiseFloors raises the floor of each role to the highest revision that all but a few of its
// leased nodes have reached. A node that makes no progress loses its lease and no longer counts. A
// floor is never lowered, because nodes never return to a lower revision.
func (table *nodeTable) raiseFloors(now time.Time) {
	counts := make(map[model.Role]map[model.Revision]int)
	for _, row := range table.rows {
		if row.gone || row.moved || !row.digestMatches || row.stale(now) || !row.leased(now) {
			continue
		}
		role := row.heartbeat.Role
		if counts[role] == nil {
			counts[role] = make(map[model.Revision]int)
		}
		counts[role][row.heartbeat.Applied]++
	}
	for role, revisions := range counts {
		table.floors[role] = max(table.floors[role], reachedByMost(revisions))
	}
}

// reachedByMost returns the highest revision that all nodes have reached except at most one in
// laggardDivisor. counts has the number of nodes at each revision.
func reachedByMost(counts map[model.Revision]int) model.Revision {
	total := 0
	for _, count := range counts {
		total += count
	}
	reached := 0
	for _, revision := range revisionsDescending(counts) {
		reached += counts[revision]
		if laggardDivisor*(total-reached) <= total {
			return revision
		}
	}
	return 0
}

// floorReports returns the floors sorted by role. A floor has a digest only if the relay's
// configuration is at the floor's revision.
func (table *nodeTable) floorReports(configuration *model.Configuration) []protocol.Floor {
	var floors []protocol.Floor
	for role, revision := range table.floors {
		floor := protocol.Floor{Role: role, Revision: revision}
		if configuration.Revision == revision {
			floor.Digest = configuration.Digest()
		}
		floors = append(floors, floor)
	}
	slices.SortFunc(floors, func(left, right protocol.Floor) int { return cmp.Compare(left.Role, right.Role) })
	return floors
}

func revisionsDescending(counts map[model.Revision]int) []model.Revision {
	revisions := make([]model.Revision, 0, len(counts))
	for revision := range counts {
		revisions = append(revisions, revision)
	}
	slices.SortFunc(revisions, func(left, right model.Revision) int { return cmp.Compare(right, left) })
	return revisions
}

// acknowledge records that control processed the report, and removes the rows of nodes that it
// reported as gone.
func (table *nodeTable) acknowledge(sequence uint64) {
	for name, versions := range table.unacknowledged[sequence] {
		row, known := table.rows[name]
		if !known {
			continue
		}
		row.acknowledged.node = max(row.acknowledged.node, versions.node)
		row.acknowledged.load = max(row.acknowledged.load, versions.load)
		if row.gone && row.acknowledged.node == row.version {
			delete(table.rows, name)
		}
	}
	delete(table.unacknowledged, sequence)
}

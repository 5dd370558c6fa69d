package relay

import (
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// expireAfter is how long after its last heartbeat a node is marked as gone, and how long after
	// its last message a downstream relay is removed.
	expireAfter = 30 * time.Second
	// housekeepingInterval is the time between two checks for expired nodes and for old records of
	// forwarded claims.
	housekeepingInterval = time.Second
	// loadReportInterval is the shortest time between two reports of a node of which only the load
	// or the empty buckets changed.
	loadReportInterval = time.Second
)

// nodeRow is the relay's state of one node.
type nodeRow struct {
	heartbeat  protocol.Heartbeat
	receivedAt time.Time
	answered   bool
	// digestMatches is false when the digest in the latest heartbeat differs from that of the
	// relay's configuration at the same revision.
	digestMatches bool
	// knownSince is the sequence of the first report that named this incarnation of the node, or
	// unknownSequence.
	knownSince uint64
	// countedSince is the sequence of the first report since which control counts the node among
	// those that may hold a lease, or unknownSequence while control does not count it.
	countedSince uint64
	// leaseUntil is the latest end of a lease that the relay granted, plus rollout.ClockMargin for a
	// node whose clock runs slower.
	leaseUntil time.Time
	// version increases with each change that a report to control must include, and loadVersion
	// with each change of the load alone.
	version, loadVersion uint64
	// acknowledged has both versions as of the latest report that control acknowledged.
	acknowledged rowVersions
	// reportedStatus is the node's status as of the latest report. A change of it is included in
	// that report.
	reportedStatus nodeStatus
	// loadDirty and emptyDirty mean that the load or the empty buckets changed and the row is not
	// marked for a report yet. markedAt is when it was last marked for such a change.
	loadDirty, emptyDirty bool
	markedAt              time.Time
	// gone means that the node left, expired or moved away. The row stays until control has
	// acknowledged a report that says so.
	gone bool
	// moved means that the node uses another relay. The row is kept until the last lease that this
	// relay granted has expired.
	moved bool
}

// nodeTable has the nodes that send heartbeats to this relay.
type nodeTable struct {
	rows map[model.NodeName]*nodeRow
	// arrived has the nodes with a new heartbeat that the relay has not tried to answer yet, and
	// deferred those whose answer waits until control knows them.
	arrived  map[model.NodeName]struct{}
	deferred map[model.NodeName]struct{}
	// reportUrgent means that a change should be reported before the report interval ends.
	reportUrgent bool
	lastExpiry   time.Time
	// version is the latest version of any row. All rows draw from this counter, so an
	// acknowledgement of a version of an earlier incarnation's row never covers the row of a later
	// incarnation.
	version uint64
	// committed is the highest revision that a grant has confirmed.
	committed model.Revision
	// floors has for each role the revision that all its nodes run or have passed, except those
	// that are reported as behind.
	floors map[model.Role]model.Revision
	// unacknowledged has, by sequence of the report, the row versions in each report that control
	// has not acknowledged yet.
	unacknowledged map[uint64]map[model.NodeName]rowVersions
}

func newNodeTable() *nodeTable {
	return &nodeTable{
		rows:           make(map[model.NodeName]*nodeRow),
		arrived:        make(map[model.NodeName]struct{}),
		deferred:       make(map[model.NodeName]struct{}),
		floors:         make(map[model.Role]model.Revision),
		unacknowledged: make(map[uint64]map[model.NodeName]rowVersions),
	}
}

// receive records a heartbeat if it is newer than the last recorded one of the node, and reports
// whether it is.
func (table *nodeTable) receive(now time.Time, name model.NodeName, heartbeat protocol.Heartbeat) bool {
	row, known := table.rows[name]
	if known && !newer(row.heartbeat, heartbeat) {
		return false
	}
	// Control may have removed a node that was reported as gone, so such a node gets a new row.
	if !known || row.gone || heartbeat.Incarnation != row.heartbeat.Incarnation {
		row = &nodeRow{knownSince: unknownSequence, countedSince: unknownSequence, digestMatches: true}
		table.markChanged(row)
		table.rows[name] = row
		table.reportUrgent = true
	}
	table.recordChanges(now, row, heartbeat)
	row.heartbeat = heartbeat
	row.receivedAt = now
	row.answered = false
	row.gone = heartbeat.Leaving
	row.moved = false
	if heartbeat.Leaving {
		// The node releases its lease when it sends this heartbeat.
		row.leaseUntil = time.Time{}
	}
	table.arrived[name] = struct{}{}
	return true
}

// markChanged includes the row in the next report.
func (table *nodeTable) markChanged(row *nodeRow) { row.version = table.nextVersion() }

func (table *nodeTable) nextVersion() uint64 {
	table.version++
	return table.version
}

// markMoved records that the node uses another relay now.
func (table *nodeTable) markMoved(name model.NodeName, incarnation model.Incarnation) {
	if row, known := table.rows[name]; known && row.heartbeat.Incarnation == incarnation {
		row.moved = true
	}
}

// newer reports whether next was sent after previous.
func newer(previous, next protocol.Heartbeat) bool {
	if next.Incarnation != previous.Incarnation {
		return next.Incarnation > previous.Incarnation
	}
	return next.Sequence > previous.Sequence
}

// recordChanges marks the row for the next report if the heartbeat next has a change to report. The
// report is urgent when the node leaves, and when a balancer has applied a new revision, because
// control waits for it before a change counts as in force. The floor reports the revision, unless the
// node is behind.
func (table *nodeTable) recordChanges(now time.Time, row *nodeRow, next protocol.Heartbeat) {
	previous := row.heartbeat
	if next.Applied != previous.Applied || next.Leaving != previous.Leaving {
		table.reportUrgent = table.reportUrgent || next.Role == model.RoleBalancer || next.Leaving
	}
	if next.Leaving != previous.Leaving || targetOf(next.Load) != targetOf(previous.Load) ||
		(row.reportedStatus.behind && next.Applied != previous.Applied) {
		table.markChanged(row)
	}
	row.loadDirty = row.loadDirty || !equalLoads(previous.Load, next.Load)
	row.emptyDirty = row.emptyDirty || len(next.Empty) > 0
	if now.Sub(row.markedAt) < loadReportInterval || !(row.loadDirty || row.emptyDirty) {
		return
	}
	if row.emptyDirty {
		table.markChanged(row)
	}
	if row.loadDirty {
		row.loadVersion = table.nextVersion()
	}
	row.loadDirty, row.emptyDirty = false, false
	row.markedAt = now
}

// targetOf returns the target of a load, or zero for a nil load.
func targetOf(load *model.TargetLoad) model.TargetID {
	if load == nil {
		return 0
	}
	return load.Target
}

func equalLoads(left, right *model.TargetLoad) bool {
	if left == nil || right == nil {
		return left == right
	}
	return *left == *right
}

// extendLease records a lease that the relay granted.
func (table *nodeTable) extendLease(name model.NodeName, until time.Time) {
	if row := table.rows[name]; until.After(row.leaseUntil) {
		row.leaseUntil = until
	}
}

// unanswered returns, sorted, the nodes whose latest heartbeat is not answered yet: those whose
// heartbeat came since the last call and, with includeDeferred, those that deferAnswer recorded.
func (table *nodeTable) unanswered(includeDeferred bool) []model.NodeName {
	if includeDeferred {
		maps.Copy(table.arrived, table.deferred)
		clear(table.deferred)
	}
	var names []model.NodeName
	for name := range table.arrived {
		if row, known := table.rows[name]; known && !row.answered && !row.gone {
			names = append(names, name)
		}
	}
	clear(table.arrived)
	slices.Sort(names)
	return names
}

// deferAnswer records that the node's heartbeat cannot be answered yet.
func (table *nodeTable) deferAnswer(name model.NodeName) { table.deferred[name] = struct{}{} }

// urgent reports whether the next report should be sent before its interval ends.
func (table *nodeTable) urgent() bool { return table.reportUrgent }

// expire marks as gone, and returns, the nodes that sent no heartbeat for expireAfter and those
// that moved away and have no lease any more. acknowledge removes their rows once control knows.
func (table *nodeTable) expire(now time.Time) []model.NodeName {
	if now.Sub(table.lastExpiry) < housekeepingInterval {
		return nil
	}
	table.lastExpiry = now
	var expired []model.NodeName
	for name, row := range table.rows {
		departed := row.moved && !row.leased(now)
		if row.gone || (!departed && now.Sub(row.receivedAt) <= expireAfter) {
			continue
		}
		row.gone = true
		table.markChanged(row)
		expired = append(expired, name)
	}
	return expired
}

package relay

import (
	"math"
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// memberTimeout is how long a control member may go without granting before the relay tries the
	// next one.
	memberTimeout = time.Second
	// minimumDwell is the shortest time for which the relay stays at one member before it switches to
	// the member that this one names as leader. It keeps the relay from switching in a fast loop
	// between members that name each other as leader.
	minimumDwell = 200 * time.Millisecond
	// minimumReportInterval is the shortest time between two reports, which applies to urgent ones.
	minimumReportInterval = 50 * time.Millisecond
	// answerTimeout bounds how long the answer to a heartbeat waits until control knows its node.
	answerTimeout = time.Second
	// deferredInterval is the time between two checks of the deferred heartbeats when no grant
	// comes.
	deferredInterval = 50 * time.Millisecond
	// unknownSequence stands for the sequence of a report that was not sent yet. It is higher than
	// that of any grant, so no grant covers the node.
	unknownSequence = math.MaxUint64
	// maximumOutstanding bounds the number of unacknowledged reports that the relay keeps track of.
	maximumOutstanding = 64
)

// upstream is the relay's connection to control: the member to which it sends reports, the reports
// that are not acknowledged yet, and the grants that it received.
type upstream struct {
	options  Options
	grants   grantList
	index    int
	chosenAt time.Time
	// grantedAt is when the relay last received a grant from the current member; zero without one.
	grantedAt time.Time
	started   bool

	sequence   uint64
	reportedAt time.Time
	// wantFull means that the next report must name every node.
	wantFull bool
	// sent has the time at which each unacknowledged report was sent, by sequence.
	sent map[uint64]time.Time
}

func newUpstream(options Options) *upstream {
	return &upstream{options: options, wantFull: true, sent: make(map[uint64]time.Time)}
}

// member returns the process to which the relay sends its reports at present.
func (upstream *upstream) member() model.NodeName { return upstream.options.Control[upstream.index] }

// leader returns the current member if it granted within memberTimeout, else an empty name.
func (upstream *upstream) leader(now time.Time) model.NodeName {
	if upstream.grantedAt.IsZero() || now.Sub(upstream.grantedAt) > memberTimeout {
		return ""
	}
	return upstream.member()
}

// advance switches to the next member when the current one has not granted for memberTimeout.
func (upstream *upstream) advance(now time.Time) {
	if !upstream.started {
		upstream.started = true
		upstream.chosenAt = now
	}
	last := upstream.chosenAt
	if upstream.grantedAt.After(last) {
		last = upstream.grantedAt
	}
	if now.Sub(last) > memberTimeout {
		upstream.choose(now, (upstream.index+1)%len(upstream.options.Control))
	}
}

// choose switches to the member at index. The next report is due at once and names every node.
func (upstream *upstream) choose(now time.Time, index int) {
	upstream.index = index
	upstream.chosenAt = now
	upstream.grantedAt = time.Time{}
	upstream.wantFull = true
	upstream.reportedAt = time.Time{}
}

// acknowledge processes a member's answer to a report. The duration of a grant counts from the
// moment at which the report was sent, so a delayed answer only shortens it.
func (upstream *upstream) acknowledge(now time.Time, from model.NodeName, acknowledgement protocol.ReportAck, nodes *nodeTable) {
	sentAt, awaited := upstream.sent[acknowledgement.Sequence]
	if !awaited || from != upstream.member() {
		return
	}
	delete(upstream.sent, acknowledgement.Sequence)
	if acknowledgement.WantFull {
		upstream.wantFull = true
		upstream.reportedAt = time.Time{}
		return
	}
	if acknowledgement.LeaseFor <= 0 {
		upstream.followLeader(now, acknowledgement.Leader)
		return
	}
	nodes.acknowledge(acknowledgement.Sequence)
	nodes.committed = max(nodes.committed, acknowledgement.Committed)
	upstream.grantedAt = now
	upstream.grants.add(now, grant{
		sequence:  acknowledgement.Sequence,
		committed: acknowledgement.Committed,
		until:     sentAt.Add(acknowledgement.LeaseFor),
	})
}

// followLeader switches to the member that the current member names as leader.
func (upstream *upstream) followLeader(now time.Time, leader model.NodeName) {
	index := slices.Index(upstream.options.Control, leader)
	if index < 0 || index == upstream.index || now.Sub(upstream.chosenAt) < minimumDwell {
		return
	}
	upstream.choose(now, index)
}

// grantFor returns the grant that expires last among those that cover a node which runs the
// revision applied and which control has known since the report with the sequence knownSince. The
// bool reports whether there is one.
func (upstream *upstream) grantFor(now time.Time, applied model.Revision, knownSince uint64) (grant, bool) {
	return upstream.grants.best(now, applied, knownSince)
}

// hasLeader reports whether the current member granted recently. Only then is it worth deferring
// the answer to a new node's heartbeat until the next grant.
func (upstream *upstream) hasLeader(now time.Time) bool { return upstream.leader(now) != "" }

// reportDue returns the member to send a report to, whether the report must be full, and whether it
// is due.
func (upstream *upstream) reportDue(now time.Time, urgent bool) (member model.NodeName, full, due bool) {
	since := now.Sub(upstream.reportedAt)
	due = since >= upstream.options.ReportInterval || (urgent && since >= minimumReportInterval)
	return upstream.member(), upstream.wantFull, due
}

// nextSequence returns the sequence of the report that is sent now, and records its time.
func (upstream *upstream) nextSequence(now time.Time) uint64 {
	upstream.sequence++
	upstream.reportedAt = now
	upstream.wantFull = false
	upstream.sent[upstream.sequence] = now
	if upstream.sequence > maximumOutstanding {
		delete(upstream.sent, upstream.sequence-maximumOutstanding)
	}
	return upstream.sequence
}

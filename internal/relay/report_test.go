package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

const testStep = 50 * time.Millisecond

// relayHarness runs one relay in simulated time. The test sends the messages of its nodes and of
// its control member.
type relayHarness struct {
	now        time.Time
	mailbox    *protocol.Mailbox
	dispatcher *protocol.Dispatcher
	relay      *Controller
	sequences  map[model.NodeName]uint64
}

func newRelayHarness() *relayHarness {
	mailbox := protocol.NewMailbox("relay-1")
	dispatcher := protocol.NewDispatcher(mailbox)
	return &relayHarness{
		now: time.Unix(1000, 0), mailbox: mailbox, dispatcher: dispatcher,
		relay: NewController(Options{
			Self: "relay-1", Zone: "a", Incarnation: 1, Control: []model.NodeName{"control-1"}, ReportInterval: 500 * time.Millisecond,
		}, mailbox, dispatcher),
		sequences: make(map[model.NodeName]uint64),
	}
}

// balancerNames returns the names of count balancers.
func balancerNames(count int) []model.NodeName {
	var names []model.NodeName
	for index := range count {
		names = append(names, model.NodeName(fmt.Sprintf("balancer-%d", index)))
	}
	return names
}

// sendHeartbeats delivers one heartbeat of each named balancer, which runs the given revision.
func (harness *relayHarness) sendHeartbeats(applied model.Revision, names ...model.NodeName) {
	for _, name := range names {
		harness.sendHeartbeat(name, protocol.Heartbeat{Role: model.RoleBalancer, Zone: "a", Incarnation: 1, Applied: applied, Received: applied})
	}
}

// sendHeartbeat delivers a heartbeat with the node's next sequence.
func (harness *relayHarness) sendHeartbeat(name model.NodeName, heartbeat protocol.Heartbeat) {
	harness.sequences[name]++
	heartbeat.Sequence = harness.sequences[name]
	harness.mailbox.Inbox.Put(protocol.Envelope{From: name, To: "relay-1", Message: heartbeat})
}

// step advances the time by testStep and runs the relay once.
func (harness *relayHarness) step() {
	harness.now = harness.now.Add(testStep)
	harness.dispatcher.Reconcile(harness.now)
	harness.relay.Reconcile(harness.now)
}

// run runs the relay for one report interval and returns its reports. Control acknowledges them if
// answers is true.
func (harness *relayHarness) run(answers bool) []protocol.Report {
	var reports []protocol.Report
	for range int(500 * time.Millisecond / testStep) {
		harness.step()
		sent := harness.mailbox.Outbox.Drain()
		if answers {
			harness.acknowledge(sent)
		}
		for _, envelope := range sent {
			if report, isReport := envelope.Message.(protocol.Report); isReport {
				reports = append(reports, report)
			}
		}
	}
	return reports
}

// acknowledge answers the reports among the sent messages as the control leader does.
func (harness *relayHarness) acknowledge(sent []protocol.Envelope) {
	for _, envelope := range sent {
		if report, isReport := envelope.Message.(protocol.Report); isReport {
			harness.mailbox.Inbox.Put(protocol.Envelope{From: "control-1", To: "relay-1", Message: protocol.ReportAck{
				Sequence: report.Sequence, Leader: "control-1", LeaseFor: rollout.LeaseLength,
			}})
		}
	}
}

// countNamedNodes returns the number of node entries in reports.
func countNamedNodes(reports []protocol.Report) int {
	count := 0
	for _, report := range reports {
		count += len(report.Nodes)
	}
	return count
}

// TestReportsNameOnlyChangedNodes checks that the size of reports depends on the number of
// changes, not on the number of nodes.
func TestReportsNameOnlyChangedNodes(t *testing.T) {
	const count = 200
	names := balancerNames(count)
	harness := newRelayHarness()
	// settled runs until the relay has reported all nodes and granted their first leases.
	settled := func() {
		for range 4 {
			harness.sendHeartbeats(7, names...)
			harness.run(true)
		}
	}
	settled()
	t.Run("nothing changes", func(t *testing.T) {
		for range 4 {
			harness.sendHeartbeats(7, names...)
			require.Zero(t, countNamedNodes(harness.run(true)))
		}
	})
	t.Run("all nodes apply a change", func(t *testing.T) {
		harness.sendHeartbeats(8, names...)
		require.Zero(t, countNamedNodes(harness.run(true)))
	})
	t.Run("one node lags", func(t *testing.T) {
		total := 0
		for range 4 {
			harness.sendHeartbeats(9, names[1:]...)
			harness.sendHeartbeats(8, names[0])
			total += countNamedNodes(harness.run(true))
		}
		require.Equal(t, 1, total)
		harness.sendHeartbeats(9, names...)
		require.Equal(t, 1, countNamedNodes(harness.run(true)), "the node has caught up")
	})
	t.Run("nodes stop sending heartbeats", func(t *testing.T) {
		total := 0
		for range 20 {
			harness.sendHeartbeats(9, names[:count/2]...)
			total += countNamedNodes(harness.run(true))
		}
		// Each is named when its heartbeat becomes stale and when its lease expires.
		require.LessOrEqual(t, total, 2*count/2)
	})
}

// TestMovedNodeDoesNotHoldBackTheFloor moves a balancer to another relay and changes the
// configuration right after. The floor of the relay's other balancers must rise without the moved
// one, and the relay must report the moved one as gone only once its lease has expired.
func TestMovedNodeDoesNotHoldBackTheFloor(t *testing.T) {
	names := balancerNames(3)
	harness := newRelayHarness()
	for range 4 {
		harness.sendHeartbeats(7, names...)
		harness.run(true)
	}
	harness.mailbox.Inbox.Put(protocol.Envelope{From: names[0], To: "relay-1", Message: protocol.Unsubscribe{Incarnation: 1}})
	harness.sendHeartbeats(8, names[1:]...)
	reports := harness.run(true)
	latest := reports[len(reports)-1]
	require.Equal(t, []protocol.Floor{{Role: model.RoleBalancer, Revision: 8}}, latest.Floors)
	for start := harness.now; harness.now.Sub(start) < rollout.LeaseLength+2*time.Second; {
		for _, report := range harness.run(true) {
			for _, node := range report.Nodes {
				if node.Gone {
					require.True(t, node.LeaseExpired)
					require.Equal(t, names[0], node.Node)
					return
				}
			}
		}
		harness.sendHeartbeats(8, names[1:]...)
	}
	require.Fail(t, "the moved node was not reported as gone")
}

// TestSlowAgentDoesNotHoldBackBalancers checks that the floor of the balancers rises while an
// agent stays at the previous revision.
func TestSlowAgentDoesNotHoldBackBalancers(t *testing.T) {
	harness := newRelayHarness()
	agent := func() {
		harness.sendHeartbeat("agent-1", protocol.Heartbeat{Role: model.RoleAgent, Zone: "a", Incarnation: 1, Applied: 7, Received: 7})
	}
	for range 4 {
		harness.sendHeartbeats(7, "balancer-1")
		agent()
		harness.run(true)
	}
	harness.sendHeartbeats(8, "balancer-1")
	agent()
	reports := harness.run(true)
	require.Equal(t, []protocol.Floor{
		{Role: model.RoleAgent, Revision: 7}, {Role: model.RoleBalancer, Revision: 8},
	}, reports[len(reports)-1].Floors)
}

// TestLeaseExpiresOnlyAfterTheClockMargin stops the heartbeats of a node. The node's clock may run
// slower than the relay's, so the relay must wait for rollout.ClockMargin after the end of the
// lease before it reports the lease as expired.
func TestLeaseExpiresOnlyAfterTheClockMargin(t *testing.T) {
	harness := newRelayHarness()
	for range 4 {
		harness.sendHeartbeats(7, "balancer-1")
		harness.run(true)
	}
	harness.sendHeartbeats(7, "balancer-1")
	var leaseEnd time.Time
	for leaseEnd.IsZero() || harness.now.Add(testStep).Before(leaseEnd) {
		harness.step()
		for _, envelope := range harness.mailbox.Outbox.Drain() {
			if answer, isAnswer := envelope.Message.(protocol.HeartbeatAck); isAnswer {
				leaseEnd = harness.now.Add(answer.LeaseFor)
			}
			harness.acknowledge([]protocol.Envelope{envelope})
		}
	}
	for harness.now.Add(testStep).Before(leaseEnd.Add(rollout.ClockMargin)) {
		harness.step()
		for _, envelope := range harness.mailbox.Outbox.Drain() {
			if report, isReport := envelope.Message.(protocol.Report); isReport {
				for _, node := range report.Nodes {
					require.False(t, node.LeaseExpired, "%s after the lease", harness.now.Sub(leaseEnd))
				}
			}
			harness.acknowledge([]protocol.Envelope{envelope})
		}
	}
	expired := false
	for _, report := range harness.run(true) {
		for _, node := range report.Nodes {
			expired = expired || node.LeaseExpired
		}
	}
	require.True(t, expired)
}

// TestLeaseWaitsUntilControlCountsTheNode brings back a node whose lease has expired, so that
// control no longer counts it. Earlier grants must not extend its lease: meanwhile a revision that
// the node does not run may have come into force.
func TestLeaseWaitsUntilControlCountsTheNode(t *testing.T) {
	cases := []struct {
		name  string
		leave func(harness *relayHarness)
	}{
		{name: "unresponsive", leave: func(*relayHarness) {}},
		{name: "moved", leave: func(harness *relayHarness) {
			harness.mailbox.Inbox.Put(protocol.Envelope{From: "balancer-0", To: "relay-1", Message: protocol.Unsubscribe{Incarnation: 1}})
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			names := balancerNames(3)
			harness := newRelayHarness()
			for range 4 {
				harness.sendHeartbeats(7, names...)
				harness.run(true)
			}
			test.leave(harness)
			for start := harness.now; harness.now.Sub(start) < rollout.LeaseLength+2*time.Second; {
				harness.sendHeartbeats(7, names[1:]...)
				harness.run(true)
			}
			leased := func(answers bool) bool {
				harness.sendHeartbeats(7, names...)
				granted := false
				for range int(500 * time.Millisecond / testStep) {
					harness.step()
					sent := harness.mailbox.Outbox.Drain()
					for _, envelope := range sent {
						answer, isAnswer := envelope.Message.(protocol.HeartbeatAck)
						granted = granted || (isAnswer && envelope.To == names[0] && answer.LeaseFor > 0)
					}
					if answers {
						harness.acknowledge(sent)
					}
				}
				return granted
			}
			require.False(t, leased(false), "leased by an earlier grant")
			leased(true)
			require.True(t, leased(true), "no lease although control counts the node")
		})
	}
}

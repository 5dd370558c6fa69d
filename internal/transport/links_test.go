package transport

import (
	"bytes"
	"context"
	"net"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/settings"
)

const (
	conditionTimeout = 10 * time.Second
	conditionPoll    = 5 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint is a process with a mailbox and links.
type endpoint struct {
	mailbox *protocol.Mailbox
	links   *Links
	metrics *Metrics
}

// waitForMessages waits until at least count messages have arrived, and returns them.
func (endpoint *endpoint) waitForMessages(t *testing.T, count int) []protocol.Envelope {
	t.Helper()
	var all []protocol.Envelope
	require.Eventually(t, func() bool {
		all = append(all, endpoint.mailbox.Inbox.Drain()...)
		return len(all) >= count
	}, conditionTimeout, conditionPoll)
	return all
}

// peer returns the settings with which other endpoints dial this one under the given name.
func (endpoint *endpoint) peer(name string) settings.Peer {
	return settings.Peer{Name: name, Address: endpoint.links.Address().String()}
}

// endpointOptions configures an endpoint. Control members and relays listen on a free port if listen
// is empty.
type endpointOptions struct {
	name   model.NodeName
	role   model.Role
	keys   string
	listen string
	timing func(*Timing)
}

func startEndpoint(t *testing.T, options endpointOptions) *endpoint {
	t.Helper()
	endpoint, stop := startStoppableEndpoint(t, options)
	t.Cleanup(stop)
	return endpoint
}

// startStoppableEndpoint starts an endpoint and returns a function that stops it.
func startStoppableEndpoint(t *testing.T, options endpointOptions) (*endpoint, func()) {
	t.Helper()
	timing := DefaultTiming()
	timing.MinBackoff = 5 * time.Millisecond
	timing.MaxBackoff = 50 * time.Millisecond
	if options.timing != nil {
		options.timing(&timing)
	}
	mailbox := protocol.NewMailbox(options.name)
	metrics := NewMetrics(prometheus.NewRegistry())
	linkOptions := Options{Self: options.name, Role: options.role, Mailbox: mailbox, Metrics: metrics, Logger: zap.NewNop(), Timing: timing}
	if options.role == model.RoleControl || options.role == model.RoleRelay {
		linkOptions.Listen = "127.0.0.1:0"
	}
	if options.listen != "" {
		linkOptions.Listen = options.listen
	}
	if options.keys != "" {
		loader, err := keys.NewLoader(options.keys, options.name, options.role)
		require.NoError(t, err)
		linkOptions.Keys = loader
	}
	links := NewLinks(linkOptions)
	require.NoError(t, links.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = links.Run(ctx)
	}()
	return &endpoint{mailbox: mailbox, links: links, metrics: metrics}, func() {
		cancel()
		<-done
	}
}

// makeKeys returns a folder with keys for the processes, all signed by one new authority.
func makeKeys(t *testing.T, processes ...keys.Process) string {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, keys.Init(folder, processes, time.Now()))
	return folder
}

// sendUntilReceived sends message repeatedly until the receiver has a message, which it returns.
func sendUntilReceived(t *testing.T, from *endpoint, to model.NodeName, message any, receiver *endpoint) protocol.Envelope {
	t.Helper()
	var first protocol.Envelope
	require.Eventually(t, func() bool {
		from.mailbox.Send(to, message)
		received := receiver.mailbox.Inbox.Drain()
		if len(received) == 0 {
			return false
		}
		first = received[0]
		return true
	}, conditionTimeout, 20*time.Millisecond)
	return first
}

func TestMessageAndAnswerOverOneConnection(t *testing.T) {
	folder := makeKeys(t, keys.Process{Name: "relay-1", Role: model.RoleRelay}, keys.Process{Name: "balancer-1", Role: model.RoleBalancer})
	cases := []struct{ name, relayKeys, balancerKeys string }{
		{name: "plain"},
		{name: "TLS", relayKeys: filepath.Join(folder, "relay-1"), balancerKeys: filepath.Join(folder, "balancer-1")},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			relay := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay, keys: test.relayKeys})
			balancer := startEndpoint(t, endpointOptions{name: "balancer-1", role: model.RoleBalancer, keys: test.balancerKeys})
			balancer.links.Dial(relay.peer("relay-1"))

			balancer.mailbox.Send("relay-1", protocol.Heartbeat{Sequence: 7})
			request := relay.waitForMessages(t, 1)[0]
			require.Equal(t, model.NodeName("balancer-1"), request.From)
			require.Equal(t, model.NodeName("relay-1"), request.To)
			require.Equal(t, protocol.Heartbeat{Sequence: 7}, request.Message)

			relay.mailbox.Send("balancer-1", protocol.HeartbeatAck{Sequence: 7})
			require.Equal(t, protocol.HeartbeatAck{Sequence: 7}, balancer.waitForMessages(t, 1)[0].Message)
			in, out := balancer.metrics.Bytes()
			require.Positive(t, in)
			require.Positive(t, out)
			requireCounted(t, relay, directionIn, "protocol.Heartbeat")
			requireCounted(t, relay, directionOut, "protocol.HeartbeatAck")
			requireCounted(t, balancer, directionOut, "protocol.Heartbeat")
			requireCounted(t, balancer, directionIn, "protocol.HeartbeatAck")
		})
	}
}

// requireCounted checks that one message of the type, and its bytes, were counted.
func requireCounted(t *testing.T, endpoint *endpoint, direction, kind string) {
	t.Helper()
	require.Equal(t, 1.0, testutil.ToFloat64(endpoint.metrics.traffic.messages.WithLabelValues(direction, kind)))
	require.Positive(t, testutil.ToFloat64(endpoint.metrics.traffic.bytes.WithLabelValues(direction, kind)))
}

func TestRefusedPeers(t *testing.T) {
	folder := makeKeys(t,
		keys.Process{Name: "control-1", Role: model.RoleControl},
		keys.Process{Name: "relay-1", Role: model.RoleRelay},
		keys.Process{Name: "agent-1", Role: model.RoleAgent},
	)
	otherAuthority := makeKeys(t, keys.Process{Name: "relay-1", Role: model.RoleRelay})
	control := endpointOptions{name: "control-1", role: model.RoleControl, keys: filepath.Join(folder, "control-1")}
	plainControl := endpointOptions{name: "control-1", role: model.RoleControl}
	cases := []struct {
		name   string
		server endpointOptions
		client endpointOptions
		peer   string
		code   faults.Code
	}{
		{
			name: "agent at control", server: control, peer: "control-1", code: faults.CodeRoleRefused,
			client: endpointOptions{name: "agent-1", role: model.RoleAgent, keys: filepath.Join(folder, "agent-1")},
		},
		{
			name: "agent at control without TLS", server: plainControl, peer: "control-1", code: faults.CodeRoleRefused,
			client: endpointOptions{name: "agent-1", role: model.RoleAgent},
		},
		{
			name: "other authority", server: control, peer: "control-1", code: faults.CodeKeysInvalid,
			client: endpointOptions{name: "relay-1", role: model.RoleRelay, keys: filepath.Join(otherAuthority, "relay-1")},
		},
		{
			name: "another process at the address", server: control, peer: "control-2", code: faults.CodeKeysInvalid,
			client: endpointOptions{name: "relay-1", role: model.RoleRelay, keys: filepath.Join(folder, "relay-1")},
		},
		{
			name: "another process at the address without TLS", server: plainControl, peer: "control-2", code: faults.CodeRoleRefused,
			client: endpointOptions{name: "relay-1", role: model.RoleRelay},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := startEndpoint(t, test.server)
			client := startEndpoint(t, test.client)
			link := newOutgoingLink(client.links, model.NodeName(test.peer), server.links.Address().String())
			established, err := link.connectAndServe(t.Context(), DefaultTiming().ConnectTimeout)
			require.False(t, established)
			require.Equal(t, test.code, faults.CodeOf(err), "%v", err)
			require.Eventually(t, func() bool { return len(server.links.Peers()) == 0 }, conditionTimeout, conditionPoll)
		})
	}
}

// incomingFrom returns the accepted connection from peer, or nil.
func (links *Links) incomingFrom(peer model.NodeName) *connection {
	links.lock.Lock()
	defer links.lock.Unlock()
	return links.incoming[peer]
}

// TestForgedSenderClosesConnection checks that a relay closes the connection of an agent that sends a
// message with another sender than the connection's hello, and that it discards the message.
func TestForgedSenderClosesConnection(t *testing.T) {
	relay := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay})
	agent := startEndpoint(t, endpointOptions{name: "agent-1", role: model.RoleAgent})
	agent.links.Dial(relay.peer("relay-1"))
	sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 1}, relay)
	first := relay.links.incomingFrom("agent-1")
	require.NotNil(t, first)

	agent.mailbox.Outbox.Put(protocol.Envelope{From: "agent-2", To: "relay-1", Message: protocol.Heartbeat{Sequence: 666}})
	require.Eventually(t, func() bool { return relay.links.incomingFrom("agent-1") != first }, conditionTimeout, time.Millisecond,
		"the connection must be closed; the agent may have reconnected already")
	seen := make(map[uint64]bool)
	require.Eventually(t, func() bool {
		agent.mailbox.Send("relay-1", protocol.Heartbeat{Sequence: 2})
		for _, envelope := range relay.mailbox.Inbox.Drain() {
			seen[envelope.Message.(protocol.Heartbeat).Sequence] = true
		}
		return seen[2]
	}, conditionTimeout, 20*time.Millisecond, "the link must reconnect")
	require.False(t, seen[666], "the forged message must not arrive")
}

func TestLinkReconnectsAfterPeerRestart(t *testing.T) {
	relay, stop := startStoppableEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay})
	address := relay.links.Address().String()
	agent := startEndpoint(t, endpointOptions{name: "agent-1", role: model.RoleAgent})
	agent.links.Dial(relay.peer("relay-1"))
	sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 1}, relay)
	stop()
	require.Eventually(t, func() bool { return !agent.links.Connected("relay-1") }, conditionTimeout, conditionPoll)

	restarted := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay, listen: address})
	sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 2}, restarted)
}

// TestRefusedConnectionsAreReported checks that the end of a peer is reported, a bounded number of times
// after each connection. A connection that is only closed is not an end.
func TestRefusedConnectionsAreReported(t *testing.T) {
	relay, stop := startStoppableEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay})
	address := relay.links.Address().String()
	agent := startEndpoint(t, endpointOptions{name: "agent-1", role: model.RoleAgent})
	var refusals atomic.Int32
	agent.links.OnRefused(func(peer model.NodeName) {
		if peer == "relay-1" {
			refusals.Add(1)
		}
	})
	agent.links.Dial(relay.peer("relay-1"))
	sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 1}, relay)
	_ = relay.links.incomingFrom("agent-1").stream.Close()
	sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 2}, relay)
	require.Zero(t, refusals.Load())
	for ends := range int32(2) {
		stop()
		require.Eventually(t, func() bool { return refusals.Load() == (ends+1)*maxReportedRefusals }, conditionTimeout, conditionPoll)
		relay, stop = startStoppableEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay, listen: address})
		sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 3}, relay)
		require.Equal(t, (ends+1)*maxReportedRefusals, refusals.Load())
	}
	stop()
}

// TestHalfOpenConnectionTimesOut connects to a peer that completes the handshake and then sends
// nothing more, like a machine that lost power. The read timeout must end the connection.
func TestHalfOpenConnectionTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	agent := startEndpoint(t, endpointOptions{name: "agent-1", role: model.RoleAgent, timing: func(timing *Timing) {
		timing.ReadTimeout = 50 * time.Millisecond
		timing.Keepalive = 10 * time.Millisecond
	}})
	link := newOutgoingLink(agent.links, "relay-1", listener.Addr().String())
	go func() {
		stream, err := listener.Accept()
		if err != nil {
			return
		}
		unresponsive := newConnection("relay-1", stream, newSendQueue(func(string) {}), newTraffic())
		_ = unresponsive.sendHello(hello{Name: "relay-1", Role: model.RoleRelay})
	}()
	established, err := link.connectAndServe(t.Context(), DefaultTiming().ConnectTimeout)
	require.True(t, established)
	require.Equal(t, faults.CodeLinkBroken, faults.CodeOf(err))
}

// TestKeepaliveKeepsIdleConnectionOpen checks that keepalives keep an idle connection open for much
// longer than the read timeout.
func TestKeepaliveKeepsIdleConnectionOpen(t *testing.T) {
	shortTimeout := func(timing *Timing) {
		timing.ReadTimeout = 200 * time.Millisecond
		timing.Keepalive = 10 * time.Millisecond
	}
	relay := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay, timing: shortTimeout})
	agent := startEndpoint(t, endpointOptions{name: "agent-1", role: model.RoleAgent, timing: shortTimeout})
	agent.links.Dial(relay.peer("relay-1"))
	sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 1}, relay)
	relay.links.lock.Lock()
	first := relay.links.incoming["agent-1"]
	relay.links.lock.Unlock()
	time.Sleep(time.Second)
	relay.links.lock.Lock()
	defer relay.links.lock.Unlock()
	require.Same(t, first, relay.links.incoming["agent-1"])
}

func TestLargeMessageRoundTrip(t *testing.T) {
	relay := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay})
	agent := startEndpoint(t, endpointOptions{name: "agent-1", role: model.RoleAgent})
	agent.links.Dial(relay.peer("relay-1"))
	sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{}, relay)
	payload := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	relay.mailbox.Send("agent-1", protocol.PackedUpdate{Payload: payload})
	require.Equal(t, protocol.PackedUpdate{Payload: payload}, agent.waitForMessages(t, 1)[0].Message)
}

func TestMessagesToUnknownPeersAreCounted(t *testing.T) {
	relay := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay})
	relay.mailbox.Send("nobody", protocol.HeartbeatAck{})
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(relay.metrics.dropped.WithLabelValues(dropNoRoute)) == 1
	}, conditionTimeout, conditionPoll)
}

func TestListenAddressInUse(t *testing.T) {
	relay := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay})
	second := NewLinks(Options{Self: "relay-2", Role: model.RoleRelay, Listen: relay.links.Address().String()})
	require.Equal(t, faults.CodeAddressInUse, faults.CodeOf(second.Listen()))
}

func TestSendQueue(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name    string
		put     int
		takenAt time.Duration
		taken   int
		first   uint64
		reason  string
		drops   int
	}{
		{name: "in order", put: 3, taken: 3, first: 0},
		{name: "full drops the oldest", put: sendQueueCapacity + 2, taken: sendQueueCapacity, first: 2, reason: dropFull, drops: 2},
		{name: "old messages are dropped", put: 3, takenAt: maxQueueAge + time.Second, reason: dropOld, drops: 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			drops := make(map[string]int)
			queue := newSendQueue(func(reason string) { drops[reason]++ })
			for sequence := range test.put {
				queue.put(protocol.Envelope{Message: protocol.HeartbeatAck{Sequence: uint64(sequence)}}, start)
			}
			taken := queue.take(start.Add(test.takenAt))
			require.Len(t, taken, test.taken)
			require.Equal(t, test.drops, drops[test.reason])
			if test.taken > 0 {
				require.Equal(t, protocol.HeartbeatAck{Sequence: test.first}, taken[0].Message)
			}
		})
	}
}

// TestAgentMayNotSendRelayMessages checks that a relay discards messages from an agent that only
// relays may send.
func TestAgentMayNotSendRelayMessages(t *testing.T) {
	cases := []struct {
		name    string
		message any
	}{
		{name: "report", message: protocol.Report{Sequence: 666}},
		{name: "passed", message: protocol.Passed{Relay: "relay-2", Message: protocol.Report{Sequence: 666}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			relay := startEndpoint(t, endpointOptions{name: "relay-1", role: model.RoleRelay})
			agent := startEndpoint(t, endpointOptions{name: "agent-1", role: model.RoleAgent})
			agent.links.Dial(relay.peer("relay-1"))
			sendUntilReceived(t, agent, "relay-1", protocol.Heartbeat{Sequence: 1}, relay)
			agent.mailbox.Send("relay-1", test.message)
			// Messages of one connection keep their order, so the message would have arrived before
			// the last heartbeat.
			var received []any
			require.Eventually(t, func() bool {
				agent.mailbox.Send("relay-1", protocol.Heartbeat{Sequence: 2})
				for _, envelope := range relay.mailbox.Inbox.Drain() {
					received = append(received, envelope.Message)
				}
				return slices.ContainsFunc(received, func(message any) bool {
					return assert.ObjectsAreEqual(protocol.Heartbeat{Sequence: 2}, message)
				})
			}, conditionTimeout, 20*time.Millisecond)
			require.NotContains(t, received, test.message)
		})
	}
}

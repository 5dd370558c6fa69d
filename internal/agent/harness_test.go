package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinpaddle/internal/agent/dataplane"
	"merlinpaddle/internal/agent/requests"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/settings"
)

// waitTimeout bounds each wait of a test; the test fails when it is over.
const waitTimeout = 10 * time.Second

// requestTimeout bounds each HTTP request of a test, its answer's body included.
const requestTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serviceAddress is the virtual address of the tests' service.
var serviceAddress = netip.MustParseAddrPort("127.0.0.9:443")

// fabric stands in for both the fabric and the balancer. It forwards callers'
// datagrams to the first agent of the flow's chain, and delivers answers to the
// callers.
type fabric struct {
	t       *testing.T
	socket  *dataplane.Socket
	store   *rollout.Store
	lock    sync.Mutex
	callers map[netip.AddrPort]*dataplane.PacketConn
	port    atomic.Uint32
	hints   atomic.Int32
	// dropAnswers drops the answers of all agents. It simulates an agent that
	// crashes and does not close its connections.
	dropAnswers atomic.Bool
	// markers counts the marker packets of flush that arrived.
	markers atomic.Int32
	// resets receives the answers of TCP services.
	resets chan packet.Encapsulated
}

func newFabric(t *testing.T, store *rollout.Store) *fabric {
	socket, err := dataplane.Listen("127.0.0.1:0")
	require.NoError(t, err)
	created := &fabric{t: t, socket: socket, store: store, callers: make(map[netip.AddrPort]*dataplane.PacketConn),
		resets: make(chan packet.Encapsulated, 16)}
	created.port.Store(20000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = socket.Receive(context.Background(), created.handle, func(error) {})
	}()
	t.Cleanup(func() {
		_ = socket.Close()
		<-done
	})
	return created
}

func (fabric *fabric) handle(received *packet.Encapsulated) {
	switch received.Kind {
	case packet.KindIngress:
		fabric.markers.Add(1)
	case packet.KindHint:
		fabric.hints.Add(1)
	case packet.KindReturn:
		if fabric.dropAnswers.Load() {
			return
		}
		if received.Flow.Protocol == model.ProtocolTCP {
			copied := *received
			copied.Payload = append([]byte(nil), received.Payload...)
			fabric.resets <- copied
			return
		}
		fabric.lock.Lock()
		caller := fabric.callers[received.Flow.Destination]
		fabric.lock.Unlock()
		if caller != nil {
			caller.Deliver(received.Flow.Source, received.Payload)
		}
	}
}

// flush returns once the fabric has handled every packet that was sent to it before. It
// sends the fabric a marker packet and waits until that has arrived.
func (fabric *fabric) flush() {
	fabric.t.Helper()
	before := fabric.markers.Load()
	flow := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: netip.MustParseAddrPort("127.0.0.77:1"), Destination: serviceAddress}
	require.NoError(fabric.t, fabric.socket.Send(fabric.socket.Address(), &packet.Encapsulated{
		Kind: packet.KindIngress, Flow: flow, Inner: packet.BuildInnerUDP(flow, []byte("marker")),
	}))
	eventually(fabric.t, func() bool { return fabric.markers.Load() > before })
}

// newCaller returns the packet connection of a new caller, and its address, which
// no other caller has.
func (fabric *fabric) newCaller(protocol model.Protocol) (*dataplane.PacketConn, netip.AddrPort) {
	source := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.77"), uint16(fabric.port.Add(1)))
	caller := dataplane.NewPacketConn(source, func(_ netip.AddrPort, payload []byte) error {
		return fabric.forward(model.FiveTuple{Protocol: protocol, Source: source, Destination: serviceAddress}, payload)
	})
	fabric.lock.Lock()
	fabric.callers[source] = caller
	fabric.lock.Unlock()
	return caller, source
}

// forward sends a datagram of the flow to the head of its chain.
func (fabric *fabric) forward(flow model.FiveTuple, payload []byte) error {
	return fabric.forwardInner(flow, packet.BuildInnerUDP(flow, payload), packet.IsOpening(flow.Protocol, payload))
}

// forwardInner sends a packet to the head of the flow's chain.
func (fabric *fabric) forwardInner(flow model.FiveTuple, inner []byte, opening bool) error {
	configuration := fabric.store.Current()
	for id, service := range configuration.Services {
		if service.Address != flow.Destination {
			continue
		}
		table := configuration.Buckets[id]
		bucket := table.Bucket(routing.BucketOf(routing.FlowHash(flow), table.Count()))
		chain := routing.Chain(bucket)
		return fabric.socket.Send(configuration.Targets[chain[0]].Agent, &packet.Encapsulated{
			Kind:     packet.KindForward,
			Service:  id,
			Revision: configuration.Revision,
			Opening:  opening,
			Chain:    chain,
			Balancer: fabric.socket.Address(),
			Flow:     flow,
			Inner:    inner,
		})
	}
	return fmt.Errorf("no service at %s", flow.Destination)
}

// client returns an HTTP/3 client that uses a new caller.
func (fabric *fabric) client() *http.Client {
	caller, _ := fabric.newCaller(model.ProtocolQUIC)
	quicTransport := &quic.Transport{Conn: caller}
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true, ServerName: "localhost"},
		QUICConfig:      &quic.Config{MaxIdleTimeout: waitTimeout, KeepAlivePeriod: time.Second},
		Dial: func(ctx context.Context, _ string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
			return quicTransport.Dial(ctx, net.UDPAddrFromAddrPort(serviceAddress), tlsConfig, config)
		},
	}
	fabric.t.Cleanup(func() {
		_ = transport.Close()
		_ = quicTransport.Close()
		_ = caller.Close()
	})
	return &http.Client{Transport: transport, Timeout: requestTimeout}
}

// fakeClaims implements requests.Claims without a control group. It grants a claim
// at once unless its key has a recorded outcome or is in progress.
type fakeClaims struct {
	lock          sync.Mutex
	next          uint64
	grantDuration time.Duration
	recorded      map[protocol.ClaimKey]protocol.ClaimOutcome
	inProgress    map[protocol.ClaimKey]bool
	// released counts the calls of Release.
	released int
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{
		grantDuration: time.Minute,
		recorded:      make(map[protocol.ClaimKey]protocol.ClaimOutcome),
		inProgress:    make(map[protocol.ClaimKey]bool),
	}
}

func (claims *fakeClaims) Claim(now time.Time, key protocol.ClaimKey, _ uint64, _ time.Time, done func(claim.Answer)) uint64 {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.next++
	if outcome, exists := claims.recorded[key]; exists {
		done(claim.Answer{State: protocol.ClaimCompleted, Outcome: &outcome})
		return claims.next
	}
	if claims.inProgress[key] {
		done(claim.Answer{State: protocol.ClaimInProgress})
		return claims.next
	}
	claims.inProgress[key] = true
	grant := claim.Grant{Correlation: claims.next, Key: key, StartBefore: now.Add(claims.grantDuration)}
	done(claim.Answer{State: protocol.ClaimGranted, Grant: grant})
	return claims.next
}

func (claims *fakeClaims) Abandon(time.Time, uint64) {}

func (claims *fakeClaims) Release(_ time.Time, grant claim.Grant) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.released++
	delete(claims.inProgress, grant.Key)
}

func (claims *fakeClaims) Record(_ time.Time, grant claim.Grant, outcome protocol.ClaimOutcome) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.recorded[grant.Key] = outcome
}

func (claims *fakeClaims) Forget(claim.Grant) {}

// fleet is a service with one agent for each target.
type fleet struct {
	t      *testing.T
	store  *rollout.Store
	fabric *fabric
	agents []*Agent
	claims *fakeClaims
	stops  []func()
	// folder contains the certificate that the agents share.
	folder string
}

// newFleet starts one agent for each back end address.
func newFleet(t *testing.T, serviceProtocol model.Protocol, backends ...string) *fleet {
	return newFleetWith(t, func(service *model.Service) { service.Protocol = serviceProtocol }, backends...)
}

// newFleetWith starts one agent for each back end address. change may alter the
// service, which uses QUIC by default.
func newFleetWith(t *testing.T, change func(service *model.Service), backends ...string) *fleet {
	store := rollout.NewStore()
	started := &fleet{t: t, store: store, fabric: newFabric(t, store), claims: newFakeClaims(), folder: t.TempDir()}
	require.NoError(t, ensureSelfSigned(filepath.Join(started.folder, selfSignedCertificate),
		filepath.Join(started.folder, selfSignedKey), "service", serviceAddress))
	configuration := model.NewConfiguration()
	service := model.Service{
		ID: 1, Tenant: "tenant", Name: "service", Protocol: model.ProtocolQUIC, Address: serviceAddress,
		Rules: []model.RequestRule{
			{PathPrefix: "/feed", Class: model.ClassFeed, Weight: 1},
			{PathPrefix: "/upload", Class: model.ClassUpload, Weight: 1},
			{PathPrefix: "/once", Class: model.ClassCall, AtMostOnce: true, Weight: 2},
			{PathPrefix: "/", Class: model.ClassCall, Weight: 2},
		},
	}
	change(&service)
	configuration.Services[1] = service
	for index, backend := range backends {
		agent := started.startAgent(index, backend)
		configuration.Targets[model.TargetID(index+1)] = model.Target{
			ID: model.TargetID(index + 1), Service: 1, Name: agent.settings.Node,
			Agent: agent.PacketAddress(), Phase: model.PhaseServing,
		}
	}
	configuration.Buckets[1] = routing.NewTable(1, configuration.ServiceTargets(1), 1)
	configuration.Revision = 1
	store.Advance(configuration)
	started.waitAccepting(len(backends))
	return started
}

// startAgent starts the agent of the target at index, at any free port.
func (fleet *fleet) startAgent(index int, backend string) *Agent {
	return fleet.startAgentAt(index, backend, "127.0.0.1:0")
}

// startAgentAt starts the agent of the target at index with the given packet
// address. It replaces the agent that was at index.
func (fleet *fleet) startAgentAt(index int, backend, packets string) *Agent {
	config := settings.Default()
	config.Node = fmt.Sprintf("target-%d", index+1)
	config.DataFolder = fleet.folder
	config.Agent.Certificate = filepath.Join(fleet.folder, selfSignedCertificate)
	config.Agent.Key = filepath.Join(fleet.folder, selfSignedKey)
	config.Agent.Packets = packets
	config.Agent.Fabric = fleet.fabric.socket.Address().String()
	config.Agent.Backend = backend
	config.Agent.ColdStart = 0
	config.Agent.HealthPath = ""
	config.Agent.StopGrace = waitTimeout
	agent := New(Dependencies{
		Settings: config, Store: fleet.store, Pause: rollout.NewPause(), Logger: zap.NewNop(),
		Readiness: process.NewReadiness(), Metrics: requests.NewMetrics(prometheus.NewRegistry()),
	})
	require.NoError(fleet.t, agent.Start(Identity{Incarnation: 7, Claims: fleet.claims}))
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = agent.Run(ctx) })
	tasks.Go(func() { _ = agent.Receive(ctx) })
	if index < len(fleet.agents) {
		fleet.agents[index] = agent
	} else {
		fleet.agents = append(fleet.agents, agent)
	}
	stop := func() {
		cancel()
		tasks.Wait()
	}
	fleet.stops = append(fleet.stops, stop)
	fleet.t.Cleanup(stop)
	return agent
}

// crashAndRestart stops an agent without its callers noticing and starts a new one
// at the same address.
func (fleet *fleet) crashAndRestart(index int, backend string) {
	address := fleet.agents[index].PacketAddress()
	fleet.fabric.dropAnswers.Store(true)
	fleet.stops[index]()
	// Packets that the agent sent while stopping may still be in the fabric's socket buffer.
	fleet.fabric.flush()
	fleet.fabric.dropAnswers.Store(false)
	fleet.startAgentAt(index, backend, address.String())
	fleet.waitAccepting(1)
}

// waitAccepting waits until exactly count agents accept new flows.
func (fleet *fleet) waitAccepting(count int) {
	fleet.t.Helper()
	eventually(fleet.t, func() bool {
		accepting := 0
		for _, agent := range fleet.agents {
			if agent.accepting.Load() {
				accepting++
			}
		}
		return accepting == count
	})
}

// setPhase publishes a configuration that changes the phase of one target.
func (fleet *fleet) setPhase(id model.TargetID, phase model.TargetPhase) {
	current := fleet.store.Current()
	target := current.Targets[id]
	target.Phase = phase
	targets := current.ServiceTargets(1)
	targets[id-1] = target
	next, err := current.Apply(model.Delta{
		From: current.Revision, To: current.Revision + 1, Targets: []model.Target{target},
		Buckets: []model.BucketChange{{Service: 1, Rows: routing.Rebalance(current.Buckets[1], targets, current.Revision+1)}},
	})
	require.NoError(fleet.t, err)
	require.True(fleet.t, fleet.store.Advance(next))
}

// owner returns the first agent that owns a flow.
func (fleet *fleet) owner() *Agent {
	fleet.t.Helper()
	for _, agent := range fleet.agents {
		if agent.instance.Load().ownedFlows.Len() > 0 {
			return agent
		}
	}
	fleet.t.Fatal("no agent owns a flow")
	return nil
}

// other returns the other one of two agents.
func (fleet *fleet) other(agent *Agent) *Agent {
	if fleet.agents[0] == agent {
		return fleet.agents[1]
	}
	return fleet.agents[0]
}

// eventually waits until condition holds, and fails the test after waitTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met in time")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// send sends value to channel, and fails the test if nobody receives it within waitTimeout.
func send[Value any](t *testing.T, channel chan<- Value, value Value) {
	t.Helper()
	select {
	case channel <- value:
	case <-time.After(waitTimeout):
		t.Fatal("nobody received the value in time")
	}
}

// receive returns the next value of channel, and fails the test if none comes within waitTimeout.
func receive[Value any](t *testing.T, channel <-chan Value) Value {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(waitTimeout):
		t.Fatal("no value came in time")
		panic("unreachable")
	}
}

// newBackend starts an HTTP/1.1 back end that echoes request IDs, and returns its
// address.
func newBackend(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(protocol.HeaderRequestID, request.Header.Get(protocol.HeaderRequestID))
		handler(writer, request)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// readAll reads and closes the response body.
func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

// get requests a path of the service and returns the response and its body.
func get(t *testing.T, client *http.Client, path string) (*http.Response, string) {
	t.Helper()
	response, err := client.Get("https://" + serviceAddress.String() + path)
	require.NoError(t, err)
	return response, readAll(t, response)
}

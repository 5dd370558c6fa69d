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

// waitLimit ends a test that waits for something that never comes.
const waitLimit = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serviceAddress is the virtual address of the tests' service.
var serviceAddress = netip.MustParseAddrPort("127.0.0.9:443")

// fabric is a stand-in for fabric and balancer in one: callers' datagrams go
// to the first agent of the flow's chain, answers to the caller's connection.
type fabric struct {
	t       *testing.T
	socket  *dataplane.Socket
	store   *rollout.Store
	lock    sync.Mutex
	callers map[netip.AddrPort]*dataplane.PacketConn
	port    atomic.Uint32
	hints   atomic.Int32
	// muted drops answers, as when an agent dies without closing anything.
	muted atomic.Bool
	// marks counts the packets that the fabric sent to itself.
	marks  atomic.Int32
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
		fabric.marks.Add(1)
	case packet.KindHint:
		fabric.hints.Add(1)
	case packet.KindReturn:
		if fabric.muted.Load() {
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

// settle returns once everything was handled that was sent to the fabric before: a packet
// to itself comes after it.
func (fabric *fabric) settle() {
	fabric.t.Helper()
	before := fabric.marks.Load()
	flow := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: netip.MustParseAddrPort("127.0.0.77:1"), Destination: serviceAddress}
	require.NoError(fabric.t, fabric.socket.Send(fabric.socket.Address(), &packet.Encapsulated{
		Kind: packet.KindIngress, Flow: flow, Inner: packet.BuildInnerUDP(flow, []byte("mark")),
	}))
	eventually(fabric.t, func() bool { return fabric.marks.Load() > before })
}

// newCaller returns a connection of a caller with an address of its own.
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

// client returns an HTTP/3 client with a connection and address of its own.
func (fabric *fabric) client() *http.Client {
	caller, _ := fabric.newCaller(model.ProtocolQUIC)
	quicTransport := &quic.Transport{Conn: caller}
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true, ServerName: "localhost"},
		QUICConfig:      &quic.Config{MaxIdleTimeout: waitLimit, KeepAlivePeriod: time.Second},
		Dial: func(ctx context.Context, _ string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
			return quicTransport.Dial(ctx, net.UDPAddrFromAddrPort(serviceAddress), tlsConfig, config)
		},
	}
	fabric.t.Cleanup(func() {
		_ = transport.Close()
		_ = quicTransport.Close()
		_ = caller.Close()
	})
	return &http.Client{Transport: transport}
}

// grantAll grants every claim at once and remembers how claims ended.
type grantAll struct {
	lock     sync.Mutex
	next     uint64
	grantFor time.Duration
	recorded map[protocol.ClaimKey]protocol.ClaimOutcome
	held     map[protocol.ClaimKey]bool
	released int
}

func newGrantAll() *grantAll {
	return &grantAll{
		grantFor: time.Minute,
		recorded: make(map[protocol.ClaimKey]protocol.ClaimOutcome),
		held:     make(map[protocol.ClaimKey]bool),
	}
}

func (claims *grantAll) Claim(now time.Time, key protocol.ClaimKey, _ uint64, _ time.Time, done func(claim.Answer)) uint64 {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.next++
	if outcome, exists := claims.recorded[key]; exists {
		done(claim.Answer{State: protocol.ClaimCompleted, Outcome: &outcome})
		return claims.next
	}
	if claims.held[key] {
		done(claim.Answer{State: protocol.ClaimInProgress})
		return claims.next
	}
	claims.held[key] = true
	grant := claim.Grant{Correlation: claims.next, Key: key, StartBefore: now.Add(claims.grantFor)}
	done(claim.Answer{State: protocol.ClaimGranted, Grant: grant})
	return claims.next
}

func (claims *grantAll) Abandon(time.Time, uint64) {}

func (claims *grantAll) Release(_ time.Time, grant claim.Grant) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.released++
	delete(claims.held, grant.Key)
}

func (claims *grantAll) Record(_ time.Time, grant claim.Grant, outcome protocol.ClaimOutcome) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.recorded[grant.Key] = outcome
}

func (claims *grantAll) Forget(claim.Grant) {}

// fleet is a service with one agent a target.
type fleet struct {
	t      *testing.T
	store  *rollout.Store
	fabric *fabric
	agents []*Agent
	claims *grantAll
	stops  []func()
	// folder has the certificate that the agents share.
	folder string
}

// newFleet starts one agent for each back end address.
func newFleet(t *testing.T, protocolOfService model.Protocol, backends ...string) *fleet {
	return newFleetWith(t, func(service *model.Service) { service.Protocol = protocolOfService }, backends...)
}

// newFleetWith starts agents of a QUIC service that change alters.
func newFleetWith(t *testing.T, change func(service *model.Service), backends ...string) *fleet {
	store := rollout.NewStore()
	started := &fleet{t: t, store: store, fabric: newFabric(t, store), claims: newGrantAll(), folder: t.TempDir()}
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

func (fleet *fleet) startAgent(index int, backend string) *Agent {
	return fleet.startAgentAt(index, backend, "127.0.0.1:0")
}

func (fleet *fleet) startAgentAt(index int, backend, packets string) *Agent {
	chosen := settings.Default()
	chosen.Node = fmt.Sprintf("target-%d", index+1)
	chosen.DataFolder = fleet.folder
	chosen.Agent.Certificate = filepath.Join(fleet.folder, selfSignedCertificate)
	chosen.Agent.Key = filepath.Join(fleet.folder, selfSignedKey)
	chosen.Agent.Packets = packets
	chosen.Agent.Fabric = fleet.fabric.socket.Address().String()
	chosen.Agent.Backend = backend
	chosen.Agent.ColdStart = 0
	chosen.Agent.HealthPath = ""
	chosen.Agent.StopGrace = waitLimit
	agent := New(Parts{
		Settings: chosen, Store: fleet.store, Pause: rollout.NewPause(), Logger: zap.NewNop(),
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

// crashAndRestart ends an agent without a word to its callers and starts a new
// one at the same address.
func (fleet *fleet) crashAndRestart(index int, backend string) {
	address := fleet.agents[index].PacketAddress()
	fleet.fabric.muted.Store(true)
	fleet.stops[index]()
	// What the agent sent while it stopped may still wait at the fabric's socket.
	fleet.fabric.settle()
	fleet.fabric.muted.Store(false)
	fleet.startAgentAt(index, backend, address.String())
	fleet.waitAccepting(1)
}

func (fleet *fleet) waitAccepting(count int) {
	fleet.t.Helper()
	eventually(fleet.t, func() bool {
		accepting := 0
		for _, agent := range fleet.agents {
			if agent.accepts.Load() {
				accepting++
			}
		}
		return accepting == count
	})
}

// setPhase publishes a configuration with another phase of one target.
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

// owner returns the agent that owns the only flow.
func (fleet *fleet) owner() *Agent {
	fleet.t.Helper()
	for _, agent := range fleet.agents {
		if agent.running.Load().owners.Len() > 0 {
			return agent
		}
	}
	fleet.t.Fatal("no agent owns a flow")
	return nil
}

// other returns the agent that is not the given one, of two.
func (fleet *fleet) other(agent *Agent) *Agent {
	if fleet.agents[0] == agent {
		return fleet.agents[1]
	}
	return fleet.agents[0]
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not come true")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// newBackend starts an HTTP/1.1 back end that echoes request IDs.
func newBackend(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(protocol.HeaderRequestID, request.Header.Get(protocol.HeaderRequestID))
		handler(writer, request)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

func get(t *testing.T, client *http.Client, path string) (*http.Response, string) {
	t.Helper()
	response, err := client.Get("https://" + serviceAddress.String() + path)
	require.NoError(t, err)
	return response, readAll(t, response)
}

package balancer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/standin/fabric"
	"merlinpaddle/internal/standin/platform"
)

var freePort = netip.MustParseAddrPort("127.0.0.1:0")

// runUntilEnd runs a component until stop is called or the test ends, and requires that
// it then returns without an error.
func runUntilEnd(t *testing.T, run func(ctx context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			require.NoError(t, <-done)
		})
	}
	t.Cleanup(stop)
	return stop
}

// testBalancer is a running balancer with its own configuration store.
type testBalancer struct {
	*Balancer
	store *rollout.Store
	stop  func()
}

func startBalancer(t *testing.T, configuration *model.Configuration) *testBalancer {
	t.Helper()
	store := rollout.NewStore()
	store.Advance(configuration)
	created, err := New(Options{
		Packets: freePort, CacheFlows: 1000, Workers: 2, Configurations: store,
		Readiness: process.NewReadiness(), Registry: prometheus.NewRegistry(),
	})
	require.NoError(t, err)
	created.Controller().Reconcile(time.Now())
	runner := board.NewRunner(created.Controller(), time.Hour, store.Watch())
	runUntilEnd(t, func(ctx context.Context) error {
		runner.Run(ctx)
		return nil
	})
	return &testBalancer{Balancer: created, store: store, stop: runUntilEnd(t, created.Run)}
}

func (balancer *testBalancer) counted(verdict Verdict) float64 {
	return testutil.ToFloat64(balancer.metrics.verdicts[verdict])
}

func (balancer *testBalancer) machine(name string) platform.Machine {
	return platform.Machine{Name: name, Role: "balancer", Zone: "z", Address: balancer.Address().String(), State: platform.StateLive}
}

// fakeAgent answers each forwarded datagram through the fabric with a text that names
// its target, and sends a hint to the balancer.
type fakeAgent struct {
	socket *net.UDPConn
	target model.TargetID
	fabric netip.AddrPort
}

func openSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(freePort))
	require.NoError(t, err)
	return socket
}

func socketAddress(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (agent *fakeAgent) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = agent.socket.Close() })
	defer stop()
	buffer := make([]byte, receiveBufferBytes)
	for {
		length, _, err := agent.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		if err := agent.answer(buffer[:length]); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

func (agent *fakeAgent) answer(data []byte) error {
	received, err := packet.Decode(data)
	if err != nil {
		return err
	}
	if received.Kind != packet.KindForward || received.Chain[received.Position] != agent.target {
		return fmt.Errorf("target %d received %+v", agent.target, received)
	}
	back := model.FiveTuple{Source: received.Flow.Destination, Destination: received.Flow.Source}
	text := fmt.Appendf(nil, "target %d got %s", agent.target, received.Payload)
	err = agent.send(agent.fabric, packet.Encapsulated{
		Kind: packet.KindReturn, Service: received.Service, Inner: packet.BuildInnerUDP(back, text),
	})
	if err != nil {
		return err
	}
	return agent.send(received.Balancer, packet.Encapsulated{
		Kind: packet.KindHint, Service: received.Service, Owner: agent.target, Flow: received.Flow,
	})
}

func (agent *fakeAgent) send(destination netip.AddrPort, content packet.Encapsulated) error {
	data, err := packet.Encode(content)
	if err != nil {
		return err
	}
	_, err = agent.socket.WriteToUDPAddrPort(data, destination)
	return err
}

// testPath is a complete packet path over loopback: the fabric, two balancers, and one
// agent for each of the service's targets. Callers are added by openFlow.
type testPath struct {
	fabric        *fabric.Fabric
	machines      *fabric.Machines
	balancers     []*testBalancer
	configuration *model.Configuration
}

func startPath(t *testing.T) *testPath {
	t.Helper()
	machines := fabric.NewMachines()
	testFabric, err := fabric.New(fabric.Options{
		Addresses: []netip.AddrPort{freePort}, Geneve: freePort, Seed: 3,
		Machines: machines, Registry: prometheus.NewRegistry(),
	})
	require.NoError(t, err)
	runUntilEnd(t, testFabric.Run)
	path := &testPath{fabric: testFabric, machines: machines}
	path.configuration = model.NewConfiguration()
	path.configuration.Revision = 5
	addService(path.configuration, udpService, model.ProtocolUDP, testFabric.Addresses()[0], 3)
	for id, target := range path.configuration.Targets {
		agent := &fakeAgent{socket: openSocket(t), target: id, fabric: testFabric.Geneve()}
		target.Agent = socketAddress(agent.socket)
		path.configuration.Targets[id] = target
		runUntilEnd(t, agent.run)
	}
	for range 2 {
		path.balancers = append(path.balancers, startBalancer(t, path.configuration))
	}
	path.setBalancers(path.balancers...)
	return path
}

// setBalancers makes the fabric spray packets over the given balancers.
func (path *testPath) setBalancers(balancers ...*testBalancer) {
	var machines []platform.Machine
	for index, balancer := range balancers {
		machines = append(machines, balancer.machine(fmt.Sprint("balancer-", index)))
	}
	path.machines.Replace(machines)
}

// testCaller is a caller with one flow, which is that of its socket.
type testCaller struct {
	socket *net.UDPConn
	path   *testPath
}

func (path *testPath) openFlow(t *testing.T) *testCaller {
	t.Helper()
	socket := openSocket(t)
	t.Cleanup(func() { _ = socket.Close() })
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(conditionTimeout)))
	return &testCaller{socket: socket, path: path}
}

// exchange sends text to the service and returns the answer.
func (caller *testCaller) exchange(t *testing.T, text string) string {
	t.Helper()
	address := caller.path.fabric.Addresses()[0]
	_, err := caller.socket.WriteToUDPAddrPort([]byte(text), address)
	require.NoError(t, err)
	buffer := make([]byte, receiveBufferBytes)
	length, source, err := caller.socket.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	require.Equal(t, address, source, "an answer comes from the virtual address")
	return string(buffer[:length])
}

// expectedTarget returns the head of the flow's bucket.
func (caller *testCaller) expectedTarget(path *testPath) model.TargetID {
	table := path.configuration.Buckets[udpService]
	flow := model.FiveTuple{Protocol: model.ProtocolUDP, Source: socketAddress(caller.socket), Destination: path.fabric.Addresses()[0]}
	return table.Heads[routing.BucketOf(routing.FlowHash(flow), table.Count())]
}

func TestFlowsKeepTheirTargetWhenBalancersJoinAndLeave(t *testing.T) {
	path := startPath(t)
	var callers []*testCaller
	for range 20 {
		callers = append(callers, path.openFlow(t))
	}
	exchangeAll := func(round string) {
		for _, caller := range callers {
			want := fmt.Sprintf("target %d got %s", caller.expectedTarget(path), round)
			require.Equal(t, want, caller.exchange(t, round))
		}
	}
	exchangeAll("over two balancers")
	require.Positive(t, path.balancers[0].counted(VerdictForward))
	require.Positive(t, path.balancers[1].counted(VerdictForward))
	require.Eventually(t, func() bool {
		return path.balancers[0].counted(VerdictHint)+path.balancers[1].counted(VerdictHint) >= float64(len(callers))
	}, conditionTimeout, time.Millisecond)

	joined := startBalancer(t, path.configuration)
	path.setBalancers(joined)
	exchangeAll("over a balancer that has just joined")

	path.setBalancers(path.balancers[1])
	joined.stop()
	path.balancers[0].stop()
	exchangeAll("over the remaining balancer")
}

func TestBalancerFollowsAConfigurationChange(t *testing.T) {
	path := startPath(t)
	balancer := path.balancers[0]
	path.setBalancers(balancer)
	caller := path.openFlow(t)
	caller.exchange(t, "before")

	removed := model.NewConfiguration()
	removed.Revision = 6
	balancer.store.Advance(removed)
	require.Eventually(t, func() bool { return balancer.indexes.current.Load().Revision() == 6 }, conditionTimeout, time.Millisecond)
	_, err := caller.socket.WriteToUDPAddrPort([]byte("after"), path.fabric.Addresses()[0])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return balancer.counted(VerdictUnknownService) == 1 }, conditionTimeout, time.Millisecond)
}

func TestBalancerCountsDropsByVerdict(t *testing.T) {
	inner := packet.BuildInnerUDP(model.FiveTuple{Source: caller, Destination: quicAddress}, quicInitial)
	unknown := packet.BuildInnerUDP(model.FiveTuple{Source: caller, Destination: caller}, nil)
	cases := []struct {
		name    string
		content packet.Encapsulated
		raw     []byte
		verdict Verdict
	}{
		{"not Geneve", packet.Encapsulated{}, []byte("x"), VerdictMalformed},
		{"empty datagram", packet.Encapsulated{}, []byte{}, VerdictMalformed},
		{"return packet", packet.Encapsulated{Kind: packet.KindReturn, Inner: inner}, nil, VerdictUnexpectedKind},
		{"forwarded packet", packet.Encapsulated{Kind: packet.KindForward, Chain: []model.TargetID{1}, Inner: inner}, nil, VerdictUnexpectedKind},
		{"unknown service", packet.Encapsulated{Kind: packet.KindIngress, Inner: unknown}, nil, VerdictUnknownService},
		{"hint of a foreign target", packet.Encapsulated{Kind: packet.KindHint, Service: quicService, Owner: 21, Inner: inner}, nil, VerdictHintForeignTarget},
		{"hint from another machine", packet.Encapsulated{Kind: packet.KindHint, Service: quicService, Owner: 11, Inner: inner}, nil, VerdictHintForeignSender},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			balancer := startBalancer(t, testConfiguration())
			data := test.raw
			if data == nil {
				encoded, err := packet.Encode(test.content)
				require.NoError(t, err)
				data = encoded
			}
			sender := openSocket(t)
			defer sender.Close()
			_, err := sender.WriteToUDPAddrPort(data, balancer.Address())
			require.NoError(t, err)
			require.Eventually(t, func() bool { return balancer.counted(test.verdict) == 1 }, conditionTimeout, time.Millisecond)
			require.Zero(t, balancer.counted(VerdictForward))
		})
	}
}

func TestNewFailsWhenThePacketAddressIsInUse(t *testing.T) {
	socket := openSocket(t)
	defer socket.Close()
	_, err := New(Options{Packets: socketAddress(socket), Configurations: rollout.NewStore(), Registry: prometheus.NewRegistry()})
	require.ErrorContains(t, err, socketAddress(socket).String())
}

package dataplane

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/steering"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// conditionTimeout bounds the wait for an expected packet. It is long enough for a busy machine,
// and checks no latency.
const waitTimeout = 20 * time.Second

const (
	rigaService     model.ServiceID = 7
	terangaService  model.ServiceID = 8
	ownTarget       model.TargetID  = 1
	otherTarget     model.TargetID  = 2
	terangaTarget   model.TargetID  = 3
	unlistedTarget  model.TargetID  = 9
	runningRevision model.Revision  = 20
)

var (
	rigaAddress    = netip.MustParseAddrPort("127.2.0.1:443")
	terangaAddress = netip.MustParseAddrPort("127.2.0.2:443")
	callerAddress  = netip.MustParseAddrPort("127.1.0.1:5000")
)

// fixedConfiguration implements steering.Configurations.
type fixedConfiguration struct{ running *model.Configuration }

func (fixed fixedConfiguration) Current() *model.Configuration { return fixed.running }

// recordingReceiver is a Receiver that records its calls.
type recordingReceiver struct {
	delivered, reset []model.FiveTuple
	payloads         []string
}

func (receiver *recordingReceiver) Deliver(flow model.FiveTuple, payload []byte) {
	receiver.delivered = append(receiver.delivered, flow)
	receiver.payloads = append(receiver.payloads, string(payload))
}
func (receiver *recordingReceiver) Reset(flow model.FiveTuple, _ []byte) {
	receiver.reset = append(receiver.reset, flow)
}
func (receiver *recordingReceiver) Expired([]model.FiveTuple) {}

// planeFixture is the plane of ownTarget, with sockets that stand in for the agent of otherTarget,
// the agent of the other tenant's target, the balancer and the fabric.
type planeFixture struct {
	plane                            *Plane
	receiver                         *recordingReceiver
	ownedFlows                       *flow.OwnedFlows
	other, teranga, balancer, fabric *net.UDPConn
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(waitTimeout)))
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func addressOf(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// uniformTable returns a bucket table whose rows all have the same head and alternate.
func uniformTable(service model.ServiceID, head, alternate model.TargetID) *model.BucketTable {
	table := &model.BucketTable{Service: service, Heads: make([]model.TargetID, 64), Alternates: make([]model.TargetID, 64)}
	for index := range table.Heads {
		table.Set(model.Bucket{Index: model.BucketIndex(index), Head: head, Alternate: alternate})
	}
	return table
}

// newPlaneFixture returns a fixture in which otherTarget is the alternate of all of riga's buckets.
func newPlaneFixture(t *testing.T, protocol model.Protocol) *planeFixture {
	t.Helper()
	return newPlaneFixtureWithAlternate(t, protocol, otherTarget)
}

// newPlaneFixtureWithAlternate returns a fixture in which all of riga's buckets have the given
// alternate. If it is zero, they have none, and ownTarget, the head, decides alone about new flows.
func newPlaneFixtureWithAlternate(t *testing.T, protocol model.Protocol, alternate model.TargetID) *planeFixture {
	t.Helper()
	fixture := &planeFixture{
		receiver: &recordingReceiver{},
		other:    listenUDP(t), teranga: listenUDP(t), balancer: listenUDP(t), fabric: listenUDP(t),
	}
	running := model.NewConfiguration()
	running.Revision = runningRevision
	addService := func(id model.ServiceID, tenant model.TenantName, address netip.AddrPort, table *model.BucketTable) {
		running.Services[id] = model.Service{ID: id, Tenant: tenant, Protocol: protocol, Address: address, Limits: model.DefaultLimits()}
		running.Buckets[id] = table
	}
	addService(rigaService, "riga", rigaAddress, uniformTable(rigaService, ownTarget, alternate))
	addService(terangaService, "teranga", terangaAddress, uniformTable(terangaService, terangaTarget, terangaTarget))
	addTarget := func(id model.TargetID, service model.ServiceID, agent netip.AddrPort) {
		running.Targets[id] = model.Target{ID: id, Service: service, Phase: model.PhaseServing, Agent: agent}
	}
	socket, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	addTarget(ownTarget, rigaService, socket.Address())
	addTarget(otherTarget, rigaService, addressOf(fixture.other))
	addTarget(terangaTarget, terangaService, addressOf(fixture.teranga))
	fixture.ownedFlows = flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: rigaService, Target: ownTarget})
	decider := steering.New(steering.Options{
		Target: ownTarget, Configurations: fixedConfiguration{running}, OwnedFlows: fixture.ownedFlows,
	})
	fixture.plane = NewPlane(Options{
		Target: ownTarget, Service: rigaService, Configurations: fixedConfiguration{running},
		Decider: decider, OwnedFlows: fixture.ownedFlows, Socket: socket, Fabric: addressOf(fixture.fabric),
	})
	fixture.plane.SetReceiver(fixture.receiver)
	return fixture
}

// receive returns the next packet that a socket receives.
func receive(t *testing.T, socket *net.UDPConn) packet.Encapsulated {
	t.Helper()
	buffer := make([]byte, packet.MaximumDatagram)
	length, _, err := socket.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	received, err := packet.Decode(buffer[:length])
	require.NoError(t, err)
	return received
}

// openingPacket returns the opening packet of a QUIC flow, as the balancer sends it to the head,
// with changes applied.
func openingPacket(changes ...func(*packet.Encapsulated)) *packet.Encapsulated {
	tuple := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: callerAddress, Destination: rigaAddress}
	built := &packet.Encapsulated{
		Kind: packet.KindForward, Service: rigaService, Revision: runningRevision, Opening: true,
		Chain: []model.TargetID{ownTarget, otherTarget}, Flow: tuple,
		Inner: packet.BuildInnerUDP(tuple, []byte("tap")), Payload: []byte("tap"),
	}
	for _, change := range changes {
		change(built)
	}
	return built
}

func TestPlaneDropsForeignAndInvalidPackets(t *testing.T) {
	cases := []struct {
		name   string
		change func(*packet.Encapsulated)
		reason DropReason
	}{
		{"another tenant's service", func(p *packet.Encapsulated) { p.Service = terangaService }, DropForeign},
		{"unknown service", func(p *packet.Encapsulated) { p.Service = 99 }, DropForeign},
		{"another tenant's address", func(p *packet.Encapsulated) { p.Flow.Destination = terangaAddress }, DropForeign},
		{"another port of the address", func(p *packet.Encapsulated) {
			p.Flow.Destination = netip.AddrPortFrom(rigaAddress.Addr(), 444)
		}, DropForeign},
		{"another protocol", func(p *packet.Encapsulated) { p.Flow.Protocol = model.ProtocolTCP }, DropForeign},
		{"ingress packet", func(p *packet.Encapsulated) { p.Kind = packet.KindIngress }, DropUnexpectedKind},
		{"return packet", func(p *packet.Encapsulated) { p.Kind = packet.KindReturn }, DropUnexpectedKind},
		{"hint", func(p *packet.Encapsulated) { p.Kind = packet.KindHint }, DropUnexpectedKind},
		{"forwarded too often", func(p *packet.Encapsulated) { p.Passes = steering.MaximumPasses }, DropTooManyPasses},
		{"newer chain to an unknown target", func(p *packet.Encapsulated) {
			p.Revision, p.Chain = runningRevision+1, []model.TargetID{unlistedTarget, ownTarget}
		}, DropUnknownTarget},
		{"newer chain to another tenant's target", func(p *packet.Encapsulated) {
			p.Revision, p.Chain = runningRevision+1, []model.TargetID{terangaTarget, ownTarget}
		}, DropForeign},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newPlaneFixture(t, model.ProtocolQUIC)
			fixture.plane.Handle(openingPacket(test.change))
			require.EqualValues(t, 1, fixture.plane.Counters().DroppedFor(test.reason))
			require.EqualValues(t, 1, fixture.plane.Counters().Dropped.Load())
			require.Empty(t, fixture.receiver.delivered)
			require.Zero(t, fixture.ownedFlows.Len())
		})
	}
}

func TestPlaneDropsPacketsWithoutAReceiver(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolQUIC)
	fixture.plane.receiver.Store(nil)
	fixture.plane.Handle(openingPacket())
	require.EqualValues(t, 1, fixture.plane.Counters().DroppedFor(DropNoReceiver))
}

// Every datagram of a plain UDP flow may be its first, so the packet is sent to the alternate,
// which may own the flow, before the head opens it.
func TestPlaneAsksTheAlternateAboutPlainUDP(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolUDP)
	fixture.plane.Handle(openingPacket(func(p *packet.Encapsulated) { p.Flow.Protocol = model.ProtocolUDP }))
	asked := receive(t, fixture.other)
	require.Equal(t, model.StageSearch, asked.Stage)
	require.Equal(t, []byte("tap"), asked.Payload)
	require.EqualValues(t, 1, fixture.plane.Counters().Forwarded.Load())
	require.Empty(t, fixture.receiver.delivered)
}

func TestPlaneOpensAFlowOnceForDuplicateOpeningPackets(t *testing.T) {
	fixture := newPlaneFixtureWithAlternate(t, model.ProtocolQUIC, 0)
	first, copied := openingPacket(), openingPacket()
	fixture.plane.Handle(first)
	fixture.plane.Handle(copied)
	older := openingPacket(func(p *packet.Encapsulated) { p.Revision = runningRevision - 1 })
	fixture.plane.Handle(older)
	require.EqualValues(t, 1, fixture.plane.Counters().Opened.Load())
	require.EqualValues(t, 3, fixture.plane.Counters().Delivered.Load(), "the service detects duplicates, not the packet path")
	require.Equal(t, []string{"tap", "tap", "tap"}, fixture.receiver.payloads)
	require.Equal(t, 1, fixture.ownedFlows.Len())
}

// An agent whose configuration is newer than the packet uses its own row of the bucket; an agent
// whose configuration is older uses the packet's chain.
func TestPlaneFollowsTheNewerChain(t *testing.T) {
	cases := []struct {
		name         string
		revision     model.Revision
		chain        []model.TargetID
		position     uint8
		wantChain    []model.TargetID
		wantRevision model.Revision
	}{
		{"packet is older", runningRevision - 1, []model.TargetID{otherTarget, ownTarget}, 1, nil, 0},
		{"packet is newer", runningRevision + 5, []model.TargetID{otherTarget, ownTarget}, 1, []model.TargetID{otherTarget, ownTarget}, runningRevision + 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newPlaneFixtureWithAlternate(t, model.ProtocolQUIC, 0)
			fixture.plane.Handle(openingPacket(func(p *packet.Encapsulated) {
				p.Revision, p.Chain, p.Position = test.revision, test.chain, test.position
			}))
			if test.wantChain == nil {
				require.Len(t, fixture.receiver.delivered, 1, "the agent is the head of the newer row")
				return
			}
			forwarded := receive(t, fixture.other)
			require.Equal(t, test.wantChain, forwarded.Chain)
			require.Equal(t, test.wantRevision, forwarded.Revision)
			require.EqualValues(t, 1, forwarded.Passes)
			require.Empty(t, fixture.receiver.delivered)
		})
	}
}

func TestPlaneHintsTheBalancerAfterAForwardedPacket(t *testing.T) {
	fixture := newPlaneFixtureWithAlternate(t, model.ProtocolQUIC, 0)
	fixture.plane.Handle(openingPacket())
	require.Zero(t, fixture.plane.Counters().Hinted.Load(), "the balancer chose the owner")
	fixture.plane.Handle(openingPacket(func(p *packet.Encapsulated) {
		p.Passes, p.Balancer = 1, addressOf(fixture.balancer)
	}))
	hint := receive(t, fixture.balancer)
	require.Equal(t, packet.KindHint, hint.Kind)
	require.Equal(t, ownTarget, hint.Owner)
	require.Equal(t, rigaService, hint.Service)
	require.Equal(t, openingPacket().Flow, hint.Flow)
	require.True(t, hint.Opening, "a duplicate of an opening packet is an opening packet too")

	fixture.plane.Handle(openingPacket(func(p *packet.Encapsulated) {
		p.Passes, p.Balancer, p.Opening = 1, addressOf(fixture.balancer), false
	}))
	require.False(t, receive(t, fixture.balancer).Opening)
}

// Every datagram of plain UDP looks like an opening packet; only in the hint about the one that
// opened the flow is Opening set.
func TestPlaneHintsAboutPlainUDP(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolUDP)
	for _, opened := range []bool{true, false} {
		fixture.plane.Handle(openingPacket(func(p *packet.Encapsulated) {
			p.Flow.Protocol, p.Balancer = model.ProtocolUDP, addressOf(fixture.balancer)
			// The search found no owner at the alternate, which has a higher load.
			p.Stage, p.Passes, p.PasserLoad = model.StageSearch, 2, 1000
			p.Chain, p.Position = []model.TargetID{otherTarget, ownTarget}, 1
		}))
		require.Equal(t, opened, receive(t, fixture.balancer).Opening)
	}
}

func TestPlaneResetsAFlowThatNoTargetOwns(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolTCP)
	tuple := model.FiveTuple{Protocol: model.ProtocolTCP, Source: callerAddress, Destination: rigaAddress}
	fixture.plane.Handle(&packet.Encapsulated{
		Kind: packet.KindForward, Service: rigaService, Revision: runningRevision, Flow: tuple,
		Chain: []model.TargetID{ownTarget, otherTarget}, Position: 1, Passes: 1, Payload: []byte("segment"),
	})
	require.Equal(t, []model.FiveTuple{tuple}, fixture.receiver.reset)
	require.EqualValues(t, 1, fixture.plane.Counters().Reset.Load())
}

// segmentOf returns the bytes of a TCP segment of flow tuple.
func segmentOf(t *testing.T, tuple model.FiveTuple, header layers.TCP, payload string) []byte {
	t.Helper()
	inner, err := packet.NewInnerBuilder().TCP(tuple, &header, []byte(payload))
	require.NoError(t, err)
	length := ipv4HeaderLength
	if tuple.Source.Addr().Is6() {
		length = ipv6HeaderLength
	}
	return inner[length:]
}

// Lengths of IP headers without options, in bytes.
const (
	ipv4HeaderLength = 20
	ipv6HeaderLength = 40
)

// The expected resets are those of RFC 9293, section 3.10.7.1.
func TestSegmentReceiverAnswersUnknownFlowsWithAReset(t *testing.T) {
	flow4 := model.FiveTuple{Protocol: model.ProtocolTCP, Source: callerAddress, Destination: rigaAddress}
	flow6 := model.FiveTuple{
		Protocol: model.ProtocolTCP,
		Source:   netip.MustParseAddrPort("[2001:db8::9]:5000"), Destination: netip.MustParseAddrPort("[2001:db8::1]:443"),
	}
	cases := []struct {
		name    string
		tuple   model.FiveTuple
		segment layers.TCP
		payload string
		want    layers.TCP
	}{
		{"data with ACK", flow4, layers.TCP{ACK: true, Seq: 100, Ack: 700}, "tap", layers.TCP{RST: true, Seq: 700}},
		{"data with ACK over IPv6", flow6, layers.TCP{ACK: true, Seq: 100, Ack: 700}, "tap", layers.TCP{RST: true, Seq: 700}},
		{"SYN", flow4, layers.TCP{SYN: true, Seq: 100}, "", layers.TCP{RST: true, ACK: true, Ack: 101}},
		{"FIN with data and without ACK", flow4, layers.TCP{FIN: true, Seq: 100}, "tap", layers.TCP{RST: true, ACK: true, Ack: 104}},
		{"sequence numbers wrap around", flow4, layers.TCP{Seq: 0xffffffff}, "tap", layers.TCP{RST: true, ACK: true, Ack: 2}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newPlaneFixture(t, model.ProtocolTCP)
			NewSegmentReceiver(fixture.plane, nil).Reset(test.tuple, segmentOf(t, test.tuple, test.segment, test.payload))
			returned := receive(t, fixture.fabric)
			require.Equal(t, packet.KindReturn, returned.Kind)
			require.Equal(t, rigaService, returned.Service)
			require.Equal(t, test.tuple.Destination, returned.Flow.Source)
			require.Equal(t, test.tuple.Source, returned.Flow.Destination)
			var reset layers.TCP
			require.NoError(t, reset.DecodeFromBytes(returned.Payload, gopacket.NilDecodeFeedback))
			got := layers.TCP{RST: reset.RST, ACK: reset.ACK, SYN: reset.SYN, FIN: reset.FIN, Seq: reset.Seq, Ack: reset.Ack}
			require.Equal(t, test.want, got)
		})
	}
}

func TestSegmentReceiverIgnoresResetsAndGarbage(t *testing.T) {
	tuple := model.FiveTuple{Protocol: model.ProtocolTCP, Source: callerAddress, Destination: rigaAddress}
	fixture := newPlaneFixture(t, model.ProtocolTCP)
	receiver := NewSegmentReceiver(fixture.plane, nil)
	receiver.Reset(tuple, segmentOf(t, tuple, layers.TCP{RST: true, Seq: 1}, ""))
	receiver.Reset(tuple, []byte("garbage"))
	receiver.Reset(tuple, nil)
	// Only this ordinary segment is answered.
	receiver.Reset(tuple, segmentOf(t, tuple, layers.TCP{ACK: true, Ack: 55}, ""))
	var reset layers.TCP
	require.NoError(t, reset.DecodeFromBytes(receive(t, fixture.fabric).Payload, gopacket.NilDecodeFeedback))
	require.EqualValues(t, 55, reset.Seq)
}

func TestSegmentReceiverDeliversToTheSink(t *testing.T) {
	tuple := model.FiveTuple{Protocol: model.ProtocolTCP, Source: callerAddress, Destination: rigaAddress}
	var got []byte
	receiver := NewSegmentReceiver(nil, func(_ model.FiveTuple, segment []byte) { got = append(got, segment...) })
	want := segmentOf(t, tuple, layers.TCP{SYN: true}, "")
	receiver.Deliver(tuple, want)
	require.Equal(t, want, got)
}

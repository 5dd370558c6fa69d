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

// conditionTimeout bounds waits for a condition; it is no measure of speed.
const conditionTimeout = 20 * time.Second

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

// recorder is a Receiver that remembers what it got.
type recorder struct {
	delivered, reset []model.FiveTuple
	payloads         []string
}

func (recorder *recorder) Deliver(flow model.FiveTuple, payload []byte) {
	recorder.delivered = append(recorder.delivered, flow)
	recorder.payloads = append(recorder.payloads, string(payload))
}
func (recorder *recorder) Reset(flow model.FiveTuple, _ []byte) {
	recorder.reset = append(recorder.reset, flow)
}
func (recorder *recorder) Expired([]model.FiveTuple) {}

// planeFixture is the plane of ownTarget, with sockets in place of the other
// target's agent, the other tenant's agent, the balancer and the fabric.
type planeFixture struct {
	plane                            *Plane
	receiver                         *recorder
	owners                           *flow.OwnedFlows
	other, teranga, balancer, caller *net.UDPConn
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(conditionTimeout)))
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func addressOf(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// tableOf returns a bucket table whose rows are all alike.
func tableOf(service model.ServiceID, head, alternate model.TargetID) *model.BucketTable {
	table := &model.BucketTable{Service: service, Heads: make([]model.TargetID, 64), Alternates: make([]model.TargetID, 64)}
	for index := range table.Heads {
		table.Set(model.Bucket{Index: model.BucketIndex(index), Head: head, Alternate: alternate})
	}
	return table
}

func newPlaneFixture(t *testing.T, protocol model.Protocol) *planeFixture {
	t.Helper()
	return newPlaneFixtureWithAlternate(t, protocol, otherTarget)
}

// newPlaneFixtureWithAlternate chooses the alternate of all buckets; without
// one the head decides about new flows alone.
func newPlaneFixtureWithAlternate(t *testing.T, protocol model.Protocol, alternate model.TargetID) *planeFixture {
	t.Helper()
	fixture := &planeFixture{
		receiver: &recorder{},
		other:    listenUDP(t), teranga: listenUDP(t), balancer: listenUDP(t), caller: listenUDP(t),
	}
	running := model.NewConfiguration()
	running.Revision = runningRevision
	addService := func(id model.ServiceID, tenant model.TenantName, address netip.AddrPort, table *model.BucketTable) {
		running.Services[id] = model.Service{ID: id, Tenant: tenant, Protocol: protocol, Address: address, Limits: model.DefaultLimits()}
		running.Buckets[id] = table
	}
	addService(rigaService, "riga", rigaAddress, tableOf(rigaService, ownTarget, alternate))
	addService(terangaService, "teranga", terangaAddress, tableOf(terangaService, terangaTarget, terangaTarget))
	addTarget := func(id model.TargetID, service model.ServiceID, agent netip.AddrPort) {
		running.Targets[id] = model.Target{ID: id, Service: service, Phase: model.PhaseServing, Agent: agent}
	}
	socket, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	addTarget(ownTarget, rigaService, socket.Address())
	addTarget(otherTarget, rigaService, addressOf(fixture.other))
	addTarget(terangaTarget, terangaService, addressOf(fixture.teranga))
	fixture.owners = flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: rigaService, Target: ownTarget})
	decider := steering.New(steering.Options{
		Target: ownTarget, Configurations: fixedConfiguration{running}, OwnedFlows: fixture.owners,
	})
	fixture.plane = NewPlane(Options{
		Target: ownTarget, Service: rigaService, Configurations: fixedConfiguration{running},
		Decider: decider, Owners: fixture.owners, Socket: socket, Fabric: addressOf(fixture.caller),
	})
	fixture.plane.SetReceiver(fixture.receiver)
	return fixture
}

// receive returns the next packet that reached a socket.
func receive(t *testing.T, socket *net.UDPConn) packet.Encapsulated {
	t.Helper()
	buffer := make([]byte, packet.MaximumDatagram)
	length, _, err := socket.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	received, err := packet.Decode(buffer[:length])
	require.NoError(t, err)
	return received
}

// opening returns the opening packet of a QUIC flow, as the balancer
// sends it to the head, after changes.
func opening(changes ...func(*packet.Encapsulated)) *packet.Encapsulated {
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

func TestPlaneRefusesForeignAndFaultyPackets(t *testing.T) {
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
		{"passed on too often", func(p *packet.Encapsulated) { p.Passes = steering.MaximumPasses }, DropPasses},
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
			fixture.plane.Handle(opening(test.change))
			require.EqualValues(t, 1, fixture.plane.Counters().DroppedFor(test.reason))
			require.EqualValues(t, 1, fixture.plane.Counters().Dropped.Load())
			require.Empty(t, fixture.receiver.delivered)
			require.Zero(t, fixture.owners.Len())
		})
	}
}

func TestPlaneDropsBeforeItHasAReceiver(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolQUIC)
	fixture.plane.receiver.Store(nil)
	fixture.plane.Handle(opening())
	require.EqualValues(t, 1, fixture.plane.Counters().DroppedFor(DropNoReceiver))
}

// Every datagram of a plain UDP flow may open it, so the alternate is asked
// before the head opens the flow.
func TestPlaneAsksTheAlternateAboutPlainUDP(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolUDP)
	fixture.plane.Handle(opening(func(p *packet.Encapsulated) { p.Flow.Protocol = model.ProtocolUDP }))
	asked := receive(t, fixture.other)
	require.Equal(t, model.StageSearch, asked.Stage)
	require.Equal(t, []byte("tap"), asked.Payload)
	require.EqualValues(t, 1, fixture.plane.Counters().Passed.Load())
	require.Empty(t, fixture.receiver.delivered)
}

func TestPlaneOpensAFlowOnceForADoubledOpeningPacket(t *testing.T) {
	fixture := newPlaneFixtureWithAlternate(t, model.ProtocolQUIC, 0)
	first, copied := opening(), opening()
	fixture.plane.Handle(first)
	fixture.plane.Handle(copied)
	older := opening(func(p *packet.Encapsulated) { p.Revision = runningRevision - 1 })
	fixture.plane.Handle(older)
	require.EqualValues(t, 1, fixture.plane.Counters().Opened.Load())
	require.EqualValues(t, 3, fixture.plane.Counters().Delivered.Load(), "the service tells copies apart, not the path")
	require.Equal(t, []string{"tap", "tap", "tap"}, fixture.receiver.payloads)
	require.Equal(t, 1, fixture.owners.Len())
}

// An agent that a balancer with an older configuration took for the head
// sends the packet on by its own, newer row; one with the older configuration
// follows the packet's.
func TestPlaneFollowsTheNewerChain(t *testing.T) {
	cases := []struct {
		name     string
		revision model.Revision
		chain    []model.TargetID
		position uint8
		want     []model.TargetID
		at       model.Revision
	}{
		{"packet is older", runningRevision - 1, []model.TargetID{otherTarget, ownTarget}, 1, nil, 0},
		{"packet is newer", runningRevision + 5, []model.TargetID{otherTarget, ownTarget}, 1, []model.TargetID{otherTarget, ownTarget}, runningRevision + 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newPlaneFixtureWithAlternate(t, model.ProtocolQUIC, 0)
			fixture.plane.Handle(opening(func(p *packet.Encapsulated) {
				p.Revision, p.Chain, p.Position = test.revision, test.chain, test.position
			}))
			if test.want == nil {
				require.Len(t, fixture.receiver.delivered, 1, "the agent is the head of the newer row")
				return
			}
			passed := receive(t, fixture.other)
			require.Equal(t, test.want, passed.Chain)
			require.Equal(t, test.at, passed.Revision)
			require.EqualValues(t, 1, passed.Passes)
			require.Empty(t, fixture.receiver.delivered)
		})
	}
}

func TestPlaneHintsTheBalancerWhenAPacketTookADetour(t *testing.T) {
	fixture := newPlaneFixtureWithAlternate(t, model.ProtocolQUIC, 0)
	fixture.plane.Handle(opening())
	require.Zero(t, fixture.plane.Counters().Hinted.Load(), "the balancer chose the owner")
	fixture.plane.Handle(opening(func(p *packet.Encapsulated) {
		p.Passes, p.Balancer = 1, addressOf(fixture.balancer)
	}))
	hint := receive(t, fixture.balancer)
	require.Equal(t, packet.KindHint, hint.Kind)
	require.Equal(t, ownTarget, hint.Owner)
	require.Equal(t, rigaService, hint.Service)
	require.Equal(t, opening().Flow, hint.Flow)
	require.True(t, hint.Opening, "a copy of an opening packet is one too")

	fixture.plane.Handle(opening(func(p *packet.Encapsulated) {
		p.Passes, p.Balancer, p.Opening = 1, addressOf(fixture.balancer), false
	}))
	require.False(t, receive(t, fixture.balancer).Opening)
}

// Every datagram of plain UDP looks like an opening packet; only the one that
// opened the flow is hinted as such.
func TestPlaneHintsAboutPlainUDP(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolUDP)
	for _, isOpened := range []bool{true, false} {
		fixture.plane.Handle(opening(func(p *packet.Encapsulated) {
			p.Flow.Protocol, p.Balancer = model.ProtocolUDP, addressOf(fixture.balancer)
			// The alternate was asked, does not own the flow and is busier.
			p.Stage, p.Passes, p.PasserLoad = model.StageSearch, 2, 1000
			p.Chain, p.Position = []model.TargetID{otherTarget, ownTarget}, 1
		}))
		require.Equal(t, isOpened, receive(t, fixture.balancer).Opening)
	}
}

func TestPlaneResetsAFlowThatNobodyOwns(t *testing.T) {
	fixture := newPlaneFixture(t, model.ProtocolTCP)
	tuple := model.FiveTuple{Protocol: model.ProtocolTCP, Source: callerAddress, Destination: rigaAddress}
	fixture.plane.Handle(&packet.Encapsulated{
		Kind: packet.KindForward, Service: rigaService, Revision: runningRevision, Flow: tuple,
		Chain: []model.TargetID{ownTarget, otherTarget}, Position: 1, Passes: 1, Payload: []byte("segment"),
	})
	require.Equal(t, []model.FiveTuple{tuple}, fixture.receiver.reset)
	require.EqualValues(t, 1, fixture.plane.Counters().Reset.Load())
}

// segmentOf returns the bytes of a TCP segment of a flow.
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

// The resets are those of RFC 9293, section 3.10.7.1.
func TestSegmentsAnswerUnknownFlowsWithAReset(t *testing.T) {
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
			NewSegments(fixture.plane, nil).Reset(test.tuple, segmentOf(t, test.tuple, test.segment, test.payload))
			returned := receive(t, fixture.caller)
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

func TestSegmentsAnswerNothingToResetsAndGarbage(t *testing.T) {
	tuple := model.FiveTuple{Protocol: model.ProtocolTCP, Source: callerAddress, Destination: rigaAddress}
	fixture := newPlaneFixture(t, model.ProtocolTCP)
	segments := NewSegments(fixture.plane, nil)
	segments.Reset(tuple, segmentOf(t, tuple, layers.TCP{RST: true, Seq: 1}, ""))
	segments.Reset(tuple, []byte("garbage"))
	segments.Reset(tuple, nil)
	// The only answer is that to the last, ordinary segment.
	segments.Reset(tuple, segmentOf(t, tuple, layers.TCP{ACK: true, Ack: 55}, ""))
	var reset layers.TCP
	require.NoError(t, reset.DecodeFromBytes(receive(t, fixture.caller).Payload, gopacket.NilDecodeFeedback))
	require.EqualValues(t, 55, reset.Seq)
}

func TestSegmentsReachTheSink(t *testing.T) {
	tuple := model.FiveTuple{Protocol: model.ProtocolTCP, Source: callerAddress, Destination: rigaAddress}
	var got []byte
	segments := NewSegments(nil, func(_ model.FiveTuple, segment []byte) { got = append(got, segment...) })
	want := segmentOf(t, tuple, layers.TCP{SYN: true}, "")
	segments.Deliver(tuple, want)
	require.Equal(t, want, got)
}

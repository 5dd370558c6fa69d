package packet

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

var (
	flowIPv4 = model.FiveTuple{
		Protocol:    model.ProtocolUDP,
		Source:      netip.MustParseAddrPort("127.0.0.9:40000"),
		Destination: netip.MustParseAddrPort("127.1.0.1:443"),
	}
	flowIPv6 = model.FiveTuple{
		Protocol:    model.ProtocolUDP,
		Source:      netip.MustParseAddrPort("[2001:db8::9]:40000"),
		Destination: netip.MustParseAddrPort("[2001:db8::1]:443"),
	}
)

// buildInnerTCP returns an IP packet that contains a TCP segment of flow.
func buildInnerTCP(t testing.TB, flow model.FiveTuple, header layers.TCP, payload []byte) []byte {
	t.Helper()
	header.SrcPort = layers.TCPPort(flow.Source.Port())
	header.DstPort = layers.TCPPort(flow.Destination.Port())
	var network networkLayer
	source, destination := flow.Source.Addr().AsSlice(), flow.Destination.Addr().AsSlice()
	if flow.Source.Addr().Is4() {
		network = &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: net.IP(source), DstIP: net.IP(destination)}
	} else {
		network = &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolTCP, SrcIP: net.IP(source), DstIP: net.IP(destination)}
	}
	if err := header.SetNetworkLayerForChecksum(network); err != nil {
		t.Fatal(err)
	}
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, serializeOptions, network, &header, gopacket.Payload(payload)); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// forwardPacket returns a forwarded packet around inner, with all fields of that kind set except the
// declared protocol.
func forwardPacket(inner []byte) Encapsulated {
	return Encapsulated{
		Kind:       KindForward,
		Service:    7,
		Revision:   1 << 40,
		Opening:    true,
		Chain:      []model.TargetID{11, 12, 13},
		Position:   1,
		Stage:      model.StageReturn,
		Passes:     5,
		Balancer:   netip.MustParseAddrPort("127.0.0.3:6081"),
		PasserLoad: 940,
		Inner:      inner,
	}
}

func TestRoundTrip(t *testing.T) {
	payload := []byte("a pool feed")
	tcpFlow := func(flow model.FiveTuple) model.FiveTuple {
		flow.Protocol = model.ProtocolTCP
		return flow
	}
	segment := func(flow model.FiveTuple) []byte {
		return buildInnerTCP(t, flow, layers.TCP{SYN: true, Seq: 9, Window: 100}, payload)
	}
	cases := []struct {
		name    string
		packet  Encapsulated
		flow    model.FiveTuple
		payload []byte
	}{
		{"forward of UDP over IPv4", forwardPacket(BuildInnerUDP(flowIPv4, payload)), flowIPv4, payload},
		{"forward of UDP over IPv6", forwardPacket(BuildInnerUDP(flowIPv6, payload)), flowIPv6, payload},
		{"forward of TCP over IPv4", forwardPacket(segment(flowIPv4)), tcpFlow(flowIPv4), segment(flowIPv4)[20:]},
		{"forward of TCP over IPv6", forwardPacket(segment(flowIPv6)), tcpFlow(flowIPv6), segment(flowIPv6)[40:]},
		{"ingress", Encapsulated{Kind: KindIngress, Inner: BuildInnerUDP(flowIPv4, payload)}, flowIPv4, payload},
		{"return of an empty datagram", Encapsulated{Kind: KindReturn, Service: 7, Inner: BuildInnerUDP(flowIPv6, nil)}, flowIPv6, nil},
		{"hint", Encapsulated{Kind: KindHint, Service: 7, Revision: 3, Owner: 13, Inner: BuildInnerUDP(flowIPv4, nil)}, flowIPv4, nil},
		{
			"full chain and IPv6 balancer",
			Encapsulated{
				Kind: KindForward, Service: 1 << 31, Chain: []model.TargetID{1, 2, 3, 4, 5, 6}, Position: 5,
				Balancer: netip.MustParseAddrPort("[2001:db8::3]:6081"), Inner: BuildInnerUDP(flowIPv4, payload),
			}, flowIPv4, payload,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			data, err := Encode(test.packet)
			if err != nil {
				t.Fatal(err)
			}
			header, err := NewEncoder().AppendHeader(nil, &test.packet)
			if err != nil || !bytes.Equal(data, append(header, test.packet.Inner...)) {
				t.Errorf("header and inner packet are not the datagram: %x, error %v", header, err)
			}
			decoded, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			want := test.packet
			want.Flow = test.flow
			want.Payload = test.payload
			options := []cmp.Option{
				cmpopts.EquateEmpty(),
				cmp.Comparer(func(left, right netip.AddrPort) bool { return left == right }),
			}
			if difference := cmp.Diff(want, decoded, options...); difference != "" {
				t.Errorf("decoded packet differs (-want +got):\n%s", difference)
			}
		})
	}
}

func TestHintWithoutInnerPacketCarriesItsFlow(t *testing.T) {
	data, err := Encode(Encapsulated{Kind: KindHint, Service: 7, Owner: 3, Flow: flowIPv6})
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Flow != flowIPv6 || decoded.Owner != 3 {
		t.Errorf("hint has flow %v and owner %d", decoded.Flow, decoded.Owner)
	}
}

func TestDeclaredProtocol(t *testing.T) {
	udp := BuildInnerUDP(flowIPv4, []byte("x"))
	tcp := buildInnerTCP(t, flowIPv4, layers.TCP{SYN: true}, nil)
	cases := []struct {
		name     string
		inner    []byte
		declared model.Protocol
		want     model.Protocol
		code     faults.Code
	}{
		{"UDP not declared", udp, 0, model.ProtocolUDP, 0},
		{"UDP", udp, model.ProtocolUDP, model.ProtocolUDP, 0},
		{"QUIC over UDP", udp, model.ProtocolQUIC, model.ProtocolQUIC, 0},
		{"TCP not declared", tcp, 0, model.ProtocolTCP, 0},
		{"TCP", tcp, model.ProtocolTCP, model.ProtocolTCP, 0},
		{"UDP declared as TCP", udp, model.ProtocolTCP, 0, faults.PacketOptionMalformed},
		{"TCP declared as QUIC", tcp, model.ProtocolQUIC, 0, faults.PacketOptionMalformed},
		{"unknown protocol", udp, 77, 0, faults.PacketOptionMalformed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			data, err := Encode(Encapsulated{Kind: KindIngress, Flow: model.FiveTuple{Protocol: test.declared}, Inner: test.inner})
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(data)
			if faults.CodeOf(err) != test.code || decoded.Flow.Protocol != test.want {
				t.Errorf("protocol is %d, error %v; want protocol %d, code %d", decoded.Flow.Protocol, err, test.want, test.code)
			}
		})
	}
}

func TestDecoderClearsThePreviousPacket(t *testing.T) {
	var decoder Decoder
	var decoded Encapsulated
	first, _ := Encode(forwardPacket(BuildInnerUDP(flowIPv4, []byte("one"))))
	second, _ := Encode(Encapsulated{Kind: KindIngress, Inner: BuildInnerUDP(flowIPv6, []byte("two"))})
	if err := decoder.Decode(first, &decoded); err != nil {
		t.Fatal(err)
	}
	if err := decoder.Decode(second, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Service != 0 || len(decoded.Chain) != 0 || decoded.Balancer.IsValid() || decoded.Opening {
		t.Errorf("second packet kept values of the first: %+v", decoded)
	}
	if string(decoded.Payload) != "two" {
		t.Errorf("payload is %q", decoded.Payload)
	}
}

func TestEncodeErrors(t *testing.T) {
	inner := BuildInnerUDP(flowIPv4, []byte("x"))
	mixed := model.FiveTuple{Source: flowIPv4.Source, Destination: flowIPv6.Destination}
	cases := []struct {
		name   string
		packet Encapsulated
		code   faults.Code
	}{
		{"no kind", Encapsulated{Inner: inner}, faults.PacketOptionMissing},
		{"unknown kind", Encapsulated{Kind: 9, Inner: inner}, faults.PacketKindUnknown},
		{"forward without chain", Encapsulated{Kind: KindForward, Inner: inner}, faults.PacketChainMalformed},
		{"position beyond the chain", Encapsulated{Kind: KindForward, Chain: []model.TargetID{1}, Position: 1, Inner: inner}, faults.PacketChainMalformed},
		{"chain too long", Encapsulated{Kind: KindForward, Chain: make([]model.TargetID, MaximumChain+1), Inner: inner}, faults.PacketChainMalformed},
		{"hint without owner", Encapsulated{Kind: KindHint, Flow: flowIPv4}, faults.PacketOptionMissing},
		{"hint without flow", Encapsulated{Kind: KindHint, Owner: 1}, faults.AddressFamiliesDiffer},
		{"hint with mixed families", Encapsulated{Kind: KindHint, Owner: 1, Flow: mixed}, faults.AddressFamiliesDiffer},
		{"no inner packet", Encapsulated{Kind: KindIngress}, faults.PacketTruncated},
		{"inner packet not IP", Encapsulated{Kind: KindIngress, Inner: []byte{0xff}}, faults.InnerPacketNotIP},
		{"too large", Encapsulated{Kind: KindIngress, Inner: append([]byte{0x45}, make([]byte, MaximumDatagram)...)}, faults.PacketTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Encode(test.packet)
			if faults.CodeOf(err) != test.code {
				t.Errorf("error is %v with code %d, want code %d", err, faults.CodeOf(err), test.code)
			}
		})
	}
}

func TestBuildInnerUDPSetsLengthsAndChecksums(t *testing.T) {
	for _, flow := range []model.FiveTuple{flowIPv4, flowIPv6} {
		for _, size := range []int{0, 1, 2, 1199, 1200} {
			inner := BuildInnerUDP(flow, bytes.Repeat([]byte{0xa5}, size))
			first := gopacket.Decoder(layers.LayerTypeIPv4)
			if flow == flowIPv6 {
				first = layers.LayerTypeIPv6
			}
			parsed := gopacket.NewPacket(inner, first, gopacket.Default)
			if err := parsed.TransportLayer().(*layers.UDP).SetNetworkLayerForChecksum(parsed.NetworkLayer()); err != nil {
				t.Fatal(err)
			}
			err, mismatches := parsed.VerifyChecksums()
			if err != nil || len(mismatches) > 0 || parsed.ErrorLayer() != nil {
				t.Errorf("%v of %d bytes: error %v, checksum mismatches %v, layer error %v", flow, size, err, mismatches, parsed.ErrorLayer())
			}
			if got := len(parsed.TransportLayer().LayerPayload()); got != size {
				t.Errorf("%v of %d bytes has a payload of %d", flow, size, got)
			}
		}
	}
}

func TestInnerBuilderTCPMatchesGopacket(t *testing.T) {
	for _, flow := range []model.FiveTuple{flowIPv4, flowIPv6} {
		header := layers.TCP{ACK: true, Seq: 9, Ack: 11, Window: 100}
		built, err := NewInnerBuilder().TCP(flow, &header, []byte("receipt"))
		if err != nil {
			t.Fatal(err)
		}
		want := buildInnerTCP(t, flow, layers.TCP{ACK: true, Seq: 9, Ack: 11, Window: 100}, []byte("receipt"))
		if flow == flowIPv4 {
			// The builder sets the don't-fragment bit, which buildInnerTCP does not. Clear it and
			// use the checksum of the packet without it.
			built[6] &^= 0x40
			copy(built[10:12], want[10:12])
		}
		if !bytes.Equal(built, want) {
			t.Errorf("built %x, want %x", built, want)
		}
	}
}

func TestBuildInnerUDPRejectsInvalidInput(t *testing.T) {
	if BuildInnerUDP(flowIPv4, make([]byte, MaximumPayload+1)) != nil {
		t.Error("a payload longer than MaximumPayload was accepted")
	}
	if BuildInnerUDP(flowIPv4, make([]byte, MaximumPayload)) == nil {
		t.Error("a payload of MaximumPayload bytes was rejected")
	}
	if BuildInnerUDP(model.FiveTuple{}, nil) != nil {
		t.Error("a flow without addresses was accepted")
	}
}

func TestIsOpening(t *testing.T) {
	long := func(first byte, version ...byte) []byte {
		return append(append([]byte{first}, version...), 8, 1, 2, 3)
	}
	segment := func(header layers.TCP) []byte {
		return buildInnerTCP(t, flowIPv4, header, nil)[20:]
	}
	cases := []struct {
		name     string
		protocol model.Protocol
		payload  []byte
		want     bool
	}{
		{"TCP SYN", model.ProtocolTCP, segment(layers.TCP{SYN: true}), true},
		{"TCP SYN with ECN flags", model.ProtocolTCP, segment(layers.TCP{SYN: true, ECE: true, CWR: true}), true},
		{"TCP SYN ACK", model.ProtocolTCP, segment(layers.TCP{SYN: true, ACK: true}), false},
		{"TCP ACK", model.ProtocolTCP, segment(layers.TCP{ACK: true}), false},
		{"TCP RST", model.ProtocolTCP, segment(layers.TCP{RST: true}), false},
		{"truncated TCP header", model.ProtocolTCP, make([]byte, 13), false},
		{"QUIC Initial version 1", model.ProtocolQUIC, long(0xc0, 0, 0, 0, 1), true},
		{"QUIC 0-RTT version 1", model.ProtocolQUIC, long(0xd0, 0, 0, 0, 1), false},
		{"QUIC Handshake version 1", model.ProtocolQUIC, long(0xe0, 0, 0, 0, 1), false},
		{"QUIC Retry version 1", model.ProtocolQUIC, long(0xf0, 0, 0, 0, 1), false},
		{"QUIC Initial version 2", model.ProtocolQUIC, long(0xd0, 0x6b, 0x33, 0x43, 0xcf), true},
		{"QUIC Retry version 2", model.ProtocolQUIC, long(0xc0, 0x6b, 0x33, 0x43, 0xcf), false},
		{"QUIC Version Negotiation", model.ProtocolQUIC, long(0x80, 0, 0, 0, 0), false},
		{"QUIC of an unknown version", model.ProtocolQUIC, long(0xe0, 0xba, 0xba, 0xba, 0xba), true},
		{"QUIC short header", model.ProtocolQUIC, long(0x40, 0, 0, 0, 1), false},
		{"truncated QUIC header", model.ProtocolQUIC, []byte{0xc0, 0, 0}, false},
		{"QUIC empty", model.ProtocolQUIC, nil, false},
		{"plain UDP", model.ProtocolUDP, nil, true},
		{"no protocol", 0, []byte("x"), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := IsOpening(test.protocol, test.payload); got != test.want {
				t.Errorf("IsOpening = %v, want %v", got, test.want)
			}
		})
	}
}

package packet

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// encodedDatagrams returns valid datagrams by name: each kind of packet with IPv4 and IPv6, and
// forwarded packets with each protocol.
func encodedDatagrams(t testing.TB) map[string][]byte {
	t.Helper()
	datagrams := make(map[string][]byte)
	add := func(name string, packet Encapsulated) {
		data, err := Encode(packet)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		datagrams[name] = data
	}
	for version, flow := range map[string]model.FiveTuple{"IPv4": flowIPv4, "IPv6": flowIPv6} {
		quicInitial := append([]byte{0xc3, 0, 0, 0, 1, 8}, make([]byte, 40)...)
		add("forward QUIC Initial "+version, forwardPacket(BuildInnerUDP(flow, quicInitial)))
		add("forward QUIC short header "+version, forwardPacket(BuildInnerUDP(flow, []byte{0x43, 1, 2, 3})))
		add("forward empty UDP "+version, forwardPacket(BuildInnerUDP(flow, nil)))
		add("forward TCP SYN "+version, forwardPacket(buildInnerTCP(t, flow, layers.TCP{SYN: true}, nil)))
		add("forward TCP data "+version, forwardPacket(buildInnerTCP(t, flow, layers.TCP{ACK: true}, []byte("x"))))
		add("ingress "+version, Encapsulated{Kind: KindIngress, Inner: BuildInnerUDP(flow, []byte("x"))})
		add("return "+version, Encapsulated{Kind: KindReturn, Inner: BuildInnerUDP(flow, []byte("x"))})
		add("hint "+version, Encapsulated{Kind: KindHint, Owner: 3, Flow: flow})
	}
	return datagrams
}

// TestDatagramTruncatedAtEveryByte checks that every proper prefix of a valid datagram is rejected
// as truncated.
func TestDatagramTruncatedAtEveryByte(t *testing.T) {
	for name, data := range encodedDatagrams(t) {
		for length := range data {
			_, err := Decode(data[:length])
			if faults.CodeOf(err) != faults.PacketTruncated {
				t.Errorf("%s cut to %d of %d bytes: error %v", name, length, len(data), err)
			}
		}
	}
}

// TestDatagramWithEveryBitChanged inverts each bit of each datagram in turn. The datagram must be
// rejected with a code of packet errors, or decode to a packet that can be encoded again.
func TestDatagramWithEveryBitChanged(t *testing.T) {
	for name, data := range encodedDatagrams(t) {
		for bit := range 8 * len(data) {
			mutated := append([]byte(nil), data...)
			mutated[bit/8] ^= 1 << (bit % 8)
			decoded, err := Decode(mutated)
			if err == nil {
				_, err = Encode(decoded)
			}
			if code := faults.CodeOf(err); err != nil && (code < faults.PacketTruncated || code > faults.AddressFamiliesDiffer) {
				t.Errorf("%s with bit %d changed: error %v with code %d", name, bit, err, code)
			}
		}
	}
}

// withIPv6Extension returns an inner IPv6 packet with an extension header before its UDP header.
func withIPv6Extension(t testing.TB, extension layers.IPProtocol) []byte {
	t.Helper()
	inner := BuildInnerUDP(flowIPv6, []byte("payload"))
	header := []byte{inner[6], 0, 1, 4, 0, 0, 0, 0} // PadN
	inner[6] = uint8(extension)
	changed := append(append(append([]byte(nil), inner[:40]...), header...), inner[40:]...)
	binary.BigEndian.PutUint16(changed[4:], uint16(len(changed)-40))
	return changed
}

// withIPv4Options returns an inner IPv4 packet with an option in its header.
func withIPv4Options(t testing.TB) []byte {
	t.Helper()
	network := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolUDP,
		SrcIP: flowIPv4.Source.Addr().AsSlice(), DstIP: flowIPv4.Destination.Addr().AsSlice(),
		Options: []layers.IPv4Option{{OptionType: 148, OptionLength: 4, OptionData: []byte{0, 0}}},
	}
	transport := &layers.UDP{SrcPort: layers.UDPPort(flowIPv4.Source.Port()), DstPort: layers.UDPPort(flowIPv4.Destination.Port())}
	if err := transport.SetNetworkLayerForChecksum(network); err != nil {
		t.Fatal(err)
	}
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, serializeOptions, network, transport, gopacket.Payload("payload")); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// TestUnusualInnerPackets decodes inner packets other than plain datagrams and segments. A code of
// zero means that the packet must be accepted, with the flow of its addresses and ports.
func TestUnusualInnerPackets(t *testing.T) {
	jumbogram := BuildInnerUDP(flowIPv6, []byte("payload"))
	binary.BigEndian.PutUint16(jumbogram[4:], 0)
	largest := BuildInnerUDP(flowIPv4, make([]byte, MaximumPayload))
	noChecksum := BuildInnerUDP(flowIPv4, []byte("payload"))
	binary.BigEndian.PutUint16(noChecksum[26:], 0)
	sctp := BuildInnerUDP(flowIPv4, []byte("payload"))
	sctp[9] = uint8(layers.IPProtocolSCTP)
	icmp6 := BuildInnerUDP(flowIPv6, []byte("payload"))
	icmp6[6] = uint8(layers.IPProtocolICMPv6)
	cases := []struct {
		name  string
		inner []byte
		code  faults.Code
	}{
		{"IPv4 with options", withIPv4Options(t), 0},
		{"UDP without a checksum over IPv4", noChecksum, 0},
		{"empty UDP over IPv4", BuildInnerUDP(flowIPv4, nil), 0},
		{"empty UDP over IPv6", BuildInnerUDP(flowIPv6, nil), 0},
		{"largest UDP payload", largest, 0},
		{"IPv6 hop-by-hop options", withIPv6Extension(t, layers.IPProtocolIPv6HopByHop), faults.InnerTransportUnknown},
		{"IPv6 destination options", withIPv6Extension(t, layers.IPProtocolIPv6Destination), faults.InnerTransportUnknown},
		{"IPv6 routing header", withIPv6Extension(t, layers.IPProtocolIPv6Routing), faults.InnerTransportUnknown},
		{"IPv6 fragment header", withIPv6Extension(t, layers.IPProtocolIPv6Fragment), faults.InnerPacketFragmented},
		{"IPv6 jumbogram", jumbogram, faults.InnerHeaderMalformed},
		{"SCTP", sctp, faults.InnerTransportUnknown},
		{"ICMPv6", icmp6, faults.InnerTransportUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			data, err := Encode(Encapsulated{Kind: KindIngress, Inner: test.inner})
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(data)
			if faults.CodeOf(err) != test.code {
				t.Fatalf("error is %v with code %d, want code %d", err, faults.CodeOf(err), test.code)
			}
			want := flowIPv4
			if test.inner[0]>>4 == 6 {
				want = flowIPv6
			}
			if test.code == 0 && decoded.Flow != want {
				t.Errorf("flow is %v, want %v", decoded.Flow, want)
			}
		})
	}
}

// TestIPv4MappedAddressesAreADifferentFlow checks that IPv4-mapped IPv6 addresses are not converted
// to IPv4: the flow must differ from that of the IPv4 addresses.
func TestIPv4MappedAddressesAreADifferentFlow(t *testing.T) {
	mapped := model.FiveTuple{
		Protocol:    model.ProtocolUDP,
		Source:      netip.MustParseAddrPort("[::ffff:127.0.0.9]:40000"),
		Destination: netip.MustParseAddrPort("[::ffff:127.1.0.1]:443"),
	}
	data, err := Encode(Encapsulated{Kind: KindIngress, Inner: BuildInnerUDP(mapped, nil)})
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Flow != mapped || decoded.Flow == flowIPv4 {
		t.Errorf("flow is %v", decoded.Flow)
	}
}

package packet

import (
	"net"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// innerHopLimit is the hop limit (IPv6) or TTL (IPv4) of inner packets that InnerBuilder builds.
const innerHopLimit = 64

// Limits of the inner payload, in bytes.
const (
	// innerHeaderAllowance is the length of a Geneve header with the longest options, an IPv6 header
	// (40) and a UDP header (8).
	innerHeaderAllowance = geneveHeaderLength + maximumOptionBytes + 40 + 8
	// MaximumPayload is the maximum inner UDP payload that fits into one datagram with these
	// headers.
	MaximumPayload = MaximumDatagram - innerHeaderAllowance
)

// BuildInnerUDP returns an IP packet that contains a UDP datagram of flow, with correct lengths and
// checksums. It returns nil if the addresses of flow are unset or of different IP versions, or if
// payload is longer than MaximumPayload.
func BuildInnerUDP(flow model.FiveTuple, payload []byte) []byte {
	built, err := buildInner(flow, payload)
	if err != nil {
		return nil
	}
	return built
}

func buildInner(flow model.FiveTuple, payload []byte) ([]byte, error) {
	builder := NewInnerBuilder()
	built, err := builder.UDP(flow, payload)
	if err != nil {
		return nil, err
	}
	return append([]byte(nil), built...), nil
}

// InnerBuilder builds inner packets and reuses its memory between them. It is not safe for
// concurrent use.
type InnerBuilder struct {
	buffer gopacket.SerializeBuffer
	ipv4   layers.IPv4
	ipv6   layers.IPv6
	udp    layers.UDP
}

// NewInnerBuilder returns a builder with an empty buffer.
func NewInnerBuilder() *InnerBuilder {
	return &InnerBuilder{buffer: gopacket.NewSerializeBuffer()}
}

// UDP returns an IP packet that contains a UDP datagram of flow. The result is valid until the next
// call of a method of builder. The protocol of flow is ignored, because QUIC flows use UDP too.
func (builder *InnerBuilder) UDP(flow model.FiveTuple, payload []byte) ([]byte, error) {
	builder.udp.SrcPort = layers.UDPPort(flow.Source.Port())
	builder.udp.DstPort = layers.UDPPort(flow.Destination.Port())
	return builder.build(flow, layers.IPProtocolUDP, &builder.udp, payload)
}

// TCP returns an IP packet that contains a TCP segment of flow. It writes the ports of flow into
// header. The result is valid until the next call of a method of builder.
func (builder *InnerBuilder) TCP(flow model.FiveTuple, header *layers.TCP, payload []byte) ([]byte, error) {
	header.SrcPort = layers.TCPPort(flow.Source.Port())
	header.DstPort = layers.TCPPort(flow.Destination.Port())
	return builder.build(flow, layers.IPProtocolTCP, header, payload)
}

// transportLayer is a transport header that can be serialized with its checksum.
type transportLayer interface {
	gopacket.SerializableLayer
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

func (builder *InnerBuilder) build(
	flow model.FiveTuple, protocol layers.IPProtocol, transport transportLayer, payload []byte,
) ([]byte, error) {
	if len(payload) > MaximumPayload {
		return nil, faults.New(faults.PacketTooLarge, "payload of %d bytes exceeds %d", len(payload), MaximumPayload)
	}
	network, err := builder.network(flow, protocol)
	if err != nil {
		return nil, err
	}
	if err := transport.SetNetworkLayerForChecksum(network); err != nil {
		return nil, err
	}
	err = gopacket.SerializeLayers(builder.buffer, serializeOptions, network, transport, gopacket.Payload(payload))
	if err != nil {
		return nil, err
	}
	return builder.buffer.Bytes(), nil
}

// networkLayer is an IP header that can be serialized.
type networkLayer interface {
	gopacket.SerializableLayer
	gopacket.NetworkLayer
}

func (builder *InnerBuilder) network(flow model.FiveTuple, protocol layers.IPProtocol) (networkLayer, error) {
	source, destination := flow.Source.Addr(), flow.Destination.Addr()
	switch {
	case source.Is4() && destination.Is4():
		builder.ipv4 = layers.IPv4{
			Version: 4, TTL: innerHopLimit, Protocol: protocol, Flags: layers.IPv4DontFragment,
			SrcIP: net.IP(source.AsSlice()), DstIP: net.IP(destination.AsSlice()),
		}
		return &builder.ipv4, nil
	case source.Is6() && destination.Is6():
		builder.ipv6 = layers.IPv6{
			Version: 6, HopLimit: innerHopLimit, NextHeader: protocol,
			SrcIP: net.IP(source.AsSlice()), DstIP: net.IP(destination.AsSlice()),
		}
		return &builder.ipv6, nil
	default:
		return nil, faults.New(faults.AddressFamiliesDiffer, "addresses %s and %s of the flow are unset or of different IP versions", source, destination)
	}
}

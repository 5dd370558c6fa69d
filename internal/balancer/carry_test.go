package balancer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
)

// buildInnerTCP returns an IP packet with a TCP segment. The stand-in fabric sends UDP
// only, so tests of TCP build the packets themselves.
func buildInnerTCP(t *testing.T, flow model.FiveTuple, header layers.TCP, payload string) []byte {
	t.Helper()
	header.SrcPort = layers.TCPPort(flow.Source.Port())
	header.DstPort = layers.TCPPort(flow.Destination.Port())
	source, destination := net.IP(flow.Source.Addr().AsSlice()), net.IP(flow.Destination.Addr().AsSlice())
	var network interface {
		gopacket.NetworkLayer
		gopacket.SerializableLayer
	} = &layers.IPv6{Version: 6, HopLimit: 9, NextHeader: layers.IPProtocolTCP, SrcIP: source, DstIP: destination}
	if flow.Source.Addr().Is4() {
		network = &layers.IPv4{Version: 4, TTL: 9, TOS: 2, Protocol: layers.IPProtocolTCP, SrcIP: source, DstIP: destination}
	}
	require.NoError(t, header.SetNetworkLayerForChecksum(network))
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, network, &header, gopacket.Payload(payload)))
	return buffer.Bytes()
}

// The fabric's packets reach the agent in Geneve with their inner bytes unchanged, for
// each protocol and IP version.
func TestBalancerForwardsPacketsUnchanged(t *testing.T) {
	flow4 := model.FiveTuple{Source: caller, Destination: netip.MustParseAddrPort("127.1.0.9:443")}
	flow6 := model.FiveTuple{
		Source: netip.MustParseAddrPort("[2001:db8::9]:5000"), Destination: netip.MustParseAddrPort("[2001:db8::1]:443"),
	}
	syn := layers.TCP{SYN: true, Seq: 1, Window: 9, Options: []layers.TCPOption{{
		OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{5, 0xb4},
	}}}
	ack := layers.TCP{ACK: true, Seq: 2, Ack: 7, Window: 9}
	cases := []struct {
		name     string
		protocol model.Protocol
		flow     model.FiveTuple
		inner    []byte
		opening  bool
	}{
		{"TCP SYN over IPv4", model.ProtocolTCP, flow4, buildInnerTCP(t, flow4, syn, ""), true},
		{"TCP data over IPv4", model.ProtocolTCP, flow4, buildInnerTCP(t, flow4, ack, "receipt"), false},
		{"TCP SYN over IPv6", model.ProtocolTCP, flow6, buildInnerTCP(t, flow6, syn, ""), true},
		{"TCP data over IPv6", model.ProtocolTCP, flow6, buildInnerTCP(t, flow6, ack, "receipt"), false},
		{"QUIC Initial over IPv4", model.ProtocolQUIC, flow4, packet.BuildInnerUDP(flow4, quicInitial), true},
		{"QUIC short header over IPv6", model.ProtocolQUIC, flow6, packet.BuildInnerUDP(flow6, quicShort), false},
		{"plain UDP over IPv4", model.ProtocolUDP, flow4, packet.BuildInnerUDP(flow4, nil), true},
		{"plain UDP over IPv6", model.ProtocolUDP, flow6, packet.BuildInnerUDP(flow6, make([]byte, 9000)), true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			agent, sender := openSocket(t), openSocket(t)
			defer agent.Close()
			defer sender.Close()
			configuration := model.NewConfiguration()
			configuration.Revision = 5
			addService(configuration, 1, test.protocol, test.flow.Destination, 1)
			target := configuration.Targets[10]
			target.Agent = socketAddress(agent)
			configuration.Targets[10] = target
			balancer := startBalancer(t, configuration)

			data, err := packet.Encode(packet.Encapsulated{Kind: packet.KindIngress, Inner: test.inner})
			require.NoError(t, err)
			_, err = sender.WriteToUDPAddrPort(data, balancer.Address())
			require.NoError(t, err)
			require.NoError(t, agent.SetReadDeadline(time.Now().Add(conditionTimeout)))
			buffer := make([]byte, receiveBufferBytes)
			length, source, err := agent.ReadFromUDPAddrPort(buffer)
			require.NoError(t, err)
			require.Equal(t, balancer.Address(), source)
			received, err := packet.Decode(buffer[:length])
			require.NoError(t, err)
			require.Equal(t, test.inner, received.Inner)
			wantFlow := test.flow
			wantFlow.Protocol = test.protocol
			require.Equal(t, wantFlow, received.Flow)
			require.Equal(t, test.opening, received.Opening)
			require.Equal(t, packet.KindForward, received.Kind)
			require.Equal(t, []model.TargetID{10}, received.Chain)
			require.Equal(t, balancer.Address(), received.Balancer)
		})
	}
}

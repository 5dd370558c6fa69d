package packet

import (
	"encoding/binary"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// encodeLayers serializes header and inner without the checks of Encode, for packets that Encode
// rejects.
func encodeLayers(t *testing.T, header layers.Geneve, inner []byte) []byte {
	t.Helper()
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true}
	if err := gopacket.SerializeLayers(buffer, options, &header, gopacket.Payload(inner)); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// contextOption returns a context option with kind and zero in all other fields.
func contextOption(kind Kind) *layers.GeneveOption {
	data := make([]byte, contextLength)
	data[contextKind] = uint8(kind)
	return &layers.GeneveOption{Class: optionClass, Type: optionContext, Data: data}
}

// stageOption returns the context option of an ingress packet with stage.
func stageOption(stage uint8) *layers.GeneveOption {
	option := contextOption(KindIngress)
	option.Data[contextStage] = stage
	return option
}

// ingressWith returns an ingress packet with options after its context option.
func ingressWith(t *testing.T, options ...*layers.GeneveOption) []byte {
	t.Helper()
	all := append([]*layers.GeneveOption{contextOption(KindIngress)}, options...)
	return encodeLayers(t, layers.Geneve{Protocol: layers.EthernetTypeIPv4, Options: all}, BuildInnerUDP(flowIPv4, []byte("x")))
}

func TestDecodeErrors(t *testing.T) {
	inner := BuildInnerUDP(flowIPv4, []byte("payload"))
	inner6 := BuildInnerUDP(flowIPv6, []byte("payload"))
	valid := func() []byte {
		data, err := Encode(forwardPacket(inner))
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	changed := func(change func(data []byte) []byte) []byte { return change(valid()) }
	ingress := func(protocol layers.EthernetType, inner []byte) []byte {
		header := layers.Geneve{Protocol: protocol, Options: []*layers.GeneveOption{contextOption(KindIngress)}}
		return encodeLayers(t, header, inner)
	}
	changedInner := func(change func(inner []byte)) []byte {
		copied := append([]byte(nil), inner...)
		change(copied)
		return ingress(layers.EthernetTypeIPv4, copied)
	}
	option := func(kind uint8, length int) *layers.GeneveOption {
		return &layers.GeneveOption{Class: optionClass, Type: kind, Data: make([]byte, length)}
	}
	withoutContext := layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	cases := []struct {
		name string
		data []byte
		code faults.Code
	}{
		{"empty", nil, faults.PacketTruncated},
		{"shorter than the header", valid()[:7], faults.PacketTruncated},
		{"truncated in the options", valid()[:20], faults.PacketTruncated},
		{"truncated in the inner packet", valid()[:len(valid())-1], faults.PacketTruncated},
		{"no inner packet", ingress(layers.EthernetTypeIPv4, nil), faults.PacketTruncated},
		{"later version", changed(func(data []byte) []byte { data[0] |= 0x40; return data }), faults.PacketVersion},
		{"OAM packet", changed(func(data []byte) []byte { data[1] |= 0x80; return data }), faults.PacketVersion},
		{"longest options", append([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0}, make([]byte, 400)...), faults.PacketOptionMalformed},
		{"last option overruns the options", changed(func(data []byte) []byte { data[0]--; return data }), faults.PacketOptionMalformed},
		{"no context", encodeLayers(t, withoutContext, inner), faults.PacketOptionMissing},
		{"context twice", ingressWith(t, contextOption(KindIngress)), faults.PacketOptionRepeated},
		{"second context of wrong length", ingressWith(t, option(optionContext, 8)), faults.PacketOptionRepeated},
		{"kind zero", encodeLayers(t, layers.Geneve{Options: []*layers.GeneveOption{contextOption(0)}}, inner), faults.PacketKindUnknown},
		{"unknown stage", encodeLayers(t, layers.Geneve{Options: []*layers.GeneveOption{stageOption(4)}}, inner), faults.PacketOptionMalformed},
		{"unknown kind", encodeLayers(t, layers.Geneve{Options: []*layers.GeneveOption{contextOption(5)}}, inner), faults.PacketKindUnknown},
		{"forward without chain", encodeLayers(t, layers.Geneve{Options: []*layers.GeneveOption{contextOption(KindForward)}}, inner), faults.PacketChainMalformed},
		{"hint without owner", encodeLayers(t, layers.Geneve{Options: []*layers.GeneveOption{contextOption(KindHint)}}, inner), faults.PacketOptionMissing},
		{"chain of zero targets", ingressWith(t, option(optionChain, 0)), faults.PacketChainMalformed},
		{"chain with target zero", ingressWith(t, option(optionChain, 8)), faults.PacketChainMalformed},
		{"chain too long", ingressWith(t, option(optionChain, 4*(MaximumChain+1))), faults.PacketChainMalformed},
		{"balancer of wrong length", ingressWith(t, option(optionBalancer, 12)), faults.PacketOptionMalformed},
		{"balancer twice", ingressWith(t, option(optionBalancer, 8), option(optionBalancer, 8)), faults.PacketOptionRepeated},
		{"owner of wrong length", ingressWith(t, option(optionOwner, 8)), faults.PacketOptionMalformed},
		{"owner zero", ingressWith(t, option(optionOwner, 4)), faults.PacketOptionMalformed},
		{"unknown critical option", ingressWith(t, option(0xff, 4)), faults.PacketOptionUnknown},
		{"critical option of another class", ingressWith(t, &layers.GeneveOption{Class: 1, Type: 0x80, Data: make([]byte, 4)}), faults.PacketOptionUnknown},
		{"inner packet is Ethernet", ingress(layers.EthernetTypeTransparentEthernetBridging, inner), faults.InnerPacketNotIP},
		{"IPv6 declared as IPv4", ingress(layers.EthernetTypeIPv4, inner6), faults.InnerHeaderMalformed},
		{"IPv4 declared as IPv6", ingress(layers.EthernetTypeIPv6, append(append([]byte(nil), inner...), make([]byte, 20)...)), faults.InnerHeaderMalformed},
		{"IPv4 header too short", changedInner(func(inner []byte) { inner[0] = 0x44 }), faults.InnerHeaderMalformed},
		{"IPv4 length below the header", changedInner(func(inner []byte) { binary.BigEndian.PutUint16(inner[2:], 19) }), faults.InnerHeaderMalformed},
		{"IPv4 length beyond the packet", changedInner(func(inner []byte) { binary.BigEndian.PutUint16(inner[2:], 200) }), faults.PacketTruncated},
		{"IPv4 first fragment", changedInner(func(inner []byte) { inner[6] = 0x20 }), faults.InnerPacketFragmented},
		{"IPv4 later fragment", changedInner(func(inner []byte) { inner[7] = 1 }), faults.InnerPacketFragmented},
		{"ICMP", changedInner(func(inner []byte) { inner[9] = 1 }), faults.InnerTransportUnknown},
		{"UDP length below the header", changedInner(func(inner []byte) { binary.BigEndian.PutUint16(inner[24:], 7) }), faults.InnerHeaderMalformed},
		{"UDP length zero", changedInner(func(inner []byte) { binary.BigEndian.PutUint16(inner[24:], 0) }), faults.InnerHeaderMalformed},
		{"UDP length beyond the packet", changedInner(func(inner []byte) { binary.BigEndian.PutUint16(inner[24:], 99) }), faults.PacketTruncated},
		{"truncated TCP header", changedInner(func(inner []byte) { inner[9] = 6 }), faults.PacketTruncated},
		{"IPv6 fragment", ingress(layers.EthernetTypeIPv6, func() []byte {
			copied := append([]byte(nil), inner6...)
			copied[6] = uint8(layers.IPProtocolIPv6Fragment)
			return copied
		}()), faults.InnerPacketFragmented},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode(test.data)
			if faults.CodeOf(err) != test.code {
				t.Errorf("error is %v with code %d, want code %d", err, faults.CodeOf(err), test.code)
			}
		})
	}
}

func TestDecodeSkipsUnknownOptionsThatAreNotCritical(t *testing.T) {
	data := ingressWith(t,
		&layers.GeneveOption{Class: optionClass, Type: 0x7f, Data: make([]byte, 8)},
		&layers.GeneveOption{Class: 1, Type: 1, Data: make([]byte, 4)})
	decoded, err := Decode(data)
	if err != nil || decoded.Flow != flowIPv4 {
		t.Errorf("decoded %+v, error %v", decoded, err)
	}
}

func TestDecodeDropsBytesAfterTheInnerPacket(t *testing.T) {
	inner := BuildInnerUDP(flowIPv4, []byte("x"))
	data, err := Encode(Encapsulated{Kind: KindIngress, Inner: append(append([]byte(nil), inner...), 1, 2, 3)})
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil || len(decoded.Inner) != len(inner) || string(decoded.Payload) != "x" {
		t.Errorf("decoded %+v, error %v", decoded, err)
	}
}

// FuzzDecode checks that no input makes Decode panic, that errors have a code, and that a decoded
// packet has the same flow, kind and inner packet after it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, flow := range []model.FiveTuple{flowIPv4, flowIPv6} {
		for _, packet := range []Encapsulated{
			forwardPacket(BuildInnerUDP(flow, []byte("payload"))),
			forwardPacket(buildInnerTCP(f, flow, layers.TCP{SYN: true}, []byte("payload"))),
			{Kind: KindHint, Owner: 4, Service: 1, Flow: flow},
			{Kind: KindIngress, Inner: BuildInnerUDP(flow, nil)},
		} {
			data, err := Encode(packet)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
			f.Add(data[:len(data)-3])
		}
	}
	f.Add([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		if err != nil {
			if faults.CodeOf(err) == 0 {
				t.Fatalf("error without a code: %v", err)
			}
			return
		}
		again, err := Encode(decoded)
		if err != nil {
			t.Fatalf("decoded packet does not encode: %v", err)
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatalf("encoded packet does not decode: %v", err)
		}
		if second.Flow != decoded.Flow || second.Kind != decoded.Kind || string(second.Inner) != string(decoded.Inner) {
			t.Fatalf("packet changed from %+v to %+v", decoded, second)
		}
		IsOpening(model.ProtocolQUIC, decoded.Payload)
		IsOpening(decoded.Flow.Protocol, decoded.Payload)
	})
}

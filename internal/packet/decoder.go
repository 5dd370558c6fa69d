package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/model"
)

// Sizes of the Geneve header, in bytes.
const (
	geneveHeaderLength = 8
	// maximumOptionBytes is the maximum total length of a packet's options. The Geneve layer of
	// gopacket keeps option offsets in 8 bits, which would overflow with longer options.
	maximumOptionBytes = 240
)

// Decoder decodes packets into an Encapsulated of the caller. It reuses its layers, so that decoding
// the inner packet does not allocate. It is not safe for concurrent use.
type Decoder struct {
	geneve   layers.Geneve
	ipv4     layers.IPv4
	ipv6     layers.IPv6
	udp      layers.UDP
	tcp      layers.TCP
	feedback decodeFeedback
}

// decodeFeedback records whether a layer of gopacket found its data truncated.
type decodeFeedback struct{ truncated bool }

// SetTruncated implements gopacket.DecodeFeedback.
func (feedback *decodeFeedback) SetTruncated() { feedback.truncated = true }

// Decode returns the packet that data encodes. The result shares memory with data. Errors are those
// of Decoder.Decode.
func Decode(data []byte) (Encapsulated, error) {
	var decoder Decoder
	var packet Encapsulated
	if err := decoder.Decode(data, &packet); err != nil {
		return Encapsulated{}, err
	}
	return packet, nil
}

// Decode overwrites packet with the packet that data encodes and reuses the memory of packet.Chain.
// The result shares memory with data. After an error the content of packet is unspecified. Errors
// have a code from faults.PacketTruncated (5001) to faults.AddressFamiliesDiffer (5014).
func (decoder *Decoder) Decode(data []byte, packet *Encapsulated) error {
	*packet = Encapsulated{Chain: packet.Chain[:0]}
	decoder.feedback.truncated = false
	if err := decoder.decodeGeneve(data, packet); err != nil {
		return err
	}
	if err := checkKind(packet); err != nil {
		return err
	}
	return decoder.decodeInner(packet)
}

func (decoder *Decoder) decodeGeneve(data []byte, packet *Encapsulated) error {
	if len(data) < geneveHeaderLength {
		return errTruncated
	}
	if int(data[0]&0x3f)*4 > maximumOptionBytes {
		return errOption
	}
	if err := decoder.geneve.DecodeFromBytes(data, &decoder.feedback); err != nil {
		return errTruncated
	}
	if decoder.geneve.Version != 0 || decoder.geneve.OAMPacket {
		return errVersion
	}
	if decoder.optionBytes() != int(decoder.geneve.OptionsLength) {
		return errOption
	}
	for _, option := range decoder.geneve.Options {
		if err := readOption(option, packet); err != nil {
			return err
		}
	}
	packet.Inner = decoder.geneve.Payload
	return nil
}

// optionBytes returns the sum of the lengths that the options state. The last option of a malformed
// packet may state a length that exceeds the option length in the Geneve header.
func (decoder *Decoder) optionBytes() int {
	total := 0
	for _, option := range decoder.geneve.Options {
		total += int(option.Length)
	}
	return total
}

func (decoder *Decoder) decodeInner(packet *Encapsulated) error {
	switch decoder.geneve.Protocol {
	case layers.EthernetTypeIPv4:
		return decoder.decodeIPv4(packet)
	case layers.EthernetTypeIPv6:
		return decoder.decodeIPv6(packet)
	default:
		return errInnerProtocol
	}
}

func (decoder *Decoder) decodeIPv4(packet *Encapsulated) error {
	header := &decoder.ipv4
	if err := header.DecodeFromBytes(packet.Inner, &decoder.feedback); err != nil {
		return decoder.innerError()
	}
	if decoder.feedback.truncated {
		return errTruncated
	}
	if header.Version != 4 {
		return errInnerHeader
	}
	if header.FragOffset != 0 || header.Flags&layers.IPv4MoreFragments != 0 {
		return errInnerFragment
	}
	packet.Inner = packet.Inner[:len(header.Contents)+len(header.Payload)]
	return decoder.decodeTransport(packet, header.Protocol, header.SrcIP, header.DstIP, header.Payload)
}

func (decoder *Decoder) decodeIPv6(packet *Encapsulated) error {
	header := &decoder.ipv6
	if err := header.DecodeFromBytes(packet.Inner, &decoder.feedback); err != nil {
		return decoder.innerError()
	}
	if decoder.feedback.truncated {
		return errTruncated
	}
	if header.Version != 6 {
		return errInnerHeader
	}
	if header.NextHeader == layers.IPProtocolIPv6Fragment {
		return errInnerFragment
	}
	packet.Inner = packet.Inner[:len(header.Contents)+len(header.Payload)]
	return decoder.decodeTransport(packet, header.NextHeader, header.SrcIP, header.DstIP, header.Payload)
}

func (decoder *Decoder) decodeTransport(packet *Encapsulated, protocol layers.IPProtocol, source, destination, segment []byte) error {
	switch protocol {
	case layers.IPProtocolUDP:
		return decoder.decodeUDP(packet, source, destination, segment)
	case layers.IPProtocolTCP:
		return decoder.decodeTCP(packet, source, destination, segment)
	default:
		return errInnerTransport
	}
}

func (decoder *Decoder) decodeUDP(packet *Encapsulated, source, destination, segment []byte) error {
	header := &decoder.udp
	if err := header.DecodeFromBytes(segment, &decoder.feedback); err != nil {
		return decoder.innerError()
	}
	if decoder.feedback.truncated {
		return errTruncated
	}
	if header.Length == 0 {
		// gopacket accepts a length of zero as a jumbogram, which is larger than any packet here.
		return errInnerHeader
	}
	protocol, err := flowProtocol(packet.Flow.Protocol, model.ProtocolUDP)
	if err != nil {
		return err
	}
	packet.Flow = model.FiveTuple{
		Protocol:    protocol,
		Source:      addrPort(source, uint16(header.SrcPort)),
		Destination: addrPort(destination, uint16(header.DstPort)),
	}
	packet.Payload = header.Payload
	return nil
}

func (decoder *Decoder) decodeTCP(packet *Encapsulated, source, destination, segment []byte) error {
	header := &decoder.tcp
	if err := header.DecodeFromBytes(segment, &decoder.feedback); err != nil {
		return decoder.innerError()
	}
	if decoder.feedback.truncated {
		return errTruncated
	}
	protocol, err := flowProtocol(packet.Flow.Protocol, model.ProtocolTCP)
	if err != nil {
		return err
	}
	packet.Flow = model.FiveTuple{
		Protocol:    protocol,
		Source:      addrPort(source, uint16(header.SrcPort)),
		Destination: addrPort(destination, uint16(header.DstPort)),
	}
	packet.Payload = segment
	return nil
}

// innerError returns the error for an inner header that gopacket failed to decode.
func (decoder *Decoder) innerError() error {
	if decoder.feedback.truncated {
		return errTruncated
	}
	return errInnerHeader
}

func addrPort(address []byte, port uint16) netip.AddrPort {
	parsed, _ := netip.AddrFromSlice(address)
	return netip.AddrPortFrom(parsed, port)
}

package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/faults"
)

// MaximumDatagram is the largest UDP payload over IPv4, in bytes.
const MaximumDatagram = 65507

// serializeOptions makes gopacket fill in lengths and checksums.
var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// Encoder encodes packets and reuses its memory between them. It is not safe for concurrent use.
type Encoder struct {
	buffer  gopacket.SerializeBuffer
	geneve  layers.Geneve
	options [maximumOptions]layers.GeneveOption

	context  [contextLength]byte
	chain    [MaximumChain * targetLength]byte
	balancer [balancerLengthIPv6]byte
	owner    [targetLength]byte
}

// NewEncoder returns an encoder whose buffer has room for the longest header.
func NewEncoder() *Encoder {
	encoder := &Encoder{buffer: gopacket.NewSerializeBufferExpectedSize(geneveHeaderLength+maximumOptionBytes, 0)}
	encoder.geneve.Options = make([]*layers.GeneveOption, 0, maximumOptions)
	return encoder
}

// Encode returns the datagram that encodes packet. packet.Inner must be set, except in a hint:
// there an empty UDP packet of Flow is used when Inner is empty.
func Encode(packet Encapsulated) ([]byte, error) {
	return NewEncoder().Append(nil, &packet)
}

// Append appends the datagram that encodes packet to destination and returns the extended slice. It
// allocates only if destination has too little capacity, or for a hint without an inner packet.
func (encoder *Encoder) Append(destination []byte, packet *Encapsulated) ([]byte, error) {
	inner, err := innerPacket(packet)
	if err != nil {
		return destination, err
	}
	destination, err = encoder.appendHeader(destination, packet, inner)
	if err != nil {
		return destination, err
	}
	return append(destination, inner...), nil
}

// AppendHeader appends the part of the datagram before packet.Inner to destination and returns the
// extended slice. packet.Inner must be set. A sender can pass the header and the inner packet to the
// socket as two buffers, without copying the inner packet.
func (encoder *Encoder) AppendHeader(destination []byte, packet *Encapsulated) ([]byte, error) {
	if len(packet.Inner) == 0 {
		return destination, errTruncated
	}
	return encoder.appendHeader(destination, packet, packet.Inner)
}

func (encoder *Encoder) appendHeader(destination []byte, packet *Encapsulated, inner []byte) ([]byte, error) {
	if err := checkKind(packet); err != nil {
		return destination, err
	}
	if err := encoder.setLayer(packet, inner); err != nil {
		return destination, err
	}
	if err := encoder.buffer.Clear(); err != nil {
		return destination, err
	}
	if err := encoder.geneve.SerializeTo(encoder.buffer, serializeOptions); err != nil {
		return destination, err
	}
	header := encoder.buffer.Bytes()
	if len(header)+len(inner) > MaximumDatagram {
		return destination, faults.New(faults.PacketTooLarge, "packet of %d bytes exceeds %d", len(header)+len(inner), MaximumDatagram)
	}
	return append(destination, header...), nil
}

// innerPacket returns the inner packet to encode. For a hint without one it builds an empty UDP
// packet whose headers identify the flow.
func innerPacket(packet *Encapsulated) ([]byte, error) {
	if len(packet.Inner) > 0 {
		return packet.Inner, nil
	}
	if packet.Kind != KindHint {
		return nil, errTruncated
	}
	return buildInner(packet.Flow, nil)
}

// setLayer fills the Geneve layer with the protocol of inner and the options of packet.
func (encoder *Encoder) setLayer(packet *Encapsulated, inner []byte) error {
	switch inner[0] >> 4 {
	case 4:
		encoder.geneve.Protocol = layers.EthernetTypeIPv4
	case 6:
		encoder.geneve.Protocol = layers.EthernetTypeIPv6
	default:
		return errInnerProtocol
	}
	encoder.geneve.CriticalOption = true
	encoder.geneve.Options = encoder.geneve.Options[:0]
	encoder.addOption(optionContext, encoder.contextData(packet))
	if len(packet.Chain) > 0 {
		encoder.addOption(optionChain, encoder.chainData(packet))
	}
	if packet.Balancer.IsValid() {
		encoder.addOption(optionBalancer, encoder.balancerData(packet))
	}
	if packet.Owner != 0 {
		binary.BigEndian.PutUint32(encoder.owner[:], uint32(packet.Owner))
		encoder.addOption(optionOwner, encoder.owner[:])
	}
	return nil
}

func (encoder *Encoder) addOption(kind uint8, data []byte) {
	option := &encoder.options[len(encoder.geneve.Options)]
	*option = layers.GeneveOption{Class: optionClass, Type: kind, Data: data}
	encoder.geneve.Options = append(encoder.geneve.Options, option)
}

func (encoder *Encoder) contextData(packet *Encapsulated) []byte {
	data := encoder.context[:]
	data[contextKind] = uint8(packet.Kind)
	data[contextFlags] = 0
	if packet.Opening {
		data[contextFlags] = flagOpening
	}
	data[contextPosition] = packet.Position
	data[contextStage] = uint8(packet.Stage)
	data[contextPasses] = packet.Passes
	data[contextProtocol] = uint8(packet.Flow.Protocol)
	binary.BigEndian.PutUint32(data[contextService:], uint32(packet.Service))
	binary.BigEndian.PutUint64(data[contextRevision:], uint64(packet.Revision))
	binary.BigEndian.PutUint16(data[contextPasserLoad:], packet.PasserLoad)
	return data
}

func (encoder *Encoder) chainData(packet *Encapsulated) []byte {
	data := encoder.chain[:len(packet.Chain)*targetLength]
	for index, target := range packet.Chain {
		binary.BigEndian.PutUint32(data[index*targetLength:], uint32(target))
	}
	return data
}

func (encoder *Encoder) balancerData(packet *Encapsulated) []byte {
	data := encoder.balancer[:]
	binary.BigEndian.PutUint16(data[balancerPort:], packet.Balancer.Port())
	if packet.Balancer.Addr().Is4() {
		address := packet.Balancer.Addr().As4()
		copy(data[balancerAddress:], address[:])
		return data[:balancerLengthIPv4]
	}
	address := packet.Balancer.Addr().As16()
	copy(data[balancerAddress:], address[:])
	return data
}

package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// optionClass is the Geneve option class of this project. RFC 8926, section 6.2, reserves 0xFF00 to
// 0xFFFF for experimental use.
const optionClass uint16 = 0xFF4D

// criticalOption is the bit of an option's type with which a receiver that does not know the option
// must drop the packet instead of skipping the option (RFC 8926, section 3.5).
const criticalOption uint8 = 0x80

// Types of options within optionClass.
const (
	// optionContext holds the fixed-length fields, see contextKind.
	optionContext = criticalOption | 1
	// optionChain holds the target IDs of the chain, 4 bytes each.
	optionChain = criticalOption | 2
	// optionBalancer holds the balancer's address and port to which hints are sent.
	optionBalancer uint8 = 3
	// optionOwner holds the ID of the target that owns the flow.
	optionOwner = criticalOption | 4
)

// Offsets of the fields of the context option, and its length, in bytes.
const (
	contextKind       = 0
	contextFlags      = 1
	contextPosition   = 2
	contextStage      = 3
	contextService    = 4
	contextRevision   = 8
	contextPasserLoad = 16
	contextPasses     = 18
	contextProtocol   = 19
	contextLength     = 20
)

// flagOpening is the bit of the context option's flags that marks packets which may open a flow.
const flagOpening uint8 = 1

// Offsets of the fields of the balancer option, and its lengths, in bytes. The address has 4 or 16
// bytes.
const (
	balancerPort       = 0
	balancerAddress    = 4
	balancerLengthIPv4 = balancerAddress + 4
	balancerLengthIPv6 = balancerAddress + 16
)

// targetLength is the length of one target ID in an option, in bytes.
const targetLength = 4

// maximumOptions is the maximum number of options that Encoder writes into one packet.
const maximumOptions = 4

// Errors of decoding. They are allocated once, because malformed packets may arrive at line rate and
// must not cost an allocation each.
var (
	errTruncated      = faults.New(faults.PacketTruncated, "packet is shorter than its headers say")
	errVersion        = faults.New(faults.PacketVersion, "not a Geneve version 0 data packet")
	errOption         = faults.New(faults.PacketOptionMalformed, "Geneve option has a wrong length or value")
	errOptionRepeated = faults.New(faults.PacketOptionRepeated, "Geneve option occurs twice")
	errOptionUnknown  = faults.New(faults.PacketOptionUnknown, "unknown critical Geneve option")
	errOptionMissing  = faults.New(faults.PacketOptionMissing, "Geneve option that this kind of packet requires is missing")
	errKind           = faults.New(faults.PacketKindUnknown, "unknown kind of packet")
	errChain          = faults.New(faults.PacketChainMalformed, "chain is empty, too long, or shorter than its position")
	errInnerProtocol  = faults.New(faults.InnerPacketNotIP, "inner packet is neither IPv4 nor IPv6")
	errInnerHeader    = faults.New(faults.InnerHeaderMalformed, "inner header is inconsistent")
	errInnerFragment  = faults.New(faults.InnerPacketFragmented, "inner packet is a fragment")
	errInnerTransport = faults.New(faults.InnerTransportUnknown, "inner packet is neither UDP nor TCP")
)

// readOption decodes one option into packet. Options of other classes and unknown options of this
// class are skipped, unless they are critical: then an error is returned.
func readOption(option *layers.GeneveOption, packet *Encapsulated) error {
	if option.Class != optionClass {
		return skipOption(option.Type)
	}
	switch option.Type {
	case optionContext:
		return readContext(option.Data, packet)
	case optionChain:
		return readChain(option.Data, packet)
	case optionBalancer:
		return readBalancer(option.Data, packet)
	case optionOwner:
		return readOwner(option.Data, packet)
	default:
		return skipOption(option.Type)
	}
}

func skipOption(kind uint8) error {
	if kind&criticalOption != 0 {
		return errOptionUnknown
	}
	return nil
}

func readContext(data []byte, packet *Encapsulated) error {
	if packet.Kind != 0 {
		return errOptionRepeated
	}
	if len(data) != contextLength {
		return errOption
	}
	kind := Kind(data[contextKind])
	if kind < KindIngress || kind > KindReturn {
		return errKind
	}
	stage := model.Stage(data[contextStage])
	if stage > model.StageReturn {
		return errOption
	}
	packet.Kind = kind
	packet.Flow.Protocol = model.Protocol(data[contextProtocol])
	packet.Stage = stage
	packet.Passes = data[contextPasses]
	packet.Opening = data[contextFlags]&flagOpening != 0
	packet.Position = data[contextPosition]
	packet.Service = model.ServiceID(binary.BigEndian.Uint32(data[contextService:]))
	packet.Revision = model.Revision(binary.BigEndian.Uint64(data[contextRevision:]))
	packet.PasserLoad = binary.BigEndian.Uint16(data[contextPasserLoad:])
	return nil
}

// readChain appends the targets to packet.Chain, which Decoder.Decode has emptied before.
func readChain(data []byte, packet *Encapsulated) error {
	if len(packet.Chain) != 0 {
		return errOptionRepeated
	}
	count := len(data) / targetLength
	if count == 0 || count > MaximumChain {
		return errChain
	}
	for index := range count {
		target := model.TargetID(binary.BigEndian.Uint32(data[index*targetLength:]))
		if target == 0 {
			return errChain
		}
		packet.Chain = append(packet.Chain, target)
	}
	return nil
}

func readBalancer(data []byte, packet *Encapsulated) error {
	if packet.Balancer.IsValid() {
		return errOptionRepeated
	}
	if len(data) != balancerLengthIPv4 && len(data) != balancerLengthIPv6 {
		return errOption
	}
	address, _ := netip.AddrFromSlice(data[balancerAddress:])
	packet.Balancer = netip.AddrPortFrom(address, binary.BigEndian.Uint16(data[balancerPort:]))
	return nil
}

func readOwner(data []byte, packet *Encapsulated) error {
	if packet.Owner != 0 {
		return errOptionRepeated
	}
	if len(data) != targetLength {
		return errOption
	}
	packet.Owner = model.TargetID(binary.BigEndian.Uint32(data))
	if packet.Owner == 0 {
		return errOption
	}
	return nil
}

// flowProtocol returns the protocol of a flow. wire is the transport protocol of the inner packet.
// declared is the protocol in the context option, or zero if the sender did not set it; it may be
// ProtocolQUIC over UDP. A declared protocol that contradicts wire is an error.
func flowProtocol(declared, wire model.Protocol) (model.Protocol, error) {
	switch {
	case declared == 0, declared == wire:
		return wire, nil
	case declared == model.ProtocolQUIC && wire == model.ProtocolUDP:
		return declared, nil
	default:
		return 0, errOption
	}
}

// checkKind returns an error if the kind of packet is unknown or packet lacks an option that its
// kind requires.
func checkKind(packet *Encapsulated) error {
	switch packet.Kind {
	case KindIngress, KindReturn:
		return nil
	case KindForward:
		return checkForward(packet)
	case KindHint:
		if packet.Owner == 0 {
			return errOptionMissing
		}
		return nil
	case 0:
		return errOptionMissing
	default:
		return errKind
	}
}

func checkForward(packet *Encapsulated) error {
	if len(packet.Chain) == 0 || len(packet.Chain) > MaximumChain {
		return errChain
	}
	if int(packet.Position) >= len(packet.Chain) {
		return errChain
	}
	return nil
}

package packet

import (
	"encoding/binary"

	"merlinpaddle/internal/model"
)

// Lengths, offsets and flag bits of the TCP header (RFC 9293, section 3.1).
const (
	tcpHeaderLength = 20
	tcpFlagsOffset  = 13
	tcpFlagSYN      = 0x02
	tcpFlagACK      = 0x10
)

// Bits and versions of the QUIC long header (RFC 9000, section 17.2; RFC 9369, section 3.2).
const (
	// quicLongHeaderLength is the length of the shortest long header, in bytes: the first byte, the
	// version, and the lengths of two empty connection IDs.
	quicLongHeaderLength = 7
	quicLongHeader       = 0x80
	quicTypeMask         = 0x30
	quicInitialVersion1  = 0x00
	quicInitialVersion2  = 0x10
	quicVersion1         = 0x00000001
	quicVersion2         = 0x6b3343cf
	// quicVersionNone is the version field of Version Negotiation packets.
	quicVersionNone = 0
)

// IsOpening reports whether a caller's packet may open a flow: a TCP segment with SYN and without
// ACK, a QUIC Initial packet, a QUIC packet with a long header of an unknown version, or any plain
// UDP datagram. payload is the TCP segment with its header, or the UDP payload.
func IsOpening(protocol model.Protocol, payload []byte) bool {
	switch protocol {
	case model.ProtocolTCP:
		return isOpeningTCP(payload)
	case model.ProtocolQUIC:
		return isOpeningQUIC(payload)
	case model.ProtocolUDP:
		return true
	default:
		return false
	}
}

func isOpeningTCP(segment []byte) bool {
	if len(segment) < tcpHeaderLength {
		return false
	}
	return segment[tcpFlagsOffset]&(tcpFlagSYN|tcpFlagACK) == tcpFlagSYN
}

// isOpeningQUIC reports whether datagram is a QUIC Initial packet, or has a long header of an
// unknown version. The target responds to the latter with a Version Negotiation packet.
func isOpeningQUIC(datagram []byte) bool {
	if len(datagram) < quicLongHeaderLength || datagram[0]&quicLongHeader == 0 {
		return false
	}
	kind := datagram[0] & quicTypeMask
	switch binary.BigEndian.Uint32(datagram[1:5]) {
	case quicVersionNone:
		return false
	case quicVersion1:
		return kind == quicInitialVersion1
	case quicVersion2:
		return kind == quicInitialVersion2
	default:
		return true
	}
}

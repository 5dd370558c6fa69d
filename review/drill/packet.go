package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The head of a packet, from the users' PROTOCOL page.
const (
	headBytes   = 32
	offsetSeq   = 0
	offsetAck   = 4
	offsetLen   = 8
	offsetSum   = 10
	offsetFlags = 14
	offsetPad   = 15
	offsetEcho  = 16
	offsetDport = 20
	offsetSport = 22
	offsetDst   = 24
	offsetSrc   = 28

	flagSyn     = 1
	flagFin     = 2
	flagBounced = 4
	flagAck     = 16
	flagRst     = 32

	// targetNameBytes precede a packet that reaches a target.
	targetNameBytes = 8
)

// packet is a parsed packet.
type packet struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	echo     uint32
	sum      uint32
	data     []byte
	// sound means that the sum is that of the stand-ins.
	sound bool
}

// sumKey is the key of the sum, which only the stand-ins have.
const sumKey = 0x5D1A77C3

// sumOf returns the keyed sum over everything except echo, pad, BOUNCED and the sum itself.
func sumOf(content []byte) uint32 {
	copied := append([]byte(nil), content...)
	binary.BigEndian.PutUint32(copied[offsetEcho:], 0)
	binary.BigEndian.PutUint32(copied[offsetSum:], sumKey)
	copied[offsetPad] = 0
	copied[offsetFlags] &^= flagBounced
	return crc32.ChecksumIEEE(copied) | 1
}

// encode returns the packet's bytes.
func (packet *packet) encode() []byte {
	content := make([]byte, headBytes, headBytes+len(packet.data))
	binary.BigEndian.PutUint32(content[offsetSeq:], packet.seq)
	binary.BigEndian.PutUint32(content[offsetAck:], packet.ack)
	binary.BigEndian.PutUint16(content[offsetLen:], uint16(len(packet.data)))
	content[offsetFlags] = packet.flags
	binary.BigEndian.PutUint32(content[offsetEcho:], packet.echo)
	binary.BigEndian.PutUint16(content[offsetDport:], packet.to.Port())
	binary.BigEndian.PutUint16(content[offsetSport:], packet.from.Port())
	destination, source := packet.to.Addr().As4(), packet.from.Addr().As4()
	copy(content[offsetDst:], destination[:])
	copy(content[offsetSrc:], source[:])
	content = append(content, packet.data...)
	binary.BigEndian.PutUint32(content[offsetSum:], sumOf(content))
	return content
}

// decode parses a packet; it returns false for one that is too short or has a wrong length.
func decode(content []byte) (packet, bool) {
	if len(content) < headBytes || int(binary.BigEndian.Uint16(content[offsetLen:])) != len(content)-headBytes {
		return packet{}, false
	}
	sum := binary.BigEndian.Uint32(content[offsetSum:])
	return packet{
		from:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[offsetSrc:offsetSrc+4])), binary.BigEndian.Uint16(content[offsetSport:])),
		to:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[offsetDst:offsetDst+4])), binary.BigEndian.Uint16(content[offsetDport:])),
		flags: content[offsetFlags], seq: binary.BigEndian.Uint32(content[offsetSeq:]), ack: binary.BigEndian.Uint32(content[offsetAck:]),
		echo: binary.BigEndian.Uint32(content[offsetEcho:]), sum: sum,
		data: append([]byte(nil), content[headBytes:]...), sound: sum == sumOf(content),
	}, true
}

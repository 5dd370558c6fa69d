package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// The layout of a packet's head and its flags, from the section "Packets" of the protocol page.
const (
	headBytes      = 32
	targetIDBytes  = 8
	maxDataBytes   = 1200
	offsetSum      = 10
	offsetFlags    = 14
	offsetPad      = 15
	offsetEcho     = 16
	endOfEcho      = 20
	flagSYN        = 1
	flagFIN        = 2
	flagBounced    = 4
	flagACK        = 16
	flagRST        = 32
	sumKey         = "review"
	largestReceive = 4096
)

// packet is one packet of a flow.
type packet struct {
	seq, ack uint32
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	data     []byte
	// signed reports whether the sum is that of an end of the flow. The system does not know
	// the key, so that its own resets have the sum zero.
	signed bool
}

// has reports whether the flag is set.
func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the bytes of a packet that an end of the flow wrote.
func (p *packet) encode() []byte {
	content := make([]byte, headBytes+len(p.data))
	source, destination := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint32(content[0:], p.seq)
	binary.BigEndian.PutUint32(content[4:], p.ack)
	binary.BigEndian.PutUint16(content[8:], uint16(len(p.data)))
	content[offsetFlags] = p.flags
	binary.BigEndian.PutUint32(content[offsetEcho:], p.echo)
	binary.BigEndian.PutUint16(content[20:], p.dst.Port())
	binary.BigEndian.PutUint16(content[22:], p.src.Port())
	copy(content[24:], destination[:])
	copy(content[28:], source[:])
	copy(content[headBytes:], p.data)
	binary.BigEndian.PutUint32(content[offsetSum:], keyedSum(content))
	return content
}

// decode parses a packet. It reports false for bytes that are no packet.
func decode(content []byte) (packet, bool) {
	if len(content) < headBytes || int(binary.BigEndian.Uint16(content[8:])) != len(content)-headBytes {
		return packet{}, false
	}
	p := packet{
		seq:   binary.BigEndian.Uint32(content[0:]),
		ack:   binary.BigEndian.Uint32(content[4:]),
		flags: content[offsetFlags],
		echo:  binary.BigEndian.Uint32(content[offsetEcho:]),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[24:28])), binary.BigEndian.Uint16(content[20:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[28:32])), binary.BigEndian.Uint16(content[22:])),
		data:  append([]byte(nil), content[headBytes:]...),
	}
	p.signed = binary.BigEndian.Uint32(content[offsetSum:]) == keyedSum(content)
	return p, true
}

// keyedSum returns the sum of a packet, which covers everything but echo, pad, the flag BOUNCED and
// the sum itself.
func keyedSum(content []byte) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(sumKey))
	_, _ = sum.Write(content[:offsetSum])
	_, _ = sum.Write([]byte{content[offsetFlags] &^ flagBounced})
	_, _ = sum.Write(content[endOfEcho:])
	return sum.Sum32()
}

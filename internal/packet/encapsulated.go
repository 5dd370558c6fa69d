// Package packet encodes and decodes the Geneve packets (RFC 8926) that carry callers' packets
// between the fabric, balancers and agents. The inner packet keeps the caller's IP and transport
// headers.
package packet

import (
	"net/netip"

	"merlinpaddle/internal/model"
)

// Kind is the purpose of an encapsulated packet.
type Kind uint8

// The kinds of packets.
const (
	// KindIngress is a caller's packet from the fabric to a balancer.
	KindIngress Kind = iota + 1
	// KindForward is a caller's packet from a balancer or an agent to the next target of its chain.
	KindForward
	// KindHint informs a balancer which target owns a flow.
	KindHint
	// KindReturn is a response packet from an agent to the fabric.
	KindReturn
)

// MaximumChain is the maximum number of targets in a packet's chain: the head, the alternate and all
// earlier targets.
const MaximumChain = 2 + model.MaximumEarlierTargets

// Encapsulated is one decoded packet.
type Encapsulated struct {
	Kind     Kind
	Service  model.ServiceID
	Revision model.Revision
	// Opening reports whether the packet may open a flow.
	Opening bool
	// Chain lists the targets that may own the flow, in the order in which the packet visits them.
	// Position is the index of the target to which the packet is sent now.
	Chain    []model.TargetID
	Position uint8
	// Stage is the step that the decision about an opening packet has reached.
	Stage model.Stage
	// Passes is the number of times that agents forwarded the packet. It is zero in a packet from a
	// balancer.
	Passes uint8
	// Balancer is the address to which an agent sends a hint about the flow.
	Balancer netip.AddrPort
	// Owner is the target that owns the flow. It is set in hints only.
	Owner model.TargetID
	// PasserLoad is the load of a target that forwarded an opening packet, in thousandths of its
	// capacity. The receiver compares it with its own load to choose the less loaded of two targets.
	// Which target's load it is depends on Stage, see steering.Input. Zero means none.
	PasserLoad uint16
	// Flow is the flow of the inner packet. A balancer sets its protocol to that of the service, so
	// that all later receivers hash the flow alike. The fabric does not know services; in its
	// packets QUIC is ProtocolUDP. Encode uses only the protocol of Flow; the addresses come from
	// Inner.
	Flow model.FiveTuple
	// Inner is the inner IP packet, with its header.
	Inner []byte
	// Payload is the part of Inner after the UDP header, or the TCP segment with its header.
	Payload []byte
}

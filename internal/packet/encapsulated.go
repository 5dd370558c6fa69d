// Package packet encodes and decodes the Geneve (RFC 8926) packets that carry
// callers' packets between fabric, balancers and agents. The caller's own IP
// and transport headers stay inside.
package packet

import (
	"net/netip"

	"merlinpaddle/internal/model"
)

// Kind tells what an encapsulated packet is for.
type Kind uint8

// The kinds of packets.
const (
	// KindIngress is a caller's packet from the fabric to a balancer.
	KindIngress Kind = iota + 1
	// KindForward is a caller's packet on its way along a chain of targets.
	KindForward
	// KindHint tells a balancer which target owns a flow.
	KindHint
	// KindReturn is an answer from an agent to the fabric.
	KindReturn
)

// MaximumChain is the largest number of targets in a packet's chain: head,
// alternate and every earlier target.
const MaximumChain = 2 + model.MaximumEarlierTargets

// Encapsulated is one decoded packet.
type Encapsulated struct {
	Kind     Kind
	Service  model.ServiceID
	Revision model.Revision
	// Opening tells that the packet may open a flow.
	Opening bool
	// Chain lists the targets to try in order; Position is the present one.
	Chain    []model.TargetID
	Position uint8
	// Stage tells how far the decision about an opening packet has come.
	Stage model.Stage
	// Passes counts how often an agent passed the packet on; a packet from a
	// balancer has zero.
	Passes uint8
	// Balancer is where a hint for the flow goes.
	Balancer netip.AddrPort
	// Owner is the target that owns the flow, in hints.
	Owner model.TargetID
	// HeadLoad is the load of the target that passed an opening packet on, in
	// thousandths of its capacity, for the choice of the less busy of two.
	PasserLoad uint16
	// Flow is the flow of the inner packet. From the balancer on its protocol
	// is that of the service, so that every process hashes it alike; the
	// fabric knows no services, and QUIC in its packets is ProtocolUDP. Encode
	// takes only the protocol from here, the rest from Inner.
	Flow model.FiveTuple
	// Inner is the caller's packet with its IP header.
	Inner []byte
	// Payload is the part of Inner behind the UDP header, or the whole TCP
	// segment.
	Payload []byte
}

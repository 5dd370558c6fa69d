package dataplane

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/steering"
)

// Decider decides about one packet. *steering.Steering implements it.
type Decider interface {
	Decide(now time.Time, input steering.Input) steering.Decision
}

// Receiver gets the packets of the flows that the target owns.
type Receiver interface {
	// Deliver hands over a packet; payload is the part behind the UDP header,
	// or the TCP segment. The receiver copies what it keeps.
	Deliver(flow model.FiveTuple, payload []byte)
	// Reset ends a flow that no target owns, as promptly as the protocol
	// allows, by an answer to the packet.
	Reset(flow model.FiveTuple, payload []byte)
	// Expired tells that flows ended because they were idle.
	Expired(flows []model.FiveTuple)
}

// Options are what a Plane needs.
type Options struct {
	Target  model.TargetID
	Service model.ServiceID
	// Configurations gives the addresses of the other targets' agents.
	Configurations steering.Configurations
	Decider        Decider
	Owners         *flow.OwnedFlows
	Socket         *Socket
	// Fabric is where answers go.
	Fabric netip.AddrPort
}

// Plane carries the packets of one target.
type Plane struct {
	options  Options
	receiver atomic.Pointer[Receiver]
	counters Counters
	builders sync.Pool
}

// NewPlane returns a plane without a receiver; packets are dropped until
// SetReceiver is called.
func NewPlane(options Options) *Plane {
	return &Plane{
		options:  options,
		builders: sync.Pool{New: func() any { return packet.NewInnerBuilder() }},
	}
}

// SetReceiver sets who gets the target's packets.
func (plane *Plane) SetReceiver(receiver Receiver) { plane.receiver.Store(&receiver) }

// Counters returns the plane's counters.
func (plane *Plane) Counters() *Counters { return &plane.counters }

// Handle decides about one received packet. It may be called concurrently.
func (plane *Plane) Handle(received *packet.Encapsulated) {
	receiver := plane.receiver.Load()
	if received.Kind != packet.KindForward {
		plane.counters.drop(DropUnexpectedKind)
		return
	}
	if receiver == nil {
		plane.counters.drop(DropNoReceiver)
		return
	}
	decision := plane.options.Decider.Decide(time.Now(), steering.Input{
		Flow:       received.Flow,
		Service:    received.Service,
		Revision:   received.Revision,
		Opening:    received.Opening,
		Chain:      received.Chain,
		Position:   int(received.Position),
		PasserLoad: received.PasserLoad,
		Stage:      received.Stage,
		Passes:     received.Passes,
	})
	if decision.Opened {
		plane.counters.Opened.Add(1)
	}
	if decision.Hint {
		plane.sendHint(received, decision.Opened)
	}
	switch decision.Action {
	case steering.ActionDeliver:
		plane.counters.Delivered.Add(1)
		(*receiver).Deliver(received.Flow, received.Payload)
	case steering.ActionForward:
		plane.pass(received, decision)
	case steering.ActionReset:
		plane.counters.Reset.Add(1)
		(*receiver).Reset(received.Flow, received.Payload)
	default:
		plane.counters.drop(dropReasonOf(decision.Reason))
	}
}

// pass sends the packet to the next target of its chain.
func (plane *Plane) pass(received *packet.Encapsulated, decision steering.Decision) {
	next, known := plane.options.Configurations.Current().Targets[decision.Next]
	if !known || !next.Agent.IsValid() {
		// The chain comes from a newer revision than this agent has. The
		// caller's repeated packet finds the way later.
		plane.counters.drop(DropUnknownTarget)
		return
	}
	if next.Service != received.Service {
		plane.counters.drop(DropForeign)
		return
	}
	passed := *received
	passed.Chain = decision.Chain
	passed.Position = uint8(decision.Position)
	passed.Revision = decision.Revision
	passed.Stage = decision.Stage
	passed.Passes = decision.Passes
	passed.PasserLoad = decision.PasserLoad
	if err := plane.options.Socket.Send(next.Agent, &passed); err != nil {
		plane.counters.drop(DropSendFailed)
		return
	}
	plane.counters.Passed.Add(1)
}

// sendHint tells the balancer that this target owns the flow. The hint says
// whether it is about an opening packet. Every datagram of plain UDP looks like
// one, so there only the one that opened the flow counts.
func (plane *Plane) sendHint(received *packet.Encapsulated, isOpened bool) {
	if !received.Balancer.IsValid() {
		return
	}
	plane.counters.Hinted.Add(1)
	isOpeningSure := received.Opening && received.Flow.Protocol != model.ProtocolUDP
	// A lost hint costs a detour of the next packet, nothing else.
	_ = plane.options.Socket.Send(received.Balancer, &packet.Encapsulated{
		Kind:     packet.KindHint,
		Service:  received.Service,
		Revision: received.Revision,
		Opening:  isOpened || isOpeningSure,
		Owner:    plane.options.Target,
		Flow:     received.Flow,
	})
}

// Rejected counts a datagram that could not be decoded.
func (plane *Plane) Rejected(error) { plane.counters.Rejected.Add(1) }

// SendUDP sends a datagram of the service to a caller, through the fabric.
func (plane *Plane) SendUDP(protocol model.Protocol, service, caller netip.AddrPort, payload []byte) error {
	back := model.FiveTuple{Protocol: protocol, Source: service, Destination: unmapped(caller)}
	builder := plane.builders.Get().(*packet.InnerBuilder)
	defer plane.builders.Put(builder)
	inner, err := builder.UDP(back, payload)
	if err != nil {
		return err
	}
	return plane.sendInner(back, inner)
}

// sendTCP sends a segment of the service without payload to a caller, through
// the fabric.
func (plane *Plane) sendTCP(back model.FiveTuple, header *layers.TCP) error {
	builder := plane.builders.Get().(*packet.InnerBuilder)
	defer plane.builders.Put(builder)
	inner, err := builder.TCP(back, header, nil)
	if err != nil {
		return err
	}
	return plane.sendInner(back, inner)
}

func (plane *Plane) sendInner(back model.FiveTuple, inner []byte) error {
	return plane.options.Socket.Send(plane.options.Fabric, &packet.Encapsulated{
		Kind:    packet.KindReturn,
		Service: plane.options.Service,
		Flow:    back,
		Inner:   inner,
	})
}

// unmapped turns an IPv4 address in IPv6 form into IPv4; net.UDPAddr has both.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// bucketOf returns the bucket of a flow in the running configuration.
func (plane *Plane) bucketOf(flow model.FiveTuple) (model.BucketIndex, bool) {
	table := plane.options.Configurations.Current().Buckets[plane.options.Service]
	if table == nil || table.Count() == 0 {
		return 0, false
	}
	return routing.BucketOf(routing.FlowHash(flow), table.Count()), true
}

// Touch tells that an answer was sent in a flow, which keeps it open.
func (plane *Plane) Touch(now time.Time, flow model.FiveTuple) {
	if bucket, known := plane.bucketOf(flow); known {
		plane.options.Owners.Touch(now, bucket, flow)
	}
}

// CloseFlow ends a flow whose connection is over.
func (plane *Plane) CloseFlow(flow model.FiveTuple) {
	if bucket, known := plane.bucketOf(flow); known {
		plane.options.Owners.Close(bucket, flow)
	}
}

// Expire ends idle flows and tells the receiver.
func (plane *Plane) Expire(now time.Time) {
	expired := plane.options.Owners.Expire(now)
	if receiver := plane.receiver.Load(); receiver != nil && len(expired) > 0 {
		(*receiver).Expired(expired)
	}
}

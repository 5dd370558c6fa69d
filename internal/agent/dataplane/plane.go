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

// Decider decides what happens to one packet. *steering.Steering implements it.
type Decider interface {
	Decide(now time.Time, input steering.Input) steering.Decision
}

// Receiver handles the packets of the flows that the target owns.
type Receiver interface {
	// Deliver handles a packet of a flow that the target owns. payload is the part after the UDP
	// header, or the whole TCP segment. It is valid only until Deliver returns.
	Deliver(flow model.FiveTuple, payload []byte)
	// Reset answers a packet of a flow that no target owns with the reset of the protocol, if it
	// has one, so that the caller need not wait for a timeout.
	Reset(flow model.FiveTuple, payload []byte)
	// Expired is called with the flows that ended because they were idle.
	Expired(flows []model.FiveTuple)
}

// Options configures a Plane.
type Options struct {
	Target  model.TargetID
	Service model.ServiceID
	// Configurations returns the running configuration, which has the bucket table and the
	// addresses of the other targets' agents.
	Configurations steering.Configurations
	Decider        Decider
	OwnedFlows     *flow.OwnedFlows
	Socket         *Socket
	// Fabric is the address to which the answers to callers are sent.
	Fabric netip.AddrPort
}

// Plane handles the packets of one target.
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

// SetReceiver sets the receiver of the target's packets.
func (plane *Plane) SetReceiver(receiver Receiver) { plane.receiver.Store(&receiver) }

// Counters returns the plane's counters.
func (plane *Plane) Counters() *Counters { return &plane.counters }

// Handle asks the decider about one received packet and delivers, forwards, resets or drops it. It
// may be called concurrently, and does not keep received.
func (plane *Plane) Handle(received *packet.Encapsulated) {
	receiver := plane.receiver.Load()
	if received.Kind != packet.KindForward {
		plane.counters.countDrop(DropUnexpectedKind)
		return
	}
	if receiver == nil {
		plane.counters.countDrop(DropNoReceiver)
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
		plane.forward(received, decision)
	case steering.ActionReset:
		plane.counters.Reset.Add(1)
		(*receiver).Reset(received.Flow, received.Payload)
	default:
		plane.counters.countDrop(dropReasonOf(decision.Reason))
	}
}

// forward sends the packet to the target that the decision names.
func (plane *Plane) forward(received *packet.Encapsulated, decision steering.Decision) {
	next, known := plane.options.Configurations.Current().Targets[decision.Next]
	if !known || !next.Agent.IsValid() {
		// The chain comes from a newer revision than this agent has. The caller's retransmission
		// is forwarded once the agent has that revision.
		plane.counters.countDrop(DropUnknownTarget)
		return
	}
	if next.Service != received.Service {
		plane.counters.countDrop(DropForeign)
		return
	}
	forwarded := *received
	forwarded.Chain = decision.Chain
	forwarded.Position = uint8(decision.Position)
	forwarded.Revision = decision.Revision
	forwarded.Stage = decision.Stage
	forwarded.Passes = decision.Passes
	forwarded.PasserLoad = decision.PasserLoad
	if err := plane.options.Socket.Send(next.Agent, &forwarded); err != nil {
		plane.counters.countDrop(DropSendFailed)
		return
	}
	plane.counters.Forwarded.Add(1)
}

// sendHint notifies the balancer that this target owns the flow. The hint states whether the packet
// was an opening packet. Every datagram of plain UDP looks like one, so for plain UDP only the
// datagram that opened the flow counts.
func (plane *Plane) sendHint(received *packet.Encapsulated, opened bool) {
	if !received.Balancer.IsValid() {
		return
	}
	plane.counters.Hinted.Add(1)
	certainlyOpening := received.Opening && received.Flow.Protocol != model.ProtocolUDP
	// A lost hint only means that the next packet takes the same detour.
	_ = plane.options.Socket.Send(received.Balancer, &packet.Encapsulated{
		Kind:     packet.KindHint,
		Service:  received.Service,
		Revision: received.Revision,
		Opening:  opened || certainlyOpening,
		Owner:    plane.options.Target,
		Flow:     received.Flow,
	})
}

// Rejected counts a datagram that could not be decoded.
func (plane *Plane) Rejected(error) { plane.counters.Rejected.Add(1) }

// SendUDP sends a datagram from the service's address to a caller, through the fabric.
func (plane *Plane) SendUDP(protocol model.Protocol, service, caller netip.AddrPort, payload []byte) error {
	returnFlow := model.FiveTuple{Protocol: protocol, Source: service, Destination: unmapIPv4(caller)}
	builder := plane.builders.Get().(*packet.InnerBuilder)
	defer plane.builders.Put(builder)
	inner, err := builder.UDP(returnFlow, payload)
	if err != nil {
		return err
	}
	return plane.sendInner(returnFlow, inner)
}

// sendTCP sends a TCP segment without payload to a caller, through the fabric. returnFlow is the
// flow in the direction from the service to the caller.
func (plane *Plane) sendTCP(returnFlow model.FiveTuple, header *layers.TCP) error {
	builder := plane.builders.Get().(*packet.InnerBuilder)
	defer plane.builders.Put(builder)
	inner, err := builder.TCP(returnFlow, header, nil)
	if err != nil {
		return err
	}
	return plane.sendInner(returnFlow, inner)
}

// sendInner sends the IP packet inner of returnFlow to the fabric.
func (plane *Plane) sendInner(returnFlow model.FiveTuple, inner []byte) error {
	return plane.options.Socket.Send(plane.options.Fabric, &packet.Encapsulated{
		Kind:    packet.KindReturn,
		Service: plane.options.Service,
		Flow:    returnFlow,
		Inner:   inner,
	})
}

// unmapIPv4 turns an IPv4-mapped IPv6 address into an IPv4 address; net.UDPAddr may have either.
func unmapIPv4(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// bucketOf returns the bucket of a flow in the running configuration, and false if the service has
// no bucket table.
func (plane *Plane) bucketOf(flow model.FiveTuple) (model.BucketIndex, bool) {
	table := plane.options.Configurations.Current().Buckets[plane.options.Service]
	if table == nil || table.Count() == 0 {
		return 0, false
	}
	return routing.BucketOf(routing.FlowHash(flow), table.Count()), true
}

// Touch restarts the idle timeout of a flow, because the back end sent an answer in it.
func (plane *Plane) Touch(now time.Time, flow model.FiveTuple) {
	if bucket, known := plane.bucketOf(flow); known {
		plane.options.OwnedFlows.Touch(now, bucket, flow)
	}
}

// CloseFlow ends a flow whose last connection has ended.
func (plane *Plane) CloseFlow(flow model.FiveTuple) {
	if bucket, known := plane.bucketOf(flow); known {
		plane.options.OwnedFlows.Close(bucket, flow)
	}
}

// Expire ends idle flows and reports them to the receiver.
func (plane *Plane) Expire(now time.Time) {
	expired := plane.options.OwnedFlows.Expire(now)
	if receiver := plane.receiver.Load(); receiver != nil && len(expired) > 0 {
		(*receiver).Expired(expired)
	}
}

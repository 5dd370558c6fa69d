package fabric

import (
	"net"
	"net/netip"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
)

// ingress forwards the datagrams of one virtual address to balancers.
type ingress struct {
	fabric  *Fabric
	address netip.AddrPort
	socket  *net.UDPConn
	builder *packet.InnerBuilder
	encoder *packet.Encoder
	// output is the encapsulated packet; its memory is reused for each packet.
	output []byte
}

func newIngress(fabric *Fabric, address netip.AddrPort) *ingress {
	return &ingress{
		fabric:  fabric,
		address: address,
		socket:  fabric.virtualSockets[address],
		builder: packet.NewInnerBuilder(),
		encoder: packet.NewEncoder(),
		output:  make([]byte, 0, receiveBufferBytes),
	}
}

// run forwards datagrams until the socket is closed.
func (ingress *ingress) run() error {
	buffer := make([]byte, receiveBufferBytes)
	for {
		length, caller, err := ingress.socket.ReadFromUDPAddrPort(buffer)
		if isClosed(err) {
			return nil
		}
		if err != nil {
			continue
		}
		caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
		ingress.forward(caller, buffer[:length])
	}
}

// forward sends one datagram to a randomly chosen live balancer.
func (ingress *ingress) forward(caller netip.AddrPort, payload []byte) {
	fabric := ingress.fabric
	fabric.metrics.ingress.Inc()
	nextHops := fabric.machines.view().nextHops
	if len(nextHops) == 0 {
		fabric.metrics.drop(dropNoBalancer)
		return
	}
	chosen := nextHops[fabric.network.choose(len(nextHops))]
	if err := ingress.encapsulate(caller, payload); err != nil {
		fabric.metrics.drop(dropReasonOf(err))
		return
	}
	latency := fabric.network.latency(CallerZone, chosen.zone)
	fabric.transmit(chosen.zone, latency, fabric.geneve, chosen.address, ingress.output)
}

// encapsulate writes the packet into ingress.output.
func (ingress *ingress) encapsulate(caller netip.AddrPort, payload []byte) error {
	flow := model.FiveTuple{Protocol: model.ProtocolUDP, Source: caller, Destination: ingress.address}
	inner, err := ingress.builder.UDP(flow, payload)
	if err != nil {
		return err
	}
	wrapped := packet.Encapsulated{Kind: packet.KindIngress, Flow: flow, Inner: inner}
	ingress.output, err = ingress.encoder.Append(ingress.output[:0], &wrapped)
	return err
}

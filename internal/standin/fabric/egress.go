package fabric

import (
	"net/netip"

	"merlinpaddle/internal/packet"
)

// egress forwards answers from agents to callers.
type egress struct {
	fabric  *Fabric
	decoder packet.Decoder
	decoded packet.Encapsulated
}

func newEgress(fabric *Fabric) *egress { return &egress{fabric: fabric} }

// run forwards answers until the socket is closed.
func (egress *egress) run() error {
	buffer := make([]byte, receiveBufferBytes)
	for {
		length, agent, err := egress.fabric.geneve.ReadFromUDPAddrPort(buffer)
		if isClosed(err) {
			return nil
		}
		if err != nil {
			continue
		}
		egress.forward(agent.Addr().Unmap(), buffer[:length])
	}
}

// forward sends one answer to its caller from the virtual address that is the inner packet's source.
func (egress *egress) forward(agent netip.Addr, data []byte) {
	fabric := egress.fabric
	if err := egress.decoder.Decode(data, &egress.decoded); err != nil {
		fabric.metrics.drop(dropMalformed)
		return
	}
	if egress.decoded.Kind != packet.KindReturn {
		fabric.metrics.drop(dropUnexpectedKind)
		return
	}
	flow := egress.decoded.Flow
	socket, owned := fabric.virtualSockets[flow.Source]
	if !owned {
		fabric.metrics.drop(dropUnknownAddress)
		return
	}
	fabric.metrics.egress.Inc()
	zone := fabric.machines.view().zones[agent]
	latency := fabric.network.latency(zone, CallerZone)
	fabric.transmit(zone, latency, socket, flow.Destination, egress.decoded.Payload)
}

package dataplane

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/model"
)

// SegmentSink delivers a TCP segment to the target host's own TCP, for example
// through a tunnel interface. The project has none of its own: docs/design/packet-path.md
// says what an operator puts here.
type SegmentSink func(flow model.FiveTuple, segment []byte)

// SegmentReceiver receives the packets of a TCP service: it hands segments of owned
// flows to a sink and answers those of unknown flows with a reset. It
// implements Receiver.
type SegmentReceiver struct {
	plane *Plane
	sink  SegmentSink
}

// NewSegmentReceiver returns a receiver for plane. A nil sink discards segments.
func NewSegmentReceiver(plane *Plane, sink SegmentSink) *SegmentReceiver {
	if sink == nil {
		sink = func(model.FiveTuple, []byte) {}
	}
	return &SegmentReceiver{plane: plane, sink: sink}
}

// Deliver implements Receiver.
func (segments *SegmentReceiver) Deliver(flow model.FiveTuple, segment []byte) {
	segments.sink(flow, segment)
}

// Expired implements Receiver.
func (segments *SegmentReceiver) Expired([]model.FiveTuple) {}

// Reset implements Receiver: it answers with RST as RFC 9293 section 3.10.7.1
// says for a connection that does not exist.
func (segments *SegmentReceiver) Reset(flow model.FiveTuple, segment []byte) {
	var received layers.TCP
	if err := received.DecodeFromBytes(segment, gopacket.NilDecodeFeedback); err != nil || received.RST {
		return
	}
	back := model.FiveTuple{Protocol: flow.Protocol, Source: flow.Destination, Destination: flow.Source}
	// A lost reset is sent again for the caller's next segment.
	_ = segments.plane.sendTCP(back, resetOf(&received))
}

// resetOf returns the header of the reset that answers received, without its
// ports.
func resetOf(received *layers.TCP) *layers.TCP {
	if received.ACK {
		return &layers.TCP{RST: true, Seq: received.Ack}
	}
	return &layers.TCP{RST: true, ACK: true, Ack: received.Seq + segmentLength(received)}
}

// segmentLength is the sequence space that a segment takes.
func segmentLength(segment *layers.TCP) uint32 {
	length := uint32(len(segment.Payload))
	if segment.SYN {
		length++
	}
	if segment.FIN {
		length++
	}
	return length
}

package dataplane

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"merlinpaddle/internal/model"
)

// SegmentSink delivers a TCP segment to the TCP stack of the target's host, for example through a
// tunnel interface. The project contains no implementation; docs/design/packet-path.md describes
// what an operator has to provide.
type SegmentSink func(flow model.FiveTuple, segment []byte)

// SegmentReceiver handles the packets of a TCP service. It delivers the segments of owned flows to
// a sink, and answers those of unknown flows with a reset. It implements Receiver.
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

// Deliver implements Receiver. It calls the sink.
func (receiver *SegmentReceiver) Deliver(flow model.FiveTuple, segment []byte) {
	receiver.sink(flow, segment)
}

// Expired implements Receiver. It does nothing, because there is no state per flow.
func (receiver *SegmentReceiver) Expired([]model.FiveTuple) {}

// Reset implements Receiver. It answers with RST as RFC 9293 section 3.10.7.1 specifies for a
// connection that does not exist. A segment that is itself a reset, or is malformed, gets no
// answer.
func (receiver *SegmentReceiver) Reset(flow model.FiveTuple, segment []byte) {
	var received layers.TCP
	if err := received.DecodeFromBytes(segment, gopacket.NilDecodeFeedback); err != nil || received.RST {
		return
	}
	returnFlow := model.FiveTuple{Protocol: flow.Protocol, Source: flow.Destination, Destination: flow.Source}
	// If the reset is lost, the caller's next segment is answered with another one.
	_ = receiver.plane.sendTCP(returnFlow, resetFor(&received))
}

// resetFor returns the header of the reset that answers received, without ports.
func resetFor(received *layers.TCP) *layers.TCP {
	if received.ACK {
		return &layers.TCP{RST: true, Seq: received.Ack}
	}
	return &layers.TCP{RST: true, ACK: true, Ack: received.Seq + segmentLength(received)}
}

// segmentLength returns the number of sequence numbers that a segment occupies: its payload, SYN
// and FIN.
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

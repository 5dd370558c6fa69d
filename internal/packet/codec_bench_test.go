package packet

import (
	"bytes"
	"encoding/gob"
	"testing"

	"merlinpaddle/internal/model"
)

// benchmarkPayload has the size of a full QUIC packet, 1200 bytes.
var benchmarkPayload = bytes.Repeat([]byte{0x43}, 1200)

// gobPacket has the fields of a packet, for encoding it with gob instead of Geneve. gob writes the
// field names, so that renaming one changes the measured overhead.
type gobPacket struct {
	Kind     Kind
	Service  model.ServiceID
	Revision model.Revision
	Opening  bool
	Chain    []model.TargetID
	Position uint8
	Stage    model.Stage
	Passes   uint8
	Balancer []byte
	HeadLoad uint16
	Inner    []byte
}

func gobPacketOf(packet Encapsulated) gobPacket {
	balancer, _ := packet.Balancer.MarshalBinary()
	return gobPacket{
		Kind: packet.Kind, Service: packet.Service, Revision: packet.Revision, Opening: packet.Opening,
		Chain: packet.Chain, Position: packet.Position, Stage: packet.Stage, Passes: packet.Passes,
		Balancer: balancer, HeadLoad: packet.PasserLoad, Inner: packet.Inner,
	}
}

// BenchmarkCodec encodes and decodes a forwarded packet with Geneve and, for comparison, with gob.
// "gob_per_packet" uses one gob stream for each datagram, because datagrams may be lost.
// "gob_one_stream" uses one stream for all datagrams; that is not possible with datagrams, but it
// shows the cost of gob's type description. "overhead-B" is the number of bytes beyond the inner
// packet.
func BenchmarkCodec(b *testing.B) {
	packet := forwardPacket(BuildInnerUDP(flowIPv4, benchmarkPayload))
	b.Run("geneve", func(b *testing.B) { benchmarkGeneve(b, packet) })
	b.Run("gob_per_packet", func(b *testing.B) { benchmarkGobPerPacket(b, gobPacketOf(packet)) })
	b.Run("gob_one_stream", func(b *testing.B) { benchmarkGobStream(b, gobPacketOf(packet)) })
}

func benchmarkGeneve(b *testing.B, packet Encapsulated) {
	encoder, decoder := NewEncoder(), &Decoder{}
	var decoded Encapsulated
	var data []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if data, err = encoder.Append(data[:0], &packet); err != nil {
			b.Fatal(err)
		}
		if err := decoder.Decode(data, &decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)-len(packet.Inner)), "overhead-B")
}

func benchmarkGobPerPacket(b *testing.B, packet gobPacket) {
	var data bytes.Buffer
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		data.Reset()
		if err := gob.NewEncoder(&data).Encode(packet); err != nil {
			b.Fatal(err)
		}
		size = data.Len()
		var decoded gobPacket
		if err := gob.NewDecoder(&data).Decode(&decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size-len(packet.Inner)), "overhead-B")
}

func benchmarkGobStream(b *testing.B, packet gobPacket) {
	var data bytes.Buffer
	encoder, decoder := gob.NewEncoder(&data), gob.NewDecoder(&data)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		if err := encoder.Encode(packet); err != nil {
			b.Fatal(err)
		}
		size = data.Len()
		var decoded gobPacket
		if err := decoder.Decode(&decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size-len(packet.Inner)), "overhead-B")
}

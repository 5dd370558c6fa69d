// Package forwarder carries the packets of direct services: it reads them from
// callers, asks the table what to do, and sends them to targets or resets back.
// It keeps no state of flows.
//
// The form of packets is a Codec's; the forwarder knows none.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/egress"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/socketfault"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/faults"
)

// Codec reads and writes the packets of callers and targets.
type Codec interface {
	// Headroom is the number of bytes that Deliver puts before a packet.
	Headroom() int
	// Parse returns what a decision needs of packet.
	Parse(packet []byte) (steer.Segment, error)
	// Deliver turns buffer, whose packet begins after Headroom bytes, into the
	// datagram for the decision's target, in place.
	Deliver(buffer []byte, decision steer.Decision) []byte
	// Reset returns a packet that tells the sender of packet that its flow is
	// over, and where to send it.
	Reset(packet []byte, segment steer.Segment) ([]byte, netip.AddrPort)
}

const (
	// maximumDatagram is the largest datagram that is read, in bytes.
	maximumDatagram = 2048
	// socketBufferBytes is the size asked for the socket's buffers.
	socketBufferBytes = 1 << 20
)

// Observer is told of decisions; its methods must return at once.
type Observer interface {
	// Decided is told of every decision.
	Decided(segment steer.Segment, decision steer.Decision)
	// Malformed is told of a packet that could not be read.
	Malformed(err error)
}

// Requests is told of the packets that were sent on to targets; its methods must
// return at once.
type Requests interface {
	// Placed takes in that an opening packet was sent on to target.
	Placed(segment steer.Segment, target requests.Target, now time.Time)
	// Tried returns the targets that the last opening packets of the segment's
	// flow were sent on to, the latest first, as far as that is known, and whether
	// any packet of the flow was sent on.
	Tried(segment steer.Segment) (tried [steer.TrackedAttempts]directory.Token, seen bool)
	// Note takes in a packet that was sent on to the target of its flow.
	Note(segment steer.Segment, target requests.Target, now time.Time)
	// Waits takes in that the packet which was placed or noted at now waits in front of
	// the link, and Left that it left.
	Waits(segment steer.Segment, now time.Time)
	Left(segment steer.Segment, now time.Time)
}

// Admission decides whether the balancer's link has room for a new flow; it must
// return at once.
type Admission interface {
	// Review returns the decision about a packet, or in place of it a refusal.
	Review(segment steer.Segment, decision steer.Decision, now time.Time) steer.Decision
}

// Forwarder is the packet path of one balancer.
type Forwarder struct {
	socket    *net.UDPConn
	codec     Codec
	table     *steer.Table
	suspects  *Suspects
	observer  Observer
	requests  Requests
	admission Admission
	parking   *parking
	// changes has a notice since the table last changed, from the forwarder's making on, so
	// that no change is missed while its goroutines start.
	changes  <-chan struct{}
	egress   *egress.Egress
	failures *socketfault.Counter
}

// Options are what a forwarder works with.
type Options struct {
	// Address is where the socket is opened.
	Address string
	// Link is what the forwarder sends by.
	Link egress.Link
	// Failures counts what fails at the socket.
	Failures *socketfault.Counter
}

// New opens the socket.
func New(options Options, codec Codec, table *steer.Table, suspects *Suspects, requests Requests, admission Admission, observer Observer) (*Forwarder, error) {
	parsed, err := netip.ParseAddrPort(options.Address)
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "direct.packets: %v", err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "direct.packets: listen on %s: %v", options.Address, err)
	}
	// A smaller buffer than asked for loses packets earlier; nothing else.
	options.Failures.Note(socketfault.Buffer, socket.SetReadBuffer(socketBufferBytes))
	options.Failures.Note(socketfault.Buffer, socket.SetWriteBuffer(socketBufferBytes))
	forwarder := &Forwarder{socket: socket, codec: codec, table: table, suspects: suspects, requests: requests, admission: admission, observer: observer, parking: newParking(), changes: table.Watch(), failures: options.Failures}
	forwarder.egress = egress.New(options.Link, forwarder.write)
	forwarder.egress.Follow(Follow(requests))
	return forwarder, nil
}

// Address returns the socket's address.
func (forwarder *Forwarder) Address() netip.AddrPort {
	return forwarder.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counts returns what became of the datagrams that were sent.
func (forwarder *Forwarder) Counts() egress.Counts { return forwarder.egress.Counts() }

// Egress returns the queue in front of the link.
func (forwarder *Forwarder) Egress() *egress.Egress { return forwarder.egress }

// ObserveWaits makes observe be told how long each datagram waited for the link
// that did. It is set before the first packet.
func (forwarder *Forwarder) ObserveWaits(observe func(waited time.Duration)) {
	forwarder.egress.Observe(observe)
}

// Drain sends the datagrams that wait for the link, until ctx ends.
func (forwarder *Forwarder) Drain(ctx context.Context) error { return forwarder.egress.Run(ctx) }

// Run carries packets until ctx ends.
func (forwarder *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = forwarder.socket.Close() })
	defer stop()
	headroom := forwarder.codec.Headroom()
	buffer := make([]byte, headroom+maximumDatagram)
	for {
		size, _, err := forwarder.socket.ReadFromUDPAddrPort(buffer[headroom:])
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			forwarder.failures.Note(socketfault.Read, err)
			continue
		}
		forwarder.carry(buffer[:headroom+size], headroom, time.Now())
	}
}

// carry handles one packet, which begins after headroom bytes.
func (forwarder *Forwarder) carry(buffer []byte, headroom int, now time.Time) {
	segment, err := forwarder.codec.Parse(buffer[headroom:])
	if err != nil {
		forwarder.observer.Malformed(err)
		return
	}
	forwarder.decide(buffer, headroom, segment, now)
}

// decide does with a packet what the table says.
func (forwarder *Forwarder) decide(buffer []byte, headroom int, segment steer.Segment, now time.Time) {
	packet := buffer[headroom:]
	if segment.Opening && segment.Attempt > 0 {
		segment.Tried, segment.AlreadyForwarded = forwarder.requests.Tried(segment)
	}
	decision := forwarder.admission.Review(segment, forwarder.table.Decide(segment, now), now)
	if decision.Action == steer.Drop && worthParking(decision.Reason) {
		forwarder.parking.put(packet, segment, now)
	}
	forwarder.carryOut(buffer, headroom, segment, decision, now)
}

// carryOut does what was decided about a packet.
func (forwarder *Forwarder) carryOut(buffer []byte, headroom int, segment steer.Segment, decision steer.Decision, now time.Time) {
	forwarder.observer.Decided(segment, decision)
	if decision.Suspect != 0 {
		forwarder.suspects.Note(decision.Suspect)
	}
	switch decision.Action {
	case steer.Forward:
		forwarder.note(segment, decision, now)
		forwarder.forward(segment, forwarder.codec.Deliver(buffer, decision), decision.Target, now)
	case steer.Reset:
		reset, to := forwarder.codec.Reset(buffer[headroom:], segment)
		forwarder.answer(segment, reset, to, now)
	}
}

// note tells of a packet that goes to a target. It is told before the packet is sent, because
// the requests are told next if it has to wait for the link.
func (forwarder *Forwarder) note(segment steer.Segment, decision steer.Decision, now time.Time) {
	target := requests.Target{Token: decision.Token, ID: decision.ID, Service: decision.Service, Capacity: decision.Capacity}
	if segment.Opening {
		forwarder.requests.Placed(segment, target, now)
		return
	}
	forwarder.requests.Note(segment, target, now)
}

// release decides anew about parked packets after the table changed. A copy of
// an opening packet is treated as the first: its former copies were not placed
// either.
func (forwarder *Forwarder) release(now time.Time) {
	headroom := forwarder.codec.Headroom()
	for _, parked := range forwarder.parking.take(now) {
		parked.segment.Attempt = 0
		buffer := make([]byte, headroom+len(parked.packet))
		copy(buffer[headroom:], parked.packet)
		forwarder.decide(buffer, headroom, parked.segment, now)
	}
}

// Release decides anew about parked packets whenever the table changes, until
// ctx ends.
func (forwarder *Forwarder) Release(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-forwarder.changes:
			forwarder.release(time.Now())
		}
	}
}

// forward hands the segment's packet to the link on its way to a target.
func (forwarder *Forwarder) forward(segment steer.Segment, content []byte, to netip.AddrPort, now time.Time) {
	datagram := datagramOf(segment, content, to)
	datagram.Opening = segment.Opening
	datagram.Acknowledges = segment.IsPureAck()
	datagram.Acknowledgement = segment.Acknowledgement
	datagram.Followed = Followed(segment)
	forwarder.egress.Send(datagram, now)
}

// answer hands a packet to the link that answers the segment in its target's place.
func (forwarder *Forwarder) answer(segment steer.Segment, content []byte, to netip.AddrPort, now time.Time) {
	forwarder.egress.Send(datagramOf(segment, content, to), now)
}

func datagramOf(segment steer.Segment, content []byte, to netip.AddrPort) egress.Datagram {
	return egress.Datagram{
		Flow:     egress.Flow{Caller: segment.Caller, Service: segment.Service},
		To:       to,
		Sequence: segment.Sequence,
		HasData:  segment.HasData,
		Content:  content,
	}
}

// write writes one datagram. A lost one is sent again by its sender.
func (forwarder *Forwarder) write(content []byte, to netip.AddrPort) {
	_, err := forwarder.socket.WriteToUDPAddrPort(content, to)
	forwarder.failures.Note(socketfault.Write, err)
}

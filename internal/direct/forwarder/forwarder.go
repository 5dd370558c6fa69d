// Package forwarder is the packet path of direct services: it receives packets from callers, lets
// the table decide about each one, and forwards it to a target or sends a reset back. It keeps no
// per-flow state.
//
// The packet format is defined by a Codec; the forwarder does not depend on it.
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

// Codec parses and builds the packets of callers and targets.
type Codec interface {
	// Headroom returns the number of bytes that Deliver prepends to a packet.
	Headroom() int
	// Parse extracts from a packet what a decision depends on. It fails for malformed packets.
	Parse(packet []byte) (steer.Segment, error)
	// Deliver turns buffer, whose packet begins after Headroom bytes, into the datagram for the
	// decision's target, in place.
	Deliver(buffer []byte, decision steer.Decision) []byte
	// Reset returns a packet that ends the flow at the sender of packet, and the address to send it
	// to.
	Reset(packet []byte, segment steer.Segment) ([]byte, netip.AddrPort)
}

const (
	// maximumDatagram is the size of the largest datagram that is received, in bytes.
	maximumDatagram = 2048
	// socketBufferBytes is the size requested for each of the socket's buffers.
	socketBufferBytes = 1 << 20
)

// Observer is notified of decisions. Its methods must return at once.
type Observer interface {
	// Decided reports every decision.
	Decided(segment steer.Segment, decision steer.Decision)
	// Malformed reports a packet that could not be parsed.
	Malformed(err error)
}

// RequestWatcher is notified of the packets that are forwarded to targets. Its methods must return
// at once.
type RequestWatcher interface {
	// OpeningForwarded records that an opening packet was forwarded to target.
	OpeningForwarded(segment steer.Segment, target requests.Target, now time.Time)
	// PreviousTargets returns the targets that the last opening packets of the segment's flow were
	// forwarded to, the latest first, as far as they are known. seen reports whether a request of
	// the flow is open.
	PreviousTargets(segment steer.Segment) (targets [steer.TrackedAttempts]directory.Token, seen bool)
	// PacketForwarded records that a packet was forwarded to the target of its flow.
	PacketForwarded(segment steer.Segment, target requests.Target, now time.Time)
	// Queued records that the packet which was forwarded at now waits in the queue for the link.
	Queued(segment steer.Segment, now time.Time)
	// Dequeued records that a packet which waited in the queue was sent at now.
	Dequeued(segment steer.Segment, now time.Time)
}

// Admission refuses new flows that the balancer's link has no room for. Its method must return at once.
type Admission interface {
	// Review returns the given decision about a packet, or a refusal in its place.
	Review(segment steer.Segment, decision steer.Decision, now time.Time) steer.Decision
}

// Forwarder forwards the packets of one balancer.
type Forwarder struct {
	socket    *net.UDPConn
	codec     Codec
	table     *steer.Table
	suspects  *Suspects
	observer  Observer
	requests  RequestWatcher
	admission Admission
	parking   *parking
	// tableChanges receives a notice when the table changes, and confirmations when it is
	// confirmed. They are subscribed when the forwarder is created, so that nothing is missed before
	// RunParking starts.
	tableChanges  <-chan struct{}
	confirmations <-chan struct{}
	egress        *egress.Egress
	failures      *socketfault.Counter
}

// Options configure a forwarder.
type Options struct {
	// Address is the address and port that the socket is bound to.
	Address string
	// Link describes the link that the forwarder sends over.
	Link egress.Link
	// Failures counts failed socket operations.
	Failures *socketfault.Counter
}

// New returns a forwarder whose socket is open. It fails when options.Address is not an address and
// port, or cannot be bound. The caller runs Run, RunEgress and RunParking.
func New(options Options, codec Codec, table *steer.Table, suspects *Suspects, requests RequestWatcher, admission Admission, observer Observer) (*Forwarder, error) {
	parsed, err := netip.ParseAddrPort(options.Address)
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "direct.packets: %v", err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "direct.packets: listen on %s: %v", options.Address, err)
	}
	// If the kernel grants less than was requested, packets of bursts are lost earlier; nothing else
	// depends on the buffer sizes.
	options.Failures.Note(socketfault.Buffer, socket.SetReadBuffer(socketBufferBytes))
	options.Failures.Note(socketfault.Buffer, socket.SetWriteBuffer(socketBufferBytes))
	forwarder := &Forwarder{socket: socket, codec: codec, table: table, suspects: suspects, requests: requests, admission: admission, observer: observer, parking: newParking(), tableChanges: table.Watch(), confirmations: table.WatchConfirmations(), failures: options.Failures}
	forwarder.egress = egress.New(options.Link, forwarder.write)
	forwarder.egress.ObserveQueue(NewQueueObserver(requests))
	return forwarder, nil
}

// Address returns the socket's local address.
func (forwarder *Forwarder) Address() netip.AddrPort {
	return forwarder.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counts returns the counters of the queue for the link.
func (forwarder *Forwarder) Counts() egress.Counts { return forwarder.egress.Counts() }

// Egress returns the queue for the link.
func (forwarder *Forwarder) Egress() *egress.Egress { return forwarder.egress }

// ObserveWaits sets a function that is called with the time that each queued datagram waited for the
// link. It must be called before the first packet.
func (forwarder *Forwarder) ObserveWaits(observe func(waited time.Duration)) {
	forwarder.egress.ObserveWaits(observe)
}

// RunEgress sends the datagrams that wait in the queue for the link, until ctx ends.
func (forwarder *Forwarder) RunEgress(ctx context.Context) error { return forwarder.egress.Run(ctx) }

// Run receives and forwards packets until ctx ends.
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
		forwarder.handle(buffer[:headroom+size], headroom, time.Now())
	}
}

// handle parses and processes one packet, which begins after headroom bytes of buffer.
func (forwarder *Forwarder) handle(buffer []byte, headroom int, now time.Time) {
	segment, err := forwarder.codec.Parse(buffer[headroom:])
	if err != nil {
		forwarder.observer.Malformed(err)
		return
	}
	forwarder.process(buffer, headroom, segment, now)
}

// process decides about a packet by the table and the admission, parks it if a changed table may
// find a target for it, and executes the decision.
func (forwarder *Forwarder) process(buffer []byte, headroom int, segment steer.Segment, now time.Time) {
	packet := buffer[headroom:]
	if segment.Opening && segment.Attempt > 0 {
		segment.Tried, segment.AlreadyForwarded = forwarder.requests.PreviousTargets(segment)
	}
	decision := forwarder.admission.Review(segment, forwarder.table.Decide(segment, now), now)
	if decision.Action == steer.Drop && shouldPark(decision.Reason) {
		forwarder.parking.put(packet, segment, decision.Reason, now)
	}
	forwarder.execute(buffer, headroom, segment, decision, now)
}

// execute carries out the decision about a packet.
func (forwarder *Forwarder) execute(buffer []byte, headroom int, segment steer.Segment, decision steer.Decision, now time.Time) {
	forwarder.observer.Decided(segment, decision)
	if decision.Suspect != 0 {
		forwarder.suspects.Note(decision.Suspect)
	}
	switch decision.Action {
	case steer.Forward:
		forwarder.notifyRequests(segment, decision, now)
		forwarder.sendToTarget(segment, forwarder.codec.Deliver(buffer, decision), decision.Target, now)
	case steer.Reset:
		reset, to := forwarder.codec.Reset(buffer[headroom:], segment)
		forwarder.sendReset(segment, reset, to, now)
	}
}

// notifyRequests notifies the request watcher of a packet for a target. It is called before the
// packet is sent, because the watcher is notified next if the packet has to wait for the link.
func (forwarder *Forwarder) notifyRequests(segment steer.Segment, decision steer.Decision, now time.Time) {
	target := requests.Target{Token: decision.Token, ID: decision.ID, Service: decision.Service, Capacity: decision.Capacity}
	if segment.Opening {
		forwarder.requests.OpeningForwarded(segment, target, now)
		return
	}
	forwarder.requests.PacketForwarded(segment, target, now)
}

// retryParked processes parked packets again after the table changed. A copy of an opening packet is
// treated as the first one, because the earlier copies were not forwarded either.
func (forwarder *Forwarder) retryParked(now time.Time) {
	headroom := forwarder.codec.Headroom()
	for _, parked := range forwarder.parking.take(now) {
		parked.segment.Attempt = 0
		buffer := make([]byte, headroom+len(parked.packet))
		copy(buffer[headroom:], parked.packet)
		forwarder.process(buffer, headroom, parked.segment, now)
	}
}

// RunParking processes parked packets again whenever the table changes, and those that wait for a
// confirmation of the table whenever there is one, until ctx ends.
func (forwarder *Forwarder) RunParking(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-forwarder.tableChanges:
			forwarder.retryParked(time.Now())
		case <-forwarder.confirmations:
			if forwarder.parking.hasUnconfirmed() {
				forwarder.retryParked(time.Now())
			}
		}
	}
}

// sendToTarget sends the segment's datagram to a target, through the queue for the link.
func (forwarder *Forwarder) sendToTarget(segment steer.Segment, content []byte, to netip.AddrPort, now time.Time) {
	datagram := datagramOf(segment, content, to)
	datagram.Opening = segment.Opening
	datagram.PureAcknowledgement = segment.IsPureAck()
	datagram.Acknowledgement = segment.Acknowledgement
	datagram.Tracked = NeedsTracking(segment)
	forwarder.egress.Send(datagram, now)
}

// sendReset sends a reset to the sender of the segment, through the queue for the link.
func (forwarder *Forwarder) sendReset(segment steer.Segment, content []byte, to netip.AddrPort, now time.Time) {
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

// write sends one datagram. A lost one is retransmitted by its sender.
func (forwarder *Forwarder) write(content []byte, to netip.AddrPort) {
	_, err := forwarder.socket.WriteToUDPAddrPort(content, to)
	forwarder.failures.Note(socketfault.Write, err)
}

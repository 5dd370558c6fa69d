package directworld

import (
	"encoding/binary"
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/egress"
	"merlinpaddle/internal/direct/forwarder"
	"merlinpaddle/internal/direct/steer"
)

const (
	// headBytes is the size of a packet without data.
	headBytes = 32
	// linkQueueTime bounds what waits in front of a link towards a balancer: more
	// is lost.
	linkQueueTime = 60 * time.Millisecond
	// datagramOverhead is the size of the IP and UDP heads, in bytes.
	datagramOverhead = 28
	// identityBytes is the size of the number that a datagram carries in place of
	// its content.
	identityBytes = 8
)

// link is a balancer's narrow link, in worlds whose processes all have the world's clock. What comes waits in front of it, first come,
// first served; what leaves goes through the product's own queue.
type link struct {
	world          *World
	bytesPerSecond float64
	egress         *egress.Egress
	// clearAt is when the link towards the balancer has carried all that came.
	clearAt time.Time
	// leaving has what becomes of the datagrams that wait to leave.
	leaving map[uint64]func()
	next    uint64
	// flushing tells that a flush is planned.
	flushing bool
}

func newLink(world *World, balancer *balancer) *link {
	created := &link{world: world, bytesPerSecond: world.options.LinkRate, leaving: make(map[uint64]func())}
	created.egress = egress.New(egress.Link{BytesPerSecond: world.options.LinkShare * world.options.LinkRate, DatagramOverhead: datagramOverhead}, created.write)
	created.egress.ObserveQueue(forwarder.NewQueueObserver(balancer.watcher))
	return created
}

// arrive brings a packet to the balancer, unless too much waits in front of the
// link.
func (link *link) arrive(packet packet, deliver func()) {
	now := link.world.Now()
	if link.clearAt.Before(now) {
		link.clearAt = now
	}
	if link.clearAt.Sub(now) > linkQueueTime {
		return
	}
	seconds := float64(packet.size()) / link.bytesPerSecond
	link.clearAt = link.clearAt.Add(time.Duration(seconds * float64(time.Second)))
	link.world.after(link.clearAt.Sub(now), deliver)
}

// leave hands a packet to the balancer's queue.
func (link *link) leave(packet packet, to netip.AddrPort, deliver func()) {
	link.next++
	link.leaving[link.next] = deliver
	segment := packet.segment()
	content := make([]byte, max(packet.size(), identityBytes))
	binary.BigEndian.PutUint64(content, link.next)
	link.egress.Send(egress.Datagram{
		Flow: egress.Flow{Caller: segment.Caller, Service: segment.Service}, To: to,
		Sequence: segment.Sequence, HasData: segment.HasData, Opening: segment.Opening,
		Content: content, Tracked: forwarder.NeedsTracking(segment),
	}, link.world.Now())
	if !link.flushing {
		link.flush()
	}
}

// flush sends what the link has room for, and again when it has more.
func (link *link) flush() {
	wait := link.egress.Flush(link.world.Now())
	link.flushing = wait > 0
	if link.flushing {
		link.world.after(wait, link.flush)
	}
}

func (link *link) write(content []byte, _ netip.AddrPort) {
	number := binary.BigEndian.Uint64(content)
	deliver := link.leaving[number]
	delete(link.leaving, number)
	deliver()
}

// size returns the packet's size on the link in bytes.
func (packet packet) size() int { return headBytes + int(packet.segment().Length) }

// throughLink carries the packet to the balancer over its link, if that is narrow.
func (balancer *balancer) throughLink(packet packet) {
	if balancer.link == nil {
		balancer.carry(packet)
		return
	}
	balancer.link.arrive(packet, func() { balancer.carry(packet) })
}

// forward sends the packet on to its target.
func (balancer *balancer) forward(packet packet, decision steer.Decision) {
	if balancer.link == nil {
		balancer.world.deliver(balancer, packet, decision)
		return
	}
	balancer.link.leave(packet, decision.Target, func() { balancer.world.deliver(balancer, packet, decision) })
}

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
	headerBytes = 32
	// linkQueueTime bounds what waits in front of a link towards a balancer: more
	// is lost.
	maxLinkQueueTime = 60 * time.Millisecond
	// datagramOverhead is the size of the IP and UDP heads, in bytes.
	datagramOverhead = 28
	// identityBytes is the size of the number that a datagram carries in place of
	// its content.
	datagramIDBytes = 8
)

// link is a balancer's narrow link, in worlds whose processes all have the world's clock. What comes waits in front of it, first come,
// first served; what leaves goes through the product's own queue.
type link struct {
	world          *World
	bytesPerSecond float64
	egress         *egress.Egress
	// clearAt is when the link towards the balancer has carried all that came.
	idleAt time.Time
	// leaving has what becomes of the datagrams that wait to leave.
	queued map[uint64]func()
	lastID uint64
	// flushing tells that a flush is planned.
	flushScheduled bool
}

func newLink(world *World, balancer *balancer) *link {
	created := &link{world: world, bytesPerSecond: world.options.LinkRate, queued: make(map[uint64]func())}
	created.egress = egress.New(egress.Link{BytesPerSecond: world.options.LinkShare * world.options.LinkRate, DatagramOverhead: datagramOverhead}, created.write)
	created.egress.ObserveQueue(forwarder.NewQueueObserver(balancer.watcher))
	return created
}

// arrive brings a packet to the balancer, unless too much waits in front of the
// link.
func (link *link) receive(packet packet, deliver func()) {
	now := link.world.Now()
	if link.idleAt.Before(now) {
		link.idleAt = now
	}
	if link.idleAt.Sub(now) > maxLinkQueueTime {
		return
	}
	seconds := float64(packet.size()) / link.bytesPerSecond
	link.idleAt = link.idleAt.Add(time.Duration(seconds * float64(time.Second)))
	link.world.after(link.idleAt.Sub(now), deliver)
}

// leave hands a packet to the balancer's queue.
func (link *link) enqueue(packet packet, to netip.AddrPort, deliver func()) {
	link.lastID++
	link.queued[link.lastID] = deliver
	segment := packet.segment()
	content := make([]byte, max(packet.size(), datagramIDBytes))
	binary.BigEndian.PutUint64(content, link.lastID)
	link.egress.Send(egress.Datagram{
		Flow: egress.Flow{Caller: segment.Caller, Service: segment.Service}, To: to,
		Sequence: segment.Sequence, HasData: segment.HasData, Opening: segment.Opening,
		Content: content, Tracked: forwarder.NeedsTracking(segment),
	}, link.world.Now())
	if !link.flushScheduled {
		link.flush()
	}
}

// flush sends what the link has room for, and again when it has more.
func (link *link) flush() {
	wait := link.egress.Flush(link.world.Now())
	link.flushScheduled = wait > 0
	if link.flushScheduled {
		link.world.after(wait, link.flush)
	}
}

func (link *link) write(content []byte, _ netip.AddrPort) {
	number := binary.BigEndian.Uint64(content)
	deliver := link.queued[number]
	delete(link.queued, number)
	deliver()
}

// size returns the packet's size on the link in bytes.
func (packet packet) size() int { return headerBytes + int(packet.segment().Length) }

// throughLink carries the packet to the balancer over its link, if that is narrow.
func (balancer *balancer) receive(packet packet) {
	if balancer.link == nil {
		balancer.handlePacket(packet)
		return
	}
	balancer.link.receive(packet, func() { balancer.handlePacket(packet) })
}

// forward sends the packet on to its target.
func (balancer *balancer) forward(packet packet, decision steer.Decision) {
	if balancer.link == nil {
		balancer.world.deliver(balancer, packet, decision)
		return
	}
	balancer.link.enqueue(packet, decision.Target, func() { balancer.world.deliver(balancer, packet, decision) })
}

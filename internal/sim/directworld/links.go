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
	// headerBytes is the size of a packet without data.
	headerBytes = 32
	// maxLinkQueueTime bounds the queue in front of the link towards a balancer, in transmission
	// time. Packets that arrive while it is exceeded are dropped.
	maxLinkQueueTime = 60 * time.Millisecond
	// datagramOverhead is the size of the IP and UDP headers in bytes.
	datagramOverhead = 28
	// datagramIDBytes is the size of the number that identifies a queued datagram and stands at the
	// start of its content.
	datagramIDBytes = 8
)

// link is the narrow link of a balancer. Inbound packets wait in a FIFO queue; outbound packets
// pass through the product's egress queue. It uses virtual time throughout, so it must not be
// combined with Options.Skewed.
type link struct {
	world          *World
	bytesPerSecond float64
	egress         *egress.Egress
	// idleAt is when the link will have transmitted all packets towards the balancer.
	idleAt time.Time
	// queued has the delivery functions of the datagrams in the egress queue, by number.
	queued map[uint64]func()
	lastID uint64
	// flushScheduled reports whether a flush is scheduled.
	flushScheduled bool
}

// newLink returns the link of a balancer whose watcher already exists.
func newLink(world *World, balancer *balancer) *link {
	created := &link{world: world, bytesPerSecond: world.options.LinkRate, queued: make(map[uint64]func())}
	created.egress = egress.New(egress.Link{BytesPerSecond: world.options.LinkShare * world.options.LinkRate, DatagramOverhead: datagramOverhead}, created.write)
	created.egress.ObserveQueue(forwarder.NewQueueObserver(balancer.watcher))
	return created
}

// receive calls deliver once the link has transmitted the packet to the balancer. It drops the
// packet if the queue exceeds maxLinkQueueTime.
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

// enqueue puts a packet into the balancer's egress queue. deliver is called when it is sent.
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

// flush sends what the link has capacity for and schedules the next flush while datagrams wait.
func (link *link) flush() {
	wait := link.egress.Flush(link.world.Now())
	link.flushScheduled = wait > 0
	if link.flushScheduled {
		link.world.after(wait, link.flush)
	}
}

// write delivers the datagram whose number the content starts with.
func (link *link) write(content []byte, _ netip.AddrPort) {
	number := binary.BigEndian.Uint64(content)
	deliver := link.queued[number]
	delete(link.queued, number)
	deliver()
}

// size returns the size of the packet on the link in bytes.
func (packet packet) size() int { return headerBytes + int(packet.segment().Length) }

// receive passes a caller's packet to the balancer, over its narrow link if it has one.
func (balancer *balancer) receive(packet packet) {
	if balancer.link == nil {
		balancer.handlePacket(packet)
		return
	}
	balancer.link.receive(packet, func() { balancer.handlePacket(packet) })
}

// forward sends the packet to its target, over the balancer's narrow link if it has one.
func (balancer *balancer) forward(packet packet, decision steer.Decision) {
	if balancer.link == nil {
		balancer.world.deliver(balancer, packet, decision)
		return
	}
	balancer.link.enqueue(packet, decision.Target, func() { balancer.world.deliver(balancer, packet, decision) })
}

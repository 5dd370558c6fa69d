package fabric

import (
	"container/heap"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// delayCapacity bounds the waiting packets; further ones are dropped, as a switch with a full queue
// does.
const delayCapacity = 1 << 16

// delayedPacket is one datagram that is sent at due.
type delayedPacket struct {
	due time.Time
	// sequence keeps packets with the same due time in order.
	sequence    uint64
	socket      *net.UDPConn
	destination netip.AddrPort
	data        []byte
}

// packetHeap is a min-heap of packets by due time, then by sequence.
type packetHeap []*delayedPacket

func (packets packetHeap) Len() int { return len(packets) }

func (packets packetHeap) Less(left, right int) bool {
	if packets[left].due.Equal(packets[right].due) {
		return packets[left].sequence < packets[right].sequence
	}
	return packets[left].due.Before(packets[right].due)
}

func (packets packetHeap) Swap(left, right int) {
	packets[left], packets[right] = packets[right], packets[left]
}

// Push implements heap.Interface.
func (packets *packetHeap) Push(value any) { *packets = append(*packets, value.(*delayedPacket)) }

// Pop implements heap.Interface.
func (packets *packetHeap) Pop() any {
	last := len(*packets) - 1
	value := (*packets)[last]
	(*packets)[last] = nil
	*packets = (*packets)[:last]
	return value
}

// DelayQueue sends datagrams after a delay, from one goroutine.
type DelayQueue struct {
	lock     sync.Mutex
	waiting  packetHeap
	sequence uint64
	// wake signals Run that a packet was added that is due before all others.
	wake chan struct{}
	// free has values of type *delayedPacket for reuse.
	free sync.Pool
}

// NewDelayQueue returns an empty queue.
func NewDelayQueue() *DelayQueue {
	return &DelayQueue{
		wake: make(chan struct{}, 1),
		free: sync.Pool{New: func() any { return &delayedPacket{} }},
	}
}

// Put queues a copy of data to be sent at due, and reports whether the queue had room for it.
func (queue *DelayQueue) Put(due time.Time, socket *net.UDPConn, destination netip.AddrPort, data []byte) bool {
	packet := queue.free.Get().(*delayedPacket)
	packet.due, packet.socket, packet.destination = due, socket, destination
	packet.data = append(packet.data[:0], data...)
	queue.lock.Lock()
	if len(queue.waiting) >= delayCapacity {
		queue.lock.Unlock()
		queue.free.Put(packet)
		return false
	}
	queue.sequence++
	packet.sequence = queue.sequence
	heap.Push(&queue.waiting, packet)
	isFirst := queue.waiting[0] == packet
	queue.lock.Unlock()
	if isFirst {
		queue.wakeUp()
	}
	return true
}

// Length returns the number of waiting packets.
func (queue *DelayQueue) Length() int {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	return len(queue.waiting)
}

// wakeUp signals Run without blocking.
func (queue *DelayQueue) wakeUp() {
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

// Run sends packets when they are due, until ctx ends.
func (queue *DelayQueue) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(queue.sendDue(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-queue.wake:
		case <-timer.C:
		}
	}
}

// sendDue sends all packets due at now and returns how long the next one must still wait.
func (queue *DelayQueue) sendDue(now time.Time) time.Duration {
	for {
		packet, wait := queue.next(now)
		if packet == nil {
			return wait
		}
		// Send errors are ignored: a network may lose any datagram.
		_, _ = packet.socket.WriteToUDPAddrPort(packet.data, packet.destination)
		queue.free.Put(packet)
	}
}

// next removes and returns the first packet if it is due at now. Otherwise it returns nil and the
// time to wait, which is an hour for an empty queue.
func (queue *DelayQueue) next(now time.Time) (*delayedPacket, time.Duration) {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	if len(queue.waiting) == 0 {
		return nil, time.Hour
	}
	if wait := queue.waiting[0].due.Sub(now); wait > 0 {
		return nil, wait
	}
	return heap.Pop(&queue.waiting).(*delayedPacket), 0
}

package forwarder

import (
	"net/netip"
	"sync"
	"time"

	"merlinpaddle/internal/direct/steer"
)

const (
	// parkedPackets bounds the packets that wait for a table.
	maxParkedPackets = 1024
	// parkedFor is how long a packet may wait. Its sender has given it up by
	// then, or sent it again.
	parkingTimeout = 900 * time.Millisecond
)

// flowKey names a flow by its two ends.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

// parkedPacket is a packet that this balancer could not place when it came.
type parkedPacket struct {
	packet   []byte
	segment  steer.Segment
	parkedAt time.Time
}

// parking keeps packets that the table could not place: it has not come yet,
// or it is behind that of the balancer which opened the flow. They are decided
// anew when the table changes, which is sooner than their senders would send
// them again. Of the copies of an opening packet the latest is kept.
type parking struct {
	lock     sync.Mutex
	packets  []parkedPacket
	openings map[flowKey]int
}

func newParking() *parking { return &parking{openings: make(map[flowKey]int)} }

// worthParking tells whether a changed table may place the packet.
func shouldPark(reason steer.Reason) bool {
	switch reason {
	case steer.ReasonNoTable, steer.ReasonUnknownToken, steer.ReasonNoRouteStale, steer.ReasonNoTarget, steer.ReasonEvacuated:
		return true
	default:
		return false
	}
}

// put keeps a copy of packet. It drops the packet when the parking is full.
func (parking *parking) put(packet []byte, segment steer.Segment, now time.Time) {
	parking.lock.Lock()
	defer parking.lock.Unlock()
	parked := parkedPacket{packet: append([]byte(nil), packet...), segment: segment, parkedAt: now}
	key := flowKey{caller: segment.Caller, service: segment.Service}
	if place, exists := parking.openings[key]; exists && segment.Opening {
		parking.packets[place] = parked
		return
	}
	if len(parking.packets) >= maxParkedPackets {
		return
	}
	if segment.Opening {
		parking.openings[key] = len(parking.packets)
	}
	parking.packets = append(parking.packets, parked)
}

// take empties the parking and returns the packets that are not too old.
func (parking *parking) take(now time.Time) []parkedPacket {
	parking.lock.Lock()
	defer parking.lock.Unlock()
	if len(parking.packets) == 0 {
		return nil
	}
	packets := parking.packets
	parking.packets = nil
	clear(parking.openings)
	fresh := packets[:0]
	for _, parked := range packets {
		if now.Sub(parked.parkedAt) < parkingTimeout {
			fresh = append(fresh, parked)
		}
	}
	return fresh
}

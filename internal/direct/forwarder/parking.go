package forwarder

import (
	"net/netip"
	"sync"
	"time"

	"merlinpaddle/internal/direct/steer"
)

const (
	// maxParkedPackets bounds the packets that wait for a table change.
	maxParkedPackets = 1024
	// parkingTimeout is how long a packet may wait. By then its sender has given it up or
	// retransmitted it.
	parkingTimeout = 900 * time.Millisecond
)

// flowKey identifies a flow by its two ends.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

// parkedPacket is a packet for which the table had no target when it arrived, at segment.WaitingSince.
type parkedPacket struct {
	packet  []byte
	segment steer.Segment
}

// parking holds packets for which the table had no target, because no table was received yet or
// because it is older than that of the balancer which opened the flow. They are processed again
// when the table changes, which is sooner than their senders would retransmit them. Of several
// copies of an opening packet only the latest is kept.
type parking struct {
	lock    sync.Mutex
	packets []parkedPacket
	// openings maps a flow to the index of its opening packet in packets.
	openings map[flowKey]int
	// awaitsConfirmation is set while a packet waits for a confirmation of the table.
	awaitsConfirmation bool
}

func newParking() *parking { return &parking{openings: make(map[flowKey]int)} }

// shouldPark reports whether a packet that was dropped for the reason may get a target from a
// changed table.
func shouldPark(reason steer.Reason) bool {
	switch reason {
	case steer.ReasonNoTable, steer.ReasonUnknownToken, steer.ReasonNoRouteStale, steer.ReasonNoTarget, steer.ReasonEvacuated,
		steer.ReasonRouteRemoved:
		return true
	default:
		return false
	}
}

// put stores a copy of the packet, which was dropped for the reason. It discards the packet when
// maxParkedPackets are stored, unless the packet replaces an earlier copy of the same opening packet.
func (parking *parking) put(packet []byte, segment steer.Segment, reason steer.Reason, now time.Time) {
	parking.lock.Lock()
	defer parking.lock.Unlock()
	if segment.WaitingSince.IsZero() {
		segment.WaitingSince = now
	}
	parked := parkedPacket{packet: append([]byte(nil), packet...), segment: segment}
	parking.awaitsConfirmation = parking.awaitsConfirmation || reason == steer.ReasonRouteRemoved
	key := flowKey{caller: segment.Caller, service: segment.Service}
	if index, exists := parking.openings[key]; exists && segment.Opening {
		parking.packets[index] = parked
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

// hasUnconfirmed reports whether a packet waits for a confirmation of the table.
func (parking *parking) hasUnconfirmed() bool {
	parking.lock.Lock()
	defer parking.lock.Unlock()
	return parking.awaitsConfirmation
}

// take removes all packets and returns those that have not timed out.
func (parking *parking) take(now time.Time) []parkedPacket {
	parking.lock.Lock()
	defer parking.lock.Unlock()
	if len(parking.packets) == 0 {
		return nil
	}
	packets := parking.packets
	parking.packets = nil
	parking.awaitsConfirmation = false
	clear(parking.openings)
	fresh := packets[:0]
	for _, parked := range packets {
		if now.Sub(parked.segment.WaitingSince) < parkingTimeout {
			fresh = append(fresh, parked)
		}
	}
	return fresh
}

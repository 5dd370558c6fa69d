package requests

import (
	"encoding/binary"
	"sync"
	"time"
)

const (
	// unknownFlowWeight is the weight of one more request in the share of requests whose flow
	// is unknown to this balancer. Seven such requests in a row indicate a move, which is less
	// than a tenth of a second's requests at a balancer under load.
	unknownFlowWeight = 0.1
	// moveThreshold is the share of requests on unknown flows from which on routers are assumed
	// to have moved flows. Single flows whose opening packet took another path stay far below.
	moveThreshold = 0.5
	// moveDetectionLag is how long before its detection a move may have happened.
	// minMoveInterval is the least time between two moves: a rolling restart of balancers moves
	// all flows once for each balancer.
	moveDetectionLag = 100 * time.Millisecond
	minMoveInterval  = 200 * time.Millisecond
	// fingerprintSlots is the number of slots for known flows in a shard; a power of two. A flow
	// that overwrites the slot of another makes the other look unknown, so there are several
	// times as many slots as a balancer has open flows.
	fingerprintSlots = 1024
)

// moveDetector detects that routers have moved flows between balancers, as they do when a balancer
// is added or removed. Requests in flight at that moment are acknowledged through other balancers;
// here they would seem to stay open until AnswerTimeout and to remain unanswered.
type moveDetector struct {
	lock         sync.Mutex
	unknownShare float64
	detectedAt   time.Time
}

// record counts a request and whether its flow was unknown.
func (moves *moveDetector) record(unknown bool, now time.Time) {
	moves.lock.Lock()
	defer moves.lock.Unlock()
	moves.unknownShare *= 1 - unknownFlowWeight
	if unknown {
		moves.unknownShare += unknownFlowWeight
	}
	if moves.unknownShare >= moveThreshold && now.Sub(moves.detectedAt) >= minMoveInterval {
		moves.detectedAt = now
	}
}

// lastMove returns the earliest time at which the latest detected move may have happened, or zero
// if none was detected.
func (moves *moveDetector) lastMove() time.Time {
	moves.lock.Lock()
	defer moves.lock.Unlock()
	if moves.detectedAt.IsZero() {
		return time.Time{}
	}
	return moves.detectedAt.Add(-moveDetectionLag)
}

// rememberFlow marks a flow as known and reports whether it was known before.
func (shard *shard) rememberFlow(key flowKey) bool {
	fingerprint := key.fingerprint()
	slot := &shard.fingerprints[fingerprint%fingerprintSlots]
	known := *slot == fingerprint
	*slot = fingerprint
	return known
}

// fingerprint returns a hash of the flow; collisions are rare, and it is never zero. It mixes the
// last four bytes of both addresses and both ports.
func (key flowKey) fingerprint() uint32 {
	caller, service := key.caller.Addr().As16(), key.service.Addr().As16()
	value := uint64(binary.BigEndian.Uint32(caller[12:]))<<32 | uint64(key.caller.Port())<<16 | uint64(key.service.Port())
	value ^= uint64(binary.BigEndian.Uint32(service[12:])) * 0x9E3779B97F4A7C15
	value ^= value >> 31
	value *= 0xBF58476D1CE4E5B9
	value ^= value >> 29
	return uint32(value>>32) | 1
}

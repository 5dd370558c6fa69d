package requests

import (
	"encoding/binary"
	"sync"
	"time"
)

const (
	// strangerWeight is the weight of one more request in the share of those whose flow
	// this balancer did not know: seven in a row make a move, which is less than a tenth
	// of a second's requests at a balancer under load.
	unknownFlowWeight = 0.1
	// movedFrom is the share of requests on unknown flows from which routers count as having
	// moved the flows. Single flows whose opening went another way stay far below.
	moveThreshold = 0.5
	// moveLag is how long before it is noticed a move may have happened, and movesApart the
	// least time between two: balancers that are restarted one after the other move all
	// flows each time.
	moveDetectionLag = 100 * time.Millisecond
	minMoveInterval  = 200 * time.Millisecond
	// flowsRemembered is the number of places for known flows in a shard; a power of two.
	// A flow that takes another one's place makes that one look unknown, so that there are
	// several times as many as a balancer's open flows.
	fingerprintSlots = 1024
)

// moves notices that routers bring this balancer other flows than before, as they do when a
// balancer comes or goes. The requests that were under way then are acknowledged through
// other balancers: here they would seem open until HangAfter, and unanswered.
type moveDetector struct {
	lock         sync.Mutex
	unknownShare float64
	detectedAt   time.Time
}

// note takes in whether a request came on a flow that was not known.
func (moves *moveDetector) record(stranger bool, now time.Time) {
	moves.lock.Lock()
	defer moves.lock.Unlock()
	moves.unknownShare *= 1 - unknownFlowWeight
	if stranger {
		moves.unknownShare += unknownFlowWeight
	}
	if moves.unknownShare >= moveThreshold && now.Sub(moves.detectedAt) >= minMoveInterval {
		moves.detectedAt = now
	}
}

// last returns when the latest move happened at the latest, zero without one.
func (moves *moveDetector) lastMove() time.Time {
	moves.lock.Lock()
	defer moves.lock.Unlock()
	if moves.detectedAt.IsZero() {
		return time.Time{}
	}
	return moves.detectedAt.Add(-moveDetectionLag)
}

// remember notes a flow as known, and returns whether it was.
func (shard *shard) rememberFlow(key flowKey) bool {
	print := key.fingerprint()
	place := &shard.fingerprints[print%fingerprintSlots]
	known := *place == print
	*place = print
	return known
}

// fingerprint returns a number that hardly two flows share. Callers' ports and addresses
// and the routes' last bytes tell flows apart.
func (key flowKey) fingerprint() uint32 {
	caller, service := key.caller.Addr().As16(), key.service.Addr().As16()
	value := uint64(binary.BigEndian.Uint32(caller[12:]))<<32 | uint64(key.caller.Port())<<16 | uint64(key.service.Port())
	value ^= uint64(binary.BigEndian.Uint32(service[12:])) * 0x9E3779B97F4A7C15
	value ^= value >> 31
	value *= 0xBF58476D1CE4E5B9
	value ^= value >> 29
	return uint32(value>>32) | 1
}

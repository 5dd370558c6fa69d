package steer

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/direct/directory"
)

// maxRankedTargets is the number of best targets by hash that are kept for one opening packet.
// It is the upper limit of Options.Candidates, and of the number of different targets that the
// attempts of a flow may reach.
const maxRankedTargets = 8

// slowStartWeight is the weight factor of a target in slow start relative to a warm one.
const slowStartWeight = 0.5

// rankedTargets holds the best targets for one opening packet, best first.
type rankedTargets struct {
	targets [maxRankedTargets]*targetRecord
	scores  [maxRankedTargets]float64
	count   int
	// tokensByHash has the tokens of the first targets in the order of their scores, before
	// leastBusyFirst changes the order.
	tokensByHash [TrackedAttempts]directory.Token
}

// add inserts a target by its score.
func (ranked *rankedTargets) add(target *targetRecord, score float64) {
	ranked.count = insertByScore(ranked.targets[:], ranked.scores[:], ranked.count, target, score)
}

// insertByScore inserts an item among the first count items, which are in descending order of
// their scores, and returns the new count. Among equal scores the new item comes last. When
// there is no room, the last item is dropped.
func insertByScore[Item any](items []Item, scores []float64, count int, item Item, score float64) int {
	position := count
	for position > 0 && scores[position-1] < score {
		position--
	}
	if position == len(items) {
		return count
	}
	count = min(count+1, len(items))
	copy(scores[position+1:count], scores[position:count-1])
	copy(items[position+1:count], items[position:count-1])
	scores[position], items[position] = score, item
	return count
}

// leastBusyFirst sorts the first Options.Candidates targets by occupancy. The sort is stable:
// targets of equal occupancy stay in the order of their scores, which prefers the local zone.
func (ranked *rankedTargets) leastBusyFirst(options Options) {
	for index := range min(TrackedAttempts, ranked.count) {
		ranked.tokensByHash[index] = ranked.targets[index].Token
	}
	candidates := min(options.Candidates, ranked.count)
	if options.Loads == nil || candidates < 2 {
		return
	}
	var occupancies [maxRankedTargets]float64
	for index := range candidates {
		target := ranked.targets[index]
		occupancy := options.occupancyOf(target)
		position := index
		for position > 0 && occupancies[position-1] > occupancy {
			ranked.targets[position] = ranked.targets[position-1]
			occupancies[position] = occupancies[position-1]
			position--
		}
		ranked.targets[position] = target
		occupancies[position] = occupancy
	}
}

// idleOccupancy is the number of requests for each slot up to which a target counts as idle,
// because a further request is served at once.
const idleOccupancy = 0.5

// occupancyOf returns the target's occupancy, including requests that are pending at this
// balancer.
func (options *Options) occupancyOf(target *targetRecord) float64 {
	open, _ := options.Loads.Load(target.Token)
	return target.occupancy(open + options.Loads.Pending(target.Token))
}

// occupancy returns the number of open requests for each slot, idleOccupancy at the least.
func (target *targetRecord) occupancy(open int) float64 {
	return max(float64(open)/float64(target.slots()), idleOccupancy)
}

// pick returns the target for the opening packet, and the token of the target that did not
// answer the flow's previous attempt, or zero. A retransmission gets the best target that was
// not tried yet, or the best one when all of them were.
func (ranked *rankedTargets) pick(segment Segment) (chosen *targetRecord, unresponsive directory.Token) {
	if segment.Attempt == 0 {
		return ranked.targets[0], 0
	}
	tried := segment.Tried
	if tried[0] == 0 {
		tried = ranked.assumedTried(segment.Attempt)
	}
	for _, target := range ranked.targets[:ranked.count] {
		if !slices.Contains(tried[:], target.Token) {
			return target, tried[0]
		}
	}
	return ranked.targets[0], tried[0]
}

// assumedTried returns the targets that the previous attempts of an opening packet would have
// gone to at this balancer, the latest first. Another balancer forwarded them, and chose by the
// same hash unless targets were busy.
func (ranked *rankedTargets) assumedTried(attempt int) [TrackedAttempts]directory.Token {
	var tried [TrackedAttempts]directory.Token
	for back := range min(attempt, TrackedAttempts) {
		if index := attempt - 1 - back; index < ranked.count {
			tried[back] = ranked.tokensByHash[index]
		}
	}
	return tried
}

// rank adds the best targets for the criteria to ranked, by weighted rendezvous hashing.
// Targets that are not usable are left out unless no usable one exists.
func (service *service) rank(criteria rankCriteria, ranked *rankedTargets) {
	service.pool.rank(criteria, ranked)
	if ranked.count > 0 {
		return
	}
	service.pool.forEach(func(target *targetRecord) {
		ranked.add(target, target.score(criteria.hash, criteria.now, criteria.localZoneWeight))
	})
}

// usable reports whether the target takes new flows while others can: it is neither ejected by
// the directory nor avoided by this balancer.
func (target *targetRecord) usable(now time.Time) bool {
	return !target.Aside && !now.Before(target.avoidUntil)
}

// score returns the target's score in weighted rendezvous hashing: a target has the highest
// score with a probability in proportion to its weight.
func (target *targetRecord) score(hash uint64, now time.Time, localZoneWeight float64) float64 {
	weight := float64(target.slots())
	if target.inLocalZone {
		weight *= localZoneWeight
	}
	if now.Before(target.slowStartUntil) {
		weight *= slowStartWeight
	}
	return rendezvousScore(weight, hash^target.seed)
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xBF58476D1CE4E5B9
	value ^= value >> 27
	value *= 0x94D049BB133111EB
	return value ^ value>>31
}

func seedOf(id directory.TargetID) uint64 { return mix(uint64(id) + 0x9E3779B97F4A7C15) }

// flowHash returns the hash of the flow's two endpoints.
func flowHash(segment Segment) uint64 {
	var key [36]byte
	putEndpoint(key[0:18], segment.Caller)
	putEndpoint(key[18:36], segment.Service)
	return xxhash.Sum64(key[:])
}

func putEndpoint(key []byte, endpoint netip.AddrPort) {
	address := endpoint.Addr().As16()
	copy(key, address[:])
	binary.BigEndian.PutUint16(key[16:], endpoint.Port())
}

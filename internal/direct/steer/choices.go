package steer

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/direct/directory"
)

// choicesKept is the number of targets, best by hash, that are looked at for one
// opening packet. It bounds Options.Candidates, and the distinct targets that
// its copies may reach.
const maxRankedTargets = 8

// coldWeight is the weight of a target that is still slow from its start,
// relative to a warm one.
const slowStartWeight = 0.5

// choices are the best targets by hash for one opening packet, best first.
type rankedTargets struct {
	targets [maxRankedTargets]*targetRecord
	scores  [maxRankedTargets]float64
	count   int
	// byHash has the tokens of the first ones in the order of their hash.
	tokensByHash [TrackedAttempts]directory.Token
}

// add takes a target in by its score.
func (choices *rankedTargets) add(target *targetRecord, score float64) {
	choices.count = insertByScore(choices.targets[:], choices.scores[:], choices.count, target, score)
}

// insertByScore puts an item into its place among the first count items, which are in the
// descending order of their scores, and returns how many there are then. The last one falls
// out when there is no room. An item with the score of others comes after them.
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

// leastBusyFirst sorts the first candidates by how busy they are. Those that are
// about as busy stay in the order of their hash, which prefers near ones.
func (choices *rankedTargets) leastBusyFirst(options Options) {
	for place := range min(TrackedAttempts, choices.count) {
		choices.tokensByHash[place] = choices.targets[place].Token
	}
	candidates := min(options.Candidates, choices.count)
	if options.Loads == nil || candidates < 2 {
		return
	}
	var pressures [maxRankedTargets]float64
	for index := range candidates {
		target := choices.targets[index]
		pressure := options.occupancyOf(target)
		position := index
		for position > 0 && pressures[position-1] > pressure {
			choices.targets[position] = choices.targets[position-1]
			pressures[position] = pressures[position-1]
			position--
		}
		choices.targets[position] = target
		pressures[position] = pressure
	}
}

// relaxedPressure is the share of a target's capacity up to which it counts as
// idle: a further request is worked on at once.
const idleOccupancy = 0.5

// pressureOf returns the requests at the target and on their way there, by capacity.
func (options *Options) occupancyOf(target *targetRecord) float64 {
	open, _ := options.Loads.Load(target.Token)
	return target.occupancy(open + options.Loads.Pending(target.Token))
}

// pressure is the number of open requests by capacity.
func (target *targetRecord) occupancy(open int) float64 {
	return max(float64(open)/float64(target.slots()), idleOccupancy)
}

// pick returns the target for the opening packet, and the token of the one that
// did not answer its former copy, or zero.
func (choices *rankedTargets) pick(segment Segment) (chosen *targetRecord, former directory.Token) {
	if segment.Attempt == 0 {
		return choices.targets[0], 0
	}
	tried := segment.Tried
	if tried[0] == 0 {
		tried = choices.assumedTried(segment.Attempt)
	}
	for _, target := range choices.targets[:choices.count] {
		if !slices.Contains(tried[:], target.Token) {
			return target, tried[0]
		}
	}
	return choices.targets[0], tried[0]
}

// tried returns the targets of the former copies of an opening packet as if this
// balancer had placed them, the latest first. Another one did, by its hash unless
// targets are busy.
func (choices *rankedTargets) assumedTried(attempt int) [TrackedAttempts]directory.Token {
	var tried [TrackedAttempts]directory.Token
	for copies := range min(attempt, TrackedAttempts) {
		if place := attempt - 1 - copies; place < choices.count {
			tried[copies] = choices.tokensByHash[place]
		}
	}
	return tried
}

// rank fills choices with the best targets for the hash, by weighted rendezvous
// hashing, in which near targets have nearWeight times their weight. Targets that are
// avoided are left out while others are there.
func (service *service) rank(by rankCriteria, choices *rankedTargets) {
	service.pool.rank(by, choices)
	if choices.count > 0 {
		return
	}
	service.pool.forEach(func(target *targetRecord) {
		choices.add(target, target.score(by.hash, by.now, by.localZoneWeight))
	})
}

func (target *targetRecord) usable(now time.Time) bool {
	return !target.Aside && !now.Before(target.avoidUntil)
}

// score is the target's place in weighted rendezvous hashing: the target with
// the highest score is chosen with a probability in proportion to its weight.
func (target *targetRecord) score(hash uint64, now time.Time, nearWeight float64) float64 {
	weight := float64(target.slots())
	if target.inLocalZone {
		weight *= nearWeight
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

func flowHash(segment Segment) uint64 {
	var key [36]byte
	putEndpoint(key[0:18], segment.Caller)
	putEndpoint(key[18:36], segment.Service)
	return xxhash.Sum64(key[:])
}

func putEndpoint(key []byte, end netip.AddrPort) {
	address := end.Addr().As16()
	copy(key, address[:])
	binary.BigEndian.PutUint16(key[16:], end.Port())
}

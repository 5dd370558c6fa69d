package steer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/direct/directory"
)

// choicesKept is the number of targets, best by hash, that are looked at for one
// opening packet. It bounds Options.Candidates, and the distinct targets that
// its copies may reach.
const choicesKept = 8

// copiesSpan is the time within which callers send copies of an opening packet.
// A balancer whose first table is younger placed none of the former copies, so
// that a further one says nothing about a target.
const copiesSpan = 1400 * time.Millisecond

// coldWeight is the weight of a target that is still slow from its start,
// relative to a warm one.
const coldWeight = 0.5

// Decide returns what to do with a packet at now.
func (table *Table) Decide(segment Segment, now time.Time) Decision {
	table.lock.RLock()
	defer table.lock.RUnlock()
	decision := table.decide(segment, now)
	if decision.Reason != ReasonOwner {
		decision.Revision = table.revision
		decision.Version = table.version
		decision.ConfirmedAgo = table.confirmedAgo(now)
	}
	return decision
}

func (table *Table) confirmedAgo(now time.Time) time.Duration {
	if table.confirmedAt.IsZero() {
		return NeverConfirmed
	}
	return now.Sub(table.confirmedAt)
}

func (table *Table) decide(segment Segment, now time.Time) Decision {
	if table.version == 0 {
		return Decision{Reason: ReasonNoTable}
	}
	route, exists := table.routes[segment.Service]
	if !exists {
		return table.refuseRoute(segment, now)
	}
	if segment.Opening {
		return table.open(segment, route, now)
	}
	return table.follow(segment)
}

// refuseRoute answers a packet whose address has no route. A balancer whose
// table may be old says nothing, because the route may exist.
func (table *Table) refuseRoute(segment Segment, now time.Time) Decision {
	if !table.fresh(now) {
		return Decision{Reason: ReasonNoRouteStale}
	}
	return resetUnlessAbort(segment, ReasonNoRoute)
}

func resetUnlessAbort(segment Segment, reason Reason) Decision {
	if segment.Abort {
		return Decision{Reason: reason}
	}
	return Decision{Action: Reset, Reason: reason}
}

// follow finds the owner of an open flow by its token.
func (table *Table) follow(segment Segment) Decision {
	if segment.Token == 0 {
		return Decision{Reason: ReasonMissingToken}
	}
	target, known := table.targets[segment.Token]
	if !known {
		return Decision{Reason: ReasonUnknownToken}
	}
	if target.State == directory.TargetFailed {
		return resetUnlessAbort(segment, ReasonTargetFailed)
	}
	return forwardTo(target, ReasonOwner)
}

func forwardTo(target *record, reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, Token: target.Token, ID: target.ID, Target: target.Address, Capacity: target.Capacity}
}

// open chooses a target for an opening packet. Copies go to another choice: the
// former one did not answer in time.
func (table *Table) open(segment Segment, route route, now time.Time) Decision {
	hash := flowHash(segment)
	name, found := route.choose(hash)
	if !found {
		return Decision{Reason: ReasonNoTarget}
	}
	service := table.services[name]
	if service == nil {
		return Decision{Reason: ReasonNoTarget}
	}
	var choices choices
	service.rank(hash, now, table.options, &choices)
	choices.leastBusyFirst(table.options)
	chosen, former := choices.pick(segment)
	open, serving := table.loadOf(chosen)
	expected := chosen.expected(open, serving, route.objective)
	congested := service.congestion.observe(open >= chosen.slots(), now)
	if congested && open >= chosen.slots() && table.exceeds(expected, route) {
		return Decision{Action: Reset, Reason: ReasonOverloaded, ID: chosen.ID, Open: open, Expected: expected}
	}
	decision := forwardTo(chosen, ReasonChosen)
	decision.Open = open
	decision.Expected = expected
	if former != 0 && former != chosen.Token && now.Sub(table.servingSince) > copiesSpan {
		decision.Suspect = former
	}
	return decision
}

func (table *Table) loadOf(target *record) (open int, serving time.Duration) {
	if table.options.Loads == nil {
		return 0, 0
	}
	return table.options.Loads.Load(target.Token)
}

// assumedParts is the part of a route's objective that a request is assumed to
// take on an idle target while nobody knows better.
const assumedParts = 4

// rankShare is the part of AdmitShare that is left for routes of the next lower
// priority, so that they are refused first.
const rankShare = 0.8

// slots is the number of requests that the target works on at once, one at the
// least.
func (target *record) slots() int { return max(target.Capacity, 1) }

// expected returns how long a further request would take at the target: serving
// is the time on an idle one, zero when it is not known.
func (target *record) expected(open int, serving, objective time.Duration) time.Duration {
	if serving == 0 {
		serving = objective / assumedParts
	}
	crowd := max(float64(open+1)/float64(target.slots()), 1)
	return time.Duration(crowd * float64(serving))
}

// exceeds tells whether a request that takes as long would miss the share of the
// route's objective that is allowed.
func (table *Table) exceeds(expected time.Duration, route route) bool {
	if route.objective == 0 || table.options.AdmitShare == 0 {
		return false
	}
	share := table.options.AdmitShare * math.Pow(rankShare, float64(route.rank))
	return float64(expected) > share*float64(route.objective)
}

// choose picks the part of the pool by weight.
func (route *route) choose(hash uint64) (string, bool) {
	if route.total == 0 {
		return "", false
	}
	// The upper half of the hash decides the part and the whole hash the
	// target, so that the two choices do not depend on each other.
	ticket := int((hash >> 32) % uint64(route.total))
	for _, part := range route.parts {
		ticket -= part.Weight
		if ticket < 0 {
			return part.Service, true
		}
	}
	return "", false
}

// choices are the best targets by hash for one opening packet, best first.
type choices struct {
	targets [choicesKept]*record
	scores  [choicesKept]float64
	count   int
	// byHash has the tokens of the first ones in the order of their hash.
	byHash [TriesKnown]directory.Token
}

// add takes a target in by its score.
func (choices *choices) add(target *record, score float64) {
	position := choices.count
	for position > 0 && choices.scores[position-1] < score {
		position--
	}
	if position == choicesKept {
		return
	}
	choices.count = min(choices.count+1, choicesKept)
	copy(choices.scores[position+1:choices.count], choices.scores[position:choices.count-1])
	copy(choices.targets[position+1:choices.count], choices.targets[position:choices.count-1])
	choices.scores[position] = score
	choices.targets[position] = target
}

// leastBusyFirst sorts the first candidates by how busy they are. Those that are
// about as busy stay in the order of their hash, which prefers near ones.
func (choices *choices) leastBusyFirst(options Options) {
	for place := range min(TriesKnown, choices.count) {
		choices.byHash[place] = choices.targets[place].Token
	}
	candidates := min(options.Candidates, choices.count)
	if options.Loads == nil || candidates < 2 {
		return
	}
	var pressures [choicesKept]float64
	for index := range candidates {
		target := choices.targets[index]
		open, _ := options.Loads.Load(target.Token)
		pressure := target.pressure(open)
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
const relaxedPressure = 0.5

// pressure is the number of open requests by capacity.
func (target *record) pressure(open int) float64 {
	return max(float64(open)/float64(target.slots()), relaxedPressure)
}

// pick returns the target for the opening packet, and the token of the one that
// did not answer its former copy, or zero.
func (choices *choices) pick(segment Segment) (chosen *record, former directory.Token) {
	if segment.Attempt == 0 {
		return choices.targets[0], 0
	}
	tried := segment.Tried
	if tried[0] == 0 {
		tried = choices.tried(segment.Attempt)
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
func (choices *choices) tried(attempt int) [TriesKnown]directory.Token {
	var tried [TriesKnown]directory.Token
	for copies := range min(attempt, TriesKnown) {
		if place := attempt - 1 - copies; place < choices.count {
			tried[copies] = choices.byHash[place]
		}
	}
	return tried
}

// rank fills choices with the best targets for the hash, by weighted rendezvous
// hashing. Targets that are just learned or avoided are left out while others are
// there.
func (service *service) rank(hash uint64, now time.Time, options Options, choices *choices) {
	for _, target := range service.targets {
		if target.usable(now) {
			choices.add(target, target.score(hash, now, options))
		}
	}
	if choices.count > 0 {
		return
	}
	for _, target := range service.targets {
		choices.add(target, target.score(hash, now, options))
	}
}

func (target *record) usable(now time.Time) bool {
	return !target.Aside && !now.Before(target.usableAt) && !now.Before(target.avoidUntil)
}

// score is the target's place in weighted rendezvous hashing: the target with
// the highest score is chosen with a probability in proportion to its weight.
func (target *record) score(hash uint64, now time.Time, options Options) float64 {
	weight := float64(target.slots())
	if target.near {
		weight *= options.NearWeight
	}
	if now.Before(target.warmAt) {
		weight *= coldWeight
	}
	mixed := mix(hash ^ target.seed)
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
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
	putEnd(key[0:18], segment.Caller)
	putEnd(key[18:36], segment.Service)
	return xxhash.Sum64(key[:])
}

func putEnd(key []byte, end netip.AddrPort) {
	address := end.Addr().As16()
	copy(key, address[:])
	binary.BigEndian.PutUint16(key[16:], end.Port())
}

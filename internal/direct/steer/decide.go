package steer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/direct/directory"
)

// choicesKept is the number of distinct targets that the copies of one opening
// packet may reach.
const choicesKept = 3

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
	return Decision{Action: Forward, Reason: reason, Token: target.Token, ID: target.ID, Target: target.Address}
}

// open chooses a target for an opening packet. Copies go to the next choice:
// the former one did not answer in time.
func (table *Table) open(segment Segment, route route, now time.Time) Decision {
	hash := flowHash(segment)
	service, found := route.choose(hash)
	if !found {
		return Decision{Reason: ReasonNoTarget}
	}
	var ranked [choicesKept]*record
	count := table.rank(service, hash, now, &ranked)
	if count == 0 {
		return Decision{Reason: ReasonNoTarget}
	}
	attempt := min(segment.Attempt, count-1)
	decision := forwardTo(ranked[attempt], ReasonChosen)
	if segment.Attempt > 0 && attempt > 0 && now.Sub(table.servingSince) > copiesSpan {
		decision.Suspect = ranked[attempt-1].Token
	}
	return decision
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

// rank fills ranked with the best targets of the service for the hash, by
// weighted rendezvous hashing, and returns their number. Targets that are just
// learned or avoided are left out while others are there.
func (table *Table) rank(service string, hash uint64, now time.Time, ranked *[choicesKept]*record) int {
	targets := table.services[service]
	count := table.rankUsable(targets, hash, now, ranked, false)
	if count == 0 {
		count = table.rankUsable(targets, hash, now, ranked, true)
	}
	return count
}

func (table *Table) rankUsable(targets []*record, hash uint64, now time.Time, ranked *[choicesKept]*record, all bool) int {
	var scores [choicesKept]float64
	count := 0
	for _, target := range targets {
		if !all && (target.Aside || now.Before(target.usableAt) || now.Before(target.avoidUntil)) {
			continue
		}
		score := table.score(target, hash, now)
		position := count
		for position > 0 && scores[position-1] < score {
			position--
		}
		if position == choicesKept {
			continue
		}
		count = min(count+1, choicesKept)
		copy(scores[position+1:count], scores[position:count-1])
		copy(ranked[position+1:count], ranked[position:count-1])
		scores[position] = score
		ranked[position] = target
	}
	return count
}

// score is the target's place in weighted rendezvous hashing: the target with
// the highest score is chosen with a probability in proportion to its weight.
func (table *Table) score(target *record, hash uint64, now time.Time) float64 {
	weight := float64(max(target.Capacity, 1))
	if target.near {
		weight *= table.options.NearWeight
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

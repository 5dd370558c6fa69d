package steer

import (
	"math"
	"math/bits"
	"time"
)

// Choosing among thousands of targets: scoring a target for an opening packet takes some tens
// of nanoseconds, which adds up to 0.4 ms for each opening packet of a service with 8,000
// targets. A large pool is therefore split into groups. For each flow the groups are scored
// first, and then the targets of the few best groups, so that the cost grows with the square
// root of the pool's size.
//
// The weight of a group is the sum of the weights of its targets, so that a target is the best
// one for a flow as often as its own weight says, with groups or without. A pool that is small
// enough to score target by target is one group, in which the choice is plain weighted
// rendezvous hashing.
const (
	// maxUngroupedTargets is the number of targets up to which a pool stays one group.
	// Scoring them takes some 20 us.
	maxUngroupedTargets = 512
	// maxTargetsPerGroup is the largest mean number of targets in a group after a pool was
	// grouped. A choice among 8,000 targets scores some 250 groups and 150 targets.
	maxTargetsPerGroup = 32
	// maxRankedGroups is the number of groups whose best targets are ranked. It is enough
	// for the three candidates of an opening packet and for its retransmissions, which skip
	// the targets that did not answer.
	maxRankedGroups = 5
	// regroupFactor is the factor by which the mean number of targets in a group may leave
	// the range from half of maxTargetsPerGroup to maxTargetsPerGroup before the pool is
	// regrouped. It keeps a release, which adds and removes targets in turns, from
	// regrouping the pool again and again.
	regroupFactor = 2
)

// group is a subset of a pool's targets.
type group struct {
	seed uint64
	// slots is the sum of the slots of all targets in the group, and localZoneSlots of
	// those in the balancer's zone.
	slots          int
	localZoneSlots int
	targets        []*targetRecord
}

// pool holds the targets of a service that take new flows.
//
// Invariants: the number of groups is a power of two; the low bits of a target's seed are the
// index of its group.
type pool struct {
	groups []group
	count  int
}

// newPool returns an empty pool.
func newPool() pool { return pool{groups: newGroups(1)} }

func newGroups(count int) []group {
	groups := make([]group, count)
	for index := range groups {
		groups[index].seed = mix(uint64(index) + 0xD1B54A32D192ED03)
	}
	return groups
}

func (pool *pool) groupOf(target *targetRecord) *group {
	return &pool.groups[target.seed&uint64(len(pool.groups)-1)]
}

// add adds a target to the pool.
func (pool *pool) add(added *targetRecord) {
	pool.groupOf(added).add(added)
	pool.count++
	pool.regroup()
}

func (group *group) add(added *targetRecord) {
	group.targets = append(group.targets, added)
	group.adjustTotals(added, 1)
}

// adjustTotals updates the group's sums for a target that is added, with sign 1, or removed,
// with sign -1.
func (group *group) adjustTotals(target *targetRecord, sign int) {
	group.slots += sign * target.slots()
	if target.inLocalZone {
		group.localZoneSlots += sign * target.slots()
	}
}

// remove removes a target from the pool. The target's slots and zone must be the same as when
// it was added.
func (pool *pool) remove(removed *targetRecord) {
	group := pool.groupOf(removed)
	for index, target := range group.targets {
		if target != removed {
			continue
		}
		last := len(group.targets) - 1
		group.targets[index] = group.targets[last]
		group.targets[last] = nil
		group.targets = group.targets[:last]
		group.adjustTotals(removed, -1)
		pool.count--
		pool.regroup()
		return
	}
}

// regroup redistributes the targets when there are too many or too few of them for the present
// number of groups.
func (pool *pool) regroup() {
	wanted := groupCountFor(pool.count)
	current := len(pool.groups)
	if current == wanted {
		return
	}
	if current > 1 && wanted > 1 && wanted <= current*regroupFactor && wanted*regroupFactor >= current {
		return
	}
	if current > 1 && wanted == 1 && pool.count > maxUngroupedTargets/regroupFactor {
		return
	}
	previous := pool.groups
	pool.groups = newGroups(wanted)
	for _, group := range previous {
		for _, target := range group.targets {
			pool.groupOf(target).add(target)
		}
	}
}

// groupCountFor returns the number of groups for a pool of count targets.
func groupCountFor(count int) int {
	if count <= maxUngroupedTargets {
		return 1
	}
	return 1 << bits.Len(uint((count-1)/maxTargetsPerGroup))
}

// forEach calls visit with each target of the pool.
func (pool *pool) forEach(visit func(target *targetRecord)) {
	for index := range pool.groups {
		for _, target := range pool.groups[index].targets {
			visit(target)
		}
	}
}

// rankCriteria are the inputs for ranking the targets of a pool for one flow.
type rankCriteria struct {
	hash uint64
	now  time.Time
	// localZoneWeight is the factor on the weight of targets in the local zone. Zero
	// excludes them.
	localZoneWeight float64
}

// rank adds the best usable targets of the pool to ranked. In a pool of several groups these
// are the best target of each of the best groups.
func (pool *pool) rank(criteria rankCriteria, ranked *rankedTargets) {
	if len(pool.groups) == 1 {
		for _, target := range pool.groups[0].targets {
			if criteria.allows(target) {
				ranked.add(target, target.score(criteria.hash, criteria.now, criteria.localZoneWeight))
			}
		}
		return
	}
	best := pool.rankGroups(criteria)
	for index := range best.count {
		if target := best.groups[index].bestTarget(criteria); target != nil {
			ranked.add(target, best.scores[index])
		}
	}
}

func (criteria *rankCriteria) allows(target *targetRecord) bool {
	return target.usable(criteria.now) && (criteria.localZoneWeight > 0 || !target.inLocalZone)
}

// rankedGroups holds the best groups for a flow, best first.
type rankedGroups struct {
	groups [maxRankedGroups]*group
	scores [maxRankedGroups]float64
	count  int
}

func (pool *pool) rankGroups(criteria rankCriteria) rankedGroups {
	var ranked rankedGroups
	for index := range pool.groups {
		group := &pool.groups[index]
		weight := criteria.localZoneWeight*float64(group.localZoneSlots) + float64(group.slots-group.localZoneSlots)
		if weight > 0 {
			ranked.add(group, rendezvousScore(weight, criteria.hash^group.seed))
		}
	}
	return ranked
}

func (ranked *rankedGroups) add(added *group, score float64) {
	ranked.count = insertByScore(ranked.groups[:], ranked.scores[:], ranked.count, added, score)
}

// bestTarget returns the group's best usable target, or nil when it has none.
func (group *group) bestTarget(criteria rankCriteria) *targetRecord {
	var best *targetRecord
	highest := math.Inf(-1)
	for _, target := range group.targets {
		if !criteria.allows(target) {
			continue
		}
		if score := target.score(criteria.hash, criteria.now, criteria.localZoneWeight); score > highest {
			best, highest = target, score
		}
	}
	return best
}

// rendezvousScore returns the score of an item with the weight in weighted rendezvous hashing:
// an item has the highest score of all with a probability in proportion to its weight.
func rendezvousScore(weight float64, key uint64) float64 {
	uniform := (float64(mix(key)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

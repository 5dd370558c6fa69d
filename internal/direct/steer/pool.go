package steer

import (
	"math"
	"math/bits"
	"time"
)

// The choice among thousands of targets. The load it answers is a service so large that a
// look at each of its targets for each opening packet, some tens of nanoseconds, adds up: at
// 8,000 targets 0.4 ms. A large pool is kept in groups, and a flow looks at the groups and
// then at the targets of the best few of them, which grows with the root of the pool.
//
// A group's weight is that of its targets together, so that a target is the best one of a
// flow as often as its own weight says, in groups or without. A pool that a single look
// bears is one group, in which the choice is plain weighted rendezvous hashing.
const (
	// mostUngrouped is the number of targets that are looked at one by one: some 20 us.
	maxUngroupedTargets = 512
	// groupTargets is the number of targets for each group, at the most, when a pool is
	// grouped: for a choice among 8,000, some 250 groups and 150 targets are looked at.
	maxTargetsPerGroup = 32
	// groupsRanked is the number of groups whose best targets are looked at: enough for the
	// three candidates of an opening packet and for its copies, which pass over those that
	// did not answer.
	maxRankedGroups = 5
	// regroupFactor is by how much the mean of targets in a group may leave the range from
	// half of groupTargets to groupTargets before the pool is grouped anew, so that a
	// release, which adds and removes targets by turns, does not group it again and again.
	regroupFactor = 2
)

// group is a part of a pool's targets.
type group struct {
	seed uint64
	// slots are those of all its targets, and nearSlots of those in the balancer's zone.
	slots          int
	localZoneSlots int
	targets        []*targetRecord
}

// pool has the targets of a service that take new flows.
//
// Invariants: the number of groups is a power of two; each target is in the group of the
// low bits of its seed.
type pool struct {
	groups []group
	count  int
}

// newPool returns an empty pool.
func newPool() pool { return pool{groups: newGroups(1)} }

func newGroups(count int) []group {
	groups := make([]group, count)
	for place := range groups {
		groups[place].seed = mix(uint64(place) + 0xD1B54A32D192ED03)
	}
	return groups
}

func (pool *pool) groupOf(target *targetRecord) *group {
	return &pool.groups[target.seed&uint64(len(pool.groups)-1)]
}

// add takes a target in.
func (pool *pool) add(added *targetRecord) {
	pool.groupOf(added).add(added)
	pool.count++
	pool.regroup()
}

func (group *group) add(added *targetRecord) {
	group.targets = append(group.targets, added)
	group.adjustTotals(added, 1)
}

// count changes the sums by a target that comes, with 1, or goes, with -1.
func (group *group) adjustTotals(target *targetRecord, sign int) {
	group.slots += sign * target.slots()
	if target.inLocalZone {
		group.localZoneSlots += sign * target.slots()
	}
}

// remove takes a target out, which must be as it was when it was added.
func (pool *pool) remove(removed *targetRecord) {
	group := pool.groupOf(removed)
	for place, target := range group.targets {
		if target != removed {
			continue
		}
		last := len(group.targets) - 1
		group.targets[place] = group.targets[last]
		group.targets[last] = nil
		group.targets = group.targets[:last]
		group.adjustTotals(removed, -1)
		pool.count--
		pool.regroup()
		return
	}
}

// regroup groups the targets anew when there are too many or too few for the groups.
func (pool *pool) regroup() {
	wanted := groupCountFor(pool.count)
	held := len(pool.groups)
	if held == wanted {
		return
	}
	if held > 1 && wanted > 1 && wanted <= held*regroupFactor && wanted*regroupFactor >= held {
		return
	}
	if held > 1 && wanted == 1 && pool.count > maxUngroupedTargets/regroupFactor {
		return
	}
	former := pool.groups
	pool.groups = newGroups(wanted)
	for _, group := range former {
		for _, target := range group.targets {
			pool.groupOf(target).add(target)
		}
	}
}

// groupsFor returns the number of groups of a pool with count targets.
func groupCountFor(count int) int {
	if count <= maxUngroupedTargets {
		return 1
	}
	return 1 << bits.Len(uint((count-1)/maxTargetsPerGroup))
}

// all calls visit with each target.
func (pool *pool) forEach(visit func(target *targetRecord)) {
	for place := range pool.groups {
		for _, target := range pool.groups[place].targets {
			visit(target)
		}
	}
}

// ranking is what a choice among the targets of a pool goes by.
type rankCriteria struct {
	hash uint64
	now  time.Time
	// nearWeight is the weight of near targets against others; zero leaves them out.
	localZoneWeight float64
}

// rank fills choices with the best usable targets of the pool, the best of each group.
func (pool *pool) rank(by rankCriteria, choices *rankedTargets) {
	if len(pool.groups) == 1 {
		for _, target := range pool.groups[0].targets {
			if by.allows(target) {
				choices.add(target, target.score(by.hash, by.now, by.localZoneWeight))
			}
		}
		return
	}
	best := pool.rankGroups(by)
	for place := range best.count {
		if target := best.groups[place].bestTarget(by); target != nil {
			choices.add(target, best.scores[place])
		}
	}
}

func (by *rankCriteria) allows(target *targetRecord) bool {
	return target.usable(by.now) && (by.localZoneWeight > 0 || !target.inLocalZone)
}

// groupChoices are the best groups for a flow, best first.
type rankedGroups struct {
	groups [maxRankedGroups]*group
	scores [maxRankedGroups]float64
	count  int
}

func (pool *pool) rankGroups(by rankCriteria) rankedGroups {
	var best rankedGroups
	for place := range pool.groups {
		group := &pool.groups[place]
		weight := by.localZoneWeight*float64(group.localZoneSlots) + float64(group.slots-group.localZoneSlots)
		if weight > 0 {
			best.add(group, rendezvousScore(weight, by.hash^group.seed))
		}
	}
	return best
}

func (best *rankedGroups) add(added *group, score float64) {
	best.count = insertByScore(best.groups[:], best.scores[:], best.count, added, score)
}

// best returns the group's best usable target, or nil.
func (group *group) bestTarget(by rankCriteria) *targetRecord {
	var best *targetRecord
	highest := math.Inf(-1)
	for _, target := range group.targets {
		if !by.allows(target) {
			continue
		}
		if score := target.score(by.hash, by.now, by.localZoneWeight); score > highest {
			best, highest = target, score
		}
	}
	return best
}

// rendezvousScore is the score of a weight in weighted rendezvous hashing: of several, the
// highest is that of each with a probability in proportion to its weight.
func rendezvousScore(weight float64, key uint64) float64 {
	uniform := (float64(mix(key)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

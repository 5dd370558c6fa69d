package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// recordsOf returns count targets, of which each fourth one is near.
func recordsOf(count int) []*targetRecord {
	var made []*targetRecord
	for number := range count {
		id := directory.TargetID(number + 1)
		made = append(made, &targetRecord{
			TargetEntry: directory.TargetEntry{Token: directory.Token(number + 1), ID: id, Capacity: 1 + number%3, State: directory.TargetReady},
			seed:        seedOf(id), inLocalZone: number%4 == 0,
		})
	}
	return made
}

func poolOf(targets []*targetRecord) *pool {
	made := newPool()
	for _, target := range targets {
		made.add(target)
	}
	return &made
}

func chosenBy(pool *pool, hash uint64, nearWeight float64) *rankedTargets {
	var chosen rankedTargets
	pool.rank(rankCriteria{hash: mix(hash), now: start, localZoneWeight: nearWeight}, &chosen)
	return &chosen
}

// TestSmallPoolsAreRankedOneByOne: their choices are those of plain weighted rendezvous
// hashing, target by target.
func TestSmallPoolsAreRankedOneByOne(t *testing.T) {
	for _, count := range []int{1, 3, 14, 120, maxUngroupedTargets} {
		targets := recordsOf(count)
		targets[0].Aside = true
		pool := poolOf(targets)
		for hash := range uint64(200) {
			var plain rankedTargets
			for _, target := range targets[1:] {
				plain.add(target, target.score(mix(hash), start, 4))
			}
			require.Equal(t, plain, *chosenBy(pool, hash, 4))
		}
	}
}

// TestGroupedPoolsKeepWeights: whatever the groups, targets get flows by their weight.
func TestGroupedPoolsKeepWeights(t *testing.T) {
	const flows = 200000
	const nearWeight = 8
	targets := recordsOf(2000)
	pool := poolOf(targets)
	require.Greater(t, len(pool.groups), 1)
	weights, counts := make(map[string]float64), make(map[string]float64)
	total := 0.0
	kindOf := func(target *targetRecord) string { return fmt.Sprint(target.inLocalZone, target.Capacity) }
	for _, target := range targets {
		weight := float64(target.slots())
		if target.inLocalZone {
			weight *= nearWeight
		}
		weights[kindOf(target)] += weight
		total += weight
	}
	most := make(map[directory.Token]int)
	for hash := range uint64(flows) {
		chosen := chosenBy(pool, hash, nearWeight)
		require.Equal(t, maxRankedGroups, chosen.count)
		counts[kindOf(chosen.targets[0])]++
		most[chosen.targets[0].Token]++
	}
	for kind, weight := range weights {
		expected := flows * weight / total
		require.InDelta(t, expected, counts[kind], 4*math.Sqrt(expected), kind)
	}
	highest := 0
	for _, count := range most {
		highest = max(highest, count)
	}
	heaviest := flows * 3 * nearWeight / total
	require.Less(t, float64(highest), heaviest+6*math.Sqrt(heaviest), "no target stands out")
}

// TestGroupedPoolsMoveFewFlows: a target that goes takes its own flows along, and those
// that its group's lower weight moves.
func TestGroupedPoolsMoveFewFlows(t *testing.T) {
	const flows = 20000
	targets := recordsOf(2000)
	before, after := poolOf(targets), poolOf(targets)
	after.remove(targets[77])
	moved := 0
	for hash := range uint64(flows) {
		former, present := chosenBy(before, hash, 1).targets[0], chosenBy(after, hash, 1).targets[0]
		if former != present {
			moved++
			require.True(t, former == targets[77] || after.groupOf(former) == after.groupOf(targets[77]))
		}
	}
	require.Less(t, moved, flows*4/2000+40)
}

// TestGroupsWithoutUsableTargets are passed over, and of a pool without any the best are
// taken all the same.
func TestGroupsWithoutUsableTargets(t *testing.T) {
	targets := recordsOf(2000)
	known := &service{pool: *poolOf(targets)}
	for place := range known.pool.groups[3].targets {
		known.pool.groups[3].targets[place].Aside = true
	}
	for hash := range uint64(2000) {
		for _, target := range chosenBy(&known.pool, hash, 1).targets[:2] {
			require.False(t, target.Aside)
		}
		elsewhere := chosenBy(&known.pool, hash, 0)
		require.False(t, elsewhere.targets[0].inLocalZone)
	}
	for _, target := range targets {
		target.Aside = true
	}
	var chosen rankedTargets
	known.rank(rankCriteria{hash: 7, now: start, localZoneWeight: 1}, &chosen)
	require.Equal(t, maxRankedTargets, chosen.count)
}

// TestPoolsAreGroupedSeldom: targets that come and go by turns, as in a release, group a
// pool anew a few times at the most.
func TestPoolsAreGroupedSeldom(t *testing.T) {
	targets := recordsOf(4200)
	pool := poolOf(targets[:4096])
	regrouped, groups := 0, len(pool.groups)
	for round := range 1000 {
		pool.add(targets[4096+round%100])
		pool.remove(targets[4096+round%100])
		if len(pool.groups) != groups {
			regrouped, groups = regrouped+1, len(pool.groups)
		}
	}
	require.LessOrEqual(t, regrouped, 1)
	for _, target := range targets[:4096] {
		pool.remove(target)
	}
	require.Zero(t, pool.count)
	require.Len(t, pool.groups, 1)
}

func TestChoiceAmongThousandsAllocatesNothing(t *testing.T) {
	pool := poolOf(recordsOf(8000))
	hash := uint64(0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		var chosen rankedTargets
		hash++
		pool.rank(rankCriteria{hash: mix(hash), now: start, localZoneWeight: 64}, &chosen)
	}))
}

// changed returns a random change of a table of up to 40 targets of two services.
func randomChange(random *rand.Rand, from model.Revision) directory.Changes {
	change := directory.Changes{From: from, To: from + 1, Version: 3}
	for range 1 + random.IntN(4) {
		token := directory.Token(1 + random.IntN(40))
		if random.IntN(6) == 0 {
			change.Forgotten = append(change.Forgotten, token)
			continue
		}
		changed := entry(token, []string{"feed", "ledger"}[token%2], directory.TargetState(1+random.IntN(4)))
		changed.Zone = []string{"a", "b", "c"}[random.IntN(3)]
		changed.Capacity = 1 + random.IntN(3)
		changed.Cold = time.Duration(random.IntN(2)) * time.Second
		changed.Holder = []model.NodeName{"", "self", "other"}[random.IntN(3)]
		change.Targets = append(change.Targets, changed)
	}
	switch random.IntN(12) {
	case 0:
		change.Zones = &directory.Zones{}
		if random.IntN(2) == 0 {
			change.Zones.Evacuated = []directory.Evacuation{{Zone: "b", Since: from}}
		}
	case 1:
		change.ColdLimits = &directory.ColdLimits{PerSecond: map[string]float64{"ledger": float64(random.IntN(2))}}
	case 2:
		change.Routes = []directory.RouteEntry{{
			Address: feedRouteAt(8080), Pool: []declared.PoolPart{{Service: "feed", Weight: 1}},
			Regions: [][]string{nil, {"north"}}[random.IntN(2)],
		}}
	}
	return change
}

// shapeOf describes the services of a table.
func shapeOf(table *Table) map[serviceKey]string {
	shapes := make(map[serviceKey]string)
	for key, known := range table.services {
		taking := make(map[directory.Token]bool)
		known.pool.forEach(func(target *targetRecord) { taking[target.Token] = true })
		held := make(map[directory.Token]bool)
		for _, target := range known.heldCold {
			held[target.Token] = true
		}
		shapes[key] = fmt.Sprint(taking, held, known.coldCount, known.targetCount, known.capacity, known.slotsByZone, known.localZoneSlots,
			known.maxLocalZoneWeight, known.coldFlowRate, known.evacuatedSince, known.pool.count, known.pool.groups[0].slots)
	}
	return shapes
}

// TestServicesFollowTheirTargets: a table that takes changes one by one has the services of
// one that takes everything at once.
func TestServicesFollowTheirTargets(t *testing.T) {
	options := DefaultOptions()
	options.Self, options.Zone = "self", "a"
	options.Regions = map[string]string{"a": "north", "b": "north", "c": "south"}
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(41))
	properties.Property("services", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		followed := NewTable(options)
		first := whole(0)
		first.Zones, first.ColdLimits = &directory.Zones{}, &directory.ColdLimits{}
		require.True(t, followed.Apply(first, start))
		for range 60 {
			require.True(t, followed.Apply(randomChange(random, followed.Revision()), start))
			fresh := NewTable(options)
			require.True(t, fresh.Apply(followed.Snapshot(), start))
			if fmt.Sprint(shapeOf(followed)) != fmt.Sprint(shapeOf(fresh)) {
				t.Logf("followed %v\nfresh %v", shapeOf(followed), shapeOf(fresh))
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// fleetOf returns a first table of count targets in five zones.
func fleetOf(count int) directory.Changes {
	changes := whole(0)
	for number := range count {
		added := entry(directory.Token(number+1), "feed", directory.TargetReady)
		added.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 8080)
		added.Zone = fmt.Sprint("zone-", number%5)
		changes.Targets = append(changes.Targets, added)
	}
	return changes
}

// BenchmarkFleet shows what one opening packet, and the change of one target, cost in a
// service of many targets.
func BenchmarkFleet(b *testing.B) {
	options := DefaultOptions()
	options.Zone = "zone-0"
	for _, count := range []int{480, 2000, 8000, 16000} {
		table := NewTable(options)
		table.Apply(fleetOf(count), start)
		table.Confirm(start)
		b.Run(fmt.Sprintf("open/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			port := 0
			for b.Loop() {
				port++
				table.Decide(opening(port), start)
			}
		})
		b.Run(fmt.Sprintf("change/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			change := directory.Changes{From: table.Revision(), To: table.Revision(), Version: 3, Targets: fleetOf(1).Targets}
			for b.Loop() {
				change.From = change.To
				change.To++
				table.Apply(change, start)
			}
		})
	}
}

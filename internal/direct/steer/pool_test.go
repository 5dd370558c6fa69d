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

// testRecords returns count targets with one to three slots, of which every fourth is in the local
// zone.
func testRecords(count int) []*targetRecord {
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

// poolOf returns a pool of the targets.
func poolOf(targets []*targetRecord) *pool {
	made := newPool()
	for _, target := range targets {
		made.add(target)
	}
	return &made
}

// rankedBy returns the best targets of the pool for the hash.
func rankedBy(pool *pool, hash uint64, localZoneWeight float64) *rankedTargets {
	var ranked rankedTargets
	pool.rank(rankCriteria{hash: mix(hash), now: start, localZoneWeight: localZoneWeight}, &ranked)
	return &ranked
}

// TestSmallPoolsUsePlainRendezvousHashing: a pool of a single group ranks its targets as plain
// weighted rendezvous hashing does, target by target.
func TestSmallPoolsUsePlainRendezvousHashing(t *testing.T) {
	for _, count := range []int{1, 3, 14, 120, maxUngroupedTargets} {
		targets := testRecords(count)
		targets[0].Aside = true
		pool := poolOf(targets)
		for hash := range uint64(200) {
			var plain rankedTargets
			for _, target := range targets[1:] {
				plain.add(target, target.score(mix(hash), start, 4))
			}
			require.Equal(t, plain, *rankedBy(pool, hash, 4))
		}
	}
}

// TestGroupedPoolsChooseTargetsByWeight: the groups must not change how often a target is chosen.
func TestGroupedPoolsChooseTargetsByWeight(t *testing.T) {
	const flows = 200000
	const localZoneWeight = 8
	targets := testRecords(2000)
	pool := poolOf(targets)
	require.Greater(t, len(pool.groups), 1)
	weights, counts := make(map[string]float64), make(map[string]float64)
	total := 0.0
	kindOf := func(target *targetRecord) string { return fmt.Sprint(target.inLocalZone, target.Capacity) }
	for _, target := range targets {
		weight := float64(target.slots())
		if target.inLocalZone {
			weight *= localZoneWeight
		}
		weights[kindOf(target)] += weight
		total += weight
	}
	countByToken := make(map[directory.Token]int)
	for hash := range uint64(flows) {
		chosen := rankedBy(pool, hash, localZoneWeight)
		require.Equal(t, maxRankedGroups, chosen.count)
		counts[kindOf(chosen.targets[0])]++
		countByToken[chosen.targets[0].Token]++
	}
	for kind, weight := range weights {
		expected := flows * weight / total
		require.InDelta(t, expected, counts[kind], 4*math.Sqrt(expected), kind)
	}
	highest := 0
	for _, count := range countByToken {
		highest = max(highest, count)
	}
	heaviest := flows * 3 * localZoneWeight / total
	require.Less(t, float64(highest), heaviest+6*math.Sqrt(heaviest), "no target gets far more flows than the heaviest weight allows")
}

// TestGroupedPoolsMoveFewFlows: removing a target moves only its own flows and those that leave its
// group because the group's weight is lower.
func TestGroupedPoolsMoveFewFlows(t *testing.T) {
	const flows = 20000
	targets := testRecords(2000)
	before, after := poolOf(targets), poolOf(targets)
	after.remove(targets[77])
	moved := 0
	for hash := range uint64(flows) {
		previous, current := rankedBy(before, hash, 1).targets[0], rankedBy(after, hash, 1).targets[0]
		if previous != current {
			moved++
			require.True(t, previous == targets[77] || after.groupOf(previous) == after.groupOf(targets[77]))
		}
	}
	require.Less(t, moved, flows*4/2000+40)
}

// TestGroupsWithoutUsableTargetsAreSkipped: a flow goes to the targets of other groups. When no
// target of the pool is usable, the best ones are ranked nevertheless.
func TestGroupsWithoutUsableTargetsAreSkipped(t *testing.T) {
	targets := testRecords(2000)
	known := &service{pool: *poolOf(targets)}
	for index := range known.pool.groups[3].targets {
		known.pool.groups[3].targets[index].Aside = true
	}
	for hash := range uint64(2000) {
		for _, target := range rankedBy(&known.pool, hash, 1).targets[:2] {
			require.False(t, target.Aside)
		}
		remote := rankedBy(&known.pool, hash, 0)
		require.False(t, remote.targets[0].inLocalZone)
	}
	for _, target := range targets {
		target.Aside = true
	}
	var chosen rankedTargets
	known.rank(rankCriteria{hash: 7, now: start, localZoneWeight: 1}, &chosen)
	require.Equal(t, maxRankedTargets, chosen.count)
}

// TestPoolsAreRarelyRegrouped: adding and removing targets in turns, as in a release, must not
// regroup a pool again and again.
func TestPoolsAreRarelyRegrouped(t *testing.T) {
	targets := testRecords(4200)
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
	pool := poolOf(testRecords(8000))
	hash := uint64(0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		var chosen rankedTargets
		hash++
		pool.rank(rankCriteria{hash: mix(hash), now: start, localZoneWeight: 64}, &chosen)
	}))
}

// randomChange returns a random change of a table with up to 40 targets of two services.
func randomChange(random *rand.Rand, from model.Revision) directory.Changes {
	change := directory.Changes{From: from, To: from + 1, Version: 3}
	for range 1 + random.IntN(4) {
		token := directory.Token(1 + random.IntN(40))
		if random.IntN(6) == 0 {
			change.Forgotten = append(change.Forgotten, token)
			continue
		}
		changed := targetEntry(token, []string{"feed", "ledger"}[token%2], directory.TargetState(1+random.IntN(4)))
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

// describeServices returns a text for each service of a table that two tables can be compared by.
func describeServices(table *Table) map[serviceKey]string {
	descriptions := make(map[serviceKey]string)
	for key, known := range table.services {
		active := make(map[directory.Token]bool)
		known.pool.forEach(func(target *targetRecord) { active[target.Token] = true })
		held := make(map[directory.Token]bool)
		for _, target := range known.heldCold {
			held[target.Token] = true
		}
		descriptions[key] = fmt.Sprint(active, held, known.coldCount, known.targetCount, known.capacity, known.slotsByZone, known.localZoneSlots,
			known.maxLocalZoneWeight, known.coldFlowRate, known.evacuatedSince, known.pool.count, known.pool.groups[0].slots)
	}
	return descriptions
}

// TestIncrementalUpdatesMatchAFullRebuild: a table that applies changes one by one must have the
// same services as one that applies a full snapshot.
func TestIncrementalUpdatesMatchAFullRebuild(t *testing.T) {
	options := DefaultOptions()
	options.Self, options.Zone = "self", "a"
	options.Regions = map[string]string{"a": "north", "b": "north", "c": "south"}
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(41))
	properties.Property("services are the same", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		incremental := NewTable(options)
		first := fullSnapshot(0)
		first.Zones, first.ColdLimits = &directory.Zones{}, &directory.ColdLimits{}
		require.True(t, incremental.Apply(first, start))
		for range 60 {
			require.True(t, incremental.Apply(randomChange(random, incremental.Revision()), start))
			rebuilt := NewTable(options)
			require.True(t, rebuilt.Apply(incremental.Snapshot(), start))
			if fmt.Sprint(describeServices(incremental)) != fmt.Sprint(describeServices(rebuilt)) {
				t.Logf("incremental %v\nrebuilt %v", describeServices(incremental), describeServices(rebuilt))
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// fleetSnapshot returns a snapshot of count targets in five zones.
func fleetSnapshot(count int) directory.Changes {
	changes := fullSnapshot(0)
	for number := range count {
		added := targetEntry(directory.Token(number+1), "feed", directory.TargetReady)
		added.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 8080)
		added.Zone = fmt.Sprint("zone-", number%5)
		changes.Targets = append(changes.Targets, added)
	}
	return changes
}

// BenchmarkFleet measures an opening packet, and the change of one target, in a service with many
// targets.
func BenchmarkFleet(b *testing.B) {
	options := DefaultOptions()
	options.Zone = "zone-0"
	for _, count := range []int{480, 2000, 8000, 16000} {
		table := NewTable(options)
		table.Apply(fleetSnapshot(count), start)
		table.Confirm(start)
		b.Run(fmt.Sprintf("open/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			port := 0
			for b.Loop() {
				port++
				table.Decide(openingPacket(port), start)
			}
		})
		b.Run(fmt.Sprintf("change/targets=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			change := directory.Changes{From: table.Revision(), To: table.Revision(), Version: 3, Targets: fleetSnapshot(1).Targets}
			for b.Loop() {
				change.From = change.To
				change.To++
				table.Apply(change, start)
			}
		})
	}
}

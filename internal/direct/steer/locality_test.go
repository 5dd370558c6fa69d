package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// threeZones returns a first table of targets in three zones, perZone in each of them, which are
// a, b and c by turns of perZone.
func threeZones(perZone int) directory.Changes {
	changes := whole(3 * perZone)
	for index := range changes.Targets {
		changes.Targets[index].Zone = string(rune('a' + index/perZone))
	}
	return changes
}

// zonedTable returns the table of a balancer in zone a.
func zonedTable(t testing.TB, changes directory.Changes, known Loads) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Zone = "a"
	options.Loads = known
	table := NewTable(options)
	require.True(t, table.Apply(changes, start))
	table.Confirm(start)
	return table
}

// places counts where flows go.
func places(table *Table, flows int) map[Locality]int {
	counts := make(map[Locality]int)
	for port := range flows {
		counts[table.Decide(opening(port+1), start).Locality]++
	}
	return counts
}

func TestFlowsStayInTheirZoneWhileItHasRoom(t *testing.T) {
	const flows = 20_000
	counts := places(zonedTable(t, threeZones(10), loads{1: 1, 2: 1, 3: 1}), flows)
	require.Zero(t, counts[LocalitySpillover])
	require.InDelta(t, 64.0/66, float64(counts[LocalityLocalZone])/flows, 0.01)
}

// TestBlindBalancersKeepAPartElsewhere: a balancer that does not see how busy targets are
// cannot spill, and prefers its zone less.
func TestBlindBalancersKeepAPartElsewhere(t *testing.T) {
	const flows = 20_000
	counts := places(zonedTable(t, threeZones(10), nil), flows)
	require.InDelta(t, 4.0/6, float64(counts[LocalityLocalZone])/flows, 0.02)
}

// TestAZoneWithFewTargetsIsPreferredInProportion: nineteen of a zone's twenty targets are
// gone; the last one does not get the whole zone's flows.
func TestAZoneWithFewTargetsIsPreferredInProportion(t *testing.T) {
	const flows = 20_000
	changes := threeZones(20)
	changes.Targets = changes.Targets[19:]
	counts := places(zonedTable(t, changes, loads{}), flows)
	require.Less(t, float64(counts[LocalityLocalZone])/flows, 0.2)
	require.Greater(t, float64(counts[LocalityLocalZone])/flows, 1.0/41)
}

// TestFullZonesKeepTheirFlows: where all are as full, crossing zones gains nothing.
func TestFullZonesKeepTheirFlows(t *testing.T) {
	full := loads{}
	for token := directory.Token(1); token <= 30; token++ {
		full[token] = 6 + int(token%3)
	}
	require.Zero(t, places(zonedTable(t, threeZones(10), full), 5000)[LocalitySpillover])
}

func TestSpilledFlowsGoWhereLessThanHalfIsOpen(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("a spilled flow finds at most half of what is open at any near candidate", prop.ForAll(
		func(open []int, port int) bool {
			known := loads{}
			for index, count := range open {
				known[directory.Token(index+1)] = count
			}
			decision := zonedTable(t, threeZones(4), known).Decide(opening(port), start)
			if decision.Locality != LocalitySpillover {
				return true
			}
			least := 0
			for token := directory.Token(1); token <= 4; token++ {
				least = max(least, known[token])
			}
			return decision.Token > 4 && 2*max(known[decision.Token], 1) <= max(least, 2)
		},
		gen.SliceOfN(12, gen.IntRange(0, 12)), gen.IntRange(1, 60_000)))
	properties.TestingRun(t)
}

// surge is the load that spilling answers: callers of one zone come five times as many for
// some seconds, while those of the other zones are calm. Balancers know the open requests of
// all as they were a moment ago, and their own at once.
type surge struct {
	now      time.Time
	tables   []*Table
	zones    []string
	known    []*delayed
	finishes map[directory.Token][]time.Time
	random   *rand.Rand
	// spilled are the new flows of the present span that crossed zones for want of room,
	// by the zone they came from; opened are all.
	spilled, opened map[string]int
	// waits is the number of rounds of work that requests of zone a waited for in sum.
	waits int
}

// meanWait returns the rounds of work that a request of zone a waited for on average.
func (surge *surge) meanWait() float64 { return float64(surge.waits) / float64(surge.opened["a"]) }

// calm and pressed are what zones ask of the slots of one zone.
var (
	calm    = map[string]float64{"a": 0.3, "b": 0.3, "c": 0.3}
	pressed = map[string]float64{"a": 1.5, "b": 0.3, "c": 0.3}
)

// delayed is what one balancer knows.
type delayed struct {
	shared map[directory.Token]int
	own    map[directory.Token]int
}

// Known implements Loads.
func (delayed *delayed) Reliable() bool { return true }

// Coming implements Loads.
func (delayed *delayed) Pending(directory.Token) int { return 0 }

// Proven implements Loads.
func (delayed *delayed) SufficientForRefusal(time.Time) bool { return true }

// Evidence implements Loads.
func (delayed *delayed) Evidence(directory.Token, time.Time) Evidence {
	return Evidence{ReportedAgo: NeverReported}
}

// Load implements Loads.
func (delayed *delayed) Load(token directory.Token) (int, time.Duration) {
	return delayed.shared[token] + delayed.own[token], 0
}

// Typical implements Loads.
func (delayed *delayed) TypicalServiceTime(string) time.Duration { return 0 }

const (
	// workTime is how long a request occupies a slot.
	workTime = 40 * time.Millisecond
	// sharedEach is the age at which counts are replaced by newer ones.
	sharedEach = 80 * time.Millisecond
	// balancersEach is the number of balancers of a zone.
	balancersEach = 7
	// targetsEach is the number of targets of a zone.
	targetsEach = 20
)

func newSurge(t *testing.T, spillCandidates int) *surge {
	made := &surge{now: start, finishes: make(map[directory.Token][]time.Time), random: rand.New(rand.NewPCG(1, 2))}
	for _, zone := range []string{"a", "b", "c"} {
		for range balancersEach {
			known := &delayed{shared: make(map[directory.Token]int), own: make(map[directory.Token]int)}
			options := DefaultOptions()
			options.Zone = zone
			options.Loads = known
			options.SpilloverCandidates = spillCandidates
			table := NewTable(options)
			require.True(t, table.Apply(threeZones(targetsEach), start))
			made.tables = append(made.tables, table)
			made.zones = append(made.zones, zone)
			made.known = append(made.known, known)
		}
	}
	return made
}

// open returns the requests that are open at a target.
func (surge *surge) open(token directory.Token) int {
	kept := surge.finishes[token][:0]
	for _, at := range surge.finishes[token] {
		if at.After(surge.now) {
			kept = append(kept, at)
		}
	}
	surge.finishes[token] = kept
	return len(kept)
}

// share tells all balancers what is open.
func (surge *surge) share() {
	for token := directory.Token(1); token <= 3*targetsEach; token++ {
		open := surge.open(token)
		for _, known := range surge.known {
			known.shared[token] = open
			known.own[token] = 0
		}
	}
}

// run lets the zones ask for a part of the slots of one zone each, for a while.
func (surge *surge) run(duration time.Duration, demand map[string]float64) {
	surge.spilled, surge.opened, surge.waits = make(map[string]int), make(map[string]int), 0
	const step = time.Millisecond
	for end := surge.now.Add(duration); surge.now.Before(end); surge.now = surge.now.Add(step) {
		if surge.now.Sub(start)%sharedEach == 0 {
			surge.share()
		}
		for _, zone := range []string{"a", "b", "c"} {
			perStep := demand[zone] * 2 * targetsEach * float64(step) / float64(workTime)
			for ; perStep > 0 && surge.random.Float64() < perStep; perStep-- {
				surge.arrive(zone)
			}
		}
	}
}

// arrive gives one new flow of a zone to a target, whose slots work on one after the other.
func (surge *surge) arrive(zone string) {
	balancer := int(zone[0]-'a')*balancersEach + surge.random.IntN(balancersEach)
	segment := opening(1 + surge.random.IntN(60_000))
	decision := surge.tables[balancer].Decide(segment, surge.now)
	surge.opened[zone]++
	if decision.Locality == LocalitySpillover {
		surge.spilled[zone]++
	}
	open := surge.open(decision.Token)
	if zone == "a" {
		surge.waits += open / 2
	}
	surge.known[balancer].own[decision.Token]++
	surge.finishes[decision.Token] = append(surge.finishes[decision.Token], surge.now.Add(workTime*time.Duration(1+open/2)))
}

// TestTheSurplusOfAZoneGoesElsewhere: in calm next to nothing crosses. With 1.5 times what
// its zone can do, at least the surplus crosses, which is a third, and no more than another
// sixth for chance, and requests wait for less than two others on average. Then it is as
// before. Without spilling they wait for more than ten.
func TestTheSurplusOfAZoneGoesElsewhere(t *testing.T) {
	surge := newSurge(t, DefaultOptions().SpilloverCandidates)
	surge.run(2*time.Second, calm)
	require.Less(t, float64(surge.spilled["a"]), 0.01*float64(surge.opened["a"]))
	surge.run(4*time.Second, pressed)
	share := float64(surge.spilled["a"]) / float64(surge.opened["a"])
	require.Greater(t, share, 1.0/3)
	require.Less(t, share, 1.0/2)
	require.Less(t, surge.meanWait(), 2.0)
	require.Less(t, float64(surge.spilled["b"]+surge.spilled["c"]), 0.2*float64(surge.opened["b"]+surge.opened["c"]),
		"other zones, which are six tenths full then, keep theirs but for a fifth")
	surge.run(200*time.Millisecond, calm)
	surge.run(2*time.Second, calm)
	require.Less(t, float64(surge.spilled["a"]), 0.01*float64(surge.opened["a"]))

	kept := newSurge(t, 0)
	kept.run(4*time.Second, pressed)
	require.Greater(t, kept.meanWait(), 10.0)
}

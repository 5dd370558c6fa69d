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

// threeZoneSnapshot returns a snapshot with perZone targets in each of the zones a, b and c. Tokens
// are in the order of the zones.
func threeZoneSnapshot(perZone int) directory.Changes {
	changes := fullSnapshot(3 * perZone)
	for index := range changes.Targets {
		changes.Targets[index].Zone = string(rune('a' + index/perZone))
	}
	return changes
}

// zoneATable returns the table of a balancer in zone a.
func zoneATable(t testing.TB, changes directory.Changes, loads Loads) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Zone = "a"
	options.Loads = loads
	table := NewTable(options)
	require.True(t, table.Apply(changes, start))
	table.Confirm(start)
	return table
}

// countLocalities returns the number of flows to targets of each locality.
func countLocalities(table *Table, flows int) map[Locality]int {
	counts := make(map[Locality]int)
	for port := range flows {
		counts[table.Decide(openingPacket(port+1), start).Locality]++
	}
	return counts
}

func TestFlowsStayInTheirZoneWhileItHasRoom(t *testing.T) {
	const flows = 20_000
	counts := countLocalities(zoneATable(t, threeZoneSnapshot(10), openCounts{1: 1, 2: 1, 3: 1}), flows)
	require.Zero(t, counts[LocalitySpillover])
	require.InDelta(t, 64.0/66, float64(counts[LocalityLocalZone])/flows, 0.01)
}

// TestBalancersWithoutLoadsSendPartOfTheirFlowsToRemoteZones: a balancer without load estimates
// cannot spill over, and prefers its zone less.
func TestBalancersWithoutLoadsSendPartOfTheirFlowsToRemoteZones(t *testing.T) {
	const flows = 20_000
	counts := countLocalities(zoneATable(t, threeZoneSnapshot(10), nil), flows)
	require.InDelta(t, 4.0/6, float64(counts[LocalityLocalZone])/flows, 0.02)
}

// TestLocalZoneWeightIsLimitedWhenTheZoneHasFewTargets: when 19 of a zone's 20 targets have been
// removed, the last one must not get all flows of the zone.
func TestLocalZoneWeightIsLimitedWhenTheZoneHasFewTargets(t *testing.T) {
	const flows = 20_000
	changes := threeZoneSnapshot(20)
	changes.Targets = changes.Targets[19:]
	counts := countLocalities(zoneATable(t, changes, openCounts{}), flows)
	require.Less(t, float64(counts[LocalityLocalZone])/flows, 0.2)
	require.Greater(t, float64(counts[LocalityLocalZone])/flows, 1.0/41)
}

// TestNoSpilloverWhenAllZonesAreFull: when all zones are equally full, crossing zones gains
// nothing.
func TestNoSpilloverWhenAllZonesAreFull(t *testing.T) {
	full := openCounts{}
	for token := directory.Token(1); token <= 30; token++ {
		full[token] = 6 + int(token%3)
	}
	require.Zero(t, countLocalities(zoneATable(t, threeZoneSnapshot(10), full), 5000)[LocalitySpillover])
}

func TestSpilloverTargetsHaveAtMostHalfTheOpenRequests(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("a flow that spills over finds at most half of the open requests of the busiest local target", prop.ForAll(
		func(open []int, port int) bool {
			counts := openCounts{}
			for index, count := range open {
				counts[directory.Token(index+1)] = count
			}
			decision := zoneATable(t, threeZoneSnapshot(4), counts).Decide(openingPacket(port), start)
			if decision.Locality != LocalitySpillover {
				return true
			}
			busiest := 0
			for token := directory.Token(1); token <= 4; token++ {
				busiest = max(busiest, counts[token])
			}
			return decision.Token > 4 && 2*max(counts[decision.Token], 1) <= max(busiest, 2)
		},
		gen.SliceOfN(12, gen.IntRange(0, 12)), gen.IntRange(1, 60_000)))
	properties.TestingRun(t)
}

// demandSimulation simulates balancers and targets in three zones with a given demand. Its main
// case is the demand that spillover is made for: callers of one zone send five times as many
// requests for some seconds, and those of the other zones do not. Balancers know the open requests
// of all balancers as of the last report, and their own at once.
type demandSimulation struct {
	now time.Time
	// tables, zones and loads have an entry for each balancer.
	tables []*Table
	zones  []string
	loads  []*delayedLoads
	// finishes has the times when the requests at a target finish.
	finishes map[directory.Token][]time.Time
	random   *rand.Rand
	// opened is the number of new flows in the current run, by the zone of the caller, and
	// spilledOver the number of those that went to another zone by spillover.
	spilledOver, opened map[string]int
	// roundsWaited is the sum over the requests of zone a of the rounds of requests that each
	// waited for. A round is one request in each slot of the target.
	roundsWaited int
}

// meanWait returns the mean number of rounds that a request of zone a waited for.
func (simulation *demandSimulation) meanWait() float64 {
	return float64(simulation.roundsWaited) / float64(simulation.opened["a"])
}

// evenDemand and surgeInZoneA are the demand of each zone as a share of the slots of one zone.
var (
	evenDemand   = map[string]float64{"a": 0.3, "b": 0.3, "c": 0.3}
	surgeInZoneA = map[string]float64{"a": 1.5, "b": 0.3, "c": 0.3}
)

// delayedLoads implements Loads for one balancer, with the open requests that were last reported
// and the number of its own requests since.
type delayedLoads struct {
	reported map[directory.Token]int
	local    map[directory.Token]int
}

// Reliable implements Loads.
func (loads *delayedLoads) Reliable() bool { return true }

// Pending implements Loads.
func (loads *delayedLoads) Pending(directory.Token) int { return 0 }

// SufficientForRefusal implements Loads.
func (loads *delayedLoads) SufficientForRefusal(time.Time) bool { return true }

// Evidence implements Loads.
func (loads *delayedLoads) Evidence(directory.Token, time.Time) Evidence {
	return Evidence{ReportedAgo: NeverReported}
}

// Load implements Loads.
func (loads *delayedLoads) Load(token directory.Token) (int, time.Duration) {
	return loads.reported[token] + loads.local[token], 0
}

// TypicalServiceTime implements Loads.
func (loads *delayedLoads) TypicalServiceTime(string) time.Duration { return 0 }

const (
	// requestTime is how long a request occupies a slot.
	requestTime = 40 * time.Millisecond
	// reportInterval is the time between reports of open requests to all balancers.
	reportInterval = 80 * time.Millisecond
	// balancersPerZone is the number of balancers in each zone.
	balancersPerZone = 7
	// targetsPerZone is the number of targets in each zone. Each has two slots.
	targetsPerZone = 20
)

func newDemandSimulation(t *testing.T, spilloverCandidates int) *demandSimulation {
	made := &demandSimulation{now: start, finishes: make(map[directory.Token][]time.Time), random: rand.New(rand.NewPCG(1, 2))}
	for _, zone := range []string{"a", "b", "c"} {
		for range balancersPerZone {
			loads := &delayedLoads{reported: make(map[directory.Token]int), local: make(map[directory.Token]int)}
			options := DefaultOptions()
			options.Zone = zone
			options.Loads = loads
			options.SpilloverCandidates = spilloverCandidates
			table := NewTable(options)
			require.True(t, table.Apply(threeZoneSnapshot(targetsPerZone), start))
			made.tables = append(made.tables, table)
			made.zones = append(made.zones, zone)
			made.loads = append(made.loads, loads)
		}
	}
	return made
}

// open returns the number of open requests at a target.
func (simulation *demandSimulation) open(token directory.Token) int {
	kept := simulation.finishes[token][:0]
	for _, at := range simulation.finishes[token] {
		if at.After(simulation.now) {
			kept = append(kept, at)
		}
	}
	simulation.finishes[token] = kept
	return len(kept)
}

// report reports the open requests of all targets to all balancers.
func (simulation *demandSimulation) report() {
	for token := directory.Token(1); token <= 3*targetsPerZone; token++ {
		open := simulation.open(token)
		for _, loads := range simulation.loads {
			loads.reported[token] = open
			loads.local[token] = 0
		}
	}
}

// run simulates the duration. demand is the demand of each zone as a share of the slots of one
// zone.
func (simulation *demandSimulation) run(duration time.Duration, demand map[string]float64) {
	simulation.spilledOver, simulation.opened, simulation.roundsWaited = make(map[string]int), make(map[string]int), 0
	const step = time.Millisecond
	for end := simulation.now.Add(duration); simulation.now.Before(end); simulation.now = simulation.now.Add(step) {
		if simulation.now.Sub(start)%reportInterval == 0 {
			simulation.report()
		}
		for _, zone := range []string{"a", "b", "c"} {
			perStep := demand[zone] * 2 * targetsPerZone * float64(step) / float64(requestTime)
			for ; perStep > 0 && simulation.random.Float64() < perStep; perStep-- {
				simulation.arrive(zone)
			}
		}
	}
}

// arrive opens a new flow with one request at a balancer of the zone. The target's slots serve its
// requests in rounds, one after the other.
func (simulation *demandSimulation) arrive(zone string) {
	balancer := int(zone[0]-'a')*balancersPerZone + simulation.random.IntN(balancersPerZone)
	segment := openingPacket(1 + simulation.random.IntN(60_000))
	decision := simulation.tables[balancer].Decide(segment, simulation.now)
	simulation.opened[zone]++
	if decision.Locality == LocalitySpillover {
		simulation.spilledOver[zone]++
	}
	open := simulation.open(decision.Token)
	if zone == "a" {
		simulation.roundsWaited += open / 2
	}
	simulation.loads[balancer].local[decision.Token]++
	simulation.finishes[decision.Token] = append(simulation.finishes[decision.Token], simulation.now.Add(requestTime*time.Duration(1+open/2)))
}

// TestSurplusOfAZoneSpillsOver: with even demand, almost no flow crosses zones. With 1.5 times the
// demand that zone a can handle, at least the surplus crosses, which is a third, and at most
// another sixth by chance, and requests wait for less than two rounds on average. After the surge,
// almost no flow crosses again. Without spillover, requests wait for more than ten rounds.
func TestSurplusOfAZoneSpillsOver(t *testing.T) {
	simulation := newDemandSimulation(t, DefaultOptions().SpilloverCandidates)
	simulation.run(2*time.Second, evenDemand)
	require.Less(t, float64(simulation.spilledOver["a"]), 0.01*float64(simulation.opened["a"]))
	simulation.run(4*time.Second, surgeInZoneA)
	share := float64(simulation.spilledOver["a"]) / float64(simulation.opened["a"])
	require.Greater(t, share, 1.0/3)
	require.Less(t, share, 1.0/2)
	require.Less(t, simulation.meanWait(), 2.0)
	require.Less(t, float64(simulation.spilledOver["b"]+simulation.spilledOver["c"]), 0.2*float64(simulation.opened["b"]+simulation.opened["c"]),
		"the other zones, which are then used to six tenths, keep all but a fifth of their flows")
	simulation.run(200*time.Millisecond, evenDemand)
	simulation.run(2*time.Second, evenDemand)
	require.Less(t, float64(simulation.spilledOver["a"]), 0.01*float64(simulation.opened["a"]))

	withoutSpillover := newDemandSimulation(t, 0)
	withoutSpillover.run(4*time.Second, surgeInZoneA)
	require.Greater(t, withoutSpillover.meanWait(), 10.0)
}

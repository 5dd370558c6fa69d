package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// coldLimit is the number of new flows a second that a cold target may get in the tests.
const coldLimit = 4

// coldLimitedSnapshot returns a snapshot with count ready targets of a service whose cold targets
// are limited to coldLimit. holders maps the token of each cold target to its holder.
func coldLimitedSnapshot(count int, holders map[directory.Token]model.NodeName) directory.Changes {
	changes := fullSnapshot(count)
	changes.ColdLimits = &directory.ColdLimits{PerSecond: map[string]float64{"feed": coldLimit}}
	for index := range changes.Targets {
		target := &changes.Targets[index]
		if holder, cold := holders[target.Token]; cold {
			target.Cold, target.Holder = 2*time.Second, holder
		}
	}
	return changes
}

// tableOfBalancer returns the table of a balancer that has had its configuration for a minute.
func tableOfBalancer(t testing.TB, self model.NodeName, changes directory.Changes) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Self = self
	table := NewTable(options)
	require.True(t, table.Apply(changes, start.Add(-time.Minute)))
	table.Confirm(start)
	return table
}

func TestColdTargetsGetNoFlowsWhileWarmOnesHaveRoom(t *testing.T) {
	table := tableOfBalancer(t, "b1", coldLimitedSnapshot(3, map[directory.Token]model.NodeName{2: "b1"}))
	_, capacity := table.ServiceCapacity(2)
	require.Equal(t, 4, capacity, "the capacity of cold targets does not count")
	require.ElementsMatch(t, []directory.Token{1, 3}, reachedTargets(t, table))
	warm := targetEntry(2, "feed", directory.TargetReady)
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 3, Targets: []directory.TargetEntry{warm}}, start))
	require.ElementsMatch(t, []directory.Token{1, 2, 3}, reachedTargets(t, table))
}

// TestTargetThatBecomesColdLaterGetsNoFlows: the limit applies to a known target that a change
// marks as cold.
func TestTargetThatBecomesColdLaterGetsNoFlows(t *testing.T) {
	table := tableOfBalancer(t, "b1", coldLimitedSnapshot(3, nil))
	cold := targetEntry(2, "feed", directory.TargetReady)
	cold.Cold = time.Second
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 3, Targets: []directory.TargetEntry{cold}}, start))
	require.ElementsMatch(t, []directory.Token{1, 3}, reachedTargets(t, table))
}

func TestHolderOfAColdTargetUsesItsRateAndRefusesTheRest(t *testing.T) {
	table := tableOfBalancer(t, "b1", coldLimitedSnapshot(2, map[directory.Token]model.NodeName{1: "b1", 2: "b2"}))
	forwarded, refused := 0, 0
	for port := 1; port <= 50; port++ {
		decision := table.Decide(openingPacket(port), start.Add(time.Duration(port)*20*time.Millisecond))
		switch decision.Action {
		case Forward:
			require.Equal(t, directory.Token(1), decision.Token)
			forwarded++
		case Reset:
			require.Equal(t, ReasonCold, decision.Reason)
			refused++
		}
	}
	require.Equal(t, coldLimit, forwarded)
	require.Equal(t, 50-coldLimit, refused, "flows beyond the limit are refused at once")
}

func TestRetransmissionOfAForwardedPacketIsNotRefusedForColdTargets(t *testing.T) {
	table := tableOfBalancer(t, "b1", coldLimitedSnapshot(1, map[directory.Token]model.NodeName{1: "b2"}))
	retransmitted := openingPacket(7)
	retransmitted.Attempt, retransmitted.AlreadyForwarded = 1, true
	decision := table.Decide(retransmitted, start)
	require.Equal(t, Drop, decision.Action)
	require.Equal(t, ReasonCold, decision.Reason)
}

// TestHolderThatJustStartedSendsNoFlowsToColdTargets: a holder does not know how many flows it sent
// before its restart.
func TestHolderThatJustStartedSendsNoFlowsToColdTargets(t *testing.T) {
	options := DefaultOptions()
	options.Self = "b1"
	table := NewTable(options)
	require.True(t, table.Apply(coldLimitedSnapshot(1, map[directory.Token]model.NodeName{1: "b1"}), start))
	require.Equal(t, ReasonCold, table.Decide(openingPacket(1), start.Add(coldRateWindow-time.Millisecond)).Reason)
	require.Equal(t, ReasonChosen, table.Decide(openingPacket(1), start.Add(coldRateWindow)).Reason)
}

// TestServicesWithoutAColdLimitUseColdTargets: without a limit, cold targets get new flows too,
// with a lower weight during slow start.
func TestServicesWithoutAColdLimitUseColdTargets(t *testing.T) {
	changes := fullSnapshot(3)
	changes.Targets[1].Cold = 2 * time.Second
	require.ElementsMatch(t, []directory.Token{1, 2, 3}, reachedTargets(t, tableOf(t, changes)))
}

// TestColdLimitHoldsWhenTablesOfBalancersDiffer: balancers have tables of different ages. Some do
// not know later targets, and some still have a target as cold that is warm by now. Whatever each
// of them forwards, a cold target may get no more than coldLimit new flows in any second from the
// balancers that have it as cold.
func TestColdLimitHoldsWhenTablesOfBalancersDiffer(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(41))
	properties.Property("no cold target gets more flows than its limit", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 7))
		balancers, targets := 2+random.IntN(20), 1+random.IntN(6)
		holders := make(map[directory.Token]model.NodeName)
		for token := 1; token <= targets; token++ {
			holders[directory.Token(token)] = model.NodeName(fmt.Sprintf("b%d", random.IntN(balancers)))
		}
		var tables []*Table
		for number := range balancers {
			known := coldLimitedSnapshot(targets, holders)
			known.Targets = known.Targets[:1+random.IntN(targets)]
			tables = append(tables, tableOfBalancer(t, model.NodeName(fmt.Sprintf("b%d", number)), known))
		}
		forwarded := make(map[directory.Token][]time.Duration)
		for passed := time.Duration(0); passed < 4*time.Second; passed += 5 * time.Millisecond {
			table := tables[random.IntN(balancers)]
			decision := table.Decide(openingPacket(1+random.IntN(60000)), start.Add(passed))
			if decision.Action == Forward {
				forwarded[decision.Token] = append(forwarded[decision.Token], passed)
			}
		}
		for _, times := range forwarded {
			for index := coldLimit; index < len(times); index++ {
				if times[index]-times[index-coldLimit] <= time.Second {
					return false
				}
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

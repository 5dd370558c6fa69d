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

// coldRate is the number of new flows a second that a cold target of the tests bears.
const coldRate = 4

// bounded returns a first table of ready targets of a service whose cold targets bear
// coldRate; holders has the holder of each cold one by its token.
func bounded(count int, holders map[directory.Token]model.NodeName) directory.Changes {
	changes := whole(count)
	changes.ColdLimits = &directory.ColdLimits{PerSecond: map[string]float64{"feed": coldRate}}
	for place := range changes.Targets {
		target := &changes.Targets[place]
		if holder, cold := holders[target.Token]; cold {
			target.Cold, target.Holder = 2*time.Second, holder
		}
	}
	return changes
}

// balancerOf returns the table of a balancer that has served for a while.
func balancerOf(t testing.TB, self model.NodeName, changes directory.Changes) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Self = self
	table := NewTable(options)
	require.True(t, table.Apply(changes, start.Add(-time.Minute)))
	table.Confirm(start)
	return table
}

func TestColdTargetsGetNothingWhileWarmOnesCanBearIt(t *testing.T) {
	table := balancerOf(t, "b1", bounded(3, map[directory.Token]model.NodeName{2: "b1"}))
	_, capacity := table.ServiceCapacity(2)
	require.Equal(t, 4, capacity, "load is compared with what is in use")
	require.ElementsMatch(t, []directory.Token{1, 3}, reached(t, table))
	warm := entry(2, "feed", directory.TargetReady)
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 3, Targets: []directory.TargetEntry{warm}}, start))
	require.ElementsMatch(t, []directory.Token{1, 2, 3}, reached(t, table))
}

// TestTargetThatTurnsColdLater: the coldness of an entry counts whenever it comes.
func TestTargetThatTurnsColdLater(t *testing.T) {
	table := balancerOf(t, "b1", bounded(3, nil))
	cold := entry(2, "feed", directory.TargetReady)
	cold.Cold = time.Second
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 3, Targets: []directory.TargetEntry{cold}}, start))
	require.ElementsMatch(t, []directory.Token{1, 3}, reached(t, table))
}

func TestHolderOfAColdTargetUsesItsRateAndRefusesTheRest(t *testing.T) {
	table := balancerOf(t, "b1", bounded(2, map[directory.Token]model.NodeName{1: "b1", 2: "b2"}))
	given, refused := 0, 0
	for port := 1; port <= 50; port++ {
		decision := table.Decide(opening(port), start.Add(time.Duration(port)*20*time.Millisecond))
		switch decision.Action {
		case Forward:
			require.Equal(t, directory.Token(1), decision.Token)
			given++
		case Reset:
			require.Equal(t, ReasonCold, decision.Reason)
			refused++
		}
	}
	require.Equal(t, coldRate, given)
	require.Equal(t, 50-coldRate, refused, "what cannot be served is refused at once")
}

func TestCopyOfAnOpenedFlowIsNotRefusedForColdness(t *testing.T) {
	table := balancerOf(t, "b1", bounded(1, map[directory.Token]model.NodeName{1: "b2"}))
	copied := opening(7)
	copied.Attempt, copied.AlreadyForwarded = 1, true
	decision := table.Decide(copied, start)
	require.Equal(t, Drop, decision.Action)
	require.Equal(t, ReasonCold, decision.Reason)
}

// TestHolderThatJustStartedGivesNothing: it does not know what it gave before.
func TestHolderThatJustStartedGivesNothing(t *testing.T) {
	options := DefaultOptions()
	options.Self = "b1"
	table := NewTable(options)
	require.True(t, table.Apply(bounded(1, map[directory.Token]model.NodeName{1: "b1"}), start))
	require.Equal(t, ReasonCold, table.Decide(opening(1), start.Add(coldRateWindow-time.Millisecond)).Reason)
	require.Equal(t, ReasonChosen, table.Decide(opening(1), start.Add(coldRateWindow)).Reason)
}

// TestServicesWithoutABoundUseColdTargets, with a smaller share.
func TestServicesWithoutABoundUseColdTargets(t *testing.T) {
	changes := whole(3)
	changes.Targets[1].Cold = 2 * time.Second
	require.ElementsMatch(t, []directory.Token{1, 2, 3}, reached(t, tableOf(t, changes)))
}

// TestRateOfAColdTargetHoldsOverBalancersWhoseViewsDiffer draws balancers with tables
// of different ages: some know of no later target, some know targets as cold that are
// warm by now. Whatever each sends, no cold target gets more than its rate in any
// second from those that know it as cold.
func TestRateOfAColdTargetHoldsOverBalancersWhoseViewsDiffer(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(41))
	properties.Property("rate", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 7))
		balancers, targets := 2+random.IntN(20), 1+random.IntN(6)
		holders := make(map[directory.Token]model.NodeName)
		for token := 1; token <= targets; token++ {
			holders[directory.Token(token)] = model.NodeName(fmt.Sprintf("b%d", random.IntN(balancers)))
		}
		var tables []*Table
		for place := range balancers {
			known := bounded(targets, holders)
			known.Targets = known.Targets[:1+random.IntN(targets)]
			tables = append(tables, balancerOf(t, model.NodeName(fmt.Sprintf("b%d", place)), known))
		}
		taken := make(map[directory.Token][]time.Duration)
		for passed := time.Duration(0); passed < 4*time.Second; passed += 5 * time.Millisecond {
			table := tables[random.IntN(balancers)]
			decision := table.Decide(opening(1+random.IntN(60000)), start.Add(passed))
			if decision.Action == Forward {
				taken[decision.Token] = append(taken[decision.Token], passed)
			}
		}
		for _, times := range taken {
			for place := coldRate; place < len(times); place++ {
				if times[place]-times[place-coldRate] <= time.Second {
					return false
				}
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

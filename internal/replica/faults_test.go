package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
)

// faultDuration is the virtual time for which each simulation runs with faults.
const faultDuration = 4 * time.Second

// faultScenario injects random faults into a group.
type faultScenario struct {
	name    string
	members int
	prepare func(*simulation)
	// injectFaults is called before each step.
	injectFaults func(*simulation)
}

var faultScenarios = []faultScenario{
	{name: "loss_duplication_reordering", members: 3, prepare: func(simulation *simulation) {
		simulation.network.drop = 0.1
		simulation.network.duplicate = 0.1
		simulation.network.maxDelay = 12 * clockStep
	}},
	{name: "partitions", members: 5, injectFaults: func(simulation *simulation) {
		simulation.withProbability(0.02, simulation.partition)
		simulation.withProbability(0.02, simulation.heal)
	}},
	{name: "crashes", members: 3, injectFaults: func(simulation *simulation) {
		simulation.withProbability(0.02, func() { simulation.crash(simulation.randomMember().name) })
		simulation.withProbability(0.05, simulation.restartRandomMember)
	}},
	{name: "pauses_and_skew", members: 3, prepare: func(simulation *simulation) {
		for _, name := range simulation.names {
			simulation.members[name].skew = time.Duration(simulation.random.Int64N(int64(10*time.Second))) - 5*time.Second
		}
	}, injectFaults: func(simulation *simulation) {
		simulation.withProbability(0.015, func() {
			length := time.Duration(simulation.random.Int64N(int64(4 * testElectionTimeout)))
			simulation.randomMember().pausedUntil = simulation.now.Add(length)
		})
	}},
	{name: "disk_faults", members: 3, injectFaults: func(simulation *simulation) {
		simulation.withProbability(0.005, func() { simulation.randomMember().disk.FailSyncs(1) })
		simulation.withProbability(0.005, func() { simulation.randomMember().disk.SetCapacity(20 << 10) })
		simulation.withProbability(0.01, func() { simulation.randomMember().disk.SetCapacity(0) })
		simulation.restartFailed()
	}},
	{name: "everything", members: 3, prepare: func(simulation *simulation) {
		simulation.network.drop = 0.03
		simulation.network.duplicate = 0.03
		simulation.network.maxDelay = 6 * clockStep
	}, injectFaults: func(simulation *simulation) {
		simulation.withProbability(0.01, simulation.partition)
		simulation.withProbability(0.02, simulation.heal)
		simulation.withProbability(0.01, func() { simulation.crash(simulation.randomMember().name) })
		simulation.withProbability(0.05, simulation.restartRandomMember)
		simulation.withProbability(0.003, func() { simulation.randomMember().disk.FailSyncs(1) })
		simulation.withProbability(0.01, func() {
			simulation.randomMember().pausedUntil = simulation.now.Add(2 * testElectionTimeout)
		})
		simulation.withProbability(0.01, simulation.transferLeadership)
		simulation.restartFailed()
	}},
}

// withProbability calls act with the given probability.
func (simulation *simulation) withProbability(probability float64, act func()) {
	if simulation.random.Float64() < probability {
		act()
	}
}

// partition splits the group into two random parts.
func (simulation *simulation) partition() {
	simulation.heal()
	side := make(map[string]bool)
	for _, name := range simulation.names {
		side[string(name)] = simulation.random.IntN(2) == 0
	}
	for _, from := range simulation.names {
		for _, to := range simulation.names {
			if side[string(from)] != side[string(to)] {
				simulation.network.blocked[[2]nodeName{from, to}] = true
			}
		}
	}
}

// restartRandomMember picks a member and starts it if it is down.
func (simulation *simulation) restartRandomMember() {
	process := simulation.randomMember()
	if process.controller != nil {
		return
	}
	simulation.startAgain(process)
}

// startAgain starts a member. If its disk fails a sync while the log is opened, the process ends and is
// started once more, as a platform does.
func (simulation *simulation) startAgain(process *member) {
	simulation.start(process.name)
	if faults.CodeOf(process.startErr) == faults.StorageWriteFailed {
		simulation.start(process.name)
	}
	if process.startErr != nil {
		simulation.test.Fatalf("%s does not start again: %v", process.name, process.startErr)
	}
}

// restartFailed repairs the disks of members whose storage failed and restarts
// them after a machine crash.
func (simulation *simulation) restartFailed() {
	for _, name := range simulation.names {
		process := simulation.members[name]
		if process.controller == nil || process.controller.Err() == nil {
			continue
		}
		process.disk.SetCapacity(0)
		process.disk.FailSyncs(0)
		simulation.crash(name)
		simulation.startAgain(process)
	}
}

func (simulation *simulation) transferLeadership() {
	if leader := simulation.leader(); leader != nil {
		leader.controller.TransferLeadership(func(error) {})
	}
}

// TestInvariantsHoldUnderFaults runs each fault scenario with many seeds and
// checks the invariants of consensus after every step.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	for _, scenario := range faultScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			acknowledged, reads := 0, 0
			for seed := range simulationSeeds {
				simulation := runScenario(t, scenario, uint64(seed))
				acknowledged += len(simulation.acknowledged)
				reads += simulation.servedReads
			}
			require.Positive(t, acknowledged, "the workload must commit changes")
			require.Positive(t, reads, "the workload must serve reads")
		})
	}
}

// simulationSeeds is the number of seeds with which each scenario runs.
const simulationSeeds = 200

func runScenario(t *testing.T, scenario faultScenario, seed uint64) *simulation {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Logf("scenario %s fails with seed %d", scenario.name, seed)
		}
	}()
	var names []nodeName
	for position := range scenario.members {
		names = append(names, nodeName(fmt.Sprintf("control-%d", position+1)))
	}
	simulation := newSimulation(t, seed, names...)
	simulation.startAll()
	simulation.runWorkloadUntil(5*time.Second, "the first leader", func() bool { return simulation.leader() != nil })
	if scenario.prepare != nil {
		scenario.prepare(simulation)
	}
	simulation.runWorkload(faultDuration, func() {
		if scenario.injectFaults != nil {
			scenario.injectFaults(simulation)
		}
	})
	simulation.finish()
	return simulation
}

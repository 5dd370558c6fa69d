package mutant

import (
	"time"

	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

// Times of the stories below.
const (
	// leaderTimeout bounds the wait for a leader.
	leaderTimeout = 15 * time.Second
	// operatorPause is the mean pause between an operator's changes.
	operatorPause = 300 * time.Millisecond
	// messageDelay is what a slow member adds to each message on both ends.
	messageDelay = 100 * time.Millisecond
)

// controlScenario plays a story on control members alone, under racing operators.
func controlScenario(name string, play func(world *world.World, random *kernel.Random)) Scenario {
	return Scenario{Name: name, Play: func(run *sim.Run, parts world.Parts) {
		created := world.New(run, world.Options{Preset: world.Small(), Parts: parts, SnapshotEvery: 1000})
		created.StartControl()
		if !created.CreateServices() {
			return
		}
		stop := created.RaceOperators(3, operatorPause)
		play(created, run.Random("story"))
		stop()
		created.FinishControl()
	}}
}

// disksLostUnnoticed loses the disk of a member that restarts at once, before
// an operator has repaired the group; then another one loses its disk. What a
// quorum held may be gone after that, unless the first stays out of the group.
func disksLostUnnoticed() Scenario {
	return controlScenario("disks-lost-unnoticed", func(world *world.World, random *kernel.Random) {
		world.Run().Scheduler.RunFor(3 * time.Second)
		leader, leads := world.AwaitLeader(leaderTimeout)
		if !leads {
			return
		}
		// The follower that is cut off has an old log; the other one and the
		// leader lose the newer one.
		members := world.Members()
		lagging := members[(leader+1)%len(members)]
		lost := (leader + 2) % len(members)
		heal := world.Network().Isolate(lagging.Name)
		world.Run().Scheduler.RunFor(random.Between(time.Second, 3*time.Second))
		members[leader].Kill()
		members[lost].Kill()
		world.WipeDisk(lost)
		heal()
		members[lost].Start()
		world.Run().Scheduler.RunFor(leaderTimeout)
		members[leader].Start()
		world.Run().Scheduler.RunFor(leaderTimeout)
	})
}

// forgottenVotes makes a leader out of votes alone: its entries do not arrive.
// Once it leads it is cut off, and its voters restart and elect another one.
func forgottenVotes() Scenario {
	return Scenario{Name: "forgotten-votes", Play: func(run *sim.Run, parts world.Parts) {
		holdsBack := false
		parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
			message, isConsensus := envelope.Message.(raft.Message)
			if holdsBack && isConsensus && message.Kind == raft.MessageAppend {
				return nil
			}
			return []protocol.Envelope{envelope}
		}
		controlScenario("forgotten-votes", func(world *world.World, random *kernel.Random) {
			for range 5 {
				holdsBack = true
				isolateNewLeader(world)
				holdsBack = false
				world.Run().Scheduler.RunFor(random.Between(time.Second, 3*time.Second))
			}
		}).Play(run, parts)
	}}
}

func isolateNewLeader(world *world.World) {
	former, leads := world.AwaitLeader(leaderTimeout)
	if !leads {
		return
	}
	members := world.Members()
	members[former].Kill()
	world.Run().Scheduler.RunFor(time.Second)
	members[former].Start()
	elected, leads := world.AwaitLeader(leaderTimeout)
	if !leads {
		return
	}
	heal := world.Network().Isolate(members[elected].Name)
	for _, voter := range members {
		if voter != members[elected] {
			voter.Kill()
			voter.Start()
		}
	}
	world.Run().Scheduler.RunFor(3 * time.Second)
	heal()
}

// slowElections lets members become candidates at the same time, because their
// messages take long.
func slowElections() Scenario {
	return controlScenario("slow-elections", func(world *world.World, random *kernel.Random) {
		members := world.Members()
		for _, member := range members {
			world.Network().Slow(member.Name, messageDelay)
		}
		for range 8 {
			leader, leads := world.AwaitLeader(leaderTimeout)
			if !leads {
				return
			}
			members[leader].Kill()
			world.Run().Scheduler.RunFor(random.Between(0, time.Second))
			members[leader].Start()
			world.Run().Scheduler.RunFor(2 * time.Second)
		}
	})
}

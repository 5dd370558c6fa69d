package mutant

import (
	"time"

	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

// Times of the scenarios below.
const (
	// leaderTimeout is how long to wait for a leader.
	leaderTimeout = 15 * time.Second
	// operatorPause is the mean pause between an operator's changes.
	operatorPause = 300 * time.Millisecond
	// messageDelay is the delay that a slow member adds to each message that it sends or receives.
	messageDelay = 100 * time.Millisecond
)

// controlScenario returns a scenario that starts the control members only and calls play while
// operators make concurrent changes.
func controlScenario(name string, play func(world *world.World, random *kernel.Random)) Scenario {
	return Scenario{Name: name, Play: func(run *sim.Run, parts world.Parts) {
		created := world.New(run, world.Options{Preset: world.Small(), Parts: parts, SnapshotEvery: 1000})
		created.StartControl()
		if !created.CreateServices() {
			return
		}
		stop := created.StartRacingOperators(3, operatorPause)
		play(created, run.Random("story"))
		stop()
		created.FinishControl()
	}}
}

// disksLostUnnoticed wipes the disk of a follower and restarts it before an operator has repaired
// the group, while the leader is down and the other follower has an old log. If the wiped member
// rejoined, it and the old follower would be a quorum without the newest committed entries.
func disksLostUnnoticed() Scenario {
	return controlScenario("disks-lost-unnoticed", func(world *world.World, random *kernel.Random) {
		world.Run().Scheduler.RunFor(3 * time.Second)
		leader, leads := world.AwaitLeader(leaderTimeout)
		if !leads {
			return
		}
		// The isolated follower keeps an old log. Of the two members with the newer log, the leader
		// goes down and the other follower loses its disk.
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

// forgottenVotes drops append messages while a leader is elected, so that its voters store nothing
// after their votes. It then isolates the leader and restarts the voters. Voters whose votes were
// not durable may elect another leader for the same term.
func forgottenVotes() Scenario {
	return Scenario{Name: "forgotten-votes", Play: func(run *sim.Run, parts world.Parts) {
		dropsAppends := false
		parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
			message, isConsensus := envelope.Message.(raft.Message)
			if dropsAppends && isConsensus && message.Kind == raft.MessageAppend {
				return nil
			}
			return []protocol.Envelope{envelope}
		}
		controlScenario("forgotten-votes", func(world *world.World, random *kernel.Random) {
			for range 5 {
				dropsAppends = true
				isolateNewLeader(world)
				dropsAppends = false
				world.Run().Scheduler.RunFor(random.Between(time.Second, 3*time.Second))
			}
		}).Play(run, parts)
	}}
}

// isolateNewLeader restarts the leader, waits for the next one, isolates it and restarts the other
// members.
func isolateNewLeader(world *world.World) {
	previous, leads := world.AwaitLeader(leaderTimeout)
	if !leads {
		return
	}
	members := world.Members()
	members[previous].Kill()
	world.Run().Scheduler.RunFor(time.Second)
	members[previous].Start()
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

// slowElections delays the members' messages, so that several become candidates at the same time.
func slowElections() Scenario {
	return controlScenario("slow-elections", func(world *world.World, random *kernel.Random) {
		members := world.Members()
		for _, member := range members {
			world.Network().AddDelay(member.Name, messageDelay)
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

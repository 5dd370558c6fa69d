package scenario

import (
	"time"

	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

func storageDefinitions() []definition {
	return []definition{
		{
			name:    "torn-writes",
			summary: "members are killed during writes; data that was not synced is lost or torn",
			options: withFaultyLinks(small),
			play:    controlOnly(tornWrites),
		},
		{
			name:    "corrupt-log",
			summary: "a member's log is corrupted; the member refuses to start and is replaced",
			options: small,
			play:    controlOnly(corruptLog),
		},
		{
			name:    "lost-disk",
			summary: "a member's disk is lost and the member is replaced; right after that a second member is lost",
			options: withFaultyLinks(small),
			play:    controlOnly(lostDisk),
		},
		{
			name:    "restart-after-500",
			summary: "all members restart, one by one and together, after more than 500 changes",
			options: small,
			play:    controlOnly(restartAfterMany),
		},
	}
}

func tornWrites(world *world.World, random *kernel.Random) {
	for range 12 {
		process := kernel.Pick(random, world.Members())
		if random.Chance(0.2) {
			for index, member := range world.Members() {
				if member == process {
					world.FailSyncs(index, 1)
				}
			}
		}
		world.Run().Scheduler.RunFor(random.Between(50*time.Millisecond, 700*time.Millisecond))
		process.Kill()
		world.Run().Scheduler.RunFor(random.Between(10*time.Millisecond, 500*time.Millisecond))
		process.Start()
		world.Run().Scheduler.RunFor(random.Between(0, 2*time.Second))
		startAll(world)
	}
}

// startAll starts every member that is down, as a supervisor would.
func startAll(world *world.World) {
	for _, process := range world.Members() {
		process.Start()
	}
}

func corruptLog(world *world.World, random *kernel.Random) {
	world.Run().Scheduler.RunFor(5 * time.Second)
	index := random.IntN(len(world.Members()))
	process := world.Members()[index]
	process.Kill()
	if !world.CorruptLog(index, random) {
		world.CheckProgress(false, "there was no log to damage")
		return
	}
	world.Run().Scheduler.RunFor(time.Second)
	process.Start()
	world.Run().Scheduler.RunFor(time.Second)
	world.CheckProgress(world.StartError(index) != nil, "the member started on a damaged log")
	process.Kill()
	replaceMember(world, index)
}

// replaceMember gives a stopped member an empty disk and adds it to the group again: it is removed,
// added as a learner, started and promoted.
func replaceMember(world *world.World, index int) {
	world.WipeDisk(index)
	operator := world.NewOperator("repair")
	if !operator.ReplaceMember(index, 40*time.Second) {
		world.CheckProgress(false, "the member was not replaced")
	}
}

func lostDisk(world *world.World, random *kernel.Random) {
	world.Run().Scheduler.RunFor(random.Between(2*time.Second, 6*time.Second))
	members := world.Members()
	first := random.IntN(len(members))
	members[first].Kill()
	world.Run().Scheduler.RunFor(random.Between(0, 3*time.Second))
	replaceMember(world, first)
	// The second member stays down to the end of the run.
	second := (first + 1 + random.IntN(len(members)-1)) % len(members)
	members[second].Kill()
	world.WipeDisk(second)
	world.Run().Scheduler.RunFor(10 * time.Second)
	if _, leads := world.AwaitLeader(leaderTimeout); !leads {
		world.CheckProgress(false, "the repaired group has no leader without its second member")
	}
}

func restartAfterMany(world *world.World, random *kernel.Random) {
	replicas := world.Checkers().Replicas
	for range 20 {
		if replicas.AppliedIndices() > 520 {
			break
		}
		world.Run().Scheduler.RunFor(5 * time.Second)
	}
	world.CheckProgress(replicas.AppliedIndices() > 500, "only %d changes were made", replicas.AppliedIndices())
	for _, process := range world.Members() {
		process.Kill()
		world.Run().Scheduler.RunFor(random.Between(100*time.Millisecond, 3*time.Second))
		process.Start()
		world.Run().Scheduler.RunFor(random.Between(0, 2*time.Second))
	}
	for _, process := range world.Members() {
		process.Kill()
	}
	world.Run().Scheduler.RunFor(time.Second)
	startAll(world)
	world.Run().Scheduler.RunFor(3 * time.Second)
}

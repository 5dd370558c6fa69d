package scenario

import (
	"time"

	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

// Times and counts of control scenarios.
const (
	// longerThanTimeouts is longer than every timeout of the control group.
	longerThanTimeouts = 8 * time.Second
	// leaderTimeout is how long to wait for a leader.
	leaderTimeout = 15 * time.Second
	// minAccepted is how many changes must be accepted in a run.
	minAccepted = 10
	// resendTimeout is how long to wait for minAccepted changes while answers are lost.
	resendTimeout = 30 * time.Second
	// operatorPause is the mean pause between an operator's changes.
	operatorPause = 200 * time.Millisecond
)

func controlDefinitions() []definition {
	return []definition{
		{
			name:    "leader-loss",
			summary: "the leader is killed, frozen or cut off repeatedly while operators make concurrent changes",
			options: withFaultyLinks(small),
			play:    controlOnly(leaderLoss),
		},
		{
			name:    "silent-cut",
			summary: "a control member's messages are dropped for 25 s, one way or both, and it comes back",
			options: withFaultyLinks(small),
			play:    controlOnly(silentCut),
		},
		{
			name:    "racing-operators",
			summary: "many operators write concurrently with the same base revision and resend after lost answers",
			options: optionsForSeed(small).with(func(options *world.Options) {
				options.Faults = kernel.LinkFaults{Loss: 0.08, Duplication: 0.15, Jitter: 20 * time.Millisecond}
			}),
			play: controlOnly(racingOperators),
		},
		{
			name:    "resent-changes",
			summary: "answers to operators are lost, and changes are sent again before and after their answer, across leader changes",
			options: optionsForSeed(small).with(func(options *world.Options) {
				options.Faults = faultyLinks()
				options.ResendShare = 0.5
			}),
			play: controlOnly(resentChanges),
		},
		{
			name:    "clock-skew",
			summary: "members' clocks jump and drift, and members pause longer than every lease",
			options: withFaultyLinks(small),
			play:    controlOnly(clockSkew),
		},
	}
}

// controlOnly returns a scenario that starts the control members only and calls play while
// operators make concurrent changes. It checks the control group at the end.
func controlOnly(play func(world *world.World, random *kernel.Random)) func(*world.World) {
	return func(world *world.World) {
		world.StartControl()
		if !world.CreateServices() {
			return
		}
		stop := world.StartRacingOperators(4, operatorPause)
		play(world, world.Run().Random("story"))
		stop()
		world.FinishControl()
		checkers := world.Checkers()
		replicas := checkers.Replicas
		operators := checkers.Operators
		accepted, _, _ := operators.Counts()
		world.CheckProgress(accepted >= minAccepted, "only %d changes were accepted", accepted)
		world.CheckProgress(replicas.AppliedIndices() > 10, "only %d entries were applied", replicas.AppliedIndices())
	}
}

// leaderLoss kills, freezes or isolates the leader four times.
func leaderLoss(world *world.World, random *kernel.Random) {
	for range 4 {
		leader, leads := world.AwaitLeader(leaderTimeout)
		if !leads {
			world.CheckProgress(false, "no leader")
			return
		}
		process := world.Members()[leader]
		away := random.Between(time.Second, longerThanTimeouts)
		switch random.IntN(3) {
		case 0:
			process.Kill()
			world.Run().Scheduler.RunFor(away)
			process.Start()
		case 1:
			process.Freeze()
			world.Run().Scheduler.RunFor(away)
			process.Thaw()
		default:
			heal := world.Network().Isolate(process.Name)
			world.Run().Scheduler.RunFor(away)
			heal()
		}
		world.Run().Scheduler.RunFor(random.Between(0, 2*time.Second))
	}
}

// silentCut cuts a random member off from each of the others, one way or both.
func silentCut(world *world.World, random *kernel.Random) {
	members := world.Members()
	lost := kernel.Pick(random, members)
	var heals []func()
	for _, other := range members {
		if other == lost {
			continue
		}
		// At least one direction is cut to each of the others.
		direction := random.IntN(3)
		if direction != 0 {
			heals = append(heals, world.Network().CutOneWay(lost.Name, other.Name))
		}
		if direction != 1 {
			heals = append(heals, world.Network().CutOneWay(other.Name, lost.Name))
		}
	}
	world.Run().Scheduler.RunFor(25 * time.Second)
	for _, heal := range heals {
		heal()
	}
	world.Run().Scheduler.RunFor(3 * time.Second)
}

func racingOperators(world *world.World, random *kernel.Random) {
	world.Run().Scheduler.RunFor(20 * time.Second)
	_ = random
	operators := world.Checkers().Operators
	_, conflicts, _ := operators.Counts()
	world.CheckProgress(conflicts > 0, "no two operators raced")
}

func resentChanges(world *world.World, random *kernel.Random) {
	world.SetAnswerLoss(0.4)
	for range 2 {
		world.Run().Scheduler.RunFor(random.Between(3*time.Second, 6*time.Second))
		leader, leads := world.AwaitLeader(leaderTimeout)
		if !leads {
			world.CheckProgress(false, "no leader")
			return
		}
		process := world.Members()[leader]
		process.Kill()
		world.Run().Scheduler.RunFor(random.Between(0, 3*time.Second))
		process.Start()
	}
	// Lost answers slow the operators down, so some runs need longer than others.
	operators := world.Checkers().Operators
	world.Await(resendTimeout, func() bool {
		accepted, _, _ := operators.Counts()
		return accepted >= minAccepted && world.AcceptedResends() > 0
	})
	world.CheckProgress(world.AcceptedResends() > 0, "no change was sent again after its answer")
}

func clockSkew(world *world.World, random *kernel.Random) {
	for range 5 {
		process := kernel.Pick(random, world.Members())
		process.Kill()
		process.SetClock(skewedClock(random))
		world.Run().Scheduler.RunFor(random.Between(500*time.Millisecond, 3*time.Second))
		process.Start()
		paused := kernel.Pick(random, world.Members())
		world.Run().Scheduler.RunFor(random.Between(0, time.Second))
		paused.Freeze()
		world.Run().Scheduler.RunFor(random.Between(500*time.Millisecond, 5*time.Second))
		paused.Thaw()
		world.Run().Scheduler.RunFor(time.Second)
	}
}

// skewedClock returns a clock that is off by up to ten minutes and drifts by up to 1%, far more than
// real clocks do.
func skewedClock(random *kernel.Random) kernel.Clock {
	return kernel.Clock{
		Offset: random.Between(-10*time.Minute, 10*time.Minute),
		Drift:  float64(random.IntN(200)-100) / 10_000,
	}
}

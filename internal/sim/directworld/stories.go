package directworld

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

// scenarioDefinition defines a scenario: the options of its world and the function that runs once
// the world has started.
type scenarioDefinition struct {
	name    string
	summary string
	change  func(options *Options)
	play    func(world *World)
}

// Scenarios returns all scenarios of direct services, each with the given parts.
func Scenarios(parts Parts) []sim.Scenario {
	var scenarios []sim.Scenario
	for _, definition := range scenarioDefinitions {
		scenarios = append(scenarios, definition.build(parts))
	}
	return scenarios
}

// build returns the scenario. Operators work in the background while its play function runs.
func (definition scenarioDefinition) build(parts Parts) sim.Scenario {
	return sim.Scenario{Name: definition.name, Summary: definition.summary, Play: func(run *sim.Run) {
		options := DefaultOptions()
		options.Parts = parts
		if definition.change != nil {
			definition.change(&options)
		}
		world := New(run, options)
		world.Start()
		stop := world.operator.StartOperations(150 * time.Millisecond)
		definition.play(world)
		stop()
		world.Finish()
	}}
}

var scenarioDefinitions = []scenarioDefinition{
	{
		name:    "direct-planned",
		summary: "targets are replaced, balancers and members restart in turn, and configurations change",
		play:    planned,
	},
	{
		name:    "direct-target-deaths",
		summary: "targets crash or become unresponsive, and targets of another service take over their addresses while flows are open",
		play:    targetDeaths,
	},
	{
		name:    "direct-late-calls",
		summary: "targets leave without draining, and renewals of targets that died, or whose address another target took over, arrive seconds late",
		play:    lateCalls,
	},
	{
		name:    "direct-foreign-calls",
		summary: "first calls of targets that ended unheard, and calls of other writers, name the addresses and identifiers of living targets; targets are replaced meanwhile",
		play:    foreignCalls,
	},
	{
		name:    "direct-leaving-addresses",
		summary: "late first calls, and calls of other writers, name the addresses of targets that leave and still serve their flows",
		play:    leavingAddresses,
	},
	{
		name:    "direct-unheard-targets",
		summary: "targets start, their first calls are held back, and arrive after their departure was acknowledged; the leader changes meanwhile",
		play:    unheardTargets,
	},
	{
		name:    "direct-unheard-restarts",
		summary: "targets crash, start again with the same identifiers, and leave before the first calls of their new starts arrive; some notices do not tell a start",
		play:    unheardRestarts,
	},
	{
		name:    "direct-restarted-targets",
		summary: "targets crash and start again with the same identifiers while renewals of their previous starts arrive seconds late",
		play:    restartedTargets,
	},
	{
		name:    "direct-cut-balancers",
		summary: "balancers are cut off from all members, but not from each other, while targets and configurations change",
		play:    cutBalancers,
	},
	{
		name:    "direct-relayed-feed",
		summary: "twelve balancers, of which members feed three, follow each other while balancers restart and members are killed",
		change: func(options *Options) {
			options.Balancers = 12
			options.Followers = 1
		},
		play: relayedFeed,
	},
	{
		name:    "direct-grey-targets",
		summary: "a target accepts requests and never answers many of them, while its health checks pass; the leader changes meanwhile",
		change:  func(options *Options) { options.Affine = true },
		play:    greyTargets,
	},
	{
		name:    "direct-erring-targets",
		summary: "a target answers every call with an error at once, while its health checks pass; the leader changes meanwhile",
		change:  callsOnlyOptions,
		play:    erringTargets,
	},
	{
		name:    "direct-heavy-load",
		summary: "targets run at 70% of their capacity, one of them slowly, while one is replaced and a balancer restarts",
		change:  callsOnlyOptions,
		play:    heavyLoad,
	},
	{
		name:    "direct-overload",
		summary: "callers make a third more calls than targets can serve, and retry refused calls",
		change:  callsOnlyOptions,
		play:    overload,
	},
	{
		name:    "direct-large-overload",
		summary: "callers make a third more calls than targets can serve through twenty-four balancers; members sum up the load, and one is killed",
		change:  largeOptions,
		play:    largeOverload,
	},
	{
		name:    "direct-narrow-links",
		summary: "uploads and calls share narrow links of balancers, whose capacity is one and a half times the demand",
		change:  narrowLinkOptions,
		play:    narrowLinks,
	},
	{
		name:    "direct-full-links",
		summary: "callers upload twice as much as the narrow links of all balancers can carry, besides making calls",
		change:  narrowLinkOptions,
		play:    fullLinks,
	},
	{
		name:    "direct-evacuations",
		summary: "operators evacuate zones and end the evacuations while members are killed, cut off and frozen, and orders are repeated",
		play:    evacuations,
	},
	{
		name:    "direct-evacuated-power-loss",
		summary: "every process loses power right after an order to evacuate a zone, or to end that, was acknowledged",
		play:    evacuatedPowerLoss,
	},
	{
		name:    "direct-cold-returns",
		summary: "the targets of zones return cold, after a failure and after an evacuation, while balancers are cut off and restart",
		change:  func(options *Options) { options.ColdLimit = coldLimit },
		play:    coldReturns,
	},
	{
		name:    "direct-leader-loss",
		summary: "the leader is repeatedly killed, powered off or frozen while operators declare conflicting configurations",
		play:    leaderLoss,
	},
	{
		name:    "direct-core-cuts",
		summary: "members are cut off from everything, from other members, one way or both, or from balancers, while operators declare conflicting configurations",
		play:    coreCuts,
	},
	{
		name:    "direct-lost-disks",
		summary: "members lose their disks one after the other; each rejoins before the next one fails",
		play:    lostDisks,
	},
	{
		name:    "direct-replaced-members",
		summary: "members are lost permanently and replaced by empty ones at other addresses, without an operator",
		play:    replacedMembers,
	},
	{
		name:    "direct-planned-replacements",
		summary: "one or two members at once are replaced as planned, with or without notice, and another one then loses its disk, is frozen or is cut off",
		play:    plannedReplacements,
	},
	{
		name:    "direct-replaced-core",
		summary: "one to all members of the group stop as planned, at once or up to a second apart, after their successors started; another one is disturbed then",
		play:    replacedCore,
	},
	{
		name:    "direct-replaced-core-of-five",
		summary: "the same in a group of five members that tolerates two losses",
		change: func(options *Options) {
			options.Members = 5
			options.ToleratedLosses = 2
		},
		play: replacedCore,
	},
	{
		name:    "direct-unannounced-ends",
		summary: "members end without notice while successors in other zones run, and one more is lost once the vote has moved",
		play:    unannouncedEnds,
	},
	{
		name:    "direct-noticed-ends",
		summary: "the same while machines without a process refuse connections; one more is lost within a second",
		change:  func(options *Options) { options.EndsAreNoticed = true },
		play:    unannouncedEnds,
	},
	{
		name:    "direct-power-loss",
		summary: "all processes repeatedly lose power at the same time, while configurations change",
		play:    powerLoss,
	},
	{
		name:    "direct-bad-disks",
		summary: "disks of members are full for seconds",
		play:    fullDisks,
	},
	{
		name:    "direct-clocks",
		summary: "the clocks of all processes are up to an hour off and run fast or slow, while the leader is killed, powered off or frozen",
		change:  func(options *Options) { options.Skewed = true },
		play:    leaderLoss,
	},
	{
		name:    "direct-lost-messages",
		summary: "a tenth of all control messages and calls is lost, a tenth is duplicated, and all are delayed at random",
		change: func(options *Options) {
			options.Faults = kernel.LinkFaults{Loss: 0.1, Duplication: 0.1, Jitter: 30 * time.Millisecond}
		},
		play: planned,
	},
	{
		name:    "direct-five-members",
		summary: "two of six members lose power and their disks at the same time, and return",
		change: func(options *Options) {
			options.Members = 6
			options.ToleratedLosses = 2
		},
		play: fiveMembers,
	},
}

// planned plays planned changes: targets are replaced, and balancers and members restart.
func planned(world *World) {
	for range 3 {
		for _, target := range world.pickReadyTargets(2) {
			world.AddTarget(target.service, target.zone)
			target.Drain()
		}
		world.RunFor(2 * time.Second)
		world.restartBalancer(kernel.Pick(world.random, world.balancers), 300*time.Millisecond)
		world.RunFor(5 * time.Second)
		member := kernel.Pick(world.random, world.members)
		member.Kill()
		world.RunFor(world.random.Between(50*time.Millisecond, time.Second))
		member.Start()
		world.RunFor(6 * time.Second)
	}
}

// pickReadyTargets returns up to count random ready targets. Each service keeps at least one other
// ready target.
func (world *World) pickReadyTargets(count int) []*target {
	ready := make(map[string]int)
	for _, target := range world.targets {
		if target.alive && target.state == directory.TargetReady {
			ready[target.service]++
		}
	}
	var chosen []*target
	order := append([]*target(nil), world.targets...)
	world.random.Shuffle(len(order), func(left, right int) { order[left], order[right] = order[right], order[left] })
	for _, target := range order {
		if len(chosen) < count && target.alive && target.state == directory.TargetReady && ready[target.service] > 1 {
			ready[target.service]--
			chosen = append(chosen, target)
		}
	}
	return chosen
}

// restartBalancer kills a balancer and starts it again after downFor.
func (world *World) restartBalancer(balancer *balancer, downFor time.Duration) {
	world.recordDisturbance("restart", string(balancer.process.Name))
	balancer.process.Kill()
	world.after(downFor, func() {
		world.recordDisturbance("start", string(balancer.process.Name))
		balancer.process.Start()
	})
}

// targetDeaths crashes targets, in every second round together with their machines, and gives their
// addresses to targets of the other service.
func targetDeaths(world *World) {
	for round := range 4 {
		for _, target := range world.pickReadyTargets(2) {
			world.recordDisturbance("death", target.address.String())
			target.Crash(round%2 == 0)
			address, zone := target.address, target.zone
			service := serviceFeed
			if target.service == serviceFeed {
				service = serviceLedger
			}
			world.after(world.random.Between(2*time.Second, 4*time.Second), func() { world.addTargetAt(service, zone, address) })
			world.AddTarget(target.service, zone)
		}
		world.RunFor(9 * time.Second)
	}
}

// cutFromMembers cuts balancers off from all members, both ways, for a duration.
func (world *World) cutFromMembers(balancers []*balancer, duration time.Duration) {
	var heals []func()
	for _, balancer := range balancers {
		world.recordDisturbance("cut", string(balancer.process.Name))
		for _, member := range world.members {
			heals = append(heals,
				world.control.CutOneWay(balancer.process.Name, member.process.Name),
				world.control.CutOneWay(member.process.Name, balancer.process.Name))
		}
	}
	world.after(duration, func() {
		world.recordDisturbance("heal", "balancers")
		for _, heal := range heals {
			heal()
		}
	})
}

// peerFailoverTime is how long after it is cut off from all members a balancer may need to follow
// another balancer.
const peerFailoverTime = 3 * time.Second

// cutBalancers cuts two balancers off from all members. They have to stay current through their
// peers.
func cutBalancers(world *World) {
	for round := range 4 {
		cut := []*balancer{world.balancers[round%len(world.balancers)], world.balancers[(round+1)%len(world.balancers)]}
		world.cutFromMembers(cut, 8*time.Second)
		for _, target := range world.pickReadyTargets(2) {
			world.AddTarget(target.service, target.zone)
			target.Drain()
		}
		world.RunFor(peerFailoverTime)
		for range 8 {
			world.RunFor(500 * time.Millisecond)
			for _, balancer := range cut {
				world.checks.checkCurrent(balancer)
			}
		}
		world.RunFor(7 * time.Second)
	}
}

// relayedFeed restarts balancers, replaces targets and kills a member. Before each round every
// balancer has to be current.
func relayedFeed(world *World) {
	for range 3 {
		world.RunFor(3 * time.Second)
		for _, balancer := range world.balancers {
			world.checks.checkCurrent(balancer)
		}
		for range 3 {
			world.restartBalancer(kernel.Pick(world.random, world.balancers), 500*time.Millisecond)
		}
		for _, target := range world.pickReadyTargets(2) {
			world.AddTarget(target.service, target.zone)
			target.Drain()
		}
		world.RunFor(5 * time.Second)
		member := kernel.Pick(world.random, world.members)
		member.Kill()
		world.RunFor(3 * time.Second)
		member.Start()
		world.RunFor(4 * time.Second)
	}
}

const (
	// ejectionBound is how long it may take to eject a target that leaves requests unanswered.
	ejectionBound = 6 * time.Second
	// reinstatementBound is how long a target may stay ejected after it has recovered.
	reinstatementBound = 35 * time.Second
)

// greyTargets makes a target leave 70% of its requests unanswered until some seconds after it was
// ejected, twice. The second time the leader is killed while the target is ejected.
func greyTargets(world *World) {
	for round := range 2 {
		chosen := world.pickReadyTargets(1)[0]
		world.recordDisturbance("grey", chosen.address.String())
		chosen.hangShare = 0.7
		world.checks.awaitEjection(chosen, true, ejectionBound)
		if leader := world.leader(); leader != nil && round == 1 {
			leader.Kill()
			world.RunFor(time.Second)
			leader.Start()
		}
		world.RunFor(3 * time.Second)
		chosen.hangShare = 0
		clear(chosen.hungRequests)
		world.checks.awaitEjection(chosen, false, reinstatementBound)
		world.RunFor(5 * time.Second)
	}
}

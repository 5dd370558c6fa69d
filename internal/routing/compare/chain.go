package compare

import (
	"reflect"
	"slices"
	"time"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/steering"
)

const (
	comparedService = model.ServiceID(1)
	// reportInterval is the time between two reports of empty buckets, and
	// between two passes that end idle flows.
	reportInterval = 2 * time.Second
	// assignmentBytes is the memory of one remembered assignment, as
	// BenchmarkOwnersMemory of package flow measures it.
	assignmentBytes = 126
)

// chain is the product's way: bucket tables of package routing, owners of
// package flow, decisions of package steering.
type chain struct {
	run     *run
	rollout *rollout[*model.Configuration]
	caches  map[int]*flow.Cache
	agents  map[model.TargetID]*chainAgent
	down    *byteCounter
	up      *byteCounter
}

// chainAgent is the agent of one target.
type chainAgent struct {
	way      *chain
	target   model.TargetID
	owners   *flow.OwnedFlows
	steering *steering.Steering
}

// Current implements steering.Configurations.
func (agent *chainAgent) Current() *model.Configuration {
	return agent.way.rollout.at(agentOf(agent.target))
}

func newChain(run *run) *chain {
	way := &chain{
		run:    run,
		caches: make(map[int]*flow.Cache),
		agents: make(map[model.TargetID]*chainAgent),
		down:   newByteCounter(),
		up:     newByteCounter(),
	}
	way.rollout = newRollout(run, way.firstConfiguration())
	for _, balancer := range run.balancers {
		way.caches[balancer.number] = flow.NewCache(tableCapacity)
	}
	for _, target := range run.targets {
		way.targetJoined(target.id)
	}
	run.clock.Every(reportInterval, func() bool {
		way.maintain()
		return true
	})
	return way
}

func (way *chain) firstConfiguration() *model.Configuration {
	configuration := model.NewConfiguration()
	configuration.Revision = 1
	configuration.Services[comparedService] = model.Service{
		ID:       comparedService,
		Protocol: model.ProtocolTCP,
		Address:  serviceAddress,
		Limits:   model.DefaultLimits(),
	}
	targets := way.targets()
	for _, target := range targets {
		configuration.Targets[target.ID] = target
	}
	configuration.Buckets[comparedService] = routing.NewTable(comparedService, targets, configuration.Revision)
	configuration.Seal()
	return configuration
}

// targets returns the targets as control has committed them.
func (way *chain) targets() []model.Target {
	targets := make([]model.Target, len(way.run.targets))
	for index, target := range way.run.targets {
		targets[index] = model.Target{ID: target.id, Service: comparedService, Phase: target.phase}
	}
	return targets
}

func (way *chain) targetJoined(target model.TargetID) {
	agent := &chainAgent{way: way, target: target}
	agent.owners = flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: comparedService, Target: target})
	agent.steering = steering.New(steering.Options{
		Target:         target,
		Configurations: agent,
		OwnedFlows:     agent.owners,
		Load:           func() model.TargetLoad { return way.run.target(target).load(way.run.options.Slots) },
		Started:        way.run.clock.Now(),
	})
	way.agents[target] = agent
	way.rollout.join(agentOf(target))
}

func (way *chain) targetDied(target model.TargetID) { delete(way.agents, target) }

func (way *chain) balancerJoined(balancer *balancerNode) {
	way.rollout.join(balancerOf(balancer))
	way.caches[balancer.number] = flow.NewCache(tableCapacity)
}

func (way *chain) targetsChanged() {
	current := way.rollout.newest
	targets := way.targets()
	next := current.Revision + 1
	rows := routing.Rebalance(current.Buckets[comparedService], targets, next)
	way.commit(changedTargets(current, targets), rows)
}

func changedTargets(current *model.Configuration, targets []model.Target) []model.Target {
	return slices.DeleteFunc(slices.Clone(targets), func(target model.Target) bool {
		return current.Targets[target.ID] == target
	})
}

// commit publishes the next revision.
func (way *chain) commit(targets []model.Target, rows []model.Bucket) {
	current := way.rollout.newest
	delta := model.Delta{From: current.Revision, To: current.Revision + 1, Targets: targets}
	if len(rows) > 0 {
		delta.Buckets = []model.BucketChange{{Service: comparedService, Rows: rows}}
	}
	next, err := current.Apply(delta)
	if err != nil {
		panic("compare: a delta of the newest revision: " + err.Error())
	}
	way.down.add(delta)
	way.rollout.publish(next)
}

// maintain ends idle state and gives control the reports of empty buckets.
func (way *chain) maintain() {
	current := way.rollout.newest
	table := current.Buckets[comparedService]
	var reports []model.BucketEmpty
	for _, target := range way.run.targets {
		agent, alive := way.agents[target.id]
		if !alive {
			continue
		}
		agent.owners.Expire(way.run.clock.Now())
		reports = append(reports, agent.steering.Empty(current.Revision)...)
	}
	if len(reports) == 0 {
		return
	}
	way.up.add(reports)
	after := table.Clone()
	rows := routing.RemoveEarlierTargets(table, reports)
	for _, row := range rows {
		after.Set(row)
	}
	rows = mergeRows(rows, routing.Rebalance(after, way.targets(), current.Revision+1))
	if len(rows) > 0 {
		way.commit(nil, rows)
	}
}

// mergeRows returns the rows of both, with later ones in place of former ones.
func mergeRows(former, later []model.Bucket) []model.Bucket {
	replaced := make(map[model.BucketIndex]bool, len(later))
	for _, row := range later {
		replaced[row.Index] = true
	}
	kept := slices.DeleteFunc(former, func(row model.Bucket) bool { return replaced[row.Index] })
	return append(kept, later...)
}

func (way *chain) route(balancer *balancerNode, flow *flowState, opening bool) outcome {
	input, cache := way.forward(balancer, flow, opening)
	if len(input.Chain) == 0 {
		return outcome{verdict: verdictLost}
	}
	target := input.Chain[input.Position]
	for {
		agent, alive := way.agents[target]
		if !alive {
			return outcome{verdict: verdictLost, passes: int(input.Passes)}
		}
		decision := agent.steering.Decide(way.run.clock.Now(), input)
		switch decision.Action {
		case steering.ActionDeliver:
			if decision.Hint {
				cache.Insert(flow.hash, flow.tuple, target)
			}
			return outcome{verdict: verdictDelivered, target: target, passes: int(input.Passes)}
		case steering.ActionForward:
			input = passed(input, decision)
			target = decision.Next
		case steering.ActionReset:
			return outcome{verdict: verdictReset, target: target, passes: int(input.Passes)}
		default:
			return outcome{verdict: verdictLost, target: target, passes: int(input.Passes)}
		}
	}
}

// forward is what the balancer does with a packet.
func (way *chain) forward(balancer *balancerNode, flow *flowState, opening bool) (steering.Input, *flow.Cache) {
	configuration := way.rollout.at(balancerOf(balancer))
	table := configuration.Buckets[comparedService]
	cache := way.caches[balancer.number]
	bucket := table.Bucket(routing.BucketOf(flow.hash, table.Count()))
	input := steering.Input{
		Flow:     flow.tuple,
		Service:  comparedService,
		Revision: configuration.Revision,
		Opening:  opening,
		Chain:    routing.Chain(bucket),
	}
	if owner, known := cache.Lookup(flow.hash, flow.tuple); known {
		input.Position = max(0, slices.Index(input.Chain, owner))
	}
	return input, cache
}

func passed(input steering.Input, decision steering.Decision) steering.Input {
	input.Chain = decision.Chain
	input.Position = decision.Position
	input.Revision = decision.Revision
	input.Stage = decision.Stage
	input.Passes = decision.Passes
	input.PasserLoad = decision.PasserLoad
	return input
}

// closed also takes the flow out of the caches, so that the state counts open
// flows only; a balancer keeps ended ones until their room is needed.
func (way *chain) closed(flow *flowState) {
	for _, cache := range way.caches {
		cache.Remove(flow.hash, flow.tuple)
	}
	agent, alive := way.agents[flow.owner]
	if !alive {
		return
	}
	table := agent.Current().Buckets[comparedService]
	agent.owners.Close(routing.BucketOf(flow.hash, table.Count()), flow.tuple)
}

func (way *chain) state() StateBytes {
	assignments := 0
	for _, agent := range way.agents {
		assignments += agent.owners.AssignmentCount()
	}
	return StateBytes{
		Balancers: cacheBytes(way.run, way.caches),
		Targets:   float64(assignments) * assignmentBytes,
		Table:     tableBytes(way.rollout.newest),
	}
}

// tableBytes returns the memory of the rows of targets and buckets.
func tableBytes(configuration *model.Configuration) float64 {
	table := configuration.Buckets[comparedService]
	earlier := 0
	for _, entries := range table.Earlier {
		earlier += len(entries)
	}
	size := float64(len(configuration.Targets)) * float64(reflect.TypeFor[model.Target]().Size())
	size += float64(table.Count()) * 2 * float64(reflect.TypeFor[model.TargetID]().Size())
	return size + float64(earlier)*float64(reflect.TypeFor[model.EarlierTarget]().Size())
}

func (way *chain) controlBytes() (down, up uint64) { return way.down.total, way.up.total }

var _ steering.Configurations = (*chainAgent)(nil)

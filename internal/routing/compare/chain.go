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
	// comparedService is the only service of a comparison.
	comparedService = model.ServiceID(1)
	// reportInterval is the time between two reports of empty buckets, and between two expiries of
	// idle state at the targets.
	reportInterval = 2 * time.Second
	// assignmentBytes is the memory of one recorded assignment, in bytes, as measured by
	// BenchmarkOwnersMemory in package flow.
	assignmentBytes = 126
)

// fullChain is the algorithm of the product. It runs the packages routing (bucket tables), flow
// (flows that targets own, flow caches of balancers) and steering (decisions of agents).
type fullChain struct {
	run            *run
	configurations *propagation[*model.Configuration]
	// caches has the flow cache of each balancer by its number.
	caches map[int]*flow.Cache
	// agents has the agents of live targets.
	agents      map[model.TargetID]*chainAgent
	deltaBytes  *byteCounter
	reportBytes *byteCounter
}

// chainAgent is the agent of one target. It provides steering with the configuration that the agent
// has applied.
type chainAgent struct {
	chain      *fullChain
	target     model.TargetID
	ownedFlows *flow.OwnedFlows
	steering   *steering.Steering
}

// Current implements steering.Configurations.
func (agent *chainAgent) Current() *model.Configuration {
	return agent.chain.configurations.appliedBy(agentID(agent.target))
}

func newFullChain(run *run) *fullChain {
	chain := &fullChain{
		run:         run,
		caches:      make(map[int]*flow.Cache),
		agents:      make(map[model.TargetID]*chainAgent),
		deltaBytes:  newByteCounter(),
		reportBytes: newByteCounter(),
	}
	chain.configurations = newPropagation(run, chain.initialConfiguration())
	for _, balancer := range run.balancers {
		chain.caches[balancer.number] = flow.NewCache(tableCapacity)
	}
	for _, target := range run.targets {
		chain.targetJoined(target.id)
	}
	run.clock.Every(reportInterval, func() bool {
		chain.maintain()
		return true
	})
	return chain
}

func (chain *fullChain) initialConfiguration() *model.Configuration {
	configuration := model.NewConfiguration()
	configuration.Revision = 1
	configuration.Services[comparedService] = model.Service{
		ID:       comparedService,
		Protocol: model.ProtocolTCP,
		Address:  serviceAddress,
		Limits:   model.DefaultLimits(),
	}
	targets := chain.targets()
	for _, target := range targets {
		configuration.Targets[target.ID] = target
	}
	configuration.Buckets[comparedService] = routing.NewTable(comparedService, targets, configuration.Revision)
	configuration.Seal()
	return configuration
}

// targets returns the targets with the phases that control has committed.
func (chain *fullChain) targets() []model.Target {
	targets := make([]model.Target, len(chain.run.targets))
	for index, target := range chain.run.targets {
		targets[index] = model.Target{ID: target.id, Service: comparedService, Phase: target.phase}
	}
	return targets
}

func (chain *fullChain) targetJoined(target model.TargetID) {
	agent := &chainAgent{chain: chain, target: target}
	agent.ownedFlows = flow.NewOwnedFlows(flow.OwnedFlowsOptions{Service: comparedService, Target: target})
	agent.steering = steering.New(steering.Options{
		Target:         target,
		Configurations: agent,
		OwnedFlows:     agent.ownedFlows,
		Load:           func() model.TargetLoad { return chain.run.target(target).load(chain.run.options.Slots) },
		Started:        chain.run.clock.Now(),
	})
	chain.agents[target] = agent
	chain.configurations.join(agentID(target))
}

func (chain *fullChain) targetDied(target model.TargetID) { delete(chain.agents, target) }

func (chain *fullChain) balancerJoined(balancer *balancerNode) {
	chain.configurations.join(balancerID(balancer))
	chain.caches[balancer.number] = flow.NewCache(tableCapacity)
}

func (chain *fullChain) targetsChanged() {
	current := chain.configurations.newest
	targets := chain.targets()
	next := current.Revision + 1
	rows := routing.Rebalance(current.Buckets[comparedService], targets, next)
	chain.commit(changedTargets(current, targets), rows)
}

// changedTargets returns the targets that differ from those in current or are missing there.
func changedTargets(current *model.Configuration, targets []model.Target) []model.Target {
	return slices.DeleteFunc(slices.Clone(targets), func(target model.Target) bool {
		return current.Targets[target.ID] == target
	})
}

// commit publishes the next revision, which has the given targets and rows in place of the previous
// ones.
func (chain *fullChain) commit(targets []model.Target, rows []model.Bucket) {
	current := chain.configurations.newest
	delta := model.Delta{From: current.Revision, To: current.Revision + 1, Targets: targets}
	if len(rows) > 0 {
		delta.Buckets = []model.BucketChange{{Service: comparedService, Rows: rows}}
	}
	next, err := current.Apply(delta)
	if err != nil {
		panic("compare: apply a delta to the newest revision: " + err.Error())
	}
	chain.deltaBytes.add(delta)
	chain.configurations.publish(next)
}

// maintain expires idle state at the targets and collects their reports of empty buckets. It commits
// the rows without the reported earlier targets, together with the rows that Rebalance can change
// once these are removed.
func (chain *fullChain) maintain() {
	current := chain.configurations.newest
	table := current.Buckets[comparedService]
	var reports []model.BucketEmpty
	for _, target := range chain.run.targets {
		agent, alive := chain.agents[target.id]
		if !alive {
			continue
		}
		agent.ownedFlows.Expire(chain.run.clock.Now())
		reports = append(reports, agent.steering.Empty(current.Revision)...)
	}
	if len(reports) == 0 {
		return
	}
	chain.reportBytes.add(reports)
	after := table.Clone()
	rows := routing.RemoveEarlierTargets(table, reports)
	for _, row := range rows {
		after.Set(row)
	}
	rows = mergeRows(rows, routing.Rebalance(after, chain.targets(), current.Revision+1))
	if len(rows) > 0 {
		chain.commit(nil, rows)
	}
}

// mergeRows returns the rows of both lists. A row of later replaces the row of the same bucket in
// previous.
func mergeRows(previous, later []model.Bucket) []model.Bucket {
	replaced := make(map[model.BucketIndex]bool, len(later))
	for _, row := range later {
		replaced[row.Index] = true
	}
	kept := slices.DeleteFunc(previous, func(row model.Bucket) bool { return replaced[row.Index] })
	return append(kept, later...)
}

func (chain *fullChain) route(balancer *balancerNode, flow *flowState, opening bool) outcome {
	input, cache := chain.balancerInput(balancer, flow, opening)
	if len(input.Chain) == 0 {
		return outcome{verdict: verdictLost}
	}
	target := input.Chain[input.Position]
	for {
		agent, alive := chain.agents[target]
		if !alive {
			return outcome{verdict: verdictLost, passes: int(input.Passes)}
		}
		decision := agent.steering.Decide(chain.run.clock.Now(), input)
		switch decision.Action {
		case steering.ActionDeliver:
			if decision.Hint {
				cache.Insert(flow.hash, flow.tuple, target)
			}
			return outcome{verdict: verdictDelivered, target: target, passes: int(input.Passes)}
		case steering.ActionForward:
			input = forwardedInput(input, decision)
			target = decision.Next
		case steering.ActionReset:
			return outcome{verdict: verdictReset, target: target, passes: int(input.Passes)}
		default:
			return outcome{verdict: verdictLost, target: target, passes: int(input.Passes)}
		}
	}
}

// balancerInput returns the packet as the balancer forwards it, and the flow cache of the balancer.
func (chain *fullChain) balancerInput(balancer *balancerNode, flow *flowState, opening bool) (steering.Input, *flow.Cache) {
	configuration := chain.configurations.appliedBy(balancerID(balancer))
	table := configuration.Buckets[comparedService]
	cache := chain.caches[balancer.number]
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

// forwardedInput returns the packet as an agent forwards it after decision.
func forwardedInput(input steering.Input, decision steering.Decision) steering.Input {
	input.Chain = decision.Chain
	input.Position = decision.Position
	input.Revision = decision.Revision
	input.Stage = decision.Stage
	input.Passes = decision.Passes
	input.PasserLoad = decision.PasserLoad
	return input
}

// flowClosed also removes the flow from the caches of the balancers, so that StateBytes covers open
// flows only. A real balancer keeps closed flows until it needs their cache entries.
func (chain *fullChain) flowClosed(flow *flowState) {
	for _, cache := range chain.caches {
		cache.Remove(flow.hash, flow.tuple)
	}
	agent, alive := chain.agents[flow.owner]
	if !alive {
		return
	}
	table := agent.Current().Buckets[comparedService]
	agent.ownedFlows.Close(routing.BucketOf(flow.hash, table.Count()), flow.tuple)
}

func (chain *fullChain) state() StateBytes {
	assignments := 0
	for _, agent := range chain.agents {
		assignments += agent.ownedFlows.AssignmentCount()
	}
	return StateBytes{
		Balancers: cacheBytes(chain.run, chain.caches),
		Targets:   float64(assignments) * assignmentBytes,
		Table:     tableBytes(chain.configurations.newest),
	}
}

// tableBytes returns the memory of the configuration's targets and buckets, in bytes.
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

func (chain *fullChain) controlBytes() (down, up uint64) {
	return chain.deltaBytes.total, chain.reportBytes.total
}

var _ steering.Configurations = (*chainAgent)(nil)
